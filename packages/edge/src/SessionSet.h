#pragma once

#include "CallerSession.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestkeel {

/** Accepts the connections at one address and owns their sessions. */
class SessionSet
{
public:
  /** aLoop, aNextId and aOwner must outlive the set; aNextId numbers the
   *  sessions of all sets. At most aLimit sessions are open. Throws
   *  std::system_error if the address cannot be used. */
  SessionSet(Loop& aLoop,
             SessionPeer aPeer,
             SessionId& aNextId,
             const std::string& aAddress,
             std::size_t aLimit,
             CallerSession::Owner& aOwner);

  /** nullptr if the session has ended. */
  CallerSession* Find(SessionId aId) const;
  /** Sessions at this time; any of them may end while they are looked at. */
  std::vector<CallerSession*> List() const;
  std::size_t size() const { return m_sessions.size(); }

  /** To be called from the owner's OnEnd(). Destroys the session later. */
  void Remove(CallerSession& aSession);
  void StopAccepting();
  bool IsAccepting() const { return m_listener.IsOpen(); }

private:
  void Accept();

  Loop& m_loop;
  SessionPeer m_peer;
  SessionId& m_nextId;
  std::size_t m_limit;
  CallerSession::Owner& m_owner;
  Socket m_listener;
  Watch m_acceptable;
  std::unordered_map<SessionId, std::unique_ptr<CallerSession>> m_sessions;
  std::vector<std::unique_ptr<CallerSession>> m_ended;
  LoopTimer m_cleanUp;
};

} // namespace goldcrestkeel
