#include "Transport.h"

#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <stdexcept>
#include <thread>

using namespace goldcrestkeel;
using namespace goldcrestkeel::gkctl;
using namespace std::chrono_literals;

namespace {

/** Owns a socket descriptor and closes it on destruction. */
class Socket
{
public:
  explicit Socket(int aDescriptor)
    : m_descriptor(aDescriptor)
  {
    if (m_descriptor < 0) {
      throw std::runtime_error("invalid socket descriptor");
    }
  }
  ~Socket() { close(m_descriptor); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  int Get() const { return m_descriptor; }

private:
  int m_descriptor;
};

/** Accepts connections on the loopback address, reads one request from each,
 *  sends a fixed reply and closes the connection. */
class LoopbackServer
{
public:
  explicit LoopbackServer(std::string aReply)
    : m_reply(std::move(aReply))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    if (bind(m_listener.Get(),
             reinterpret_cast<const sockaddr*>(&address),
             length) != 0 ||
        listen(m_listener.Get(), 8) != 0 ||
        getsockname(m_listener.Get(),
                    reinterpret_cast<sockaddr*>(&address),
                    &length) != 0) {
      throw std::runtime_error("cannot listen on the loopback address");
    }
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { Serve(); });
  }

  ~LoopbackServer()
  {
    // Makes accept() return an error.
    shutdown(m_listener.Get(), SHUT_RDWR);
    m_thread.join();
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(m_port); }
  int Requests() const { return m_requests; }

private:
  void Serve()
  {
    for (;;) {
      const int descriptor = accept(m_listener.Get(), nullptr, nullptr);
      if (descriptor < 0) {
        return;
      }
      const Socket connection(descriptor);
      if (ReadRequest(connection.Get())) {
        ++m_requests;
        send(connection.Get(), m_reply.data(), m_reply.size(), MSG_NOSIGNAL);
      }
    }
  }

  /** Reads up to the end of the body "{}"; returns false if the connection
   *  closes before. */
  static bool ReadRequest(int aDescriptor)
  {
    std::string request;
    char buffer[1024];
    while (!request.ends_with("\r\n\r\n{}")) {
      const ssize_t count = recv(aDescriptor, buffer, sizeof(buffer), 0);
      if (count <= 0) {
        return false;
      }
      request.append(buffer, static_cast<std::size_t>(count));
    }
    return true;
  }

  std::string m_reply;
  Socket m_listener{ socket(AF_INET, SOCK_STREAM, 0) };
  std::uint16_t m_port = 0;
  std::atomic<int> m_requests{ 0 };
  std::thread m_thread;
};

Request
MakeRequest(const std::string& aHost)
{
  Request request;
  request.m_host = aHost;
  request.m_path = "/v1/statements";
  request.m_body = "{}";
  request.m_timeout = 10s;
  return request;
}

} // namespace

TEST_CASE("The transport reports whether a request was sent and answered",
          "[transport]")
{
  const std::unique_ptr<Transport> transport = MakeCurlTransport();

  SECTION("a complete answer")
  {
    const LoopbackServer server(
      "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n[]");
    const Response response = transport->Send(MakeRequest(server.Address()));
    REQUIRE(response.m_delivery == Delivery::Answered);
    REQUIRE(response.m_status == 202);
    REQUIRE(response.m_body == "[]");
  }

  // Guards against libcurl sending a POST a second time, and against a request
  // that is reported as not sent although the host received it.
  SECTION("a connection that closes without an answer: sent once, lost")
  {
    const LoopbackServer server("");
    const Response response = transport->Send(MakeRequest(server.Address()));
    REQUIRE(response.m_delivery == Delivery::Lost);
    REQUIRE(server.Requests() == 1);
  }

  SECTION("a truncated answer: lost")
  {
    const LoopbackServer server(
      "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{");
    const Response response = transport->Send(MakeRequest(server.Address()));
    REQUIRE(response.m_delivery == Delivery::Lost);
    REQUIRE(server.Requests() == 1);
  }

  SECTION("a port that refuses connections: not sent")
  {
    const Response response = transport->Send(MakeRequest("127.0.0.1:1"));
    REQUIRE(response.m_delivery == Delivery::NotSent);
    REQUIRE_FALSE(response.m_detail.empty());
  }
}
