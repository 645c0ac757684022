#pragma once

#include <goldcrestkeel/core/Time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace goldcrestkeel {

/** Request of a caller, as received. */
struct CallerRequest
{
  /** "GET", "POST" and so on. */
  std::string m_method;
  std::string m_path;
  std::string m_body;
  /** Idempotency-Key header, if present. */
  std::optional<std::string> m_idempotencyKey;
  /** X-Operator header, if present. */
  std::optional<std::string> m_operator;
  /** The caller asks for the connection to be closed after the answer. */
  bool m_close = false;
  /** Address of the caller. */
  std::string m_from;
  /** Unique number given by this host; in every answer and log record. */
  std::string m_requestId;
};

struct CallerResponse
{
  int m_status = 200;
  std::string m_body;
  std::string m_contentType = "application/json";
};

/** One request and its answer. Thread-safe. Answers of one connection leave in
 *  the order of their requests. */
class Exchange
{
public:
  virtual ~Exchange() = default;
  virtual const CallerRequest& Request() const = 0;
  /** Sends the answer; a second call is ignored, as is one after the caller has
   *  gone away. */
  virtual void Answer(CallerResponse aAnswer) = 0;
  /** aGone is called, from any thread, if the caller goes away before the
   *  answer. */
  virtual void OnGone(std::function<void()> aGone) = 0;
};

/** Receives the requests. */
class RequestHandler
{
public:
  virtual ~RequestHandler() = default;
  /** Called on a thread of the front; must not block. The exchange may be
   *  answered at once or later from any thread. */
  virtual void Handle(std::shared_ptr<Exchange> aExchange) = 0;
};

struct HttpFrontOptions
{
  /** "IP:port"; port 0 lets the system choose. */
  std::string m_address;
  std::uint32_t m_threads = 2;
  /** Bodies up to this size reach the handler; the handler refuses what is
   *  larger than its own limit. Still larger ones are answered with 413 and the
   *  connection is closed. */
  std::size_t m_maxBodyBytes = 65536;
  /** Start of every request id. */
  std::string m_hostId;
};

/** HTTP server for callers, over Pistache. */
class HttpFront
{
public:
  /** aHandler must outlive the front. */
  HttpFront(HttpFrontOptions aOptions, RequestHandler& aHandler);
  ~HttpFront();
  HttpFront(const HttpFront&) = delete;
  HttpFront& operator=(const HttpFront&) = delete;

  /** Listens and serves on threads of its own. Throws std::exception if the
   *  address cannot be used. */
  void Start();
  /** Closes all connections; see Open() for a graceful end. */
  void Stop();
  std::uint16_t Port() const;

  /** Requests whose answer has not been written to the connection yet. */
  std::size_t Open() const;
  /** Answers ask the caller to close the connection from now on. */
  void CloseConnections();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestkeel
