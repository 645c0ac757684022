#include "Engine.h"

#include <algorithm>

namespace goldcrestkeel {

namespace {

/** A query that has met this many retired versions answers with what it has.
 */
constexpr std::uint32_t kMaxRestarts = 3;
/** A shard whose connection was reset is not tried again before resets of other
 *  shards of the same fan-out could have arrived: a round trip between regions
 *  takes up to 46 ms with both client legs, half of which is common. */
constexpr Duration kResetPause{ 25000 };
/** Shortest time between two looks at the stragglers of one query. */
constexpr Duration kHedgeStep{ 2000 };

} // namespace

bool
Engine::SpendExtra(Query& aQuery, std::uint32_t aShard, SendKind aKind)
{
  ExtraLoadBudget& service = aQuery.m_service->m_history->m_budget;
  ExtraLoadBudget& shard = BudgetOf(aQuery, aShard);
  const bool allowed = aKind == SendKind::Hedge
                         ? service.CanHedge() && shard.CanHedge()
                         : service.CanRetry() && shard.CanRetry();
  if (!allowed) {
    return false;
  }
  service.Spend();
  shard.Spend();
  return true;
}

void
Engine::Hedge(TimePoint aNow, Query& aQuery, Actions& aActions)
{
  if (aQuery.m_guarded || aQuery.m_resets > 0) {
    return;
  }
  for (std::uint32_t shard = 0; shard < aQuery.m_shards.size(); ++shard) {
    ShardRun& run = aQuery.m_shards[shard];
    const auto due = HedgeTime(run, aQuery);
    ReplicaIndex replica = 0;
    if (due && *due <= aNow &&
        PickReplica(aNow,
                    *aQuery.m_service,
                    aQuery.m_view->m_groups[shard],
                    { run.m_tried.data(), run.m_triedCount },
                    replica) == Pick::Chosen &&
        SpendExtra(aQuery, shard, SendKind::Hedge)) {
      Send(aNow, aQuery, shard, replica, SendKind::Hedge, aActions);
    }
  }
  PlanHedges(aNow, aQuery);
}

std::optional<TimePoint>
Engine::HedgeTime(const ShardRun& aRun, const Query& aQuery)
{
  // The newest attempt decides; its id has the largest serial number.
  const AttemptId newest =
    *std::max_element(aRun.m_attempts.begin(), aRun.m_attempts.end());
  const bool full =
    std::find(aRun.m_attempts.begin(), aRun.m_attempts.end(), AttemptId{ 0 }) ==
    aRun.m_attempts.end();
  if (newest == 0 || full) {
    return std::nullopt;
  }
  const Attempt& attempt = *m_attempts.Find(newest);
  const auto delay = aQuery.m_service->m_history->m_hedge->Delay(
    ExpectedLatency(m_replicas[attempt.m_replica]));
  if (!delay) {
    return std::nullopt;
  }
  return attempt.m_sentAt + *delay;
}

void
Engine::PlanHedges(TimePoint aNow, Query& aQuery)
{
  if (aQuery.m_guarded) {
    return;
  }
  std::optional<TimePoint> next;
  for (const ShardRun& run : aQuery.m_shards) {
    const auto due = HedgeTime(run, aQuery);
    if (due && (!next || *due < *next)) {
      next = due;
    }
  }
  if (next) {
    // A hedge that had no budget or no free slot is tried again.
    const Duration pause =
      std::max(kHedgeStep, (aNow - aQuery.m_startedAt) / 8);
    const bool again = *next <= aNow;
    m_timers.Add({ again ? aNow + pause : *next,
                   TimerKind::Hedge,
                   aQuery.m_request.m_query,
                   0,
                   aQuery.m_epoch });
  }
}

void
Engine::DropVersion(TimePoint aNow, ReplicaIndex aReplica, VersionId aVersion)
{
  std::vector<HeldVersion> kept;
  for (const HeldShard& held : m_replicas[aReplica].m_held) {
    if (held.m_view->m_version != aVersion) {
      kept.push_back(
        { held.m_view->m_map, held.m_view->m_groups[held.m_group].m_shard });
    }
  }
  Hold(aNow, aReplica, kept);
}

bool
Engine::Restart(TimePoint aNow, Query& aQuery, Actions& aActions)
{
  const auto current = FindService(aQuery.m_request.m_service);
  // All pages of one result come from the snapshot that the caller named.
  if (aQuery.m_request.m_snapshot || aQuery.m_epoch >= kMaxRestarts ||
      current != aQuery.m_service || aNow >= aQuery.m_deadline) {
    return false;
  }
  const SnapshotView& pinned = *aQuery.m_view;
  const auto best = m_snapshots->Choose(m_replicas, current->m_views, &pinned);
  if (!best) {
    return false;
  }
  DocumentCount possible = aQuery.m_coverage.Searched();
  for (std::size_t i = 0; i < pinned.m_groups.size(); ++i) {
    const ShardGroup& group = pinned.m_groups[i];
    if (!aQuery.m_shards[i].m_answered && IsGroupReachable(m_replicas, group)) {
      possible += group.m_documents;
    }
  }
  const double here =
    static_cast<double>(possible) / static_cast<double>(pinned.m_total);
  const double there =
    static_cast<double>(ReachableDocuments(m_replicas, *best)) /
    static_cast<double>(best->m_total);
  if (there <= here) {
    return false;
  }
  for (std::uint32_t shard = 0; shard < aQuery.m_shards.size(); ++shard) {
    CancelAttempts(aNow, aQuery, shard, AttemptEnd::Cancelled, aActions);
  }
  ++m_counters.m_restarts;
  aQuery.Pin(best);
  FanOut(aNow, aQuery, aActions);
  return true;
}

void
Engine::ScheduleRetry(TimePoint aNow, Query& aQuery, std::uint32_t aShard)
{
  ShardRun& run = aQuery.m_shards[aShard];
  if (aQuery.m_guarded && run.m_triedCount > 0) {
    Close(aQuery, aShard);
    return;
  }
  const bool held = !aQuery.m_view->m_groups[aShard].m_replicas.empty();
  const std::optional<Duration> delay =
    held ? RetryDelay(aNow, aQuery.m_deadline, run.m_retries, m_random)
         : std::nullopt;
  if (!delay) {
    Close(aQuery, aShard);
    return;
  }
  ++run.m_retries;
  run.m_retryDue = true;
  const Duration pause = run.m_reset ? kResetPause : Duration{ 0 };
  m_timers.Add({ aNow + *delay + pause,
                 TimerKind::Retry,
                 aQuery.m_request.m_query,
                 aShard,
                 aQuery.m_epoch });
}

void
Engine::Retry(TimePoint aNow,
              Query& aQuery,
              std::uint32_t aShard,
              Actions& aActions)
{
  ShardRun& run = aQuery.m_shards[aShard];
  if (!run.m_retryDue || run.InFlight() || run.m_answered) {
    return;
  }
  run.m_retryDue = false;
  if (aQuery.m_guarded && run.m_triedCount > 0) {
    Close(aQuery, aShard);
    FinishIfDone(aNow, aQuery, aActions);
    return;
  }
  if (aQuery.m_view->m_groups[aShard].m_replicas.empty() &&
      Restart(aNow, aQuery, aActions)) {
    return;
  }
  if (run.m_triedCount == 0) {
    Dispatch(aNow, aQuery, aShard, aActions);
  } else {
    ShardGroup& group = aQuery.m_view->m_groups[aShard];
    ReplicaIndex replica = 0;
    Pick pick = PickReplica(aNow,
                            *aQuery.m_service,
                            group,
                            { run.m_tried.data(), run.m_triedCount },
                            replica);
    if (pick == Pick::None) {
      pick = PickReplica(aNow, *aQuery.m_service, group, {}, replica);
    }
    if (pick == Pick::Chosen && SpendExtra(aQuery, aShard, SendKind::Retry)) {
      Send(aNow, aQuery, aShard, replica, SendKind::Retry, aActions);
    } else {
      ScheduleRetry(aNow, aQuery, aShard);
    }
  }
  FinishIfDone(aNow, aQuery, aActions);
}

} // namespace goldcrestkeel
