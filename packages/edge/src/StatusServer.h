#pragma once

#include "SessionSet.h"

#include <functional>
#include <string>

namespace goldcrestkeel {

/** HTTP server that answers every request at its address with the result of a
 *  function. */
class StatusServer : public CallerSession::Owner
{
public:
  /** aLoop must outlive the server. Throws std::runtime_error if aAddress is
   *  not of the form "IP:port", and std::system_error if it cannot be listened
   *  on. */
  StatusServer(Loop& aLoop,
               const std::string& aAddress,
               std::function<CallerReply()> aAnswer);

  CallerLimits Limits(SessionPeer) const override { return {}; }
  bool IsStopping() const override { return false; }
  void OnRequest(CallerSession& aSession, RequestMessage&& aRequest) override;
  void OnPeerDisconnected(CallerSession&) override {}
  void OnSessionEnded(CallerSession& aSession) override
  {
    m_sessions.Remove(aSession);
  }

private:
  std::function<CallerReply()> m_answer;
  SessionId m_nextSession = 1;
  SessionSet m_sessions;
};

} // namespace goldcrestkeel
