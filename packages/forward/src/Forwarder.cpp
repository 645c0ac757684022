#include "ForwarderImpl.h"

#include <algorithm>
#include <array>

namespace goldcrestkeel {

namespace {

constexpr std::array<std::string_view, 5> kCopyFailures{ "refused",
                                                         "not_sent",
                                                         "broken",
                                                         "malformed",
                                                         "no_connection" };
constexpr std::array<std::string_view, 4> kCopyReasons{ "first",
                                                        "hedge",
                                                        "retry",
                                                        "move" };

/** How long copies of a cancelled request may keep running so that their
 *  connections can be reused. Work without a caller must end within 500 ms. */
constexpr Duration kCancelledCopyGrace{ 300000 };

/** A partial answer is sent this long before the target. A caller measures from
 *  connecting to the end of the answer, which adds four one-way delays of 3 ms
 *  and some processing. */
constexpr Duration kTargetMargin{ 16000 };

/** The time within which several crashes count as one: an outage ends many
 *  replicas at nearly the same moment. */
constexpr Duration kSameCrashTime{ 1000000 };

RegionFilter
RegionsOf(const ForwardRequest& aRequest)
{
  static const RegionFilter::Regions kAll;
  return { aRequest.m_route->m_allowedRegions,
           aRequest.m_tenant ? aRequest.m_tenant->m_allowedRegions : kAll };
}

} // namespace

std::string_view
NameOf(CopyFailure aFailure)
{
  return kCopyFailures.at(static_cast<std::size_t>(aFailure));
}

std::string_view
NameOf(CopyReason aReason)
{
  return kCopyReasons.at(static_cast<std::size_t>(aReason));
}

std::unique_ptr<Forwarder>
MakeForwarder(const ForwarderOptions& aOptions,
              RandomSource& aRandom,
              ForwardSink& aSink)
{
  return std::make_unique<ForwarderImpl>(aOptions, aRandom, aSink);
}

ForwarderImpl::ForwarderImpl(const ForwarderOptions& aOptions,
                             RandomSource& aRandom,
                             ForwardSink& aSink)
  : m_options(aOptions)
  , m_random(aRandom)
  , m_sink(aSink)
  , m_pool(aOptions, aRandom)
  , m_relayPool(aOptions)
  , m_crashGuard({ kCrashesBeforeQuarantine, kSameCrashTime })
{
  m_pool.SetPaceObserver(
    [this](const ReplicaPaceReport& aReport) { OnPaceChanged(aReport); });
}

void
ForwarderImpl::SetTable(TimePoint aNow,
                        std::shared_ptr<const RoutingTable> aTable)
{
  m_pool.SetTable(aNow, *aTable);
}

void
ForwarderImpl::SetLiveHosts(std::uint32_t aHosts)
{
  m_pool.SetLiveHosts(aHosts);
}

void
ForwarderImpl::SetHosts(TimePoint aNow, const std::vector<HostRecord>& aHosts)
{
  m_pool.SetHosts(aHosts);
  m_relayPool.SetHosts(aNow, aHosts);
}

void
ForwarderImpl::UpdateReplica(TimePoint aNow,
                             const ReplicaRecord& aRecord,
                             std::optional<TimePoint> aChangedAfter)
{
  m_pool.Update(aNow, aRecord, aChangedAfter);
  m_contact.SetReplicas(m_pool.ReplicaCount());
  DispatchWaiting(aNow, m_pool.Group(aRecord.m_service));
}

void
ForwarderImpl::RemoveReplica(TimePoint aNow,
                             const std::string& aId,
                             std::optional<TimePoint> aChangedAfter)
{
  m_pool.Remove(aNow, aId, aChangedAfter);
  m_contact.SetReplicas(m_pool.ReplicaCount());
}

void
ForwarderImpl::Start(TimePoint aNow, const ForwardRequest& aRequest)
{
  ++m_counters.m_requests;
  if (m_crashGuard.StatusOf(aRequest.m_fingerprint) ==
      StatementStatus::Quarantined) {
    m_sink.Finish(aRequest.m_id, QuarantineResult());
    return;
  }
  auto owned = std::make_unique<RunningForward>();
  RunningForward& forward = *owned;
  forward.m_request = aRequest;
  forward.m_startedAt = aNow;
  const Route& route = *aRequest.m_route;
  forward.m_regions = RegionsOf(aRequest);
  forward.m_routeState = &m_routes[route.m_name];
  MakeSubRequests(forward);
  CountDemand(aNow, forward);
  const std::vector<RelayPool::Assignment> assignments =
    AssignRelays(aNow, forward);
  const std::vector<std::uint32_t> handedOver = PrepareFallback(aNow, forward);
  for (const SubRequest& subRequest : forward.m_subRequests) {
    // The other host adds requests to relayed shards to its own budget.
    if (subRequest.m_state != SubRequest::State::Relayed) {
      subRequest.m_group->m_budget.AddRequest(aNow);
    }
  }
  forward.m_targetAt =
    aRequest.m_relayedShards
      ? aRequest.m_relayedShards->m_targetAt
      : aNow + std::max(route.m_target / 2, route.m_target - kTargetMargin);
  m_running.emplace(aRequest.m_id, std::move(owned));
  if (handedOver.empty() && RefuseIfUnserved(aNow, forward)) {
    return;
  }
  AddTimer(aRequest.m_deadline, ForwardTimer::Deadline, aRequest.m_id);
  if (route.m_gather) {
    AddTimer(forward.m_targetAt, ForwardTimer::Target, aRequest.m_id);
  }
  if (!handedOver.empty()) {
    SendFallback(aNow, forward, handedOver);
    if (!m_running.contains(aRequest.m_id)) {
      return;
    }
  }
  if (route.m_gather) {
    SkipOverloaded(aNow, forward);
  }
  for (const RelayPool::Assignment& assignment : assignments) {
    SendRelay(aNow, forward, assignment, RelayReason::Nearer);
  }
  for (std::uint32_t index = 0; index < forward.m_subRequests.size(); ++index) {
    if (forward.m_subRequests[index].m_state != SubRequest::State::Running) {
      continue;
    }
    Dispatch(aNow, forward, index, CopyReason::First);
    if (!m_running.contains(aRequest.m_id)) {
      return;
    }
  }
  if (m_pool.HasTenants()) {
    // A replica may have capacity although others wait; see MustQueue().
    for (BackendGroup* group : GroupsWaitedFor(forward)) {
      DispatchWaiting(aNow, *group);
    }
  }
}

void
ForwarderImpl::MakeSubRequests(RunningForward& aForward)
{
  const Route& route = *aForward.m_request.m_route;
  const auto add = [&](const std::string& aService, std::uint32_t aShard) {
    SubRequest subRequest;
    subRequest.m_group = &m_pool.Group(aService);
    subRequest.m_shard = aShard;
    aForward.m_subRequests.push_back(std::move(subRequest));
  };
  const auto& relayed = aForward.m_request.m_relayedShards;
  if (!route.m_gather) {
    const std::uint32_t index =
      relayed ? relayed->m_shards.front() : ChooseService(route);
    add(route.m_services.at(index).m_service, index);
    return;
  }
  const std::vector<std::string>& shards = route.m_gather->m_shards;
  if (relayed) {
    for (const std::uint32_t shard : relayed->m_shards) {
      add(shards.at(shard), shard);
    }
    return;
  }
  for (std::uint32_t shard = 0; shard < shards.size(); ++shard) {
    add(shards[shard], shard);
  }
}

void
ForwarderImpl::Cancel(TimePoint aNow, ForwardId aRequest)
{
  const auto found = m_running.find(aRequest);
  if (found == m_running.end()) {
    return;
  }
  for (SubRequest& subRequest : found->second->m_subRequests) {
    SuspectSilentCopies(aNow, *found->second, subRequest);
    AbandonCopies(aNow, subRequest, kCancelledCopyGrace);
  }
  SuspectBroken(aNow, *found->second);
  AbandonRelays(*found->second);
  LeaveQueues(aNow, *found->second);
  m_running.erase(found);
}

std::optional<TimePoint>
ForwarderImpl::NextTimer() const
{
  if (m_timers.empty()) {
    return std::nullopt;
  }
  return m_timers.top().m_at;
}

void
ForwarderImpl::OnTimer(TimePoint aNow)
{
  while (!m_timers.empty() && m_timers.top().m_at <= aNow) {
    const Timer timer = m_timers.top();
    m_timers.pop();
    switch (timer.m_kind) {
      case ForwardTimer::Late:
        OnCopyLate(aNow, timer.m_id);
        continue;
      case ForwardTimer::Unresponsive:
        OnUnresponsiveTimer(aNow, timer.m_id);
        continue;
      case ForwardTimer::Abandon: {
        const auto copy = m_copies.find(timer.m_id);
        if (copy != m_copies.end()) {
          BackendGroup& group = *copy->second.m_group;
          EndCopy(timer.m_id);
          m_sink.AbortCopy(timer.m_id);
          DispatchWaiting(aNow, group);
        }
        continue;
      }
      case ForwardTimer::PollWaiting:
        OnWaitTimer(aNow, timer.m_id);
        continue;
      case ForwardTimer::Contact:
        continue;
      case ForwardTimer::CrashCheck:
        JudgeCrashes(aNow);
        continue;
      case ForwardTimer::Silent:
        OnSilentTimer(aNow, timer.m_id);
        continue;
      case ForwardTimer::HealthCheck:
        OnHealthCheckTimer(aNow, timer.m_id);
        continue;
      case ForwardTimer::ForgetCrashes:
        ForgetCrashes(aNow);
        continue;
      case ForwardTimer::Target:
      case ForwardTimer::Deadline:
        break;
    }
    const auto found = m_running.find(timer.m_id);
    if (found == m_running.end()) {
      continue;
    }
    if (timer.m_kind == ForwardTimer::Deadline) {
      FinishFailed(aNow, *found->second, true);
    } else {
      found->second->m_pastTarget = true;
      FinishIfGathered(aNow, *found->second);
    }
  }
  UpdateContact(aNow);
}

void
ForwarderImpl::AddTimer(TimePoint aAt, ForwardTimer aKind, std::uint64_t aId)
{
  m_timers.push({ aAt, aKind, aId });
}

void
ForwarderImpl::LogDecision(std::string_view aDecision,
                           const RunningForward& aForward,
                           std::string_view aService,
                           std::string_view aReplica,
                           std::string_view aReason,
                           Duration aAge)
{
  m_sink.LogDecision(
    { aDecision, aForward.m_request.m_id, aService, aReplica, aReason, aAge });
}

} // namespace goldcrestkeel
