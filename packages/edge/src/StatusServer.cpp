#include "StatusServer.h"

#include <utility>

namespace goldcrestkeel {

namespace {

/** Interval of the checks of sessions for exceeded time limits. */
constexpr Duration kSessionCheckInterval{ 1000000 };

} // namespace

StatusServer::StatusServer(Loop& aLoop,
                           const std::string& aAddress,
                           std::size_t aLimit,
                           SessionMemory& aMemory,
                           std::function<CallerReply()> aAnswer,
                           RefusalCallback aRefused)
  : m_loop(aLoop)
  , m_answer(std::move(aAnswer))
  , m_refused(std::move(aRefused))
  , m_sessions(aLoop,
               SessionPeer::Caller,
               m_nextSession,
               aAddress,
               aLimit,
               aMemory,
               *this)
  , m_timer(aLoop, [this] { CheckSessions(); })
{
  m_timer.SetAfter(kSessionCheckInterval);
}

void
StatusServer::CheckSessions()
{
  for (CallerSession* session : m_sessions.List()) {
    session->CheckTimeouts(m_loop.Now());
  }
  m_timer.SetAfter(kSessionCheckInterval);
}

void
StatusServer::OnRequest(CallerSession& aSession, RequestMessage&&)
{
  aSession.Reply(m_answer());
}

} // namespace goldcrestkeel
