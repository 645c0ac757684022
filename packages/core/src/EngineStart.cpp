#include "Engine.h"

#include <goldcrestkeel/core/Invariant.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace goldcrestkeel {

namespace {

/** Minimum interval between two checks of a queue of waiting searches. */
constexpr Duration kMinAdmissionInterval{ 100 };

} // namespace

void
Engine::Refuse(QueryId aQuery,
               ErrorKind aError,
               std::string aDetail,
               Actions& aActions)
{
  GK_INVARIANT(!m_queries.contains(aQuery),
               InvariantId::NotRunIsAccurate,
               "query " + std::to_string(aQuery) +
                 " was refused while it was running");
  ++m_counters.m_refused;
  FinishSearch finish;
  finish.m_query = aQuery;
  finish.m_error = aError;
  finish.m_detail = std::move(aDetail);
  finish.m_ran = Ran::No;
  aActions.emplace_back(std::move(finish));
}

void
Engine::Handle(TimePoint aNow, const StartSearch& aEvent, Actions& aActions)
{
  ++m_counters.m_queries;
  if (m_shuttingDown) {
    Refuse(aEvent.m_query,
           ErrorKind::ShuttingDown,
           "this entry host is shutting down",
           aActions);
    return;
  }
  const auto service = FindService(aEvent.m_service);
  if (!service) {
    Refuse(aEvent.m_query,
           ErrorKind::UnknownService,
           "unknown service " + aEvent.m_service,
           aActions);
    return;
  }
  if (service->m_spec.m_kind != ServiceKind::Search) {
    Refuse(aEvent.m_query,
           ErrorKind::WrongServiceKind,
           aEvent.m_service + " does not accept searches, only commands",
           aActions);
    return;
  }
  const Duration deadline = aEvent.m_deadline > Duration{ 0 }
                              ? aEvent.m_deadline
                              : service->m_spec.m_policy.m_deadline;
  QueuedSearch search{ aEvent, aNow, aNow + deadline };
  AdmissionQueue& queue = service->m_history->m_admission;
  if (queue.empty() && CanStart(*service)) {
    StartQuery(aNow, search, aActions);
    return;
  }
  if (const auto refused = queue.Push(std::move(search))) {
    Refuse(refused->m_request.m_query,
           ErrorKind::Overloaded,
           "the queue of waiting searches is full",
           aActions);
  }
  Admit(aNow, *service, aActions);
}

bool
Engine::CanStart(const Service& aService) const
{
  if (!m_options.m_admission) {
    return true;
  }
  return m_queries.size() < m_options.m_maxRunningQueries &&
         std::all_of(aService.m_views.begin(),
                     aService.m_views.end(),
                     [](const auto& aView) { return aView->m_saturated == 0; });
}

void
Engine::Admit(TimePoint aNow, Service& aService, Actions& aActions)
{
  AdmissionQueue& queue = aService.m_history->m_admission;
  if (queue.empty()) {
    return;
  }
  for (const QueuedSearch& search :
       queue.TakeExpired(aNow, queue.ExpectedRunTime())) {
    Refuse(search.m_request.m_query,
           ErrorKind::DeadlineTooShort,
           "the search could not start in time to meet its deadline",
           aActions);
  }
  while (!queue.empty() && CanStart(aService)) {
    StartQuery(aNow, *queue.Pop(), aActions);
  }
  if (const auto earliest = queue.EarliestDeadline()) {
    ScheduleAdmission(aNow,
                      *aService.m_history,
                      std::max(*earliest - queue.ExpectedRunTime(),
                               aNow + kMinAdmissionInterval));
  }
}

void
Engine::ScheduleAdmission(TimePoint aNow,
                          ServiceHistory& aHistory,
                          TimePoint aNext)
{
  TimePoint& scheduled = aHistory.m_nextAdmission;
  if (scheduled <= aNow || aNext < scheduled) {
    scheduled = aNext;
    m_timers.Add({ aNext, TimerKind::Admission, 0, 0, 0 });
  }
}

