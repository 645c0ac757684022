#pragma once

#include "DecayingRate.h"
#include "PooledReplica.h"
#include "RegionFilter.h"
#include "RepeatBudget.h"

#include <goldcrestkeel/Admission.h>
#include <goldcrestkeel/core/Random.h>
#include <goldcrestkeel/forward/Forwarder.h>
#include <goldcrestkeel/forward/HostRecord.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace goldcrestkeel {

/** Weight of one request in the rate of those that miss a shard, and the time
 *  constant of its decay, in microseconds. */
inline constexpr double kMissedWeight = 0.06;
inline constexpr double kMissedTimeConstantUs = 2e6;

/** The replicas of one service. */
struct BackendGroup
{
  std::string m_name;
  std::vector<std::shared_ptr<PooledReplica>> m_replicas;
  /** Sub-requests that wait for a replica with capacity. */
  FairQueue m_waiting;
  LoadShedder m_shedder;
  /** Used only if the table has tenants. */
  DispatchPacer m_pacer;
  RepeatBudget m_budget;
  /** When a replica has last answered a request that it had run. */
  TimePoint m_servedAt = TimePoint::min();
  /** Moving average of the response time over all replicas, in microseconds. */
  double m_latency = 0;
  /** As RoutedService::m_warmupTime; replicas start slowly if it is set. */
  Duration m_warmupTime{ 0 };
  /** No other host is asked for this service before this time. */
  TimePoint m_noFallbackUntil;
  /** The same for requests that are bound to regions. */
  TimePoint m_noBoundFallbackUntil;
  /** Rate of gathered requests that were answered without this shard although
   *  they had queried it. */
  DecayingRate m_missRate{ kMissedWeight, kMissedTimeConstantUs };

  BackendGroup(std::string aName, const ForwarderOptions& aOptions)
    : m_name(std::move(aName))
    , m_budget(aOptions.m_repeatRatio, 0, aOptions.m_repeatWindow)
  {
  }
};

/** Permits of replicas with request limits. */
struct NextPermits
{
  /** Time until the first one. */
  Duration m_first{ 0 };
  /** Permits a second, over all replicas. */
  double m_rate = 0;
};

/** Tracks the replicas of each service and selects among them. */
class BackendPool
{
public:
  BackendPool(const ForwarderOptions& aOptions, RandomSource& aRandom);

  void SetTable(TimePoint aNow, const RoutingTable& aTable);
  void SetLiveHosts(std::uint32_t aHosts);
  std::uint32_t LiveHosts() const { return m_liveHosts; }
  /** Sets the entry hosts. Hosts in the data centre of a replica get most of
   *  its connections. */
  void SetHosts(const std::vector<HostRecord>& aHosts);
  /** Sets the data centres whose replicas get no requests. */
  void SetEvacuated(const std::set<std::string>& aDataCentres);

  /** Whether another replica that aMatches has answered since. */
  bool HasOtherAnswer(
    const ReplicaRecord& aReplica,
    TimePoint aTime,
    const std::function<bool(const ReplicaRecord&)>& aMatches) const;
  std::size_t ReplicaCount() const { return m_byId.size(); }
  bool IsKnown(const std::string& aId) const { return m_byId.contains(aId); }
  /** Up to aCount random replicas that are listed, do not drain, do not want
   *  rest and are not evacuated, from as many data centres as possible. */
  std::vector<ReplicaRecord> Sample(TimePoint aNow, std::size_t aCount);
  std::string HealthPathOf(const std::string& aService) const;
  /** Counts a connection to a replica that has brought an answer, or the end of
   *  one. */
  void CountConnection(const std::string& aId, bool aOpened);
  /** Whether replicas are used by their open connections only. */
  void SetOpenConnectionsOnly(bool aOnly);
  /** Ends the backoffs of all replicas. */
  void EndBackoffs(TimePoint aNow);

