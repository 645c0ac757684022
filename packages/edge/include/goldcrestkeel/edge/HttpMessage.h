#pragma once

#include <goldcrestkeel/forward/Forwarder.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** A request as received, byte for byte where it matters for forwarding. */
struct RequestMessage
{
  std::string m_method;
  /** Path and query. */
  std::string m_target;
  /** In the order and spelling received. */
  std::vector<HeaderField> m_fields;
  std::string m_body;
  /** The message said how long its body is, or that it is chunked. */
  bool m_hasBody = false;
  bool m_keepAlive = true;
};

/** An answer as received. */
struct ResponseMessage
{
  int m_status = 0;
  std::string m_reason;
  std::vector<HeaderField> m_fields;
  std::string m_body;
  bool m_keepAlive = true;
};

/** Value of the first field with this name without regard to case, or an empty
 *  text. */
std::string_view
FieldValue(const std::vector<HeaderField>& aFields, std::string_view aName);

bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);

/** True for fields that belong to one connection, or to the framing that each
 *  connection makes anew. */
bool
IsHopByHop(std::string_view aName);

/** aFields without those of one connection, also without those that a
 *  Connection field names. */
std::vector<HeaderField>
EndToEndFields(std::vector<HeaderField> aFields);

enum class ParseState
{
  /** More bytes are needed. */
  Partial,
  Complete,
  HeaderTooLarge,
  BodyTooLarge,
  /** The bytes are no message of the protocol. */
  Malformed,
};

/** Reads one request from a stream of bytes. */
class RequestParser
{
public:
  RequestParser(std::size_t aHeaderLimit, std::size_t aBodyLimit);
  ~RequestParser();

  /** Takes bytes from the front of aBytes. */
  ParseState Read(std::string& aBytes);
  /** The caller waits for "100 Continue" before it sends the body. True once.
   */
  bool ConsumeExpectContinue();
  bool HasHeader() const;
  bool HasStarted() const;
  /** After Complete. */
  RequestMessage Take();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/** Reads one answer from a stream of bytes; skips interim answers. */
class ResponseParser
{
public:
  /** aHead: the request was a HEAD, whose answer has no body. */
  explicit ResponseParser(bool aHead);
  ~ResponseParser();

  ParseState Read(std::string& aBytes);
  /** The stream has ended; Complete if the answer ends with it. */
  ParseState End();
  bool HasStarted() const;
  ResponseMessage Take();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/** Appends a field line. */
void
AppendField(std::string& aOut, std::string_view aName, std::string_view aValue);

/** Standard reason phrase. */
std::string_view
ReasonPhrase(int aStatus);

} // namespace goldcrestkeel
