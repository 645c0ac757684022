#pragma once

#include "RequestBytes.h"
#include "Socket.h"

#include <goldcrestkeel/edge/HttpMessage.h>
#include <goldcrestkeel/edge/Loop.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrestkeel {

/** Why a connection to a server ended. */
enum class ConnectionEnd
{
  /** The connection was refused or could not be started. */
  Refused,
  /** It ended before the first byte of the request was written. */
  NotSent,
  /** It ended after the first byte of the request was written. */
  Broken,
  /** The bytes received are not a complete, valid response. */
  Malformed,
  /** The response exceeds the limit of its size. */
  TooLarge,
  /** The server closed it or sent unsolicited bytes while no request was open.
   */
  Idle,
};

/** Whether a response belongs to the open request of its connection. */
enum class AnswerMatch
{
  Belongs,
  /** It belongs to another request, and is skipped. */
  Other,
  /** It cannot be attributed; it ends the connection as malformed. */
  Unknown,
};

/** Client side of an HTTP/1.1 connection, with one request at a time. */
class ClientConnection
{
public:
  /** Each callback except Connected(), MatchRequest() and Sent() is the last
   *  action of the connection in an event, so that the owner may destroy the
   *  connection in it. */
  class Owner
  {
  public:
    virtual ~Owner() = default;
    /** The connection has been established. */
    virtual void Connected(ClientConnection& aConnection) = 0;
    /** The first byte of the request has been written. */
    virtual void Sent(ClientConnection& aConnection) = 0;
    /** Tells whether aAnswer belongs to the request. */
    virtual AnswerMatch MatchRequest(ClientConnection& aConnection,
                                     const ResponseMessage& aAnswer) = 0;
    /** A part of the response was received; HeldBytes() has grown. */
    virtual void Received(ClientConnection&) {}
    /** The response to the request was received. */
    virtual void Answered(ClientConnection& aConnection,
                          ResponseMessage&& aAnswer) = 0;
    /** The connection has ended, and with it an open request. */
    virtual void Ended(ClientConnection& aConnection, ConnectionEnd aEnd) = 0;
  };

  /** Starts to connect. aLoop and aOwner must outlive the connection. A failure
   *  is reported by Ended() after the constructor has returned.
   *  aMaxAnswerBytes: the largest body of a response that is accepted. */
  ClientConnection(Loop& aLoop,
                   const sockaddr_in& aAddress,
                   std::uint64_t aMaxAnswerBytes,
                   Owner& aOwner);

  /** Sends a request, once connected. aHead: it is a HEAD request. No other
   *  request may be open. */
  void Send(RequestBytes aRequest, bool aHead);
  /** Cancels the open request; allowed only if no byte of it was sent. */
  void CancelUnsent();
  /** Closes the connection without a callback. The owner may destroy it later:
   *  events that are already due are not reported any more. */
  void Close();

  bool IsConnected() const { return m_connected; }
  /** A request is open. */
  bool HasRequest() const { return m_parser != nullptr; }
  /** At least one byte of the request was written. */
  bool WasSent() const { return m_written > 0; }
  /** Bytes received of a response that is not complete. */
  std::size_t HeldBytes() const { return m_heldBytes; }
  /** The connection can be used for another request. False while one is open.
   */
  bool IsReusable() const;

private:
  void OnReadable();
  void OnWritable();
  void OnConnectFinished();
  /** Writes pending bytes; false if the connection has failed. */
  bool Write();
  void End(ConnectionEnd aEnd);
  /** Frees the input buffer if it is empty and large. */
  void ReleaseInput();
  /** Passes a complete response to the owner, or skips it if it belongs to
   *  another request. */
  void Deliver();

  Loop& m_loop;
  std::uint64_t m_maxAnswerBytes;
  Owner& m_owner;
  Socket m_socket;
  bool m_connected = false;
  bool m_broken = false;
  bool m_keepAlive = true;
  /** Released once it is written. */
  RequestBytes m_output;
  /** Bytes written of the request. */
  std::size_t m_written = 0;
  std::string m_input;
  std::size_t m_heldBytes = 0;
  std::unique_ptr<ResponseParser> m_parser;
  bool m_head = false;
  std::optional<Watch> m_readable;
  std::optional<Watch> m_writable;
  std::optional<LoopTimer> m_failTimer;
};

} // namespace goldcrestkeel
