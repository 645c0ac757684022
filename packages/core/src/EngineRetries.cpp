#include "Engine.h"

#include <algorithm>

namespace goldcrestkeel {

namespace {

/** Restarts after which a query answers with the coverage that it has. */
constexpr std::uint32_t kMaxRestarts = 3;
/** Extra delay before the retry on a shard whose connection was reset. Resets
 *  of other shards of the same fan-out can arrive in this time: a round trip
 *  between regions takes up to 46 ms including both client legs, and half of
 *  that is common to all shards. */
constexpr Duration kResetRetryDelay{ 25000 };
/** Minimum interval between two checks of a query for hedges. */
constexpr Duration kMinHedgeInterval{ 2000 };

} // namespace

bool
Engine::SpendExtraLoad(Query& aQuery, std::uint32_t aShard, SendKind aKind)
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
Engine::SendHedges(TimePoint aNow, Query& aQuery, Actions& aActions)
{
  if (aQuery.m_suspect || aQuery.m_resets > 0) {
    return;
  }
  for (std::uint32_t shard = 0; shard < aQuery.m_shards.size(); ++shard) {
    ShardProgress& progress = aQuery.m_shards[shard];
    const auto due = HedgeDueAt(progress, aQuery);
    ReplicaIndex replica = 0;
    if (due && *due <= aNow &&
        PickReplica(aNow,
                    *aQuery.m_service,
                    aQuery.m_view->m_groups[shard],
                    { progress.m_tried.data(), progress.m_triedCount },
                    replica) == SelectionResult::Chosen &&
        SpendExtraLoad(aQuery, shard, SendKind::Hedge)) {
      Send(aNow, aQuery, shard, replica, SendKind::Hedge, aActions);
    }
  }
  ScheduleHedges(aNow, aQuery);
}

std::optional<TimePoint>
Engine::HedgeDueAt(const ShardProgress& aProgress, const Query& aQuery)
{
  // The hedge delay starts at the newest attempt; its id has the largest serial
  // number.
  const AttemptId newest =
    *std::max_element(aProgress.m_attempts.begin(), aProgress.m_attempts.end());
  const bool noFreeAttempt =
    std::find(aProgress.m_attempts.begin(),
              aProgress.m_attempts.end(),
              AttemptId{ 0 }) == aProgress.m_attempts.end();
  if (newest == 0 || noFreeAttempt) {
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
Engine::ScheduleHedges(TimePoint aNow, Query& aQuery)
{
  if (aQuery.m_suspect) {
    return;
  }
  std::optional<TimePoint> next;
  for (const ShardProgress& progress : aQuery.m_shards) {
    const auto due = HedgeDueAt(progress, aQuery);
    if (due && (!next || *due < *next)) {
      next = due;
    }
  }
  if (next) {
    // A hedge that found no budget or no free slot is tried again later.
    const Duration pause =
      std::max(kMinHedgeInterval, (aNow - aQuery.m_startedAt) / 8);
    const bool overdue = *next <= aNow;
    m_timers.Add({ overdue ? aNow + pause : *next,
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
  SetHeldVersions(aNow, aReplica, kept);
}

bool
Engine::Restart(TimePoint aNow, Query& aQuery, Actions& aActions)
{
  const auto current = FindService(aQuery.m_request.m_service);
  // All pages of one result use the snapshot that the caller specified.
  if (aQuery.m_request.m_snapshot || aQuery.m_epoch >= kMaxRestarts ||
      current != aQuery.m_service || aNow >= aQuery.m_deadline) {
    return false;
  }
  const SnapshotView& pinned = *aQuery.m_view;
  const auto best = m_snapshots->Choose(m_replicas, current->m_views, &pinned);
  if (!best) {
    return false;
  }
  DocumentCount searchable = aQuery.m_coverage.Searched();
  for (std::size_t i = 0; i < pinned.m_groups.size(); ++i) {
    const ShardGroup& group = pinned.m_groups[i];
    if (!aQuery.m_shards[i].m_answered && IsGroupReachable(m_replicas, group)) {
      searchable += group.m_documents;
    }
  }
  const double pinnedCoverage =
    static_cast<double>(searchable) / static_cast<double>(pinned.m_total);
  const double newCoverage =
    static_cast<double>(ReachableDocuments(m_replicas, *best)) /
    static_cast<double>(best->m_total);
  if (newCoverage <= pinnedCoverage) {
    return false;
  }
  for (std::uint32_t shard = 0; shard < aQuery.m_shards.size(); ++shard) {
    CancelAttempts(aNow, aQuery, shard, AttemptOutcome::Cancelled, aActions);
  }
  ++m_counters.m_restarts;
  aQuery.Pin(best);
  FanOut(aNow, aQuery, aActions);
  return true;
}

void
Engine::ScheduleRetry(TimePoint aNow, Query& aQuery, std::uint32_t aShard)
{
  ShardProgress& progress = aQuery.m_shards[aShard];
  if (aQuery.m_suspect && progress.m_triedCount > 0) {
    CloseShard(aQuery, aShard);
    return;
  }
  const bool hasReplica = !aQuery.m_view->m_groups[aShard].m_replicas.empty();
  const std::optional<Duration> delay =
    hasReplica
      ? RetryDelay(aNow, aQuery.m_deadline, progress.m_retries, m_random)
      : std::nullopt;
  if (!delay) {
    CloseShard(aQuery, aShard);
    return;
  }
  ++progress.m_retries;
  progress.m_retryDue = true;
  const Duration pause = progress.m_reset ? kResetRetryDelay : Duration{ 0 };
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
  ShardProgress& progress = aQuery.m_shards[aShard];
  if (!progress.m_retryDue || progress.InFlight() || progress.m_answered) {
    return;
  }
  progress.m_retryDue = false;
  if (aQuery.m_suspect && progress.m_triedCount > 0) {
    CloseShard(aQuery, aShard);
    FinishIfDone(aNow, aQuery, aActions);
    return;
  }
  if (aQuery.m_view->m_groups[aShard].m_replicas.empty() &&
      Restart(aNow, aQuery, aActions)) {
    return;
  }
  if (progress.m_triedCount == 0) {
    Dispatch(aNow, aQuery, aShard, aActions);
  } else {
    ShardGroup& group = aQuery.m_view->m_groups[aShard];
    ReplicaIndex replica = 0;
    SelectionResult selection =
      PickReplica(aNow,
                  *aQuery.m_service,
                  group,
                  { progress.m_tried.data(), progress.m_triedCount },
                  replica);
    if (selection == SelectionResult::None) {
      selection = PickReplica(aNow, *aQuery.m_service, group, {}, replica);
    }
    if (selection == SelectionResult::Chosen &&
        SpendExtraLoad(aQuery, aShard, SendKind::Retry)) {
      Send(aNow, aQuery, aShard, replica, SendKind::Retry, aActions);
    } else {
      ScheduleRetry(aNow, aQuery, aShard);
    }
  }
  FinishIfDone(aNow, aQuery, aActions);
}

} // namespace goldcrestkeel
