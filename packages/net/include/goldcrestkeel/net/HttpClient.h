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

/** One request to an HTTP/1.1 server. */
struct HttpRequest
{
  HttpMethod m_method = HttpMethod::Get;
  /** Absolute, "http://IP:port/path". */
  std::string m_url;
  /** JSON, or empty. */
  std::string m_body;
  /** Whole transfer, including the connection. */
  Duration m_timeout{ 0 };
  /** Uses a new connection and closes it afterwards. libcurl 7.88 silently
   *  repeats a request when a reused connection closes without a reply, so
   *  requests that must not run twice set this. */
  bool m_freshConnection = false;
  /** Lets the request fail instead of being repeated by libcurl, on a
   *  connection that may be reused. Less strict than m_freshConnection: a
   *  connection that the server has closed before costs the request. */
  bool m_disableRetry = false;
};

enum class HttpOutcome
{
  /** The reply is complete; m_status is set. */
  Replied,
  /** No byte of the request was sent. */
  NotSent,
  /** The connection broke after the request had been sent in part or whole. */
  Broken,
  /** The time ran out after the request had been sent in part or whole. */
  TimedOut,
  /** The reply exceeds the size limit or is not HTTP. */
  BadReply,
};

struct HttpReply
{
  HttpOutcome m_outcome = HttpOutcome::NotSent;
  int m_status = 0;
  std::string m_body;
  /** X-Consul-Index header, 0 if absent. */
  std::uint64_t m_index = 0;
  /** libcurl's description of the failure. */
  std::string m_detail;
};

/** Number of a transfer within one client; never 0. */
using TransferId = std::uint64_t;

/** Asynchronous HTTP client over one curl multi handle. Except for Wake(), all
 *  methods belong to the thread that runs the event loop. */
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
  /** Closes the transfer's connection; aDone is not called any more. An
   *  unknown id is ignored. */
  void Abort(TransferId aTransfer);

  /** Moves all transfers on and delivers finished ones. */
  void Perform();
  /** Waits for activity, Wake() or aTimeout. */
  void Wait(Duration aTimeout);
  /** Ends Wait(). Any thread. */
  void Wake();

  std::size_t Running() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestkeel
