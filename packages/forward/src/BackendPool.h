#pragma once

#include "FadingShare.h"
#include "RepeatBudget.h"

#include <goldcrestkeel/core/Random.h>
#include <goldcrestkeel/forward/Forwarder.h>
#include <goldcrestkeel/forward/HostRecord.h>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestkeel {

/** Weight of one copy in the share of those that fail, and the time in which
 *  that share is forgotten; a replica that failed is then tried again. */
inline constexpr double kFailureWeight = 0.15;
inline constexpr double kFailureMemoryUs = 3e6;
/** The same for gathered requests that miss a shard. */
inline constexpr double kMissedWeight = 0.06;
inline constexpr double kMissedMemoryUs = 2e6;

/** How usable a replica is now; a lower value is preferred. */
enum class ReplicaTier
{
  Sound,
  /** A copy on it is late, or it failed lately. */
  Doubtful,
  /** It leaves; used only while no other replica is left. */
  Leaving,
  /** It holds as many copies as this host may send it. */
  Full,
  /** It is gone, unreachable or silent. */
  Unusable,
};

/** How far a replica is from this host. */
enum class Distance
{
  SameDataCentre,
  SameRegion,
  OtherRegion,
};

/** What this host knows of one replica. */
struct PooledReplica
{
  ReplicaRecord m_record;
  Distance m_distance = Distance::OtherRegion;

  /** Copies sent or waiting for a connection, abandoned ones included. */
  std::uint32_t m_inFlight = 0;
  /** The largest m_inFlight that this host may reach: its part of the
   *  connections that the replica accepts. */
  std::uint32_t m_share = 1;
  /** Of those in flight, copies that have taken longer than usual. */
  std::uint32_t m_late = 0;

  /** Set once the replica drains or is no longer listed: how long it may be
   *  used if there is no other. */
  std::optional<TimePoint> m_usableUntil;
  bool m_listed = true;
  /** The address holds another replica, or another start of this one. */
  bool m_gone = false;

  /** Moving average of the time that the replica needs for a request that does
   *  not wait there, the way included, in microseconds; 0 before the first
   *  sample. */
  double m_latency = 0;
  TimePoint m_latencyAt;
  /** Copies that failed. */
  FadingShare m_failures{ kFailureWeight, kFailureMemoryUs };

  LoadReport m_load;
  /** Copies of this host that m_load includes. */
  std::uint32_t m_ownAtReport = 0;
  TimePoint m_loadAt;

  /** The replica has refused a request for lack of room. */
  TimePoint m_fullUntil;

  TimePoint m_warmAt;

  /** A silent replica gets one copy at a time until it answers. */
  bool m_silent = false;
  TimePoint m_blockedUntil;
  std::uint32_t m_blocks = 0;
  TimePoint m_heardAt;
};

/** A leg of a request that waits for a replica with room. */
struct WaitingLeg
{
  std::uint32_t m_priority = 0;
  TimePoint m_deadline;
  ForwardId m_request = 0;
  std::uint32_t m_leg = 0;
};

/** The replicas of one service. */
struct BackendGroup
{
  std::string m_name;
  std::vector<std::shared_ptr<PooledReplica>> m_replicas;
  /** Highest priority first, then the earliest deadline. */
  std::list<WaitingLeg> m_waiting;
  RepeatBudget m_budget;
  /** Moving average over all replicas, in microseconds. */
  double m_latency = 0;
  /** Gathered requests that left without this shard although they had asked
   *  it. */
  FadingShare m_missed{ kMissedWeight, kMissedMemoryUs };

  BackendGroup(std::string aName, const ForwarderOptions& aOptions)
    : m_name(std::move(aName))
    , m_budget(aOptions.m_repeatRatio, 0, aOptions.m_repeatWindow)
  {
  }
};

/** Replicas by service, what is known of them, and the choice among them. */
class BackendPool
{
public:
  BackendPool(const ForwarderOptions& aOptions, RandomSource& aRandom);

  void SetTable(const RoutingTable& aTable);
  void SetLiveHosts(std::uint32_t aHosts);
  /** Hosts by data centre; those of a replica's own data centre get most of its
   *  connections. */
  void SetHosts(const std::vector<HostRecord>& aHosts);

  void Update(TimePoint aNow, const ReplicaRecord& aRecord);
  /** The replica is not listed any more. */
  void Remove(TimePoint aNow, const std::string& aId);

  /** Made on first use; stays where it is. */
  BackendGroup& Group(const std::string& aService);

  static ReplicaTier TierOf(TimePoint aNow, const PooledReplica& aReplica);

  /** Best replica of aGroup whose id is not in aExclude and that is not worse
   *  than aWorst; nullptr if there is none. */
  std::shared_ptr<PooledReplica> Choose(
    TimePoint aNow,
    const BackendGroup& aGroup,
    const std::vector<std::string>& aExclude,
    ReplicaTier aWorst);

  /** Time until the answer to a copy that is sent to aReplica now. */
  Duration Expected(TimePoint aNow,
                    const BackendGroup& aGroup,
                    const PooledReplica& aReplica) const;

  /** Whether a replica of aGroup could take a request now or soon. */
  static bool IsServed(TimePoint aNow,
                       const BackendGroup& aGroup,
                       const std::vector<std::string>& aExclude);

  /** Whether discovery lists a replica of aGroup that does not leave. */
  static bool IsListed(const BackendGroup& aGroup);

  /** A copy was answered after aLatency. */
  static void RecordAnswer(TimePoint aNow,
                           BackendGroup& aGroup,
                           PooledReplica& aReplica,
                           Duration aLatency,
                           const ReplicaAnswer& aAnswer);
  /** Probability with which a request that can do without aGroup should not ask
   *  it: 0 unless aGroup has more requests than it can answer in time. */
  static double SkipShare(TimePoint aNow, const BackendGroup& aGroup);
  /** Keeps new copies away for a time that grows while nothing is heard. */
  static void Block(TimePoint aNow, PooledReplica& aReplica, Duration aFirst);

private:
  double Score(TimePoint aNow,
               const BackendGroup& aGroup,
               const PooledReplica& aReplica);
  Distance DistanceTo(const std::string& aDataCentre) const;
  void UpdateShares(BackendGroup& aGroup) const;
  std::uint32_t ShareOf(const PooledReplica& aReplica,
                        std::uint32_t aConnections) const;
  void Forget(const std::shared_ptr<PooledReplica>& aReplica);
  void ForgetGone(TimePoint aNow);

  ForwarderOptions m_options;
  RandomSource& m_random;
  std::uint32_t m_liveHosts = 1;
  std::map<std::string, std::uint32_t> m_hostsIn;
  std::unordered_map<std::string, std::uint32_t> m_connections;
  std::map<std::string, std::unique_ptr<BackendGroup>> m_groups;
  std::unordered_map<std::string, std::shared_ptr<PooledReplica>> m_byId;
};

} // namespace goldcrestkeel
