#pragma once

#include "Socket.h"

#include <goldcrestkeel/edge/HttpMessage.h>
#include <goldcrestkeel/edge/Loop.h>
#include <goldcrestkeel/forward/RoutingTable.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace goldcrestkeel {

/** Id of an accepted connection; never 0 and never reused. */
using SessionId = std::uint64_t;

/** Response to a caller, before the message framing is added. */
struct CallerReply
{
  int m_status = 200;
  /** End-to-end fields, without those of the framing. */
  std::vector<HeaderField> m_fields;
  std::string m_body;
};

/** Kind of the peer of a session. */
enum class SessionPeer
{
  Caller,
  /** Another entry host, which relays requests. */
  Host,
};

/** Server side of one HTTP/1.1 connection; serves one request at a time. */
class CallerSession
{
public:
  /** Must outlive the session. */
  class Owner
  {
  public:
    virtual ~Owner() = default;
    virtual CallerLimits Limits(SessionPeer aPeer) const = 0;
    /** True during shutdown: responses ask the peer to close the connection. */
    virtual bool IsStopping() const = 0;
    /** A complete request was received. The owner calls Reply() later or within
     *  this call. */
    virtual void OnRequest(CallerSession& aSession,
                           RequestMessage&& aRequest) = 0;
    /** The connection ended before the request was answered. */
    virtual void OnPeerDisconnected(CallerSession& aSession) = 0;
    /** The session has ended. The owner must destroy it, but only after this
     *  call has returned. */
    virtual void OnSessionEnded(CallerSession& aSession) = 0;
  };

  CallerSession(Loop& aLoop,
                SessionId aId,
                SessionPeer aPeer,
                Socket aSocket,
                Owner& aOwner);

  SessionId Id() const { return m_id; }
  SessionPeer Peer() const { return m_peer; }
  /** Answers the open request; ignored if none is open. */
  void Reply(CallerReply&& aReply);
  /** Closes or answers with 408 if the session has exceeded a time limit. */
  void CheckTimeouts(TimePoint aNow);
  /** No request is open or partly received, and all responses are written. */
  bool IsIdle() const;
  /** Closes the connection; the owner is notified within the call. */
  void Close();

private:
  enum class State
  {
    /** Waits for a request or receives one. */
    Reading,
    /** The owner is handling a request. */
    Serving,
    /** The last response is written; waits for the peer to close. */
    Lingering,
    Ended,
  };

  void OnReadable();
  void OnWritable();
  void ParseRequests();
  void RejectRequest(int aStatus);
  void Write();
  void FinishWriting();

  Loop& m_loop;
  SessionId m_id;
  SessionPeer m_peer;
  Socket m_socket;
  Owner& m_owner;
  State m_state = State::Reading;
  std::string m_input;
  std::string m_output;
  std::size_t m_written = 0;
  bool m_closeAfterReply = false;
  bool m_head = false;
  bool m_parsing = false;
  std::unique_ptr<RequestParser> m_parser;
  /** When the current state or, while a request is received, that request
   *  began. */
  TimePoint m_stateSince;
  Watch m_readable;
  Watch m_writable;
};

} // namespace goldcrestkeel
