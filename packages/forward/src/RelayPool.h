#pragma once

#include "BackendPool.h"

#include <goldcrestkeel/forward/HostRecord.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace goldcrestkeel {

/** Selects entry hosts that gather some of the shards on behalf of this one.
 *  Shards whose replicas are in another data centre of the region, and not in
 *  this one, are queried by a host there: one request and one answer cross
 *  between the data centres instead of one for each shard, and each replica has
 *  connections from fewer hosts. */
class RelayPool
{
public:
  explicit RelayPool(const ForwarderOptions& aOptions);

  void SetHosts(TimePoint aNow, const std::vector<HostRecord>& aHosts);

  /** Shards to be gathered by another host. */
  struct Assignment
  {
    BackendGroup* m_group = nullptr;
    std::shared_ptr<PooledReplica> m_host;
    /** Ascending indexes into the list of shards. */
    std::vector<std::uint32_t> m_shards;
  };
  /** Assigns some of aShards to other hosts that aRegions allows; this host
   *  queries the rest. */
  std::vector<Assignment> AssignShards(TimePoint aNow,
                                       const std::vector<std::string>& aShards,
                                       BackendPool& aPool,
                                       const RegionFilter& aRegions) const;

  /** Whether any other host that aRegions allows takes requests of this one. */
  bool HasHosts(const RegionFilter& aRegions) const;
  /** Chooses a host that aRegions allows to serve requests while this one
   *  reaches no replica, without those whose ids are in aExclude; its m_shards
   *  are empty, and its m_host is nullptr if there is none. Spreads the
   * requests over a few hosts that have served such requests lately. */
  Assignment ChooseFallback(TimePoint aNow,
                            const std::vector<std::string>& aExclude,
                            RandomSource& aRandom,
                            const RegionFilter& aRegions) const;
  /** A host of the data centre does not take such requests at the moment. */
  void HostDeclined(TimePoint aNow, const std::string& aDataCentre);

private:
  /** The hosts of a data centre and how strongly this host prefers each. */
  struct Hosts
  {
    BackendGroup m_group;
    /** Rendezvous weight by host id; the greatest is used first. */
    std::map<std::string, double> m_preference;
    /** When a host last declined to serve; the epoch if none has. */
    TimePoint m_declinedAt;
  };

  Hosts& HostsIn(const std::string& aDataCentre);
  double PreferenceOf(const HostRecord& aHost) const;
  /** Returns nullptr if no host there is available. */
  static std::shared_ptr<PooledReplica> Choose(TimePoint aNow,
                                               const Hosts& aHosts);

  ForwarderOptions m_options;
  /** Entries must not move: copies in flight point to the groups. */
  std::map<std::string, std::unique_ptr<Hosts>> m_byDataCentre;
};

} // namespace goldcrestkeel
