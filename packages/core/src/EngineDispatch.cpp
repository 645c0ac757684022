#include "Engine.h"

#include <goldcrestkeel/core/Invariant.h>

#include <algorithm>
#include <array>
#include <utility>

namespace goldcrestkeel {

namespace {

/** Maximum number of replicas of one shard that are compared. */
constexpr std::size_t kMaxCandidates = 16;

} // namespace

Engine::SelectionResult
Engine::PickReplica(TimePoint aNow,
                    const Service& aService,
                    ShardGroup& aGroup,
                    std::span<const ReplicaIndex> aExclude,
                    ReplicaIndex& aChosen)
{
  // Order of preference: healthy and warm, healthy, any usable replica.
  enum Tier
  {
    Warm,
    Healthy,
    Usable,
    TierCount
  };
  std::array<std::array<ReplicaIndex, kMaxCandidates>, TierCount> eligible;
  std::array<std::size_t, TierCount> counts{};
  const auto add = [&](Tier aTier, ReplicaIndex aIndex) {
    if (counts[aTier] < kMaxCandidates) {
      eligible[aTier][counts[aTier]++] = aIndex;
    }
  };
  bool busy = false;
  for (const ReplicaIndex index : aGroup.m_replicas) {
    const ReplicaState& replica = m_replicas[index];
    if (replica.m_draining ||
        std::find(aExclude.begin(), aExclude.end(), index) != aExclude.end()) {
      continue;
    }
    if (replica.m_inFlight >=
        m_shares.Slots(aNow, replica.m_slots, replica.m_connections)) {
      busy = true;
      continue;
    }
    if (IsEjected(aNow, replica) || !ReportsStatus(replica)) {
      add(Usable, index);
    } else if (const double share = SlowStartFraction(aNow, replica);
               share < 1 && m_random.Unit() > share) {
      add(Healthy, index);
    } else {
      add(Warm, index);
    }
  }
  const auto tier = std::find_if(
    counts.begin(), counts.end(), [](std::size_t aCount) { return aCount; });
  if (tier == counts.end()) {
    return busy ? SelectionResult::Busy : SelectionResult::None;
  }
  const std::span<const ReplicaIndex> candidates(
    eligible[static_cast<std::size_t>(tier - counts.begin())].data(), *tier);
  aChosen = aService.m_selector->Choose(
    aNow, m_replicas, candidates, aGroup.m_cursor, m_random);
  return SelectionResult::Chosen;
}

void
Engine::Dispatch(TimePoint aNow,
                 Query& aQuery,
                 std::uint32_t aShard,
                 Actions& aActions)
{
  ReplicaIndex replica = 0;
  const SelectionResult selection = PickReplica(
    aNow, *aQuery.m_service, aQuery.m_view->m_groups[aShard], {}, replica);
  if (selection == SelectionResult::Chosen) {
    Send(aNow, aQuery, aShard, replica, SendKind::Primary, aActions);
  } else if (selection == SelectionResult::Busy) {
    WaitForSlot(aNow, aQuery, aShard);
  } else {
    ScheduleRetry(aNow, aQuery, aShard);
  }
}

void
Engine::WaitForSlot(TimePoint aNow, Query& aQuery, std::uint32_t aShard)
{
  SnapshotView& view = *aQuery.m_view;
  ShardGroup& group = view.m_groups[aShard];
  const bool responsive = std::any_of(
    group.m_replicas.begin(), group.m_replicas.end(), [&](ReplicaIndex aIndex) {
      return m_replicas[aIndex].m_consecutiveFailures == 0;
    });
  if (!responsive) {
    // Do not let a shard whose replicas all fail delay the other shards.
    CloseShard(aQuery, aShard);
    return;
  }
  group.m_waiting.push_back(
    { aQuery.m_request.m_query, aShard, aQuery.m_epoch });
  aQuery.m_shards[aShard].m_waiting = true;
  ++view.m_waiting;
  view.m_saturated += group.m_waiting.size() == group.SaturationLength();
  ScheduleAdmission(
    aNow, *aQuery.m_service->m_history, aNow + kStalledCheckInterval);
}

ExtraLoadBudget&
Engine::BudgetOf(Query& aQuery, std::uint32_t aShard)
{
  ShardGroup& group = aQuery.m_view->m_groups[aShard];
  if (group.m_budget == nullptr) {
    group.m_budget = &aQuery.m_service->m_history->ShardBudget(group.m_shard);
  }
  return *group.m_budget;
}

void
Engine::Send(TimePoint aNow,
             Query& aQuery,
             std::uint32_t aShard,
             ReplicaIndex aReplica,
             SendKind aKind,
             Actions& aActions)
{
  ReplicaState& replica = m_replicas[aReplica];
  GK_INVARIANT(!replica.m_draining,
               InvariantId::NoRequestsAfterDrain,
               replica.m_id + " is draining and must not receive requests");
  ++replica.m_inFlight;
  GK_INVARIANT(replica.m_inFlight <= replica.m_connections,
               InvariantId::WithinConnectionLimits,
               std::to_string(replica.m_inFlight) + " requests in flight to " +
                 replica.m_id);
  const AttemptId id = m_attempts.Add({ aQuery.m_request.m_query,
                                        aShard,
                                        aReplica,
                                        replica.m_incarnation,
                                        aNow,
                                        aKind == SendKind::Hedge });
  ShardProgress& progress = aQuery.m_shards[aShard];
  const auto freeAttempt = std::find(
    progress.m_attempts.begin(), progress.m_attempts.end(), AttemptId{ 0 });
  *freeAttempt = id;
  progress.m_tried = { aReplica, progress.m_tried[0], progress.m_tried[1] };
  progress.m_triedCount = static_cast<std::uint8_t>(
    std::min<std::size_t>(progress.m_triedCount + 1, progress.m_tried.size()));
  ++aQuery.m_sent;
  ++m_counters.m_subRequests;
  switch (aKind) {
    case SendKind::Primary:
      aQuery.m_service->m_history->m_budget.AddPrimary();
      BudgetOf(aQuery, aShard).AddPrimary();
      break;
    case SendKind::Hedge:
      ++aQuery.m_hedges;
      ++m_counters.m_hedges;
      break;
    case SendKind::Retry:
      ++aQuery.m_retries;
      ++m_counters.m_retries;
      break;
  }
  SendSubRequest send;
  send.m_attempt = id;
  send.m_query = aQuery.m_request.m_query;
  send.m_replica = replica.m_id;
  send.m_shard = aQuery.m_view->m_groups[aShard].m_shard;
  send.m_version = aQuery.m_view->m_version;
  send.m_statement = aQuery.m_request.m_statement;
  send.m_limit = aQuery.m_request.m_offset + aQuery.m_request.m_limit;
  send.m_deadline = aQuery.m_deadline;
  send.m_hedge = aKind == SendKind::Hedge;
  aActions.emplace_back(std::move(send));
}

void
Engine::RemoveAttempt(TimePoint aNow, AttemptId aId, AttemptOutcome aOutcome)
{
  const Attempt attempt = *m_attempts.Find(aId);
  m_attempts.Remove(aId);
  const LatencyEstimate expected =
    ExpectedLatency(m_replicas[attempt.m_replica]);
  --m_replicas[attempt.m_replica].m_inFlight;
  m_replicasWithFreedSlots.push_back(attempt.m_replica);
  RecordOutcome(aNow, attempt.m_replica, aOutcome, aNow - attempt.m_sentAt);
  Query* query = FindQuery(attempt.m_query);
  if (query == nullptr) {
    return;
  }
  if (!attempt.m_hedge && aOutcome != AttemptOutcome::Refused) {
    query->m_service->m_history->m_hedge->Observe(aNow - attempt.m_sentAt,
                                                  expected);
  }
  for (AttemptId& id : query->m_shards[attempt.m_shard].m_attempts) {
    if (id == aId) {
      id = 0;
    }
  }
}

void
Engine::RecordOutcome(TimePoint aNow,
                      ReplicaIndex aReplica,
                      AttemptOutcome aOutcome,
                      Duration aElapsed)
{
  ReplicaState& replica = m_replicas[aReplica];
  goldcrestkeel::RecordOutcome(aNow, replica, aOutcome, aElapsed);
  if (!IsOutlier(replica) || IsEjected(aNow, replica)) {
    return;
  }
  const auto service = FindService(m_serviceOfReplica[aReplica]);
  if (!service) {
    return;
  }
  std::vector<std::span<const ReplicaIndex>> groups;
  if (service->m_spec.m_kind == ServiceKind::Command) {
    groups.emplace_back(service->m_commands.m_replicas);
  }
  for (const HeldShard& held : replica.m_held) {
    groups.emplace_back(held.m_view->m_groups[held.m_group].m_replicas);
  }
  if (EjectUnlessLast(aNow, m_replicas, aReplica, groups)) {
    ++m_counters.m_ejections;
    for (const std::span<const ReplicaIndex> group : groups) {
      GK_INVARIANT(std::any_of(group.begin(),
                               group.end(),
                               [&](ReplicaIndex aIndex) {
                                 return !IsEjected(aNow, m_replicas[aIndex]);
                               }),
                   InvariantId::HedgeWithinBudget,
                   "all replicas of a shard of " + replica.m_id +
                     " are ejected");
    }
  }
}

void
Engine::CancelAttempts(TimePoint aNow,
                       Query& aQuery,
                       std::uint32_t aShard,
                       AttemptOutcome aOutcome,
                       Actions& aActions)
{
  for (const AttemptId id : aQuery.m_shards[aShard].m_attempts) {
    if (id != 0) {
      const ReplicaIndex replica = m_attempts.Find(id)->m_replica;
      aActions.emplace_back(CancelSubRequest{ id, m_replicas[replica].m_id });
      RemoveAttempt(aNow, id, aOutcome);
    }
  }
}

void
Engine::CloseShard(Query& aQuery, std::uint32_t aShard)
{
  ShardProgress& progress = aQuery.m_shards[aShard];
  if (progress.m_open) {
    progress.m_open = false;
    --aQuery.m_openShards;
  }
}

} // namespace goldcrestkeel