  /** Adds or updates a replica; see Forwarder::UpdateReplica(). */
  void Update(TimePoint aNow,
              const ReplicaRecord& aRecord,
              std::optional<TimePoint> aChangedAfter);
  /** The replica is no longer listed. */
  void Remove(TimePoint aNow,
              const std::string& aId,
              std::optional<TimePoint> aChangedAfter);

  /** Takes what aReplica says of itself in an answer; returns what is new. */
  std::optional<ReplicaNotice> UpdateNotices(
    TimePoint aNow,
    PooledReplica& aReplica,
    const ReplicaAnswer& aAnswer) const;

  /** Returns the group of a service and creates it on first use. The reference
   *  stays valid as long as the pool. */
  BackendGroup& Group(const std::string& aService);

  static ReplicaTier TierOf(TimePoint aNow, const PooledReplica& aReplica);
  /** The same without regard to a rest that the replica has asked for. */
  static ReplicaTier TierWithoutRest(TimePoint aNow,
                                     const PooledReplica& aReplica);

  // BackendPacing.cpp: warm-up limits and slow start.
  /** Receives each change of the pace of a replica. */
  using PaceObserver = std::function<void(const ReplicaPaceReport&)>;
  void SetPaceObserver(PaceObserver aObserver)
  {
    m_paceObserver = std::move(aObserver);
  }
  /** Adapts the pace of aReplica to an answer that took aLatency.
   *  aHasRecovered: it is the first one after aReplica failed. */
  void RecordPace(TimePoint aNow,
                  BackendGroup& aGroup,
                  PooledReplica& aReplica,
                  Duration aLatency,
                  const ReplicaAnswer& aAnswer,
                  bool aHasRecovered);
  /** aReplica has answered a health check after it had failed. */
  void RecordCheck(TimePoint aNow,
                   BackendGroup& aGroup,
                   PooledReplica& aReplica,
                   const ReplicaAnswer& aAnswer);
  /** aReplica has stated in an answer how long it stays cold. */
  void RecordWarmup(TimePoint aNow, const std::string& aId, Duration aLeft);
  /** Whether aGroup has a replica that aRegions allows, not in aExclude, that
   *  is Paced. */
  static bool HasPacedReplica(TimePoint aNow,
                              const BackendGroup& aGroup,
                              const std::vector<std::string>& aExclude,
                              const RegionFilter& aRegions);

  /** Selects the best replica of aGroup that aRegions allows, whose id is not
   * in aExclude and whose tier is not worse than aWorst; nullptr if there is
   * none.
   */
  std::shared_ptr<PooledReplica> Choose(
    TimePoint aNow,
    const BackendGroup& aGroup,
    const std::vector<std::string>& aExclude,
    ReplicaTier aWorst,
    const RegionFilter& aRegions);

  /** Whether the table has tenants. */
  bool HasTenants() const { return m_hasTenants; }
  /** What the usable replicas of aGroup can do for this host. */
  ServiceCapacity CapacityOf(TimePoint aNow, const BackendGroup& aGroup) const;

  /** Estimates the response time of a copy that is sent to aReplica now. */
  Duration ExpectedLatency(TimePoint aNow,
                           const BackendGroup& aGroup,
                           const PooledReplica& aReplica) const;

  /** Whether aGroup has a replica that aRegions allows, not in aExclude, that
   *  is not Unavailable. */
  static bool HasUsableReplica(TimePoint aNow,
                               const BackendGroup& aGroup,
                               const std::vector<std::string>& aExclude,
                               const RegionFilter& aRegions);

  /** Whether the replicas of aGroup that aRegions allows, without those in
   *  aExclude, would be usable but want no request from this host now. */
  static bool IsHeldByRest(TimePoint aNow,
                           const BackendGroup& aGroup,
                           const std::vector<std::string>& aExclude,
                           const RegionFilter& aRegions);

  /** The next permits of the replicas of aGroup that aRegions allows, if all
   *  that are usable have request limits that are used up. */
  static std::optional<NextPermits> PermitsOf(TimePoint aNow,
                                              const BackendGroup& aGroup,
                                              const RegionFilter& aRegions);

  /** Whether service discovery lists a non-draining replica of aGroup. */
  static bool HasListedReplica(const BackendGroup& aGroup);

