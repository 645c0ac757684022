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

/** HTTP request of a caller, as received. */
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
  /** The caller asked to close the connection after the response. */
  bool m_close = false;
  /** IP address of the caller. */
  std::string m_callerAddress;
  /** Unique id assigned by this host; in the response and in log records. */
  std::string m_requestId;
};

/** HTTP response to a caller. */
struct CallerResponse
{
  int m_status = 200;
  std::string m_body;
  std::string m_contentType = "application/json";
};

/** One request and its response. Thread-safe. The responses of a connection are
 *  sent in the order of its requests. */
class Exchange
{
public:
  virtual ~Exchange() = default;
  virtual const CallerRequest& Request() const = 0;
  /** Sends the response. Ignored if a response was given already or the caller
   *  has disconnected. */
  virtual void Respond(CallerResponse aResponse) = 0;
  /** Sets a callback that runs, on any thread, if the caller disconnects before
   *  the response. It runs immediately if the caller has already disconnected,
   *  and never if a response was given already. */
  virtual void OnDisconnect(std::function<void()> aOnDisconnect) = 0;
};

/** Handles the requests that an HttpFront receives. */
class RequestHandler
{
public:
  virtual ~RequestHandler() = default;
  /** Called on a thread of the HttpFront; must not block. The response may be
   *  given immediately or later, from any thread. */
  virtual void Handle(std::shared_ptr<Exchange> aExchange) = 0;
};

struct HttpFrontOptions
{
  /** "IP:port" to listen on; port 0 lets the system choose a port. */
  std::string m_address;
  /** Number of HTTP threads. */
  std::uint32_t m_threads = 2;
  /** Body size limit of the API. Bodies up to a few times this size still
   *  reach the handler, which rejects them and keeps the connection open.
   *  Larger requests get 413 and the connection is closed. */
  std::size_t m_maxBodyBytes = 65536;
  /** Prefix of all request ids. */
  std::string m_hostId;
};

/** HTTP server for callers, built on Pistache. */
class HttpFront
{
public:
  /** aHandler must outlive this object. */
  HttpFront(HttpFrontOptions aOptions, RequestHandler& aHandler);
  ~HttpFront();
  HttpFront(const HttpFront&) = delete;
  HttpFront& operator=(const HttpFront&) = delete;

  /** Starts listening and serves requests on its own threads. Throws an
   *  exception derived from std::exception if the address cannot be bound. */
  void Start();
  /** Stops the server and closes all connections. For a graceful shutdown wait
   *  until Open() is 0. */
  void Stop();
  /** Port that the server listens on. */
  std::uint16_t Port() const;

  /** Number of requests whose response is not yet written to the connection. */
  std::size_t Open() const;
  /** Adds "Connection: Close" to all responses from now on. */
  void CloseConnections();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestkeel
