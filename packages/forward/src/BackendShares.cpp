#include "BackendPool.h"

#include <algorithm>
#include <set>

namespace goldcrestkeel {

namespace {

/** Connections per host from which they are divided evenly: under overload,
 *  replicas of all data centres are needed. */
constexpr std::uint32_t kEvenSplitThreshold = 2;
/** Fraction of a replica's connections, and of its request limit, for the hosts
 *  of its data centre. Others use it for hedges and when replicas in their own
 *  data centre fail. */
constexpr double kSameDataCentreShare = 0.6;
/** Allowance for hosts that joined since the list was read, as a fraction. */
constexpr double kJoiningHostsRatio = 0.2;

} // namespace

void
BackendPool::SetLiveHosts(std::uint32_t aHosts)
{
  m_liveHosts = std::max(1U, aHosts);
  for (auto& [name, group] : m_groups) {
    UpdateShares(*group);
  }
}

Distance
DistanceBetween(const ForwarderOptions& aOptions,
                const std::string& aDataCentre)
{
  if (aDataCentre == aOptions.m_dataCentre) {
    return Distance::SameDataCentre;
  }
  const auto local = aOptions.m_regions.find(aOptions.m_dataCentre);
  const auto remote = aOptions.m_regions.find(aDataCentre);
  const bool same = local != aOptions.m_regions.end() &&
                    remote != aOptions.m_regions.end() &&
                    local->second == remote->second;
  return same ? Distance::SameRegion : Distance::OtherRegion;
}

std::string
RegionOf(const ForwarderOptions& aOptions, const std::string& aDataCentre)
{
  const auto found = aOptions.m_regions.find(aDataCentre);
  return found == aOptions.m_regions.end() ? std::string() : found->second;
}

void
BackendPool::SetHosts(const std::vector<HostRecord>& aHosts)
{
  m_hostsPerDataCentre.clear();
  for (const HostRecord& host : aHosts) {
    ++m_hostsPerDataCentre[host.m_dataCentre];
  }
  for (auto& [name, group] : m_groups) {
    UpdateShares(*group);
  }
}

void
BackendPool::SetEvacuated(const std::set<std::string>& aDataCentres)
{
  m_evacuated = aDataCentres;
  for (const auto& [id, replica] : m_byId) {
    replica->m_evacuated = m_evacuated.contains(replica->m_record.m_dataCentre);
  }
}

double
BackendPool::ShareOf(const PooledReplica& aReplica) const
{
  const auto found = m_hostsPerDataCentre.find(aReplica.m_record.m_dataCentre);
  if (found == m_hostsPerDataCentre.end() || found->second >= m_liveHosts) {
    return 1.0 / m_liveHosts;
  }
  // m_liveHosts also counts hosts that are about to join, some of them possibly
  // in the replica's data centre.
  const double joining = 1 + kJoiningHostsRatio;
  const bool sameDataCentre = aReplica.m_distance == Distance::SameDataCentre;
  const double hosts =
    sameDataCentre ? found->second * joining : m_liveHosts - found->second;
  const double share =
    sameDataCentre ? kSameDataCentreShare : 1 - kSameDataCentreShare;
  return share / hosts;
}

std::uint32_t
BackendPool::MaxInFlightFor(const PooledReplica& aReplica,
                            std::uint32_t aConnections) const
{
  const std::uint32_t even = std::max(1U, aConnections / m_liveHosts);
  if (even >= kEvenSplitThreshold) {
    return even;
  }
  return std::max(1U,
                  static_cast<std::uint32_t>(ShareOf(aReplica) * aConnections));
}

void
BackendPool::UpdateShares(BackendGroup& aGroup) const
{
  const auto service = m_services.find(aGroup.m_name);
  for (const auto& replica : aGroup.m_replicas) {
    if (service != m_services.end()) {
      replica->m_maxInFlight =
        MaxInFlightFor(*replica, service->second.m_connections);
    }
    replica->m_requestLimit.SetShare(ShareOf(*replica));
  }
  aGroup.m_budget.SetSlack(m_options.m_repeatSlack / m_liveHosts);
}

std::vector<ReplicaRecord>
BackendPool::Sample(TimePoint aNow, std::size_t aCount)
{
  std::vector<const ReplicaRecord*> listed;
  for (const auto& [id, replica] : m_byId) {
    if (!replica->m_usableUntil && !replica->m_replaced &&
        !replica->m_notices.IsResting(aNow)) {
      listed.push_back(&replica->m_record);
    }
  }
  std::vector<ReplicaRecord> sample;
  std::set<std::string_view> dataCentres;
  while (sample.size() < aCount && !listed.empty()) {
    const std::size_t start = m_random.Below(listed.size());
    std::rotate(listed.begin(), listed.begin() + start, listed.end());
    const auto other = std::find_if(
      listed.begin(), listed.end(), [&](const ReplicaRecord* aOne) {
        return !dataCentres.contains(aOne->m_dataCentre);
      });
    const auto chosen = other == listed.end() ? listed.begin() : other;
    dataCentres.insert((*chosen)->m_dataCentre);
    sample.push_back(**chosen);
    listed.erase(chosen);
  }
  return sample;
}

bool
BackendPool::HasOtherAnswer(
  const ReplicaRecord& aReplica,
  TimePoint aTime,
  const std::function<bool(const ReplicaRecord&)>& aMatches) const
{
  return std::any_of(m_byId.begin(), m_byId.end(), [&](const auto& aItem) {
    const PooledReplica& other = *aItem.second;
    return other.m_hasAnswered && other.m_lastAnswerAt > aTime &&
           other.m_record.m_id != aReplica.m_id && aMatches(other.m_record);
  });
}

std::string
BackendPool::HealthPathOf(const std::string& aService) const
{
  const auto found = m_services.find(aService);
  return found == m_services.end() ? RoutedService().m_healthPath
                                   : found->second.m_healthPath;
}

void
BackendPool::CountConnection(const std::string& aId, bool aOpened)
{
  const auto found = m_byId.find(aId);
  if (found == m_byId.end()) {
    return;
  }
  std::uint32_t& open = found->second->m_openConnections;
  // A connection to an earlier instance with the same id may still end.
  open = aOpened ? open + 1 : std::max(open, 1U) - 1;
}

void
BackendPool::SetOpenConnectionsOnly(bool aOnly)
{
  m_openConnectionsOnly = aOnly;
  for (const auto& [id, replica] : m_byId) {
    replica->m_openConnectionsOnly = aOnly;
  }
}

void
BackendPool::EndBackoffs(TimePoint aNow)
{
  for (const auto& [id, replica] : m_byId) {
    replica->m_unresponsive = false;
    replica->m_backoffs = 0;
    replica->m_backoffUntil = std::min(replica->m_backoffUntil, aNow);
  }
}

std::optional<NextPermits>
BackendPool::PermitsOf(TimePoint aNow,
                       const BackendGroup& aGroup,
                       const RegionFilter& aRegions)
{
  std::optional<NextPermits> permits;
  for (const auto& replica : aGroup.m_replicas) {
    if (TierOf(aNow, *replica) == ReplicaTier::Unavailable ||
        !aRegions.Allows(replica->m_region)) {
      continue;
    }
    const Duration time = replica->m_requestLimit.TimeToPermit(aNow);
    if (time <= Duration(0)) {
      return std::nullopt;
    }
    permits = permits.value_or(NextPermits{ time, 0 });
    permits->m_first = std::min(permits->m_first, time);
    permits->m_rate += replica->m_requestLimit.Rate();
  }
  return permits;
}

} // namespace goldcrestkeel
