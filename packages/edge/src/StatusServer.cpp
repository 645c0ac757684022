#include "StatusServer.h"

#include <utility>

namespace goldcrestkeel {

StatusServer::StatusServer(Loop& aLoop,
                           const std::string& aAddress,
                           std::function<CallerReply()> aAnswer)
  : m_loop(aLoop)
  , m_answer(std::move(aAnswer))
  , m_listener(ListenOn(aAddress))
  , m_acceptable(aLoop,
                 m_listener.Get(),
                 Watch::On::Readable,
                 [this] { Accept(); })
  , m_cleanUp(aLoop, [this] { m_ended.clear(); })
{
  m_acceptable.Start();
}

void
StatusServer::Accept()
{
  while (true) {
    Socket socket = AcceptFrom(m_listener);
    if (!socket.IsOpen()) {
      return;
    }
    const SessionId id = m_nextSession++;
    m_sessions.emplace(
      id,
      std::make_unique<CallerSession>(m_loop, id, std::move(socket), *this));
  }
}

void
StatusServer::OnRequest(CallerSession& aSession, WireRequest&&)
{
  aSession.Reply(m_answer());
}

void
StatusServer::OnEnd(CallerSession& aSession)
{
  const auto found = m_sessions.find(aSession.Id());
  if (found != m_sessions.end()) {
    m_ended.push_back(std::move(found->second));
    m_sessions.erase(found);
    m_cleanUp.SetAfter(Duration(0));
  }
}

} // namespace goldcrestkeel
