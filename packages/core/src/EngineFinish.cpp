#include "Engine.h"

#include <goldcrestkeel/core/Invariant.h>

#include <algorithm>
#include <utility>

namespace goldcrestkeel {

bool
Engine::ResponseTargetMet(TimePoint aNow, const Query& aQuery) const
{
  const ServicePolicy& policy = aQuery.m_service->m_spec.m_policy;
  return policy.m_preference == CoveragePreference::AnswerOnTime &&
         aNow >= aQuery.m_responseTarget &&
         aQuery.m_coverage.ShardsAnswered() > 0 &&
         aQuery.m_coverage.Fraction() >= aQuery.m_minCoverage;
}

void
Engine::FinishIfDone(TimePoint aNow, Query& aQuery, Actions& aActions)
{
  if (aQuery.m_openShards == 0 || aNow >= aQuery.m_deadline ||
      ResponseTargetMet(aNow, aQuery)) {
    if (DelayAnswer(aNow, aQuery)) {
      return;
    }
    Finish(aNow, aQuery, aActions);
  }
}

bool
Engine::DelayAnswer(TimePoint aNow, Query& aQuery)
{
  const TimePoint end =
    std::min(aQuery.m_firstReset + kSuspectAnswerDelay, aQuery.m_deadline);
  if (aQuery.m_resets == 0 || aNow >= end ||
      m_guard.StatusOf(aQuery.m_fingerprint) == StatementStatus::Allowed ||
      aQuery.m_coverage.Fraction() == 1) {
    return false;
  }
  if (!std::exchange(aQuery.m_answerDelayed, true)) {
    m_timers.Add(
      { end, TimerKind::SuspectTimeout, aQuery.m_request.m_query, 0, 0 });
  }
  return true;
}

void
Engine::Finish(TimePoint aNow, Query& aQuery, Actions& aActions)
{
  FinishSearch finish;
  finish.m_query = aQuery.m_request.m_query;
  finish.m_snapshot = aQuery.m_view->m_version;
  finish.m_coverage = aQuery.m_coverage.Report();
  m_guard.RecordCompletion(aQuery.m_fingerprint,
                           finish.m_coverage.m_missingShards,
                           finish.m_coverage.m_fraction,
                           aQuery.m_resets > 0);
  finish.m_hedges = aQuery.m_hedges;
  finish.m_retries = aQuery.m_retries;
  for (auto& [shard, partial] : aQuery.m_partials) {
    aQuery.m_merger.Add(std::move(partial.m_hits));
  }
  const bool answered = aQuery.m_coverage.ShardsAnswered() > 0;
  if (answered) {
    finish.m_ran = Ran::Yes;
  } else {
    finish.m_ran = aQuery.m_sent > aQuery.m_notRun ? Ran::Unknown : Ran::No;
  }
  if (answered && aQuery.m_coverage.Fraction() >= aQuery.m_minCoverage) {
    finish.m_hits = aQuery.m_merger.TakePage();
  } else if (answered) {
    finish.m_error = ErrorKind::CoverageNotReached;
    finish.m_detail =
      "searched " + std::to_string(finish.m_coverage.m_documentsSearched) +
      " of " + std::to_string(finish.m_coverage.m_documentsTotal) +
      " documents";
  } else if (finish.m_ran == Ran::No) {
    finish.m_error = ErrorKind::NoReplica;
    finish.m_detail = "no replica accepted the search";
  } else {
    finish.m_error = aNow >= aQuery.m_deadline ? ErrorKind::DeadlineExceeded
                                               : ErrorKind::CoverageNotReached;
    finish.m_detail = "no shard answered";
  }
  GK_INVARIANT(finish.m_ran != Ran::No || aQuery.m_sent == aQuery.m_notRun,
               InvariantId::NotRunIsAccurate,
               std::to_string(aQuery.m_sent) + " attempts, " +
                 std::to_string(aQuery.m_notRun) + " proven not to have run");
  aActions.emplace_back(std::move(finish));
  EndQuery(aNow, aQuery, AttemptOutcome::Unanswered, aActions);
}

void
Engine::EndQuery(TimePoint aNow,
                 Query& aQuery,
                 AttemptOutcome aOutcome,
                 Actions& aActions)
{
  for (std::uint32_t shard = 0; shard < aQuery.m_shards.size(); ++shard) {
    CancelAttempts(aNow, aQuery, shard, aOutcome, aActions);
  }
  aQuery.m_service->m_history->m_admission.ObserveRunTime(aNow -
                                                          aQuery.m_startedAt);
  if (m_runningSuspects.erase(aQuery.m_fingerprint) > 0) {
    m_finishedSuspects.push_back(aQuery.m_fingerprint);
  }
  const QueryId id = aQuery.m_request.m_query;
  m_queries.erase(id);
}

void
Engine::Handle(TimePoint aNow, const CancelSearch& aEvent, Actions& aActions)
{
  if (Query* query = FindQuery(aEvent.m_query)) {
    EndQuery(aNow, *query, AttemptOutcome::Cancelled, aActions);
    DispatchWaiting(aNow, aActions);
    AdmitAll(aNow, aActions);
    return;
  }
  for (auto& [fingerprint, searches] : m_waitingSuspects) {
    std::erase_if(searches, [&](const QueuedSearch& aSearch) {
      return aSearch.m_request.m_query == aEvent.m_query;
    });
  }
  for (const auto& [name, service] : m_services) {
    service->m_history->m_admission.Remove(aEvent.m_query);
  }
}

void
Engine::DispatchGroup(TimePoint aNow,
                      SnapshotView& aView,
                      ShardGroup& aGroup,
                      Actions& aActions)
{
  while (!aGroup.m_waiting.empty()) {
    const WaitingShard waiting = aGroup.m_waiting.front();
    Query* query = FindQuery(waiting.m_query);
    const bool valid = query != nullptr && query->m_epoch == waiting.m_epoch &&
                       query->m_shards[waiting.m_shard].m_waiting;
    ReplicaIndex replica = 0;
    if (valid && PickReplica(aNow, *query->m_service, aGroup, {}, replica) !=
                   SelectionResult::Chosen) {
      return;
    }
    aView.m_saturated -= aGroup.m_waiting.size() == aGroup.SaturationLength();
    aGroup.m_waiting.pop_front();
    --aView.m_waiting;
    if (valid) {
      query->m_shards[waiting.m_shard].m_waiting = false;
      Send(aNow, *query, waiting.m_shard, replica, SendKind::Primary, aActions);
    }
  }
}

void
Engine::DispatchWaiting(TimePoint aNow, Actions& aActions)
{
  StartWaitingSuspects(aNow, aActions);
  while (!m_replicasWithFreedSlots.empty()) {
    const ReplicaIndex replica = m_replicasWithFreedSlots.back();
    m_replicasWithFreedSlots.pop_back();
    const auto service = FindService(m_serviceOfReplica[replica]);
    if (!service) {
      continue;
    }
    for (const HeldShard& held : m_replicas[replica].m_held) {
      if (held.m_view->m_waiting > 0) {
        const std::shared_ptr<SnapshotView> view = held.m_view;
        DispatchGroup(aNow, *view, view->m_groups[held.m_group], aActions);
      }
    }
    Admit(aNow, *service, aActions);
  }
}

} // namespace goldcrestkeel
