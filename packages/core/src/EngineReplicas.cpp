#include "Engine.h"

#include <algorithm>
#include <utility>

namespace goldcrestkeel {

namespace {

/** A replica that was draining is used again without a restart if no signal has
 *  reported it as draining for this time, which is longer than a status or the
 *  host list can lag. */
constexpr Duration kDrainSignalTimeout{ 30000000 };

} // namespace

void
Engine::SetService(TimePoint aNow, const ServiceSpec& aSpec)
{
  auto service = std::make_shared<Service>();
  service->m_spec = aSpec;
  service->m_selector = MakeReplicaSelector(aSpec.m_policy.m_selector);
  const auto previous = FindService(aSpec.m_name);
  if (previous) {
    for (const auto& view : previous->m_views) {
      RetryWaiting(aNow, *view);
    }
  }
  if (previous && previous->m_history->m_hedgeName == aSpec.m_policy.m_hedge &&
      previous->m_history->m_extraLoad == aSpec.m_policy.m_extraLoad) {
    service->m_history = previous->m_history;
  } else {
    service->m_history =
      std::make_shared<ServiceHistory>(aSpec, m_options.m_maxQueuedQueries);
  }
  for (const ReplicaSpec& spec : aSpec.m_replicas) {
    const ReplicaIndex index = m_replicas.Intern(spec.m_id);
    ReplicaState& replica = m_replicas[index];
    replica.m_sameDataCentre = spec.m_dataCentre == m_options.m_dataCentre;
    replica.m_sameRegion = spec.m_region == m_options.m_region;
    replica.m_slots = spec.m_slots;
    replica.m_connections = spec.m_connections;
    service->m_replicas.push_back(index);
    m_serviceOfReplica[index] = aSpec.m_name;
  }
  service->m_commands.m_replicas = service->m_replicas;
  // Running queries keep the views of the previous definition. The new
  // definition starts with its own views, built from the versions that its
  // replicas hold.
  for (const ReplicaIndex index : service->m_replicas) {
    std::vector<HeldVersion> versions;
    for (const HeldShard& held : m_replicas[index].m_held) {
      versions.push_back(
        { held.m_view->m_map, held.m_view->m_groups[held.m_group].m_shard });
    }
    m_replicas[index].m_held.clear();
    ReplaceHeldVersions(m_replicas, index, versions, service->m_views);
  }
  m_services[aSpec.m_name] = std::move(service);
}

void
Engine::DropService(TimePoint, const std::string& aName)
{
  m_services.erase(aName);
}

std::shared_ptr<Service>
Engine::FindService(const std::string& aName) const
{
  const auto entry = m_services.find(aName);
  return entry == m_services.end() ? nullptr : entry->second;
}

Query*
Engine::FindQuery(QueryId aId)
{
  const auto entry = m_queries.find(aId);
  return entry == m_queries.end() ? nullptr : entry->second.get();
}

bool
Engine::IsCurrent(const Attempt& aAttempt) const
{
  return m_replicas[aAttempt.m_replica].m_incarnation == aAttempt.m_incarnation;
}

void
Engine::SetDraining(TimePoint aNow, ReplicaState& aReplica)
{
  if (!aReplica.m_draining) {
    aReplica.m_draining = true;
    aReplica.m_drainingSince = aNow;
  }
  aReplica.m_lastDrainSignal = std::max(aReplica.m_lastDrainSignal, aNow);
}

void
Engine::Handle(TimePoint aNow, const ReplicaStatus& aEvent, Actions&)
{
  const std::optional<ReplicaIndex> index = m_replicas.Find(aEvent.m_replica);
  if (!index) {
    return;
  }
  ReplicaState& replica = m_replicas[*index];
  const bool restarted =
    aEvent.m_incarnation != 0 && aEvent.m_incarnation != replica.m_incarnation;
  if (restarted) {
    replica.m_incarnation = aEvent.m_incarnation;
    replica.m_draining = false;
    replica.m_lastDrainSignal = TimePoint{};
    replica.m_consecutiveFailures = 0;
    replica.m_ejectedUntil = aNow;
  }
  if (aEvent.m_cold && (restarted || !replica.m_coldSince)) {
    BeginSlowStart(aNow, replica);
  }
  if (aEvent.m_draining) {
    SetDraining(aNow, replica);
  } else if (aNow - replica.m_lastDrainSignal > kDrainSignalTimeout) {
    replica.m_draining = false;
  }
  replica.m_statusMisses = 0;
  const std::uint32_t reported = aEvent.m_inFlight + aEvent.m_queued;
  replica.m_reportedLoad =
    reported > replica.m_inFlight ? reported - replica.m_inFlight : 0;
  replica.m_loadReportedAt = aNow;
  if (!HoldsVersions(replica, aEvent.m_versions)) {
    SetHeldVersions(aNow, *index, aEvent.m_versions);
  }
}

void
Engine::SetHeldVersions(TimePoint aNow,
                        ReplicaIndex aReplica,
                        const std::vector<HeldVersion>& aVersions)
{
  const auto service = FindService(m_serviceOfReplica[aReplica]);
  if (!service) {
    return;
  }
  for (const auto& view :
       ReplaceHeldVersions(m_replicas, aReplica, aVersions, service->m_views)) {
    RetryWaiting(aNow, *view);
  }
}

// A view that is no longer updated does not dispatch its waiting sub-requests;
// retry timers dispatch them instead.
void
Engine::RetryWaiting(TimePoint aNow, SnapshotView& aView)
{
  for (ShardGroup& group : aView.m_groups) {
    for (const WaitingShard& waiting : std::exchange(group.m_waiting, {})) {
      Query* query = FindQuery(waiting.m_query);
      if (query != nullptr && query->m_epoch == waiting.m_epoch) {
        query->m_shards[waiting.m_shard].m_waiting = false;
        query->m_shards[waiting.m_shard].m_retryDue = true;
        m_timers.Add({ aNow,
                       TimerKind::Retry,
                       waiting.m_query,
                       waiting.m_shard,
                       waiting.m_epoch });
      }
    }
  }
  aView.m_waiting = 0;
  aView.m_saturated = 0;
}

void
Engine::StatusUnavailable(TimePoint, const std::string& aReplica)
{
  if (const auto index = m_replicas.Find(aReplica)) {
    ++m_replicas[*index].m_statusMisses;
  }
}

void
Engine::MarkDraining(TimePoint aNow,
                     const std::string& aReplica,
                     std::uint64_t aIncarnation)
{
  const auto index = m_replicas.Find(aReplica);
  if (!index) {
    return;
  }
  ReplicaState& replica = m_replicas[*index];
  if (aIncarnation == 0 || replica.m_incarnation == 0 ||
      aIncarnation == replica.m_incarnation) {
    SetDraining(aNow, replica);
    // The host list reports a drain only once, so only a restart ends it.
    replica.m_lastDrainSignal = TimePoint::max();
  }
}

void
Engine::SetLiveHosts(TimePoint aNow, std::uint32_t aLiveHosts)
{
  m_shares.SetLiveHosts(aNow, aLiveHosts);
}

std::uint32_t
Engine::ConnectionShare(TimePoint aNow, const std::string& aReplica)
{
  const auto index = m_replicas.Find(aReplica);
  if (!index) {
    return 0;
  }
  return m_shares.Connections(aNow, m_replicas[*index].m_connections);
}

void
Engine::BeginShutdown(TimePoint)
{
  m_shuttingDown = true;
}

bool
Engine::Idle() const
{
  return m_queries.empty() && m_commandsInFlight == 0 &&
         m_waitingSuspects.empty() &&
         std::all_of(
           m_services.begin(), m_services.end(), [](const auto& aItem) {
             return aItem.second->m_history->m_admission.empty();
           });
}

} // namespace goldcrestkeel
