#include "StatusServer.h"

#include <limits>
#include <utility>

namespace goldcrestkeel {

StatusServer::StatusServer(Loop& aLoop,
                           const std::string& aAddress,
                           std::function<CallerReply()> aAnswer)
  : m_answer(std::move(aAnswer))
  , m_sessions(aLoop,
               SessionPeer::Caller,
               m_nextSession,
               aAddress,
               std::numeric_limits<std::size_t>::max(),
               *this)
{
}

void
StatusServer::OnRequest(CallerSession& aSession, RequestMessage&&)
{
  aSession.Reply(m_answer());
}

} // namespace goldcrestkeel
