#pragma once

#include "SessionSet.h"

#include <cstddef>
#include <functional>
#include <string>

namespace goldcrestkeel {

/** HTTP server that answers every request at its address with the result of a
 *  function. */
class StatusServer : public CallerSession::Owner
{
public:
  using RefusalCallback = std::function<void(const SessionRefusal&)>;

  /** aLoop and aMemory must outlive the server. aLimit: number of connections
   *  that are open at most. Throws std::runtime_error if aAddress is
   *  not of the form "IP:port", and std::system_error if it cannot be listened
   *  on. */
  StatusServer(Loop& aLoop,
               const std::string& aAddress,
               std::size_t aLimit,
               SessionMemory& aMemory,
               std::function<CallerReply()> aAnswer,
               RefusalCallback aRefused);

  CallerLimits Limits(SessionPeer) const override { return {}; }
  bool IsStopping() const override { return false; }
  void OnRequest(CallerSession& aSession, RequestMessage&& aRequest) override;
  void OnRefused(CallerSession&, const SessionRefusal& aRefusal) override
  {
    m_refused(aRefusal);
  }
  void OnPeerDisconnected(CallerSession&) override {}
  void OnSessionEnded(CallerSession& aSession) override
  {
    m_sessions.Remove(aSession);
  }

  /** Open connections. */
  std::size_t ConnectionCount() const { return m_sessions.size(); }

private:
  void CheckSessions();

  Loop& m_loop;
  std::function<CallerReply()> m_answer;
  RefusalCallback m_refused;
  SessionId m_nextSession = 1;
  SessionSet m_sessions;
  LoopTimer m_timer;
};

} // namespace goldcrestkeel
