#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace goldcrestkeel::test {

/** Owns a socket descriptor and closes it. */
class Socket
{
public:
  explicit Socket(int aDescriptor = -1);
  ~Socket();
  Socket(Socket&& aOther) noexcept;
  Socket& operator=(Socket&& aOther) noexcept;
  int Get() const { return m_descriptor; }
  void Close();

private:
  int m_descriptor;
};

/** Blocking client connection to a port of 127.0.0.1. */
class TestConnection
{
public:
  explicit TestConnection(std::uint16_t aPort);
  void Send(const std::string& aText);
  /** Receives one HTTP response with its headers. Returns an empty string if
   *  the connection is closed. */
  std::string Receive();
  void Close() { m_socket.Close(); }

private:
  Socket m_socket;
  std::string m_buffer;
};

/** HTTP request with a Content-Length. aHeaders are lines that end with CRLF.
 */
std::string
MakeRequest(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aBody,
            const std::string& aHeaders = {});

/** HTTP response with a Content-Length. aHeaders are lines that end with CRLF.
 */
std::string
MakeResponse(int aStatus,
             const std::string& aBody,
             const std::string& aHeaders = {});

/** HTTP server on a port chosen by the system. The script receives the numbers
 *  of the connection and of the request on it, both counted from 1, and the
 *  request. It returns the bytes to send, or an empty string to close the
 *  connection. */
class ScriptedServer
{
public:
  using Script = std::function<
    std::string(int aConnection, int aRequest, const std::string& aText)>;

  explicit ScriptedServer(Script aScript);
  ~ScriptedServer();

  std::string Address() const;
  /** Refuses new connections, like a server that has crashed. Open connections
   *  stay open. */
  void StopListening();
  /** All requests received so far on all connections. */
  std::vector<std::string> Requests() const;

private:
  void Accept();
  void Serve(int aDescriptor, int aConnection);

  Script m_script;
  Socket m_listener;
  std::uint16_t m_port = 0;
  mutable std::mutex m_mutex;
  std::vector<std::string> m_requests;
  std::vector<int> m_open;
  std::vector<std::thread> m_threads;
  std::thread m_acceptor;
};

/** Address "127.0.0.1:port" that refuses connections. */
std::string
ClosedAddress();

} // namespace goldcrestkeel::test
