#include "ReadinessServer.h"

#include <utility>

namespace goldcrestkeel {

ReadinessServer::ReadinessServer(Loop& aLoop,
                                 const std::string& aAddress,
                                 std::function<bool()> aIsReady)
  : m_loop(aLoop)
  , m_isReady(std::move(aIsReady))
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
ReadinessServer::Accept()
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
ReadinessServer::OnRequest(CallerSession& aSession, WireRequest&&)
{
  CallerReply reply;
  reply.m_status = m_isReady() ? 200 : 503;
  aSession.Reply(std::move(reply));
}

void
ReadinessServer::OnEnd(CallerSession& aSession)
{
  const auto found = m_sessions.find(aSession.Id());
  if (found != m_sessions.end()) {
    m_ended.push_back(std::move(found->second));
    m_sessions.erase(found);
    m_cleanUp.SetAfter(Duration(0));
  }
}

} // namespace goldcrestkeel
