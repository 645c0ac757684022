#include "TestSockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace goldcrestkeel::test {

namespace {

sockaddr_in
Loopback(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  return address;
}

std::uint16_t
BindAndListen(int aDescriptor)
{
  sockaddr_in address = Loopback(0);
  socklen_t length = sizeof(address);
  auto* genericAddress = reinterpret_cast<sockaddr*>(&address);
  if (bind(aDescriptor, genericAddress, length) != 0 ||
      listen(aDescriptor, 64) != 0 ||
      getsockname(aDescriptor, genericAddress, &length) != 0) {
    throw std::runtime_error("the test server cannot listen on 127.0.0.1");
  }
  return ntohs(address.sin_port);
}

// Length of the first HTTP message in aBuffer, or 0 if it is incomplete.
std::size_t
MessageLength(const std::string& aBuffer)
{
  const std::size_t end = aBuffer.find("\r\n\r\n");
  if (end == std::string::npos) {
    return 0;
  }
  std::size_t length = end + 4;
  const std::size_t field = aBuffer.find("Content-Length: ");
  if (field < end) {
    length += std::stoul(aBuffer.substr(field + 16));
  }
  return aBuffer.size() >= length ? length : 0;
}

// Reads one HTTP message. Returns an empty string if the connection is closed.
std::string
ReadHttpMessage(int aDescriptor, std::string& aBuffer)
{
  while (MessageLength(aBuffer) == 0) {
    char chunk[4096];
    const ssize_t received = recv(aDescriptor, chunk, sizeof(chunk), 0);
    if (received <= 0) {
      return {};
    }
    aBuffer.append(chunk, static_cast<std::size_t>(received));
  }
  const std::size_t length = MessageLength(aBuffer);
  std::string message = aBuffer.substr(0, length);
  aBuffer.erase(0, length);
  return message;
}

void
SendAll(int aDescriptor, const std::string& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const ssize_t count =
      send(aDescriptor, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return;
    }
    sent += static_cast<std::size_t>(count);
  }
}

} // namespace

Socket::Socket(int aDescriptor)
  : m_descriptor(aDescriptor)
{
}

Socket::~Socket()
{
  Close();
}

Socket::Socket(Socket&& aOther) noexcept
  : m_descriptor(std::exchange(aOther.m_descriptor, -1))
{
}

Socket&
Socket::operator=(Socket&& aOther) noexcept
{
  Close();
  m_descriptor = std::exchange(aOther.m_descriptor, -1);
  return *this;
}

void
Socket::Close()
{
  if (m_descriptor >= 0) {
    close(std::exchange(m_descriptor, -1));
  }
}

TestConnection::TestConnection(std::uint16_t aPort)
  : m_socket(socket(AF_INET, SOCK_STREAM, 0))
{
  const sockaddr_in address = Loopback(aPort);
  const int on = 1;
  setsockopt(m_socket.Get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (connect(m_socket.Get(),
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    throw std::runtime_error("the test client cannot connect to 127.0.0.1");
  }
}

void
TestConnection::Send(const std::string& aText)
{
  SendAll(m_socket.Get(), aText);
}

std::string
TestConnection::Receive()
{
  return ReadHttpMessage(m_socket.Get(), m_buffer);
}

std::string
MakeRequest(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aBody,
            const std::string& aHeaders)
{
  return aMethod + " " + aPath + " HTTP/1.1\r\nHost: test\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string
MakeResponse(int aStatus, const std::string& aBody, const std::string& aHeaders)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Test\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

ScriptedServer::ScriptedServer(Script aScript)
  : m_script(std::move(aScript))
  , m_listener(socket(AF_INET, SOCK_STREAM, 0))
  , m_port(BindAndListen(m_listener.Get()))
  , m_acceptor([this] { Accept(); })
{
}

ScriptedServer::~ScriptedServer()
{
  shutdown(m_listener.Get(), SHUT_RDWR);
  m_acceptor.join();
  {
    std::lock_guard lock(m_mutex);
    for (const int descriptor : m_open) {
      shutdown(descriptor, SHUT_RDWR);
    }
  }
  for (std::thread& thread : m_threads) {
    thread.join();
  }
}

std::string
ScriptedServer::Address() const
{
  return "127.0.0.1:" + std::to_string(m_port);
}

void
ScriptedServer::StopListening()
{
  shutdown(m_listener.Get(), SHUT_RDWR);
}

std::vector<std::string>
ScriptedServer::Requests() const
{
  std::lock_guard lock(m_mutex);
  return m_requests;
}

void
ScriptedServer::Accept()
{
  int connections = 0;
  for (;;) {
    const int descriptor = accept(m_listener.Get(), nullptr, nullptr);
    if (descriptor < 0) {
      return;
    }
    {
      std::lock_guard lock(m_mutex);
      m_open.push_back(descriptor);
    }
    const int number = ++connections;
    m_threads.emplace_back(
      [this, descriptor, number] { Serve(descriptor, number); });
  }
}

void
ScriptedServer::Serve(int aDescriptor, int aConnection)
{
  Socket connection(aDescriptor);
  std::string buffer;
  for (int number = 1;; ++number) {
    const std::string request = ReadHttpMessage(aDescriptor, buffer);
    if (request.empty()) {
      break;
    }
    {
      std::lock_guard lock(m_mutex);
      m_requests.push_back(request);
    }
    const std::string response = m_script(aConnection, number, request);
    if (response.empty()) {
      break;
    }
    SendAll(aDescriptor, response);
  }
  std::lock_guard lock(m_mutex);
  m_open.erase(std::find(m_open.begin(), m_open.end(), aDescriptor));
}

std::string
ClosedAddress()
{
  const Socket listener(socket(AF_INET, SOCK_STREAM, 0));
  return "127.0.0.1:" + std::to_string(BindAndListen(listener.Get()));
}

} // namespace goldcrestkeel::test
