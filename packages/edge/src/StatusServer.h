#pragma once

#include "SessionSet.h"

#include <functional>
#include <string>

namespace goldcrestkeel {

/** Answers every request at its address with what a function returns. */
class StatusServer : public CallerSession::Owner
{
public:
  /** aLoop must outlive the server. Throws std::system_error if the address
   *  cannot be used. */
  StatusServer(Loop& aLoop,
               const std::string& aAddress,
               std::function<CallerReply()> aAnswer);

  CallerLimits Limits(SessionPeer) const override { return {}; }
  bool IsStopping() const override { return false; }
  void OnRequest(CallerSession& aSession, RequestMessage&& aRequest) override;
  void OnGone(CallerSession&) override {}
  void OnEnd(CallerSession& aSession) override { m_sessions.Remove(aSession); }

private:
  std::function<CallerReply()> m_answer;
  SessionId m_nextSession = 1;
  SessionSet m_sessions;
};

} // namespace goldcrestkeel
