#pragma once

#include "RateLimitMessages.h"

#include <goldcrestkeel/core/Random.h>
#include <goldcrestkeel/edge/DecisionLog.h>
#include <goldcrestkeel/edge/HttpCaller.h>
#include <goldcrestkeel/edge/Loop.h>
#include <goldcrestkeel/forward/HostRecord.h>
#include <goldcrestkeel/forward/RoutingTable.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestkeel {

/** Rate limits of tenants over all entry hosts: carries the messages between
 *  RateLimitClient and RateLimitOwner of the hosts. Idle while no tenant has a
 *  limit. */
class RateLimits
  : private RateLimitOwner::Sink
  , private RateLimitClient::Sink
{
public:
  using OnDecidedFunction =
    std::function<void(RateLimitClient::RequestId, const AdmissionResult&)>;

  /** aLoop and aLog must outlive the object. aSelf: this host; its address is
   *  empty if it accepts no messages. aOnDecided is called for each request
   * that was waiting. */
  RateLimits(Loop& aLoop,
             DecisionLog& aLog,
             RandomSource& aRandom,
             OwnerCandidate aSelf,
             Duration aGrantValidity,
             OnDecidedFunction aOnDecided);
  ~RateLimits() override;
  RateLimits(const RateLimits&) = delete;
  RateLimits& operator=(const RateLimits&) = delete;

  void SetHosts(const std::vector<HostRecord>& aHosts);
  void SetTenants(const std::vector<Tenant>& aTenants);

  /** Decides on a request of a caller; if it must wait, by aDeadline at the
   *  latest. */
  AdmissionResult Admit(const std::string& aTenant,
                        RateLimitClient::RequestId aRequest,
                        TimePoint aDeadline);
  /** The caller of a waiting request has left. */
  void Cancel(const std::string& aTenant, RateLimitClient::RequestId aRequest);
  /** A request that was admitted is refused and has not run. */
  void GiveBack(const std::string& aTenant);

  /** Body of the reply to a message of another host. Throws std::exception with
   *  the reason if aBody is not valid. */
  std::string OnMessage(std::string_view aBody);

  const RateLimitClientCounters& ClientCounters() const
  {
    return m_client.Counters();
  }
  const RateLimitOwnerCounters& OwnerCounters() const
  {
    return m_owner.Counters();
  }

private:
  using OnResult =
    std::function<void(const std::string&, PeerOutcome, const TokenReply&)>;
  struct Peer
  {
    HttpCaller m_caller;
    std::size_t m_openCalls = 0;
  };

  // RateLimitOwner::Sink
  void Probe(const OwnerCandidate& aHost,
             const TokenMessage& aMessage) override;
  void LogOwner(const OwnerDecision& aDecision) override;
  // RateLimitClient::Sink
  void Send(const OwnerCandidate& aHost, const TokenMessage& aMessage) override;
  void OnDecided(RateLimitClient::RequestId aRequest,
                 const AdmissionResult& aResult) override;

  /** Hands replies and failures to the owner or the client of this host. */
  template<typename Receiver>
  OnResult DeliverTo(Receiver& aReceiver,
                     void (Receiver::*aOnFailure)(TimePoint,
                                                  const std::string&,
                                                  PeerOutcome));
  void Call(const OwnerCandidate& aHost,
            const TokenMessage& aMessage,
            const OnResult& aOnResult);
  void Start(const OwnerCandidate& aHost,
             const std::string& aBody,
             TimePoint aEndsAt,
             bool aMayRepeat,
             const OnResult& aOnResult);
  void OnCallEnded(const OwnerCandidate& aHost,
                   const HttpCallResult& aResult,
                   const OnResult& aOnResult);
  void ArmTimer();

  Loop& m_loop;
  DecisionLog& m_log;
  OnDecidedFunction m_onDecided;
  bool m_active = false;
  RateLimitOwner m_owner;
  RateLimitClient m_client;
  /** Persistent connections, by address. */
  std::map<std::string, std::unique_ptr<Peer>> m_peers;
  LoopTimer m_timer;
  std::optional<TimePoint> m_timerAt;
};

} // namespace goldcrestkeel
