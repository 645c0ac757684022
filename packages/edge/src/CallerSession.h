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

/** Number of a connection of a caller; never 0 and never reused. */
using SessionId = std::uint64_t;

/** Answer to a caller, before framing. */
struct CallerReply
{
  int m_status = 200;
  /** Without those of one connection only. */
  std::vector<HeaderField> m_fields;
  std::string m_body;
};

/** Who is at the other end of a session. */
enum class SessionPeer
{
  Caller,
  /** Another entry host, which hands requests over. */
  Host,
};

/** One connection of a caller, with one request at a time. */
class CallerSession
{
public:
  class Owner
  {
  public:
    virtual ~Owner() = default;
    virtual CallerLimits Limits(SessionPeer aPeer) const = 0;
    /** Answers ask the caller to close the connection. */
    virtual bool IsStopping() const = 0;
    /** A whole request has been read. Reply() follows, possibly at once. */
    virtual void OnRequest(CallerSession& aSession,
                           RequestMessage&& aRequest) = 0;
    /** The caller has gone away before the answer. */
    virtual void OnGone(CallerSession& aSession) = 0;
    /** The session is to be destroyed, but not before its call returns. */
    virtual void OnEnd(CallerSession& aSession) = 0;
  };

  CallerSession(Loop& aLoop,
                SessionId aId,
                SessionPeer aPeer,
                Socket aSocket,
                Owner& aOwner);

  SessionId Id() const { return m_id; }
  SessionPeer Peer() const { return m_peer; }
  void Reply(CallerReply&& aReply);
  /** Closes what is idle or late. */
  void CheckTime(TimePoint aNow);
  /** No request is open or partly read. */
  bool IsIdle() const;
  void Close();

private:
  enum class State
  {
    /** Waits for a request or reads one. */
    Reading,
    /** A request is with the owner. */
    Serving,
    /** The last answer is written; waits for the caller to close. */
    Lingering,
    Ended,
  };

  void OnReadable();
  void OnWritable();
  void ParseNext();
  void Refuse(int aStatus);
  void Write();
  void FinishWriting();

  Loop& m_loop;
  SessionId m_id;
  SessionPeer m_peer;
  Socket m_socket;
  Owner& m_owner;
  State m_state = State::Reading;
  std::string m_in;
  std::string m_out;
  std::size_t m_written = 0;
  bool m_closeAfter = false;
  bool m_head = false;
  bool m_parsing = false;
  std::unique_ptr<RequestParser> m_reader;
  /** Start of the state, or of the request that is being read. */
  TimePoint m_since;
  Watch m_readable;
  Watch m_writable;
};

} // namespace goldcrestkeel
