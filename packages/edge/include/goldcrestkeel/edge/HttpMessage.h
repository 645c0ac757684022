#pragma once

#include <goldcrestkeel/forward/Forwarder.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** Parsed request. The method, target, fields and body have the bytes received,
 *  so that the request can be forwarded unchanged. */
struct RequestMessage
{
  std::string m_method;
  /** Request target, usually path and query string. */
  std::string m_target;
  /** Header fields in the order and spelling received. */
  std::vector<HeaderField> m_fields;
  std::string m_body;
  /** The header has a Content-Length or announces a chunked body. */
  bool m_hasBody = false;
  bool m_keepAlive = true;
};

/** Parsed response. */
struct ResponseMessage
{
  int m_status = 0;
  std::string m_reason;
  std::vector<HeaderField> m_fields;
  std::string m_body;
  bool m_keepAlive = true;
};

/** Value of the first field with this name, compared without regard to case;
 *  empty if there is none. The view is valid as long as aFields. */
std::string_view
FieldValue(const std::vector<HeaderField>& aFields, std::string_view aName);

/** Compares ASCII texts without regard to case. */
bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);

/** True for hop-by-hop header fields and for fields of the message framing,
 *  which are not forwarded. */
bool
IsHopByHop(std::string_view aName);

/** Removes the hop-by-hop fields, including those that a Connection field
 *  lists. */
std::vector<HeaderField>
EndToEndFields(std::vector<HeaderField> aFields);

/** Memory that aText takes beside its own size, in bytes: a short text is
 * stored within its string. */
std::size_t
HeapBytes(const std::string& aText);

/** Memory that header fields take, in bytes: of the texts and of each field. */
std::size_t
MemoryOf(const std::vector<HeaderField>& aFields);

/** State of a parser after input. */
enum class ParseState
{
  /** More input is needed. */
  Partial,
  Complete,
  HeaderTooLarge,
  BodyTooLarge,
  /** The input is not a valid HTTP/1.1 message. */
  Malformed,
};

/** Incremental parser for one request. Trailer fields are discarded. */
class RequestParser
{
public:
  /** Limits of the header and the body, in bytes. The limit of the header also
   *  holds for a line of the chunk framing and for the trailer section, and
   *  all framing together has at most as many bytes and 8 for each byte of the
   *  body; beyond that, Read() returns BodyTooLarge. */
  RequestParser(std::size_t aHeaderLimit, std::size_t aBodyLimit);
  ~RequestParser();

  /** Parses aBytes and removes the parsed bytes from its front; bytes of a
   *  following request stay. */
  ParseState Read(std::string& aBytes);
  /** True the first time that it is called after the header was parsed, if the
   *  caller waits for "100 Continue" before it sends the body. */
  bool ConsumeExpectContinue();
  /** The header has been parsed completely. */
  bool HasHeader() const;
  /** At least one byte has been parsed. */
  bool HasStarted() const;
  /** Memory of what has been parsed, in bytes. */
  std::size_t HeldBytes() const;
  /** Bytes of the body that have not been parsed, if its length is known. */
  std::optional<std::uint64_t> MissingBodyBytes() const;
  /** Returns the request; to be called once, after Read() returned Complete. */
  RequestMessage Take();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/** Incremental parser for one response; skips interim (1xx) responses. A
 *  response whose status is not 200 to 599 is malformed. */
class ResponseParser
{
public:
  /** aHead: the request was a HEAD request, whose response has no body.
   *  aBodyLimit: the largest body that is accepted, in bytes. */
  ResponseParser(bool aHead, std::uint64_t aBodyLimit);
  ~ResponseParser();

  /** Parses aBytes and removes the parsed bytes from its front. */
  ParseState Read(std::string& aBytes);
  /** Signals the end of the stream. Returns Complete if the response is
   *  delimited by it, and Malformed otherwise. */
  ParseState End();
  /** At least one byte has been parsed. */
  bool HasStarted() const;
  /** Returns the response; to be called once, after Read() or End() returned
   *  Complete. */
  ResponseMessage Take();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/** Appends a header field line to aOut. */
void
AppendField(std::string& aOut, std::string_view aName, std::string_view aValue);

/** Standard reason phrase of an HTTP status code. */
std::string_view
ReasonPhrase(int aStatus);

} // namespace goldcrestkeel
