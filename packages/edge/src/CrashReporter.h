#pragma once

#include "CrashMessages.h"

#include <goldcrestkeel/edge/DecisionLog.h>
#include <goldcrestkeel/edge/HttpCaller.h>
#include <goldcrestkeel/edge/Loop.h>
#include <goldcrestkeel/forward/HostRecord.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace goldcrestkeel {

/** Sends what this host knows of requests that crash replicas to other entry
 *  hosts. */
class CrashReporter
{
public:
  /** Called with what another host replies. */
  using OnReply = std::function<void(const CrashMessage&)>;

  /** aLoop and aLog must outlive the object. aHostId is this host. */
  CrashReporter(Loop& aLoop,
                DecisionLog& aLog,
                std::string aHostId,
                OnReply aOnReply);
  ~CrashReporter();
  CrashReporter(const CrashReporter&) = delete;
  CrashReporter& operator=(const CrashReporter&) = delete;

  void SetHosts(const std::vector<HostRecord>& aHosts);
  /** Tells the hosts that count the crashes of this fingerprint. */
  void Report(std::uint64_t aFingerprint, const CrashMessage& aMessage);
  /** Tells all hosts. */
  void Announce(const CrashMessage& aMessage);

  /** Ids of the hosts that count the crashes of a fingerprint, in order. Every
   *  host computes the same ones. */
  static std::vector<std::string> CountingHosts(
    const std::vector<HostRecord>& aHosts,
    std::uint64_t aFingerprint);

private:
  void Send(const HostRecord& aHost, const CrashMessage& aMessage);
  void OnAnswer(const std::string& aHost, const HttpCallResult& aResult);

  Loop& m_loop;
  DecisionLog& m_log;
  std::string m_hostId;
  OnReply m_onReply;
  std::vector<HostRecord> m_hosts;
  /** One client for each message; they are released together. */
  std::vector<std::unique_ptr<HttpCaller>> m_callers;
  LoopTimer m_releaseTimer;
};

} // namespace goldcrestkeel