// Searches can end while they wait, and a share of connections can grow. In
// both cases there may be no reply in flight whose arrival would dispatch the
// waiting sub-requests.
void
Engine::DispatchStalled(TimePoint aNow, Service& aService, Actions& aActions)
{
  bool waiting = false;
  const SnapshotViews views = aService.m_views;
  for (const auto& view : views) {
    if (view->m_waiting == 0) {
      continue;
    }
    for (ShardGroup& group : view->m_groups) {
      DispatchGroup(aNow, *view, group, aActions);
    }
    waiting = waiting || view->m_waiting > 0;
  }
  if (waiting) {
    ScheduleAdmission(aNow, *aService.m_history, aNow + kStalledCheckInterval);
  }
}

void
Engine::AdmitAll(TimePoint aNow, Actions& aActions)
{
  for (const auto& [name, service] : m_services) {
    DispatchStalled(aNow, *service, aActions);
    Admit(aNow, *service, aActions);
  }
}

void
Engine::StartQuery(TimePoint aNow,
                   const QueuedSearch& aSearch,
                   Actions& aActions)
{
  const StartSearch& request = aSearch.m_request;
  if (!CheckStatement(aNow, aSearch, aActions)) {
    return;
  }
  const auto service = FindService(request.m_service);
  std::shared_ptr<SnapshotView> view;
  if (request.m_snapshot) {
    std::vector<std::shared_ptr<SnapshotView>> pinned;
    std::copy_if(service->m_views.begin(),
                 service->m_views.end(),
                 std::back_inserter(pinned),
                 [&](const auto& aView) {
                   return aView->m_version == *request.m_snapshot;
                 });
    view = m_snapshots->Choose(m_replicas, pinned, nullptr);
    if (!view) {
      Refuse(request.m_query,
             ErrorKind::SnapshotUnavailable,
             "no replica holds snapshot " + std::to_string(*request.m_snapshot),
             aActions);
      return;
    }
  } else {
    view = m_snapshots->Choose(m_replicas, service->m_views, nullptr);
  }
  if (!view) {
    Refuse(request.m_query,
           ErrorKind::NoReplica,
           "no replica of " + request.m_service +
             " has reported an index version",
           aActions);
    return;
  }
  auto newQuery = std::make_unique<Query>(request, service, view);
  Query& query = *newQuery;
  const ServicePolicy& policy = service->m_spec.m_policy;
  query.m_fingerprint = Fingerprint(request.m_statement);
  if (m_guard.StatusOf(query.m_fingerprint) == StatementStatus::Suspect) {
    query.m_suspect = true;
    m_runningSuspects.insert(query.m_fingerprint);
  }
  query.m_arrivedAt = aSearch.m_arrivedAt;
  query.m_startedAt = aNow;
  query.m_deadline = aSearch.m_deadline;
  query.m_responseTarget = aSearch.m_arrivedAt + policy.m_responseTarget;
  query.m_minCoverage = request.m_minCoverage.value_or(policy.m_minCoverage);
  m_queries[request.m_query] = std::move(newQuery);
  m_timers.Add(
    { query.m_deadline, TimerKind::Deadline, request.m_query, 0, 0 });
  if (policy.m_preference == CoveragePreference::AnswerOnTime &&
      query.m_responseTarget < query.m_deadline &&
      query.m_responseTarget > aNow) {
    m_timers.Add({ query.m_responseTarget,
                   TimerKind::ResponseTarget,
                   request.m_query,
                   0,
                   0 });
  }
  FanOut(aNow, query, aActions);
}

void
Engine::FanOut(TimePoint aNow, Query& aQuery, Actions& aActions)
{
  const auto shards = static_cast<std::uint32_t>(aQuery.m_shards.size());
  aQuery.m_openShards = shards;
  for (ShardProgress& progress : aQuery.m_shards) {
    progress.m_open = true;
  }
  for (std::uint32_t shard = 0; shard < shards; ++shard) {
    Dispatch(aNow, aQuery, shard, aActions);
  }
  ScheduleHedges(aNow, aQuery);
  FinishIfDone(aNow, aQuery, aActions);
}

} // namespace goldcrestkeel
