#pragma once

#include <goldcrestkeel/core/Time.h>

#include <memory>
#include <string>
#include <vector>

namespace goldcrestkeel::gkctl {

/** Request to one entry host. */
struct Request
{
  /** "IP:port" or "name:port". */
  std::string m_host;
  /** For example "/v1/statements". */
  std::string m_path;
  /** JSON body of a POST request; empty for a GET request. */
  std::string m_body;
  /** Each "Name: value". */
  std::vector<std::string> m_headers;
  Duration m_timeout{ 0 };
  /** Allows the reuse of a connection. Only for requests that may run twice:
   *  libcurl 7.88 silently sends a POST a second time when a reused connection
   *  closes without a reply. */
  bool m_reuseConnection = false;
};

/** How far the exchange with a host got. */
enum class Delivery
{
  /** The answer is complete. */
  Answered,
  /** No connection was made: the request cannot have run. */
  NotSent,
  /** The connection broke or the timeout expired before the answer was
   *  complete: the request may have run. */
  Lost,
};

struct Response
{
  Delivery m_delivery = Delivery::NotSent;
  int m_status = 0;
  std::string m_body;
  /** Description of the error if the answer is not complete. */
  std::string m_detail;
};

/** Sends requests to entry hosts. */
class Transport
{
public:
  virtual ~Transport() = default;
  /** Sends a request and blocks until the answer, an error or the timeout. */
  virtual Response Send(const Request& aRequest) = 0;
};

/** Returns a transport over HTTP with libcurl. Throws std::runtime_error if
 *  libcurl cannot be initialized. */
std::unique_ptr<Transport>
MakeCurlTransport();

} // namespace goldcrestkeel::gkctl
