#pragma once

#include "CallerSession.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestkeel {

/** Answers every GET at its address with 200 while the host is ready, else
 *  with 503. */
class ReadinessServer : public CallerSession::Owner
{
public:
  /** aLoop must outlive the server. Throws std::system_error if the address
   *  cannot be used. */
  ReadinessServer(Loop& aLoop,
                  const std::string& aAddress,
                  std::function<bool()> aIsReady);

  CallerLimits Limits() const override { return {}; }
  bool IsStopping() const override { return false; }
  void OnRequest(CallerSession& aSession, WireRequest&& aRequest) override;
  void OnGone(CallerSession&) override {}
  void OnEnd(CallerSession& aSession) override;

private:
  void Accept();

  Loop& m_loop;
  std::function<bool()> m_isReady;
  Socket m_listener;
  Watch m_acceptable;
  SessionId m_nextSession = 1;
  std::unordered_map<SessionId, std::unique_ptr<CallerSession>> m_sessions;
  std::vector<std::unique_ptr<CallerSession>> m_ended;
  LoopTimer m_cleanUp;
};

} // namespace goldcrestkeel
