#pragma once

#include "BackendPool.h"

#include <goldcrestkeel/forward/HostRecord.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace goldcrestkeel {

/** Chooses the entry hosts that gather some of the shards in place of this one.
 *  The shards that only another data centre of the region holds are asked by a
 *  host there: one request and one answer cross between the data centres
 * instead of one for each shard, and each replica is connected to fewer hosts.
 */
class RelayPool
{
public:
  explicit RelayPool(const ForwarderOptions& aOptions);

  void SetHosts(TimePoint aNow, const std::vector<HostRecord>& aHosts);

  /** Shards that another host is to gather. */
  struct Part
  {
    BackendGroup* m_group = nullptr;
    std::shared_ptr<PooledReplica> m_host;
    /** Positions in the list of shards. */
    std::vector<std::uint32_t> m_shards;
  };
  /** Parts of aShards for other hosts; this host asks the rest itself. */
  std::vector<Part> Divide(TimePoint aNow,
                           const std::vector<std::string>& aShards,
                           BackendPool& aPool) const;

private:
  /** The hosts of one data centre and their preference for this one. */
  struct Hosts
  {
    BackendGroup m_group;
    /** By host id; the greatest is used first. */
    std::map<std::string, double> m_preference;
  };

  Hosts& HostsIn(const std::string& aDataCentre);
  double PreferenceOf(const HostRecord& aHost) const;
  bool IsNear(const std::string& aDataCentre) const;
  /** Nothing if all hosts there are unreachable or silent. */
  static std::shared_ptr<PooledReplica> Choose(TimePoint aNow,
                                               const Hosts& aHosts);

  ForwarderOptions m_options;
  /** Groups stay where they are: copies in flight refer to them. */
  std::map<std::string, std::unique_ptr<Hosts>> m_byDataCentre;
};

} // namespace goldcrestkeel
