#pragma once

#include <goldcrestkeel/core/CrashGuard.h>
#include <goldcrestkeel/edge/SharedFeed.h>
#include <goldcrestkeel/forward/HostRecord.h>
#include <goldcrestkeel/forward/ReplicaRecord.h>
#include <goldcrestkeel/forward/RoutingTable.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace goldcrestkeel {

/** Receives the routing table, the replicas and the entry hosts. */
class TopologyListener
{
public:
  virtual ~TopologyListener() = default;
  /** A routing table was read. Takes effect only if its version is higher than
   *  that of the table in force. */
  virtual void OnRoutingTable(std::shared_ptr<const RoutingTable> aTable) = 0;
  /** A replica was added or its record changed. aChangedAfter: this happened
   *  after that time; not set if that is unknown. */
  virtual void OnReplica(const ReplicaRecord& aReplica,
                         std::optional<TimePoint> aChangedAfter) = 0;
  /** A replica is no longer listed. */
  virtual void OnReplicaRemoved(const std::string& aId,
                                std::optional<TimePoint> aChangedAfter) = 0;
  /** Every replica listed at present has been reported by OnReplica(). */
  virtual void OnReplicaListComplete() = 0;
  /** The live entry hosts, including this one once it is listed. */
  virtual void OnHosts(const std::vector<HostRecord>& aHosts) = 0;
  /** The data centres that are evacuated, at each change. */
  virtual void OnEvacuations(const std::set<std::string>& aDataCentres) = 0;
  /** Requests that are in quarantine, as KeepQuarantine() has kept them. */
  virtual void OnQuarantines(const std::vector<SuspectReport>& aReports) = 0;
};

/** Longest delay until a change is seen: the store reports nothing to watches
 *  while it compacts its history; some time for requests in flight is added. */
inline constexpr Duration kMaxWatchDelay{ 1350000 };

/** Interval between two reads of the configuration, which must be applied
 *  within aLimit. Changes within an interval are read with one call, because
 *  each call of the store has a cost. */
constexpr Duration
ConfigurationPollInterval(Duration aLimit)
{
  return aLimit / 8;
}

/** Interval between two reads of the replicas, which must not receive requests
 *  for longer than aLimit after they began to drain. */
constexpr Duration
ReplicaPollInterval(Duration aLimit)
{
  return std::max(aLimit / 4, (aLimit - kMaxWatchDelay) * 3 / 4);
}

/** Source of the routing table, the replicas and the entry hosts. */
class TopologySource
{
public:
  virtual ~TopologySource() = default;
  /** Starts to report to aListener, which must outlive the source. */
  virtual void Start(TopologyListener& aListener) = 0;
  /** Reads changes of replicas soon, without waiting for the rest of the poll
   *  interval: a request needs a service that has no listed replica. May be
   *  called for each request. */
  virtual void RefreshReplicas() = 0;
  /** Keeps a request in quarantine where hosts that start later find it. */
  virtual void KeepQuarantine(const SuspectReport& aReport) = 0;
  /** Feeds that other hosts may ask for; they live as long as the source. */
  virtual std::vector<SharedFeed*> Feeds() = 0;
};

} // namespace goldcrestkeel
