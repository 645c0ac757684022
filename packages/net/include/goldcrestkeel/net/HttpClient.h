#pragma once

#include <goldcrestkeel/core/Time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace goldcrestkeel {

enum class HttpMethod
{
  Get,
  Put,
  Post,
};

/** Request to an HTTP/1.1 server. */
struct HttpRequest
{
  HttpMethod m_method = HttpMethod::Get;
  /** Absolute URL, "http://IP:port/path". */
  std::string m_url;
  /** JSON, or empty. Ignored for Get. */
  std::string m_body;
  /** Timeout of the whole transfer, including connecting. Rounded up to
   *  milliseconds. */
  Duration m_timeout{ 0 };
  /** Opens a new connection and closes it afterwards. Set for requests that
   *  must not run twice, because libcurl 7.88 silently resends a request when a
   *  reused connection closes without a reply. */
  bool m_freshConnection = false;
  /** Makes the request fail where libcurl would resend it. Unlike
   *  m_freshConnection it allows connection reuse, so the request also fails if
   *  the server had already closed the idle connection. */
  bool m_disableRetry = false;
};

/** Result of a transfer. */
enum class HttpOutcome
{
  /** The reply is complete; m_status is set. */
  Replied,
  /** No byte of the request was sent. */
  NotSent,
  /** The connection was lost after at least a part of the request was sent. */
  ConnectionLost,
  /** The timeout expired after at least a part of the request was sent. */
  TimedOut,
  /** The reply exceeds the size limit or is not HTTP. */
  InvalidReply,
};

struct HttpReply
{
  HttpOutcome m_outcome = HttpOutcome::NotSent;
  int m_status = 0;
  std::string m_body;
  /** Value of the X-Consul-Index header, 0 if absent. */
  std::uint64_t m_index = 0;
  /** libcurl's error text; empty after success. */
  std::string m_detail;
};

/** Identifies a transfer within one HttpClient; never 0. */
using TransferId = std::uint64_t;

/** Asynchronous HTTP client on top of one curl multi handle. Only Wake() is
 *  thread-safe; all other methods must be called on the event loop's thread. */
class HttpClient
{
public:
  using Done = std::function<void(HttpReply&&)>;

  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** Starts a transfer. aDone is called once from Perform(), unless the
   *  transfer is aborted first. */
  TransferId Start(HttpRequest aRequest, Done aDone);
  /** Aborts a transfer and closes its connection; its callback is not called.
   *  An unknown id is ignored. */
  void Abort(TransferId aTransfer);

  /** Does the pending I/O of all transfers and calls the callbacks of the
   *  finished ones. */
  void Perform();
  /** Blocks until a socket is ready, Wake() is called or aTimeout has passed.
   */
  void Wait(Duration aTimeout);
  /** Ends the current or the next Wait(). Thread-safe. */
  void Wake();

  /** Number of transfers that are neither finished nor aborted. */
  std::size_t Running() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestkeel
