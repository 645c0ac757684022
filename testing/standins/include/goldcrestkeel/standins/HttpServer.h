#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestkeel::standins {

/** "IP:port". */
struct ListenAddress
{
  std::string m_ip;
  std::uint16_t m_port = 0;
};

/** Throws std::invalid_argument. */
ListenAddress
ParseListenAddress(const std::string& aText);

/** Reply channel of one request. Any thread may use it, at any later time; a
 *  call after the connection has closed or the server has stopped has no
 *  effect. */
class Responder
{
public:
  using Headers = std::vector<std::pair<std::string, std::string>>;

  virtual ~Responder() = default;
  virtual void Send(int aStatus,
                    const std::string& aBody,
                    const Headers& aHeaders = {}) = 0;
  /** Writes aBytes as they are, without a check that they are HTTP. */
  virtual void SendRaw(const std::string& aBytes, bool aCloseAfter) = 0;
  /** Closes the connection without a reply. */
  virtual void Close() = 0;
};

struct HttpRequest
{
  std::string m_method;
  std::string m_path;
  std::map<std::string, std::string> m_query;
  std::string m_body;
  /** IP address of the other end. */
  std::string m_peer;
  /** True for the first request of its connection. */
  bool m_newConnection = false;
  std::shared_ptr<Responder> m_responder;
};

/** HTTP server that can stop and start listening again on the same address. */
class HttpServer
{
public:
  /** Called on a server thread; must not block. */
  using Handler = std::function<void(HttpRequest)>;

  virtual ~HttpServer() = default;
  /** Throws if the address cannot be bound. Does nothing if running. */
  virtual void Start() = 0;
  /** Closes all connections; new ones are refused. Blocks until done; must not
   *  run at the same time as a call to a Responder. */
  virtual void Stop() = 0;
  /** Open connections that have carried a request. */
  virtual std::uint32_t Connections() const = 0;
};

std::unique_ptr<HttpServer>
MakeHttpServer(const ListenAddress& aAddress,
               int aThreads,
               HttpServer::Handler aHandler);

/** Reply as bytes, for SendRaw(). */
std::string
FormatReply(int aStatus, const std::string& aBody);

} // namespace goldcrestkeel::standins
