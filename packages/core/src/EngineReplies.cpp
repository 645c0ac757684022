#include "Engine.h"

#include <goldcrestkeel/core/Invariant.h>

#include <algorithm>
#include <utility>

namespace goldcrestkeel {

bool
Engine::ValidateReply(TimePoint,
                      const SubReply& aReply,
                      const Attempt& aAttempt)
{
  const Query* query = FindQuery(aAttempt.m_query);
  if (query == nullptr) {
    return false;
  }
  const ShardGroup& group = query->m_view->m_groups[aAttempt.m_shard];
  ReplicaState& replica = m_replicas[aAttempt.m_replica];
  if (aAttempt.m_incarnation != 0 &&
      aReply.m_incarnation != aAttempt.m_incarnation) {
    // The backend server has restarted since its last status. Its incarnation
    // is unknown until the next status.
    if (replica.m_incarnation == aAttempt.m_incarnation) {
      replica.m_incarnation = 0;
    }
    return false;
  }
  return aReply.m_intact && aReply.m_echoAttempt == aReply.m_attempt &&
         aReply.m_echoQuery == aAttempt.m_query &&
         aReply.m_echoShard == group.m_shard &&
         aReply.m_echoVersion == query->m_view->m_version &&
         aReply.m_documentsSearched <= group.m_documents;
}

void
Engine::Handle(TimePoint aNow, const SubReply& aEvent, Actions& aActions)
{
  const Attempt* found = m_attempts.Find(aEvent.m_attempt);
  if (found == nullptr) {
    ++m_counters.m_discardedReplies;
    return;
  }
  const Attempt attempt = *found;
  if (aEvent.m_draining && aEvent.m_echoAttempt == aEvent.m_attempt &&
      IsCurrent(attempt)) {
    SetDraining(aNow, m_replicas[attempt.m_replica]);
  }
  Query& query = *FindQuery(attempt.m_query);
  const bool accepted = ValidateReply(aNow, aEvent, attempt);
  RemoveAttempt(aNow,
                aEvent.m_attempt,
                accepted ? AttemptOutcome::Answered : AttemptOutcome::Failed);
  if (accepted) {
    RecordReply(aNow, query, attempt.m_shard, aEvent, aActions);
  } else {
    ++m_counters.m_discardedReplies;
    AttemptFailed(aNow, query, attempt.m_shard, aActions);
  }
  DispatchWaiting(aNow, aActions);
}

void
Engine::RecordReply(TimePoint aNow,
                    Query& aQuery,
                    std::uint32_t aShard,
                    const SubReply& aReply,
                    Actions& aActions)
{
  GK_INVARIANT(aReply.m_echoQuery == aQuery.m_request.m_query,
               InvariantId::ReplyMatchesRequest,
               "reply for query " + std::to_string(aReply.m_echoQuery) +
                 " counted for " + std::to_string(aQuery.m_request.m_query));
  GK_INVARIANT(aReply.m_echoVersion == aQuery.m_view->m_version,
               InvariantId::SingleSnapshot,
               "reply from version " + std::to_string(aReply.m_echoVersion) +
                 " counted for " + std::to_string(aQuery.m_view->m_version));
  ShardProgress& progress = aQuery.m_shards[aShard];
  const bool complete =
    aReply.m_documentsSearched == aQuery.m_view->m_groups[aShard].m_documents;
  aQuery.m_coverage.Count(aShard, aReply.m_documentsSearched);
  if (complete) {
    progress.m_answered = true;
    aQuery.m_partials.erase(aShard);
    aQuery.m_merger.Add(aReply.m_hits);
    CancelAttempts(aNow, aQuery, aShard, AttemptOutcome::Cancelled, aActions);
    CloseShard(aQuery, aShard);
    FinishIfDone(aNow, aQuery, aActions);
    return;
  }
  PartialReply& partial = aQuery.m_partials[aShard];
  if (aReply.m_documentsSearched >= partial.m_documents) {
    partial = { aReply.m_documentsSearched, aReply.m_hits };
  }
  AttemptFailed(aNow, aQuery, aShard, aActions);
}

void
Engine::Handle(TimePoint aNow, const SubFailure& aEvent, Actions& aActions)
{
  const Attempt* found = m_attempts.Find(aEvent.m_attempt);
  if (found == nullptr) {
    return;
  }
  const Attempt attempt = *found;
  Query& query = *FindQuery(attempt.m_query);
  const bool notRun = ProvesNotRun(aEvent.m_kind);
  if (notRun) {
    ++query.m_notRun;
  }
  if (aEvent.m_kind == SubFailureKind::Draining && IsCurrent(attempt)) {
    SetDraining(aNow, m_replicas[attempt.m_replica]);
  }
  RemoveAttempt(aNow, aEvent.m_attempt, OutcomeOf(aEvent.m_kind));
  if (aEvent.m_kind == SubFailureKind::VersionGone) {
    DropVersion(aNow, attempt.m_replica, query.m_view->m_version);
  }
  if (aEvent.m_kind == SubFailureKind::Reset) {
    ConnectionReset(aNow, query, attempt);
  }
  AttemptFailed(aNow, query, attempt.m_shard, aActions);
  DispatchWaiting(aNow, aActions);
}

void
Engine::AttemptFailed(TimePoint aNow,
                      Query& aQuery,
                      std::uint32_t aShard,
                      Actions& aActions)
{
  if (aQuery.m_suspect && aQuery.m_resets > 0) {
    if (!aQuery.m_shards[aShard].InFlight()) {
      CloseShard(aQuery, aShard);
      FinishIfDone(aNow, aQuery, aActions);
    }
    return;
  }
  const bool noReplica = aQuery.m_view->m_groups[aShard].m_replicas.empty();
  if (noReplica && Restart(aNow, aQuery, aActions)) {
    return;
  }
  if (!aQuery.m_shards[aShard].InFlight()) {
    ScheduleRetry(aNow, aQuery, aShard);
    FinishIfDone(aNow, aQuery, aActions);
  }
}

void
Engine::ConnectionReset(TimePoint aNow, Query& aQuery, const Attempt& aAttempt)
{
  const std::uint32_t shard = aAttempt.m_shard;
  if (!m_options.m_crashGuard) {
    return;
  }
  const SnapshotView& view = *aQuery.m_view;
  ShardProgress& progress = aQuery.m_shards[shard];
  progress.m_reset = true;
  if (aQuery.m_resets++ == 0) {
    aQuery.m_firstReset = aNow;
  } else {
    aQuery.m_suspect = true;
  }
  m_guard.RecordCrash(aNow,
                      aAttempt.m_sentAt,
                      aQuery.m_fingerprint,
                      aQuery.m_request.m_statement,
                      view.m_groups[shard].m_shard,
                      aAttempt.m_replica,
                      aAttempt.m_incarnation);
}

bool
Engine::CheckStatement(TimePoint aNow,
                       const QueuedSearch& aSearch,
                       Actions& aActions)
{
  const std::uint64_t fingerprint = Fingerprint(aSearch.m_request.m_statement);
  const StatementStatus status = m_guard.StatusOf(fingerprint);
  if (status == StatementStatus::Quarantined) {
    Refuse(aSearch.m_request.m_query,
           ErrorKind::Quarantined,
           "replicas crashed while this statement ran; fingerprint " +
             std::to_string(fingerprint),
           aActions);
    return false;
  }
  if (aNow >= aSearch.m_deadline) {
    Refuse(aSearch.m_request.m_query,
           ErrorKind::DeadlineTooShort,
           "the search could not start in time to meet its deadline",
           aActions);
    return false;
  }
  if (status == StatementStatus::Suspect &&
      m_runningSuspects.contains(fingerprint)) {
    m_waitingSuspects[fingerprint].push_back(aSearch);
    m_timers.Add({ aSearch.m_deadline, TimerKind::SuspectTimeout, 0, 0, 0 });
    return false;
  }
  return true;
}

void
Engine::StartWaitingSuspects(TimePoint aNow, Actions& aActions)
{
  while (!m_finishedSuspects.empty()) {
    const auto waiting = m_waitingSuspects.find(m_finishedSuspects.back());
    m_finishedSuspects.pop_back();
    if (waiting == m_waitingSuspects.end()) {
      continue;
    }
    // If the statement is still suspected, StartQuery() starts the first search
    // and lets the others wait again.
    const std::vector<QueuedSearch> searches = std::move(waiting->second);
    m_waitingSuspects.erase(waiting);
    for (const QueuedSearch& search : searches) {
      StartQuery(aNow, search, aActions);
    }
  }
}

void
Engine::RefuseExpiredSuspects(TimePoint aNow, Actions& aActions)
{
  for (auto& [fingerprint, searches] : m_waitingSuspects) {
    std::erase_if(searches, [&](const QueuedSearch& aSearch) {
      const bool late = aNow >= aSearch.m_deadline;
      if (late) {
        Refuse(aSearch.m_request.m_query,
               ErrorKind::DeadlineTooShort,
               "the search could not start in time to meet its deadline",
               aActions);
      }
      return late;
    });
  }
}

} // namespace goldcrestkeel
