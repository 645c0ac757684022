#include "SessionSet.h"

#include <utility>

namespace goldcrestkeel {

SessionSet::SessionSet(Loop& aLoop,
                       SessionPeer aPeer,
                       SessionId& aNextId,
                       const std::string& aAddress,
                       std::size_t aLimit,
                       CallerSession::Owner& aOwner)
  : m_loop(aLoop)
  , m_peer(aPeer)
  , m_nextId(aNextId)
  , m_limit(aLimit)
  , m_owner(aOwner)
  , m_listener(ListenOn(aAddress))
  , m_acceptWatch(aLoop,
                  m_listener.Get(),
                  Watch::On::Readable,
                  [this] { Accept(); })
  , m_cleanUpTimer(aLoop, [this] { m_ended.clear(); })
{
  m_acceptWatch.Start();
}

CallerSession*
SessionSet::Find(SessionId aId) const
{
  const auto found = m_sessions.find(aId);
  return found == m_sessions.end() ? nullptr : found->second.get();
}

std::vector<CallerSession*>
SessionSet::List() const
{
  std::vector<CallerSession*> sessions;
  for (const auto& [id, session] : m_sessions) {
    sessions.push_back(session.get());
  }
  return sessions;
}

void
SessionSet::Remove(CallerSession& aSession)
{
  const auto found = m_sessions.find(aSession.Id());
  if (found == m_sessions.end()) {
    return;
  }
  m_ended.push_back(std::move(found->second));
  m_sessions.erase(found);
  m_cleanUpTimer.SetAfter(Duration(0));
  if (IsAccepting()) {
    m_acceptWatch.Start();
  }
}

void
SessionSet::StopAccepting()
{
  m_acceptWatch.Stop();
  m_listener.Close();
}

void
SessionSet::Accept()
{
  while (m_sessions.size() < m_limit) {
    Socket socket = AcceptFrom(m_listener);
    if (!socket.IsOpen()) {
      return;
    }
    const SessionId id = m_nextId++;
    m_sessions.emplace(id,
                       std::make_unique<CallerSession>(
                         m_loop, id, m_peer, std::move(socket), m_owner));
  }
  // At the limit. Remove() resumes accepting when a session ends.
  m_acceptWatch.Stop();
}

} // namespace goldcrestkeel
