#pragma once

#include "Socket.h"

#include <goldcrestkeel/edge/HttpMessage.h>
#include <goldcrestkeel/edge/Loop.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrestkeel {

/** How a connection to a server ended. */
enum class ConnectionEnd
{
  /** Nothing listens at the address. */
  Refused,
  /** It ended before the first byte of the request was written. */
  NotSent,
  /** It ended after the first byte of the request was written. */
  Broken,
  /** The bytes received are no complete answer. */
  Malformed,
  /** The server closed it, or sent bytes that nobody asked for, while no
   *  request was open. */
  Idle,
};

/** HTTP/1.1 connection to a server with one request at a time. */
class ClientConnection
{
public:
  /** Every call is the last thing that the connection does in a round, so that
   *  the connection may be destroyed in it; except Accepts() and Sent(). */
  class Owner
  {
  public:
    virtual ~Owner() = default;
    virtual void Connected(ClientConnection& aConnection) = 0;
    /** The first byte of the request has been written. */
    virtual void Sent(ClientConnection& aConnection) = 0;
    /** False for an answer to another request; it is skipped. */
    virtual bool Accepts(ClientConnection& aConnection,
                         const ResponseMessage& aAnswer) = 0;
    virtual void Answered(ClientConnection& aConnection,
                          ResponseMessage&& aAnswer) = 0;
    virtual void Ended(ClientConnection& aConnection, ConnectionEnd aEnd) = 0;
  };

  /** Begins to connect. aOwner must outlive the connection. A failure is
   *  reported later. */
  ClientConnection(Loop& aLoop, const sockaddr_in& aAddress, Owner& aOwner);

  /** Sends a request now or once the connection stands. */
  void Send(std::string aBytes, bool aHead);
  /** Takes back a request of which nothing was sent. */
  void Unsend();
  /** Ends the connection without a call. Whoever gives it up destroys it only
   *  later, and events that are due already must not reach the owner. */
  void Close();

  bool IsConnected() const { return m_connected; }
  bool HasRequest() const { return m_reader != nullptr; }
  bool WasSent() const { return m_written > 0; }
  /** Another request may follow. False while one is open. */
  bool IsReusable() const;

private:
  void OnReadable();
  void OnWritable();
  void FinishConnecting();
  /** False if the connection has ended. */
  bool Write();
  void End(ConnectionEnd aEnd);
  /** The answer is complete. */
  void Deliver();

  Loop& m_loop;
  Owner& m_owner;
  Socket m_socket;
  bool m_connected = false;
  bool m_broken = false;
  bool m_keepAlive = true;
  std::string m_out;
  std::size_t m_written = 0;
  std::string m_in;
  std::unique_ptr<ResponseParser> m_reader;
  bool m_head = false;
  std::optional<Watch> m_readable;
  std::optional<Watch> m_writable;
  std::optional<LoopTimer> m_failTimer;
};

} // namespace goldcrestkeel
