#pragma once

#include "CallerSession.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

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

  CallerLimits Limits() const override { return {}; }
  bool IsStopping() const override { return false; }
  void OnRequest(CallerSession& aSession, WireRequest&& aRequest) override;
  void OnGone(CallerSession&) override {}
  void OnEnd(CallerSession& aSession) override;

private:
  void Accept();

  Loop& m_loop;
  std::function<CallerReply()> m_answer;
  Socket m_listener;
  Watch m_acceptable;
  SessionId m_nextSession = 1;
  std::unordered_map<SessionId, std::unique_ptr<CallerSession>> m_sessions;
  std::vector<std::unique_ptr<CallerSession>> m_ended;
  LoopTimer m_cleanUp;
};

} // namespace goldcrestkeel
