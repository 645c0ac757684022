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
  /** "/v1/statements" and so on. */
  std::string m_path;
  /** JSON; empty for a GET request. */
  std::string m_body;
  /** Each "Name: value". */
  std::vector<std::string> m_headers;
  Duration m_timeout{ 0 };
  /** May use a connection that an earlier request has used. Only for requests
   *  that may run twice: libcurl 7.88 silently sends a POST a second time when
   *  a reused connection closes without a reply. */
  bool m_reuseConnection = false;
};

enum class Delivery
{
  /** The answer is complete. */
  Answered,
  /** No connection was made: the request cannot have run. */
  NotSent,
  /** The connection broke, or the time ran out, before the answer. */
  Lost,
};

struct Response
{
  Delivery m_delivery = Delivery::NotSent;
  int m_status = 0;
  std::string m_body;
  /** What failed, if the answer is not complete. */
  std::string m_detail;
};

/** Sends requests to entry hosts. */
class Transport
{
public:
  virtual ~Transport() = default;
  virtual Response Send(const Request& aRequest) = 0;
};

/** HTTP over libcurl. Throws std::runtime_error if libcurl cannot be set up. */
std::unique_ptr<Transport>
MakeCurlTransport();

} // namespace goldcrestkeel::gkctl
