#pragma once

#include <goldcrestkeel/forward/HostRecord.h>
#include <goldcrestkeel/forward/ReplicaRecord.h>
#include <goldcrestkeel/forward/RoutingTable.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace goldcrestkeel {

/** Receives what is known of routes, replicas and entry hosts. */
class TopologyListener
{
public:
  virtual ~TopologyListener() = default;
  /** Versions only grow. */
  virtual void OnRoutingTable(std::shared_ptr<const RoutingTable> aTable) = 0;
  /** A replica is new or has changed. */
  virtual void OnReplica(const ReplicaRecord& aReplica) = 0;
  virtual void OnReplicaRemoved(const std::string& aId) = 0;
  /** All replicas that are listed now have been reported once. */
  virtual void OnReplicaListComplete() = 0;
  /** Live entry hosts, also this one once it is listed. */
  virtual void OnHosts(const std::vector<HostRecord>& aHosts) = 0;
};

/** Longest time for which watches of the store report nothing while it forgets
 *  its history, and some time for requests that are on their way. */
inline constexpr Duration kMaxWatchDelay{ 1350000 };

/** Pause between two reads of configurations that must be in force within
 *  aLimit: what changes meanwhile is read with one call, and each call is paid
 *  for. */
constexpr Duration
ConfigurationPollInterval(Duration aLimit)
{
  return aLimit / 8;
}

/** The same for replicas, of which those that leave must not get requests after
 *  aLimit. The rest of the limit is left to their use as a last resort. */
constexpr Duration
ReplicaPollInterval(Duration aLimit)
{
  return std::max(aLimit / 4, (aLimit - kMaxWatchDelay) * 3 / 4);
}

/** Where routes, replicas and entry hosts are learned. */
class TopologySource
{
public:
  virtual ~TopologySource() = default;
  /** aListener must outlive the source. */
  virtual void Start(TopologyListener& aListener) = 0;
  /** A service without a listed replica is asked for: changes of replicas are
   *  read without further pause. May be called for each request. */
  virtual void RefreshReplicas() = 0;
};

} // namespace goldcrestkeel