  /** Updates the state of aReplica after an answer that took aLatency. */
  static void RecordAnswer(TimePoint aNow,
                           BackendGroup& aGroup,
                           PooledReplica& aReplica,
                           Duration aLatency,
                           const ReplicaAnswer& aAnswer);
  /** Probability with which a request that does not need aGroup should skip it;
   *  0 unless aGroup is overloaded. */
  static double SkipProbability(TimePoint aNow, const BackendGroup& aGroup);
  /** Sends no new copies to aReplica for aFirst, doubled with each consecutive
   *  call up to a limit until the replica answers. */
  static void BackOff(TimePoint aNow, PooledReplica& aReplica, Duration aFirst);

private:
  /** Cost of choosing aReplica; the lowest is best. */
  double Score(TimePoint aNow,
               const BackendGroup& aGroup,
               const PooledReplica& aReplica);
  /** Updates the shares of this host in what the replicas take. */
  void UpdateShares(BackendGroup& aGroup) const;
  /** Fraction of what aReplica takes from all hosts together that is for this
   *  host. */
  double ShareOf(const PooledReplica& aReplica) const;
  /** This host's share of the aConnections that aReplica accepts. */
  std::uint32_t MaxInFlightFor(const PooledReplica& aReplica,
                               std::uint32_t aConnections) const;
  /** The same of a warm-up limit. */
  double WarmupShareOf(const PooledReplica& aReplica) const;
  /** Takes the warm-up of the record of aReplica. aStarted: it has started
   *  during traffic. */
  void UpdateWarmup(TimePoint aNow,
                    const BackendGroup& aGroup,
                    PooledReplica& aReplica,
                    bool aStarted);
  /** Takes until when aReplica is cold. */
  void SetColdUntil(TimePoint aNow,
                    const BackendGroup& aGroup,
                    PooledReplica& aReplica,
                    TimePoint aUntil,
                    std::string_view aReason);
  void BeginSlowStart(TimePoint aNow,
                      const BackendGroup& aGroup,
                      PooledReplica& aReplica,
                      std::string_view aReason);
  SlowStartPlan SlowStartPlanOf(const BackendGroup& aGroup,
                                const PooledReplica& aReplica) const;
  void ReportPace(TimePoint aNow,
                  const BackendGroup& aGroup,
                  PooledReplica& aReplica,
                  ReplicaPace aPace,
                  std::string_view aReason) const;
  /** Until when a replica that left at aChangedAfter or later may be used. */
  TimePoint UsableUntil(TimePoint aNow,
                        std::optional<TimePoint> aChangedAfter) const;
  /** Limits the use of a replica that has said that it leaves. */
  void LimitLeaving(PooledReplica& aReplica) const;
  void EraseReplica(TimePoint aNow,
                    const std::shared_ptr<PooledReplica>& aReplica);
  /** Erases unlisted replicas whose drain grace period has ended. */
  void EraseExpired(TimePoint aNow);

  ForwarderOptions m_options;
  RandomSource& m_random;
  std::uint32_t m_liveHosts = 1;
  /** Number of lists of hosts so far. */
  std::uint32_t m_hostLists = 0;
  PaceObserver m_paceObserver;
  bool m_openConnectionsOnly = false;
  bool m_hasTenants = false;
  std::map<std::string, std::uint32_t> m_hostsPerDataCentre;
  std::set<std::string> m_evacuated;
  /** By name. */
  std::unordered_map<std::string, RoutedService> m_services;
  std::map<std::string, std::unique_ptr<BackendGroup>> m_groups;
  std::unordered_map<std::string, std::shared_ptr<PooledReplica>> m_byId;

  /** Notices of an instance that is not listed any more. Its entry may have
   *  lapsed in an outage of the store, and return. */
  struct FormerReplica
  {
    WallTime m_startedAt = 0;
    ReplicaNotices m_notices;
    TimePoint m_erasedAt;
  };
  std::unordered_map<std::string, FormerReplica> m_former;
};

} // namespace goldcrestkeel
