#pragma once

#include <goldcrestkeel/edge/HttpMessage.h>
#include <goldcrestkeel/edge/Loop.h>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace goldcrestkeel {

/** Outcome of a call. */
enum class CallOutcome
{
  /** A complete answer was received, with any HTTP status. */
  Answered,
  /** No byte of the request was sent. */
  NotSent,
  /** The request was sent in part or in full, but no complete answer was
   *  received; it may have taken effect. */
  Unknown,
};

/** Name of aOutcome in the decision log. */
std::string_view
NameOf(CallOutcome aOutcome);

/** Largest answer that is accepted unless a call names a smaller one, and most
 *  bytes that the unfinished answers of one HttpCaller hold together. */
inline constexpr std::uint64_t kMaxAnswerBytes = 16 * 1024 * 1024;

/** Request to an HTTP/1.1 service with JSON bodies. */
struct HttpCall
{
  std::string m_method = "GET";
  /** Path and query string. */
  std::string m_target;
  std::string m_body;
  /** Time limit of the whole call, including the connection setup. */
  Duration m_timeout{ 0 };
  /** Larger answers end the call. */
  std::uint64_t m_maxAnswerBytes = kMaxAnswerBytes;
};

/** Result of a call; all members but m_outcome are set if it was answered. */
struct HttpCallResult
{
  CallOutcome m_outcome = CallOutcome::Unknown;
  int m_status = 0;
  std::string m_body;
  std::vector<HeaderField> m_fields{};
  /** Why a call without an answer ended, for the log. */
  std::string_view m_reason{};
};

/** Interface of a client of one HTTP/1.1 service. */
class HttpService
{
public:
  using Done = std::function<void(const HttpCallResult&)>;

  virtual ~HttpService() = default;
  /** Starts a call. aDone is called exactly once, and never before Call() has
   *  returned. */
  virtual void Call(const HttpCall& aCall, Done aDone) = 0;
};

/** HTTP/1.1 client of one server over TCP. Concurrent calls use separate
 *  connections; idle connections are reused. */
class HttpCaller : public HttpService
{
public:
  /** aLoop must outlive the client. Throws std::runtime_error if aAddress is
   *  not of the form "IP:port". */
  HttpCaller(Loop& aLoop, std::string aAddress);
  ~HttpCaller() override;
  HttpCaller(const HttpCaller&) = delete;
  HttpCaller& operator=(const HttpCaller&) = delete;

  void Call(const HttpCall& aCall, Done aDone) override;
  /** Bytes of answers that are not complete. */
  std::size_t HeldBytes() const;

private:
  class Connection;

  void RemoveConnection(Connection& aConnection);
  /** Ends the largest unfinished answer if they hold too many bytes. */
  void LimitHeldBytes();

  Loop& m_loop;
  std::string m_address;
  std::vector<std::unique_ptr<Connection>> m_connections;
  std::vector<std::unique_ptr<Connection>> m_removed;
  LoopTimer m_cleanUpTimer;
};

/** Percent-encodes every byte of aText except letters, digits and "-._~/". */
std::string
EscapeQueryValue(std::string_view aText);

} // namespace goldcrestkeel
