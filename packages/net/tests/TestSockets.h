#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace goldcrestkeel::test {

/** Owns one socket. */
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

/** Blocking client connection to 127.0.0.1. */
class TestConnection
{
public:
  explicit TestConnection(std::uint16_t aPort);
  void Send(const std::string& aText);
  /** One HTTP response with its headers; empty if the connection closed. */
  std::string Receive();
  void Close() { m_socket.Close(); }

private:
  Socket m_socket;
  std::string m_buffer;
};

/** Request with a Content-Length. */
std::string
MakeRequest(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aBody,
            const std::string& aHeaders = {});

/** Response with a Content-Length. */
std::string
MakeResponse(int aStatus,
             const std::string& aBody,
             const std::string& aHeaders = {});

/** HTTP server on a port chosen by the system. The script receives the number
 *  of the connection and the request, counted from 1, and returns the bytes to
 *  send, or nothing to close the connection. */
class ScriptedServer
{
public:
  using Script = std::function<
    std::string(int aConnection, int aRequest, const std::string& aText)>;

  explicit ScriptedServer(Script aScript);
  ~ScriptedServer();

  std::string Address() const;
  /** Refuses further connections, as a server that has crashed does; open ones
   *  stay. */
  void StopListening();
  /** All requests received so far, over all connections. */
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

/** Address of 127.0.0.1 that refuses connections. */
std::string
ClosedAddress();

} // namespace goldcrestkeel::test
