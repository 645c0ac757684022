#pragma once

#include <goldcrestkeel/Admission.h>
#include <goldcrestkeel/core/Random.h>
#include <goldcrestkeel/testing/EventQueue.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace goldcrestkeel::testing {

/** Many hosts that admit requests of many tenants, and the network between
 *  them, in virtual time. */
class RateLimitFleet
{
public:
  struct TenantLoad
  {
    std::string m_name;
    RateLimit m_limit;
    /** Requests a second, and the hosts that receive them. */
    double m_rate = 0;
    std::vector<std::size_t> m_hosts;
    /** When requests were admitted. */
    std::vector<TimePoint> m_admitted{};
    /** Arrivals, refused ones, and those that one bucket for all hosts would
     *  have refused. */
    std::uint64_t m_arrived = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_refusedByLimit = 0;
    TokenBucket m_ideal{ TimePoint(), 0, 0 };
  };

  RateLimitFleet(std::size_t aHosts, std::size_t aTenants, unsigned aSeed);
  ~RateLimitFleet();

  TimePoint Now() const { return m_events.Now(); }
  void Run(Duration aTime);
  void At(Duration aDelay, std::function<void()> aAction);

  /** Index of the host with a rank for a tenant. */
  std::size_t OwnerOf(std::size_t aTenant, std::size_t aRank = 0) const;
  void Pause(std::size_t aHost, Duration aTime);
  /** Connections to the host are refused; its callers go to other hosts. */
  void Kill(std::size_t aHost);
  void Restart(std::size_t aHost);
  std::size_t AddHost(double aCores);
  /** Hosts that aHost knows; all of them by default. */
  void SetList(std::size_t aHost, const std::vector<std::size_t>& aListed);
  void SetListEverywhere(const std::vector<std::size_t>& aListed);
  void SetLimit(std::size_t aTenant, RateLimit aLimit);

  /** Forgets what was counted. */
  void ResetCounts();
  /** Most requests of a tenant in 5 s, as a part of what the bound allows. */
  double UsedBound(const TenantLoad& aTenant, const RateLimit& aLimit) const;
  double LargestUsedBound() const;
  /** Part of all requests that were refused although one bucket for all hosts
   *  would have admitted them. */
  double RefusedBelowLimit() const;
  std::uint64_t Messages() const { return m_messages; }

  std::vector<TenantLoad> m_tenants;
  /** True if messages between two hosts are lost. */
  std::function<bool(std::size_t, std::size_t)> m_isCut;
  double m_lossRatio = 0;
  Duration m_extraDelay{ 0 };

private:
  class Host;
  friend class Host;
  void Arrive(std::size_t aTenant);
  std::size_t HostFor(const TenantLoad& aTenant);
  Duration DelayBetween(std::size_t aOne, std::size_t aOther);
  bool IsLost(std::size_t aOne, std::size_t aOther);
  std::map<std::string, RateLimit> Limits() const;
  std::vector<OwnerCandidate> Records(
    const std::vector<std::size_t>& aListed) const;

  std::unique_ptr<RandomSource> m_random;
  std::vector<OwnerCandidate> m_records;
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::uint64_t m_messages = 0;
  std::uint64_t m_nextInstance = 1;
  EventQueue m_events{ TimePoint(std::chrono::seconds(100)) };
};

} // namespace goldcrestkeel::testing
