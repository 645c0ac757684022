#pragma once

#include "MemoryBudget.h"
#include "Socket.h"

#include <goldcrestkeel/edge/EdgeSettings.h>
#include <goldcrestkeel/edge/HttpMessage.h>
#include <goldcrestkeel/edge/Loop.h>
#include <goldcrestkeel/forward/RoutingTable.h>

#include <cstdint>
#include <functional>
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

/** Why a request was refused before it was handed to the owner, or a session
 *  closed. */
enum class RefusalReason
{
  HeaderTooLarge,
  /** The body or its chunk framing exceeds its limit. */
  BodyTooLarge,
  Malformed,
  /** The request has not arrived in time. */
  Timeout,
  /** All sessions together hold more memory than their limit. */
  MemoryFull,
  /** The peer has read nothing of its answer for too long. */
  AnswerUnread,
  /** The session made room for a new connection. */
  ConnectionsFull,
};

/** Name of a reason in the log and the metrics. */
std::string_view
NameOf(RefusalReason aReason);

/** What a session refused or why it was closed. */
struct SessionRefusal
{
  RefusalReason m_reason = RefusalReason::Malformed;
  /** HTTP status of the answer; 0 if the session was closed without one. */
  int m_status = 0;
  /** Memory that the session held, in bytes. */
  std::size_t m_bytes = 0;
};

/** Memory shared by sessions, and their limits. */
struct SessionMemory
{
  explicit SessionMemory(const SessionLimits& aLimits)
    : m_limits(aLimits)
    , m_budget(aLimits.m_totalBytes)
  {
  }

  SessionLimits m_limits;
  MemoryBudget m_budget;
  /** Whether the process has no descriptors left for further connections; not
   *  set: never. */
  std::function<bool()> m_isFull;
};

/** Server side of one HTTP/1.1 connection; serves one request at a time. No
 *  request is read or served while an earlier answer is unread. */
class CallerSession : private MemoryBudget::Holder
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
    /** A request was refused or the session is being closed. */
    virtual void OnRefused(CallerSession&, const SessionRefusal&) {}
    /** The connection ended before the request was answered. */
    virtual void OnPeerDisconnected(CallerSession& aSession) = 0;
    /** The session has ended. The owner must destroy it, but only after this
     *  call has returned. */
    virtual void OnSessionEnded(CallerSession& aSession) = 0;
  };

  /** aLoop, aMemory and aOwner must outlive the session. */
  CallerSession(Loop& aLoop,
                SessionId aId,
                SessionPeer aPeer,
                Socket aSocket,
                SessionMemory& aMemory,
                Owner& aOwner);

  SessionId Id() const { return m_id; }
  SessionPeer Peer() const { return m_peer; }
  /** Answers the open request; ignored if none is open. */
  void Reply(CallerReply&& aReply);
  /** Closes or answers with 408 if the session has exceeded a time limit. */
  void CheckTimeouts(TimePoint aNow);
  /** No request is open or partly received, and all responses are written. */
  bool IsIdle() const;
  /** Since when the peer has sent no complete request, if none is being served
   *  and no answer being written. */
  std::optional<TimePoint> WaitingSince() const;
  /** A request was received completely. */
  bool HasReceivedRequest() const { return m_receivedRequest; }
  /** Closes the connection; the owner is notified within the call. */
  void Close();
  /** Reports the reason, and closes the connection without an answer. */
  void CloseFor(RefusalReason aReason);

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
  bool HasUnreadAnswer() const { return m_written < m_output.size(); }
  /** Limit of the bytes that are read ahead of the request being served. */
  std::size_t ReadAheadLimit() const;
  /** Largest number of bytes to read at once. */
  std::size_t ReadLimit() const;
  void ParseRequests();
  void RejectRequest(RefusalReason aReason, int aStatus);
  /** Updates the reservation, and makes the sessions keep to their limit. */
  void AccountMemory();
  bool CanRelease() const override;
  void Release() override;
  /** Reads further input, or none while an answer is unread or enough was read
   *  ahead. */
  void UpdateReading();
  /** Continues with the next request after an answer was written. */
  void Resume();
  void Write();
  void FinishWriting();

  Loop& m_loop;
  SessionId m_id;
  SessionPeer m_peer;
  Socket m_socket;
  SessionLimits m_limits;
  MemoryBudget& m_budget;
  Owner& m_owner;
  State m_state = State::Reading;
  std::string m_input;
  std::string m_output;
  std::size_t m_written = 0;
  bool m_closeAfterReply = false;
  bool m_head = false;
  bool m_parsing = false;
  bool m_receivedRequest = false;
  /** Memory of the request that the owner handles. */
  std::size_t m_requestBytes = 0;
  /** When bytes of the answer were last written. */
  TimePoint m_writtenAt;
  std::unique_ptr<RequestParser> m_parser;
  /** When the current state or, while a request is received, that request
   *  began. */
  TimePoint m_stateSince;
  Watch m_readable;
  Watch m_writable;
  MemoryBudget::Reservation m_reservation;
};

} // namespace goldcrestkeel
