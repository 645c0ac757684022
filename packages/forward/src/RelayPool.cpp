#include "RelayPool.h"

#include <goldcrestkeel/core/StableHash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <limits>
#include <optional>
#include <set>
#include <tuple>

namespace goldcrestkeel {

namespace {

/** Fewer shards are queried directly: a relay costs about as much as two
 *  sub-requests. */
constexpr std::size_t kMinShardsPerRelay = 4;
/** Maximum number of concurrent relays from one host to another. */
constexpr std::uint32_t kMaxRelaysPerHost = 32;
/** An unresponsive host counts as healthy again after this time if it is still
 *  listed; entries of failed hosts expire after 30 s. */
constexpr Duration kUnresponsiveExpiry{ 20000000 };
/** Number of hosts that serve while this one reaches no replica, and the
 *  fraction of its requests with which further ones are looked for. */
constexpr std::size_t kFallbackHosts = 3;
constexpr double kExploreRatio = 0.1;
/** A host that has answered within this time is known to serve. */
constexpr Duration kServingTime{ 10000000 };
/** For this time after a host declined, hosts of other data centres are asked
 *  first: a cut usually affects a whole data centre. */
constexpr Duration kDeclinedTime{ 3000000 };

} // namespace

RelayPool::RelayPool(const ForwarderOptions& aOptions)
  : m_options(aOptions)
{
}

// Weighted rendezvous hashing: hosts with a higher CPU quota are preferred by
// more of the others, and the loss of a host only affects those that used it.
double
RelayPool::PreferenceOf(const HostRecord& aHost) const
{
  const std::uint64_t hash = RendezvousScore(m_options.m_hostId, aHost.m_id);
  const double unit =
    (static_cast<double>(hash) + 1) /
    (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2);
  return -std::max(aHost.m_cores, 1e-3) / std::log(unit);
}

RelayPool::Hosts&
RelayPool::HostsIn(const std::string& aDataCentre)
{
  std::unique_ptr<Hosts>& hosts = m_byDataCentre[aDataCentre];
  if (!hosts) {
    hosts = std::make_unique<Hosts>(
      Hosts{ BackendGroup(aDataCentre, m_options), {}, {} });
  }
  return *hosts;
}

void
RelayPool::SetHosts(TimePoint aNow, const std::vector<HostRecord>& aHosts)
{
  std::map<std::string, std::vector<std::shared_ptr<PooledReplica>>> listed;
  for (const HostRecord& host : aHosts) {
    if (host.m_relayAddress.empty() || host.m_id == m_options.m_hostId) {
      continue;
    }
    Hosts& hosts = HostsIn(host.m_dataCentre);
    hosts.m_preference[host.m_id] = PreferenceOf(host);
    const auto& current = hosts.m_group.m_replicas;
    const auto found =
      std::find_if(current.begin(), current.end(), [&](const auto& aOther) {
        return aOther->m_record.m_id == host.m_id &&
               aOther->m_record.m_address == host.m_relayAddress;
      });
    std::shared_ptr<PooledReplica> pooled;
    if (found != current.end()) {
      pooled = *found;
      if (aNow - pooled->m_backoffUntil > kUnresponsiveExpiry) {
        pooled->m_unresponsive = false;
        pooled->m_backoffs = 0;
      }
    } else {
      pooled = std::make_shared<PooledReplica>();
      pooled->m_record.m_id = host.m_id;
      pooled->m_record.m_address = host.m_relayAddress;
      pooled->m_record.m_dataCentre = host.m_dataCentre;
      pooled->m_distance = DistanceBetween(m_options, host.m_dataCentre);
      pooled->m_region = RegionOf(m_options, host.m_dataCentre);
      pooled->m_lastAnswerAt = aNow;
      pooled->m_maxInFlight = kMaxRelaysPerHost;
    }
    listed[host.m_dataCentre].push_back(std::move(pooled));
  }
  for (auto& [dataCentre, hosts] : m_byDataCentre) {
    hosts->m_group.m_replicas = std::move(listed[dataCentre]);
  }
}

std::shared_ptr<PooledReplica>
RelayPool::Choose(TimePoint aNow, const Hosts& aHosts)
{
  std::shared_ptr<PooledReplica> best;
  std::pair<ReplicaTier, double> bestRank;
  for (const auto& host : aHosts.m_group.m_replicas) {
    const ReplicaTier tier = BackendPool::TierOf(aNow, *host);
    const std::pair rank(tier, -aHosts.m_preference.at(host->m_record.m_id));
    if (tier <= ReplicaTier::Degraded && (!best || rank < bestRank)) {
      best = host;
      bestRank = rank;
    }
  }
  return best;
}

std::vector<RelayPool::Assignment>
RelayPool::AssignShards(TimePoint aNow,
                        const std::vector<std::string>& aShards,
                        BackendPool& aPool,
                        const RegionFilter& aRegions) const
{
  if (m_byDataCentre.empty()) {
    return {};
  }
  // Shards without a replica in this data centre, by the data centres that have
  // one. As only allowed replicas count, so do only hosts in allowed regions.
  std::map<std::string_view, std::vector<std::uint32_t>> byDataCentre;
  for (std::uint32_t shard = 0; shard < aShards.size(); ++shard) {
    std::set<std::string_view> dataCentres;
    for (const auto& replica : aPool.Group(aShards[shard]).m_replicas) {
      if (!replica->m_usableUntil && !replica->m_replaced &&
          !replica->m_evacuated && aRegions.Allows(replica->m_region)) {
        dataCentres.insert(replica->m_record.m_dataCentre);
      }
    }
    if (!dataCentres.contains(m_options.m_dataCentre)) {
      for (const std::string_view dataCentre : dataCentres) {
        byDataCentre[dataCentre].push_back(shard);
      }
    }
  }
  std::vector<Assignment> assignments;
  for (const auto& [dataCentre, hosts] : m_byDataCentre) {
    if (DistanceBetween(m_options, dataCentre) != Distance::SameRegion) {
      continue;
    }
    Assignment assignment{ &hosts->m_group, nullptr, byDataCentre[dataCentre] };
    // Skips shards that are already assigned.
    for (const Assignment& other : assignments) {
      std::erase_if(assignment.m_shards, [&](std::uint32_t aShard) {
        return std::binary_search(
          other.m_shards.begin(), other.m_shards.end(), aShard);
      });
    }
    if (assignment.m_shards.size() < kMinShardsPerRelay) {
      continue;
    }
    assignment.m_host = Choose(aNow, *hosts);
    if (assignment.m_host) {
      assignments.push_back(std::move(assignment));
    }
  }
  return assignments;
}

void
RelayPool::HostDeclined(TimePoint aNow, const std::string& aDataCentre)
{
  HostsIn(aDataCentre).m_declinedAt = aNow;
}

bool
RelayPool::HasHosts(const RegionFilter& aRegions) const
{
  return std::any_of(
    m_byDataCentre.begin(), m_byDataCentre.end(), [&](const auto& aEntry) {
      // All hosts of a data centre are in the same region.
      const auto& hosts = aEntry.second->m_group.m_replicas;
      return !hosts.empty() && aRegions.Allows(hosts.front()->m_region);
    });
}

RelayPool::Assignment
RelayPool::ChooseFallback(TimePoint aNow,
                          const std::vector<std::string>& aExclude,
                          RandomSource& aRandom,
                          const RegionFilter& aRegions) const
{
  using Rank = std::tuple<bool, Distance, double>;
  Assignment unknown;
  std::optional<Rank> unknownRank;
  // By falling preference.
  std::multimap<double, Assignment, std::greater<>> serving;
  for (const auto& [dataCentre, hosts] : m_byDataCentre) {
    for (const auto& host : hosts->m_group.m_replicas) {
      const std::string& id = host->m_record.m_id;
      if (BackendPool::TierOf(aNow, *host) > ReplicaTier::Degraded ||
          std::find(aExclude.begin(), aExclude.end(), id) != aExclude.end() ||
          !aRegions.Allows(host->m_region)) {
        continue;
      }
      const double preference = hosts->m_preference.at(id);
      const Assignment candidate{ &hosts->m_group, host, {} };
      if (host->m_latency > 0 && aNow - host->m_latencyAt < kServingTime) {
        serving.emplace(preference, candidate);
        continue;
      }
      const bool declined = aNow - hosts->m_declinedAt < kDeclinedTime;
      const Rank rank(declined, host->m_distance, -preference);
      if (!unknownRank || rank < *unknownRank) {
        unknown = candidate;
        unknownRank = rank;
      }
    }
  }
  const bool explore = serving.empty() || (serving.size() < kFallbackHosts &&
                                           aRandom.Unit() < kExploreRatio);
  if (explore && unknown.m_host) {
    return unknown;
  }
  const auto end =
    std::next(serving.begin(), std::min(serving.size(), kFallbackHosts));
  const auto best = std::min_element(
    serving.begin(), end, [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.m_host->m_inFlight < aRight.second.m_host->m_inFlight;
    });
  return best == end ? unknown : best->second;
}

} // namespace goldcrestkeel
