#include "SessionSet.h"

#include <cerrno>
#include <tuple>
#include <utility>

namespace goldcrestkeel {

namespace {

/** Connections that are accepted in one turn of the event loop. */
constexpr int kMaxAcceptsAtOnce = 64;
/** Time until connections are accepted again after no session could be closed
 *  for a new one. */
constexpr Duration kAcceptPause{ 100000 };

} // namespace

SessionSet::SessionSet(Loop& aLoop,
                       SessionPeer aPeer,
                       SessionId& aNextId,
                       const std::string& aAddress,
                       std::size_t aLimit,
                       SessionMemory& aMemory,
                       CallerSession::Owner& aOwner)
  : m_loop(aLoop)
  , m_peer(aPeer)
  , m_nextId(aNextId)
  , m_limit(aLimit)
  , m_memory(aMemory)
  , m_owner(aOwner)
  , m_listener(ListenOn(aAddress))
  , m_acceptWatch(aLoop,
                  m_listener.Get(),
                  Watch::On::Readable,
                  [this] { Accept(); })
  , m_resumeTimer(aLoop,
                  [this] {
                    if (IsAccepting()) {
                      m_acceptWatch.Start();
                    }
                  })
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
  m_resumeTimer.Cancel();
  m_listener.Close();
}

void
SessionSet::Accept()
{
  for (int i = 0; i < kMaxAcceptsAtOnce; ++i) {
    const bool full = m_sessions.size() >= m_limit ||
                      (m_memory.m_isFull && m_memory.m_isFull());
    if (full && !FindLongestWaiting()) {
      PauseAccepting();
      return;
    }
    Socket socket = AcceptFrom(m_listener);
    if (!socket.IsOpen()) {
      if (errno == EMFILE || errno == ENFILE) {
        // The listener stays readable, so that accepting at once again would
        // keep the processor busy.
        CallerSession* const waiting = FindLongestWaiting();
        if (waiting) {
          waiting->CloseFor(RefusalReason::ConnectionsFull);
        }
        PauseAccepting();
      }
      return;
    }
    if (full) {
      FindLongestWaiting()->CloseFor(RefusalReason::ConnectionsFull);
    }
    const SessionId id = m_nextId++;
    m_sessions.emplace(
      id,
      std::make_unique<CallerSession>(
        m_loop, id, m_peer, std::move(socket), m_memory, m_owner));
  }
}

CallerSession*
SessionSet::FindLongestWaiting() const
{
  CallerSession* found = nullptr;
  std::tuple<bool, TimePoint> rank;
  for (const auto& [id, session] : m_sessions) {
    const auto since = session->WaitingSince();
    if (!since) {
      continue;
    }
    const std::tuple<bool, TimePoint> other(session->HasReceivedRequest(),
                                            *since);
    if (!found || other < rank) {
      found = session.get();
      rank = other;
    }
  }
  return found;
}

void
SessionSet::PauseAccepting()
{
  m_acceptWatch.Stop();
  m_resumeTimer.SetAfter(kAcceptPause);
}

} // namespace goldcrestkeel
