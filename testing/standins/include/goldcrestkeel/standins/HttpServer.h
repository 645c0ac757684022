#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestkeel::standins {

/** Address of a listening socket, written as "IP:port". */
struct ListenAddress
{
  std::string m_ip;
  std::uint16_t m_port = 0;
};

/** Parses "IP:port". Throws std::invalid_argument if the text has another form
 *  or the port is not in 1..65535. */
ListenAddress
ParseListenAddress(const std::string& aText);

/** Sends the reply to one request. Thread-safe, and usable after the handler
 *  has returned; a call after the connection has closed or the server has
 *  stopped has no effect. */
class Responder
{
public:
  using Headers = std::vector<std::pair<std::string, std::string>>;

  virtual ~Responder() = default;
  /** Sends a complete reply and keeps the connection open. */
  virtual void Send(int aStatus,
                    const std::string& aBody,
                    const Headers& aHeaders = {}) = 0;
  /** Writes aBytes unchanged, without checking that they are valid HTTP. */
  virtual void SendRaw(const std::string& aBytes, bool aCloseAfter) = 0;
  /** Closes the connection without a reply. */
  virtual void Close() = 0;
};

struct HttpRequest
{
  std::string m_method;
  /** Path without the query string. */
  std::string m_path;
  std::map<std::string, std::string> m_queryParameters;
  std::string m_body;
  /** IP address of the client. */
  std::string m_peerAddress;
  /** True for the first request of its connection. */
  bool m_newConnection = false;
  std::shared_ptr<Responder> m_responder;
};

/** HTTP server that can be stopped and started again on the same address. */
class HttpServer
{
public:
  /** Called on a server thread for each request; must not block. */
  using Handler = std::function<void(HttpRequest)>;

  virtual ~HttpServer() = default;
  /** Starts listening. Throws if the address cannot be bound. Has no effect if
   *  the server is running. */
  virtual void Start() = 0;
  /** Closes all connections and stops listening, so that new connections are
   *  refused. Blocks until done. Must not run concurrently with a call to a
   *  Responder. */
  virtual void Stop() = 0;
  /** Number of open connections that have carried at least one request. */
  virtual std::uint32_t Connections() const = 0;
};

/** Makes a stopped server with aThreads worker threads. */
std::unique_ptr<HttpServer>
MakeHttpServer(const ListenAddress& aAddress,
               int aThreads,
               HttpServer::Handler aHandler);

/** Returns a JSON reply in HTTP/1.1 wire format, for Responder::SendRaw(). */
std::string
FormatReply(int aStatus, const std::string& aBody);

} // namespace goldcrestkeel::standins
