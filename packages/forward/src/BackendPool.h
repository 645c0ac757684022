#pragma once

#include "DecayingRate.h"
#include "RegionFilter.h"
#include "RepeatBudget.h"
#include "ReplicaNotices.h"
#include "RequestLimit.h"

#include <goldcrestkeel/core/Random.h>
#include <goldcrestkeel/forward/Forwarder.h>
#include <goldcrestkeel/forward/HostRecord.h>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestkeel {

/** Weight of one copy in the failure rate of a replica, and the time constant
 *  of its decay, in microseconds; a failed replica is then tried again. */
inline constexpr double kFailureWeight = 0.15;
inline constexpr double kFailureTimeConstantUs = 3e6;
/** The same for the rate of gathered requests that miss a shard. */
inline constexpr double kMissedWeight = 0.06;
inline constexpr double kMissedTimeConstantUs = 2e6;

/** Availability of a replica; lower values are preferred. */
enum class ReplicaTier
{
  Healthy,
  /** It has a late copy, is being probed or has failed recently. */
  Degraded,
  /** It drains or is no longer listed; used only if there is no other. */
  Draining,
  /** This host has reached its in-flight limit or its share of the request
   *  limit, or the replica reports or signalled overload. */
  Full,
  /** It was replaced, is unreachable or unresponsive, wants no request for a
   *  time, or its drain grace period has ended. */
  Unavailable,
};

/** Network distance of a replica from this host. */
enum class Distance
{
  SameDataCentre,
  SameRegion,
  OtherRegion,
};

/** Distance of aDataCentre from the host with aOptions. */
Distance
DistanceBetween(const ForwarderOptions& aOptions,
                const std::string& aDataCentre);

/** Region of aDataCentre; empty if it belongs to none. */
std::string
RegionOf(const ForwarderOptions& aOptions, const std::string& aDataCentre);

/** State of a replica, or of an entry host in RelayPool. */
struct PooledReplica
{
  ReplicaRecord m_record;
  Distance m_distance = Distance::OtherRegion;
  /** Empty if its data centre belongs to none. */
  std::string m_region;

  /** Copies sent or waiting for a connection, including abandoned ones. */
  std::uint32_t m_inFlight = 0;
  /** Limit of m_inFlight: this host's share of the connections that the replica
   *  accepts. */
  std::uint32_t m_maxInFlight = 1;
  /** Open connections of this host that have brought an answer. */
  std::uint32_t m_openConnections = 0;
  /** New connections bring no answer; see ContactState::Limited. */
  bool m_openConnectionsOnly = false;
  /** Copies in flight that have exceeded the late threshold. */
  std::uint32_t m_lateCopies = 0;

  /** Set if the replica drains or is no longer listed: until when it may be
   *  used if there is no other. */
  std::optional<TimePoint> m_usableUntil;
  bool m_listed = true;
  /** Another replica, or another instance of this one, has its address. */
  bool m_replaced = false;
  /** Its data centre is evacuated. */
  bool m_evacuated = false;

  /** Moving average of the response time without queueing at the replica,
   *  including the network, in microseconds; 0 before the first sample. */
  double m_latency = 0;
  TimePoint m_latencyAt;
  /** Failure rate of copies. */
  DecayingRate m_failureRate{ kFailureWeight, kFailureTimeConstantUs };

  LoadReport m_load;
  /** m_inFlight when m_load was received; m_load includes these copies. */
  std::uint32_t m_inFlightAtReport = 0;
  TimePoint m_loadReportedAt;

  ReplicaNotices m_notices;

  /** As the last answer of the replica named it. */
  RequestLimit m_requestLimit;
  /** Copies sent since m_limitReportedAt, when the limit was last logged. */
  std::uint32_t m_copiesSinceReport = 0;
  TimePoint m_limitReportedAt;

  /** Until when the replica counts as full after it refused a request. */
  TimePoint m_fullUntil;

  TimePoint m_warmupEndsAt;

  /** Copies to the replica got no answer in time. It gets one copy at a time,
   *  as a probe, until it answers. */
  bool m_unresponsive = false;
  TimePoint m_backoffUntil;
  /** Consecutive backoffs; 0 after an answer. */
  std::uint32_t m_backoffs = 0;
  /** Time of the last answer; before the first one, time of discovery. */
  TimePoint m_lastAnswerAt;
  bool m_hasAnswered = false;
};

/** A sub-request that waits for a replica with capacity. */
struct QueuedSubRequest
{
  std::uint32_t m_priority = 0;
  TimePoint m_deadline;
  ForwardId m_request = 0;
  /** Index of the sub-request in the request. */
  std::uint32_t m_subRequest = 0;
};

/** The replicas of one service. */
struct BackendGroup
{
  std::string m_name;
  std::vector<std::shared_ptr<PooledReplica>> m_replicas;
  /** Ordered by priority, then by deadline. */
  std::list<QueuedSubRequest> m_waiting;
  RepeatBudget m_budget;
  /** When a replica has last answered a request that it had run. */
  TimePoint m_servedAt = TimePoint::min();
  /** Moving average of the response time over all replicas, in microseconds. */
  double m_latency = 0;
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

  void SetTable(const RoutingTable& aTable);
  void SetLiveHosts(std::uint32_t aHosts);
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
  /** Up to aCount random replicas that are listed, do not drain and do not want
   *  rest, from as many data centres as possible. */
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
  bool m_openConnectionsOnly = false;
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
