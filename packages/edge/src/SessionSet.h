#pragma once

#include "CallerSession.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestkeel {

/** Listens at one address and owns the sessions of the accepted connections. */
class SessionSet
{
public:
  /** aLoop, aNextId and aOwner must outlive the set; aNextId is the counter
   *  that all sets take their session ids from. aMemory must outlive it, too.
   *  At most aLimit sessions are open, or fewer while
   *  the process has no descriptors left. For a further connection, the session
   * is closed that has sent no complete request for the longest time, first
   * among those that have never sent one; if all are being served, the
   * connection waits in the listen queue. Throws std::runtime_error if aAddress
   * is not of the form "IP:port", and std::system_error if it cannot be
   * listened on. */
  SessionSet(Loop& aLoop,
             SessionPeer aPeer,
             SessionId& aNextId,
             const std::string& aAddress,
             std::size_t aLimit,
             SessionMemory& aMemory,
             CallerSession::Owner& aOwner);

  /** The session with this id, or nullptr if it has ended. */
  CallerSession* Find(SessionId aId) const;
  /** Snapshot of the sessions. The pointers stay valid if sessions end during
   *  the iteration, until the next iteration of the event loop. */
  std::vector<CallerSession*> List() const;
  std::size_t size() const { return m_sessions.size(); }

  /** Must be called by the owner in OnSessionEnded(). The session is destroyed
   *  in the next iteration of the event loop. */
  void Remove(CallerSession& aSession);
  /** Closes the listening socket; open sessions stay. */
  void StopAccepting();
  bool IsAccepting() const { return m_listener.IsOpen(); }

private:
  void Accept();
  /** The session to close for a new connection, or nullptr. */
  CallerSession* FindLongestWaiting() const;
  /** Stops accepting for a short time, or until a session ends. */
  void PauseAccepting();

  Loop& m_loop;
  SessionPeer m_peer;
  SessionId& m_nextId;
  std::size_t m_limit;
  SessionMemory& m_memory;
  CallerSession::Owner& m_owner;
  Socket m_listener;
  Watch m_acceptWatch;
  LoopTimer m_resumeTimer;
  std::unordered_map<SessionId, std::unique_ptr<CallerSession>> m_sessions;
  std::vector<std::unique_ptr<CallerSession>> m_ended;
  LoopTimer m_cleanUpTimer;
};

} // namespace goldcrestkeel
