#include "Engine.h"

#include <goldcrestkeel/core/Invariant.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace goldcrestkeel {

namespace {

/** A query that has met this many retired versions answers with what it has.
 */
constexpr std::uint32_t kMaxRestarts = 3;
/** A shard whose connection was reset is not tried again before resets of other
 *  shards of the same fan-out could have arrived: a round trip between regions
 *  takes up to 46 ms with both client legs, half of which is common. */
constexpr Duration kResetPause{ 25000 };
/** A replica that was draining is used again without a restart if no signal has
 *  reported it for longer than a status or the host list can lag. */
constexpr Duration kDrainMemory{ 30000000 };
/** Shortest time between two looks at the stragglers of one query. */
constexpr Duration kHedgeStep{ 2000 };
/** Shortest time between two looks at a queue of waiting searches. */
constexpr Duration kShortestTimer{ 100 };
/** Interval at which waiting searches are looked at without an event. */
constexpr Duration kWaitCheck{ 100000 };
/** Replicas of one shard that are compared. */
constexpr std::size_t kMaxEligible = 16;

AttemptEnd
EndOf(SubFailureKind aKind)
{
  if (aKind == SubFailureKind::Reset) {
    return AttemptEnd::Reset;
  }
  const bool refused =
    ProvesNotRun(aKind) && aKind != SubFailureKind::ConnectFailed;
  return refused ? AttemptEnd::Refused : AttemptEnd::Failed;
}

} // namespace

std::string_view
NameOf(SubFailureKind aKind)
{
  switch (aKind) {
    case SubFailureKind::ConnectFailed:
      return "connect_failed";
    case SubFailureKind::Reset:
      return "reset";
    case SubFailureKind::Shed:
      return "shed";
    case SubFailureKind::Draining:
      return "draining";
    case SubFailureKind::VersionGone:
      return "version_gone";
    case SubFailureKind::DeadlinePassed:
      return "deadline_passed";
    case SubFailureKind::Malformed:
      return "malformed";
    case SubFailureKind::TimedOut:
      return "timed_out";
  }
  return "unknown";
}

bool
ProvesNotRun(SubFailureKind aKind)
{
  switch (aKind) {
    case SubFailureKind::ConnectFailed:
    case SubFailureKind::Shed:
    case SubFailureKind::Draining:
    case SubFailureKind::VersionGone:
    case SubFailureKind::DeadlinePassed:
      return true;
    case SubFailureKind::Reset:
    case SubFailureKind::Malformed:
    case SubFailureKind::TimedOut:
      return false;
  }
  return false;
}

std::unique_ptr<QueryEngine>
MakeQueryEngine(const EngineOptions& aOptions, RandomSource& aRandom)
{
  return std::make_unique<Engine>(aOptions, aRandom);
}

Query::Query(const StartSearch& aRequest,
             std::shared_ptr<Service> aService,
             std::shared_ptr<SnapshotView> aView)
  : m_request(aRequest)
  , m_service(std::move(aService))
  , m_view(std::move(aView))
  , m_coverage(*m_view)
  , m_merger(aRequest.m_offset, aRequest.m_limit)
  , m_shards(m_view->m_groups.size())
{
}

void
Query::Pin(std::shared_ptr<SnapshotView> aView)
{
  m_view = std::move(aView);
  m_coverage = CoverageAccount(*m_view);
  m_merger = HitMerger(m_request.m_offset, m_request.m_limit);
  m_shards.assign(m_view->m_groups.size(), {});
  m_partials.clear();
  ++m_epoch;
}

Engine::Engine(const EngineOptions& aOptions, RandomSource& aRandom)
  : m_options(aOptions)
  , m_random(aRandom)
  , m_snapshots(MakeBestCoverageSelector())
  , m_shares(aOptions.m_joinedAt)
{
}

// ---- Services and replicas ------------------------------------------------

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
    replica.m_nearDataCentre = spec.m_dataCentre == m_options.m_dataCentre;
    replica.m_nearRegion = spec.m_region == m_options.m_region;
    replica.m_slots = spec.m_slots;
    replica.m_connections = spec.m_connections;
    service->m_replicas.push_back(index);
    m_owners[index] = aSpec.m_name;
  }
  service->m_commands.m_replicas = service->m_replicas;
  // Running queries keep the views of the old definition. The new one starts
  // with views of its own that hold the replicas it names.
  for (const ReplicaIndex index : service->m_replicas) {
    std::vector<HeldVersion> versions;
    for (const HeldShard& held : m_replicas[index].m_held) {
      versions.push_back(
        { held.m_view->m_map, held.m_view->m_groups[held.m_group].m_shard });
    }
    m_replicas[index].m_held.clear();
    HoldVersions(m_replicas, index, versions, service->m_views);
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
  aReplica.m_drainSignal = std::max(aReplica.m_drainSignal, aNow);
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
    replica.m_drainSignal = TimePoint{};
    replica.m_consecutiveFailures = 0;
    replica.m_ejectedUntil = aNow;
  }
  if (aEvent.m_cold && (restarted || !replica.m_coldSince)) {
    StartSlowly(aNow, replica);
  }
  if (aEvent.m_draining) {
    SetDraining(aNow, replica);
  } else if (aNow - replica.m_drainSignal > kDrainMemory) {
    replica.m_draining = false;
  }
  replica.m_statusMisses = 0;
  const std::uint32_t reported = aEvent.m_inFlight + aEvent.m_queued;
  replica.m_reportedLoad =
    reported > replica.m_inFlight ? reported - replica.m_inFlight : 0;
  replica.m_reportedAt = aNow;
  if (!HoldsVersions(replica, aEvent.m_versions)) {
    Hold(aNow, *index, aEvent.m_versions);
  }
}

void
Engine::Hold(TimePoint aNow,
             ReplicaIndex aReplica,
             const std::vector<HeldVersion>& aVersions)
{
  const auto service = FindService(m_owners[aReplica]);
  if (!service) {
    return;
  }
  for (const auto& view :
       HoldVersions(m_replicas, aReplica, aVersions, service->m_views)) {
    RetryWaiting(aNow, *view);
  }
}

// Queries that wait on a view that is no longer updated are dispatched by their
// retry timers.
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
    // The list is not repeated, so that only a restart ends this drain.
    replica.m_drainSignal = TimePoint::max();
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
  return m_queries.empty() && m_commandsOut == 0 && m_suspects.empty() &&
         std::all_of(
           m_services.begin(), m_services.end(), [](const auto& aItem) {
             return aItem.second->m_history->m_admission.empty();
           });
}

// ---- Start ----------------------------------------------------------------

void
Engine::Refuse(QueryId aQuery,
               ErrorKind aError,
               std::string aDetail,
               Actions& aActions)
{
  GK_INVARIANT(!m_queries.contains(aQuery),
               InvariantId::NotRunIsTrue,
               "query " + std::to_string(aQuery) + " is refused while it runs");
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
           "no service is named " + aEvent.m_service,
           aActions);
    return;
  }
  if (service->m_spec.m_kind != ServiceKind::Search) {
    Refuse(aEvent.m_query,
           ErrorKind::WrongServiceKind,
           aEvent.m_service + " accepts commands only",
           aActions);
    return;
  }
  const Duration deadline = aEvent.m_deadline > Duration{ 0 }
                              ? aEvent.m_deadline
                              : service->m_spec.m_policy.m_deadline;
  QueuedSearch search{ aEvent, aNow, aNow + deadline };
  AdmissionQueue& queue = service->m_history->m_admission;
  if (queue.empty() && CanStart(*service)) {
    Begin(aNow, search, aActions);
    return;
  }
  if (const auto refused = queue.Push(std::move(search))) {
    Refuse(refused->m_request.m_query,
           ErrorKind::Overloaded,
           "too many searches are waiting",
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
       queue.TakeExpired(aNow, queue.ExpectedRun())) {
    Refuse(search.m_request.m_query,
           ErrorKind::DeadlineTooShort,
           "the search could not start in time",
           aActions);
  }
  while (!queue.empty() && CanStart(aService)) {
    Begin(aNow, *queue.Pop(), aActions);
  }
  if (const auto earliest = queue.EarliestDeadline()) {
    ArmAdmission(
      aNow,
      *aService.m_history,
      std::max(*earliest - queue.ExpectedRun(), aNow + kShortestTimer));
  }
}

void
Engine::ArmAdmission(TimePoint aNow, ServiceHistory& aHistory, TimePoint aNext)
{
  TimePoint& armed = aHistory.m_admissionTimer;
  if (armed <= aNow || aNext < armed) {
    armed = aNext;
    m_timers.Add({ aNext, TimerKind::Admission, 0, 0, 0 });
  }
}

// Searches can end while they wait, and a share of connections can grow. In
// both cases no reply may be due whose end would start the searches behind
// them.
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
    ArmAdmission(aNow, *aService.m_history, aNow + kWaitCheck);
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
Engine::Begin(TimePoint aNow, const QueuedSearch& aSearch, Actions& aActions)
{
  const StartSearch& aEvent = aSearch.m_request;
  if (!PassGuard(aNow, aSearch, aActions)) {
    return;
  }
  const auto service = FindService(aEvent.m_service);
  std::shared_ptr<SnapshotView> view;
  if (aEvent.m_snapshot) {
    std::vector<std::shared_ptr<SnapshotView>> pinned;
    std::copy_if(service->m_views.begin(),
                 service->m_views.end(),
                 std::back_inserter(pinned),
                 [&](const auto& aView) {
                   return aView->m_version == *aEvent.m_snapshot;
                 });
    view = m_snapshots->Choose(m_replicas, pinned, nullptr);
    if (!view) {
      Refuse(aEvent.m_query,
             ErrorKind::SnapshotUnavailable,
             "no replica holds snapshot " + std::to_string(*aEvent.m_snapshot),
             aActions);
      return;
    }
  } else {
    view = m_snapshots->Choose(m_replicas, service->m_views, nullptr);
  }
  if (!view) {
    Refuse(aEvent.m_query,
           ErrorKind::NoReplica,
           "no replica of " + aEvent.m_service +
             " has reported an index version",
           aActions);
    return;
  }
  auto owned = std::make_unique<Query>(aEvent, service, view);
  Query& query = *owned;
  const ServicePolicy& policy = service->m_spec.m_policy;
  query.m_fingerprint = Fingerprint(aEvent.m_statement);
  if (m_guard.Judge(query.m_fingerprint) == Verdict::Suspect) {
    query.m_guarded = true;
    m_guardedRuns.insert(query.m_fingerprint);
  }
  query.m_arrivedAt = aSearch.m_arrivedAt;
  query.m_startedAt = aNow;
  query.m_deadline = aSearch.m_deadline;
  query.m_responseTarget = aSearch.m_arrivedAt + policy.m_responseTarget;
  query.m_minCoverage = aEvent.m_minCoverage.value_or(policy.m_minCoverage);
  m_queries[aEvent.m_query] = std::move(owned);
  m_timers.Add({ query.m_deadline, TimerKind::Deadline, aEvent.m_query, 0, 0 });
  if (policy.m_preference == CoveragePreference::AnswerOnTime &&
      query.m_responseTarget < query.m_deadline &&
      query.m_responseTarget > aNow) {
    m_timers.Add({ query.m_responseTarget,
                   TimerKind::ResponseTarget,
                   aEvent.m_query,
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
  for (ShardRun& run : aQuery.m_shards) {
    run.m_open = true;
  }
  for (std::uint32_t shard = 0; shard < shards; ++shard) {
    Dispatch(aNow, aQuery, shard, aActions);
  }
  PlanHedges(aNow, aQuery);
  FinishIfDone(aNow, aQuery, aActions);
}

// ---- Sub-requests ---------------------------------------------------------

Engine::Pick
Engine::PickReplica(TimePoint aNow,
                    const Service& aService,
                    ShardGroup& aGroup,
                    std::span<const ReplicaIndex> aExclude,
                    ReplicaIndex& aChosen)
{
  // Preference: healthy and warm, then healthy, then any that may be used.
  enum Tier
  {
    Warm,
    Healthy,
    Usable,
    Tiers
  };
  std::array<std::array<ReplicaIndex, kMaxEligible>, Tiers> eligible;
  std::array<std::size_t, Tiers> counts{};
  const auto add = [&](Tier aTier, ReplicaIndex aIndex) {
    if (counts[aTier] < kMaxEligible) {
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
    } else if (const double share = SlowStartShare(aNow, replica);
               share < 1 && m_random.Unit() > share) {
      add(Healthy, index);
    } else {
      add(Warm, index);
    }
  }
  const auto tier = std::find_if(
    counts.begin(), counts.end(), [](std::size_t aCount) { return aCount; });
  if (tier == counts.end()) {
    return busy ? Pick::Busy : Pick::None;
  }
  const std::span<const ReplicaIndex> best(
    eligible[static_cast<std::size_t>(tier - counts.begin())].data(), *tier);
  aChosen = aService.m_selector->Choose(
    aNow, m_replicas, best, aGroup.m_cursor, m_random);
  return Pick::Chosen;
}

void
Engine::Dispatch(TimePoint aNow,
                 Query& aQuery,
                 std::uint32_t aShard,
                 Actions& aActions)
{
  ReplicaIndex replica = 0;
  const Pick pick = PickReplica(
    aNow, *aQuery.m_service, aQuery.m_view->m_groups[aShard], {}, replica);
  if (pick == Pick::Chosen) {
    Send(aNow, aQuery, aShard, replica, SendKind::Primary, aActions);
  } else if (pick == Pick::Busy) {
    Wait(aNow, aQuery, aShard);
  } else {
    ScheduleRetry(aNow, aQuery, aShard);
  }
}

void
Engine::Wait(TimePoint aNow, Query& aQuery, std::uint32_t aShard)
{
  SnapshotView& view = *aQuery.m_view;
  ShardGroup& group = view.m_groups[aShard];
  const bool answers = std::any_of(
    group.m_replicas.begin(), group.m_replicas.end(), [&](ReplicaIndex aIndex) {
      return m_replicas[aIndex].m_consecutiveFailures == 0;
    });
  if (!answers) {
    // The slots of a shard that does not answer must not hold up the others.
    Close(aQuery, aShard);
    return;
  }
  group.m_waiting.push_back(
    { aQuery.m_request.m_query, aShard, aQuery.m_epoch });
  aQuery.m_shards[aShard].m_waiting = true;
  ++view.m_waiting;
  view.m_saturated += group.m_waiting.size() == group.SaturatedAt();
  ArmAdmission(aNow, *aQuery.m_service->m_history, aNow + kWaitCheck);
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
               InvariantId::NoWorkAfterDrain,
               replica.m_id + " is draining");
  ++replica.m_inFlight;
  GK_INVARIANT(replica.m_inFlight <= replica.m_connections,
               InvariantId::WithinCaps,
               std::to_string(replica.m_inFlight) + " requests on " +
                 replica.m_id);
  const AttemptId id = m_attempts.Add({ aQuery.m_request.m_query,
                                        aShard,
                                        aReplica,
                                        replica.m_incarnation,
                                        aNow,
                                        aKind == SendKind::Hedge });
  ShardRun& run = aQuery.m_shards[aShard];
  const auto unused =
    std::find(run.m_attempts.begin(), run.m_attempts.end(), AttemptId{ 0 });
  *unused = id;
  run.m_tried = { aReplica, run.m_tried[0], run.m_tried[1] };
  run.m_triedCount = static_cast<std::uint8_t>(
    std::min<std::size_t>(run.m_triedCount + 1, run.m_tried.size()));
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
Engine::RemoveAttempt(TimePoint aNow, AttemptId aId, AttemptEnd aEnd)
{
  const Attempt attempt = *m_attempts.Find(aId);
  m_attempts.Remove(aId);
  const LatencyEstimate expected =
    ExpectedLatency(m_replicas[attempt.m_replica]);
  --m_replicas[attempt.m_replica].m_inFlight;
  m_freed.push_back(attempt.m_replica);
  RecordEnd(aNow, attempt.m_replica, aEnd, aNow - attempt.m_sentAt);
  Query* query = FindQuery(attempt.m_query);
  if (query == nullptr) {
    return;
  }
  if (!attempt.m_hedge && aEnd != AttemptEnd::Refused) {
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
Engine::RecordEnd(TimePoint aNow,
                  ReplicaIndex aReplica,
                  AttemptEnd aEnd,
                  Duration aElapsed)
{
  ReplicaState& replica = m_replicas[aReplica];
  goldcrestkeel::RecordEnd(aNow, replica, aEnd, aElapsed);
  if (!IsOutlier(replica) || IsEjected(aNow, replica)) {
    return;
  }
  const auto service = FindService(m_owners[aReplica]);
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
                       AttemptEnd aEnd,
                       Actions& aActions)
{
  for (const AttemptId id : aQuery.m_shards[aShard].m_attempts) {
    if (id != 0) {
      const ReplicaIndex replica = m_attempts.Find(id)->m_replica;
      aActions.emplace_back(CancelSubRequest{ id, m_replicas[replica].m_id });
      RemoveAttempt(aNow, id, aEnd);
    }
  }
}

void
Engine::Close(Query& aQuery, std::uint32_t aShard)
{
  ShardRun& run = aQuery.m_shards[aShard];
  if (run.m_open) {
    run.m_open = false;
    --aQuery.m_openShards;
  }
}

// ---- Replies --------------------------------------------------------------

bool
Engine::Accept(TimePoint, const SubReply& aReply, const Attempt& aAttempt)
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
    // stays unknown until the next one.
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
  const bool accepted = Accept(aNow, aEvent, attempt);
  RemoveAttempt(aNow,
                aEvent.m_attempt,
                accepted ? AttemptEnd::Answered : AttemptEnd::Failed);
  if (accepted) {
    CountReply(aNow, query, attempt.m_shard, aEvent, aActions);
  } else {
    ++m_counters.m_discardedReplies;
    AttemptFailed(aNow, query, attempt.m_shard, aActions);
  }
  DispatchWaiting(aNow, aActions);
}

void
Engine::CountReply(TimePoint aNow,
                   Query& aQuery,
                   std::uint32_t aShard,
                   const SubReply& aReply,
                   Actions& aActions)
{
  GK_INVARIANT(aReply.m_echoQuery == aQuery.m_request.m_query,
               InvariantId::OwnAnswer,
               "reply for query " + std::to_string(aReply.m_echoQuery) +
                 " counted for " + std::to_string(aQuery.m_request.m_query));
  GK_INVARIANT(aReply.m_echoVersion == aQuery.m_view->m_version,
               InvariantId::SingleSnapshot,
               "reply from version " + std::to_string(aReply.m_echoVersion) +
                 " counted for " + std::to_string(aQuery.m_view->m_version));
  ShardRun& run = aQuery.m_shards[aShard];
  const bool whole =
    aReply.m_documentsSearched == aQuery.m_view->m_groups[aShard].m_documents;
  aQuery.m_coverage.Count(aShard, aReply.m_documentsSearched);
  if (whole) {
    run.m_answered = true;
    aQuery.m_partials.erase(aShard);
    aQuery.m_merger.Add(aReply.m_hits);
    CancelAttempts(aNow, aQuery, aShard, AttemptEnd::Cancelled, aActions);
    Close(aQuery, aShard);
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
  RemoveAttempt(aNow, aEvent.m_attempt, EndOf(aEvent.m_kind));
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
  if (aQuery.m_guarded && aQuery.m_resets > 0) {
    if (!aQuery.m_shards[aShard].InFlight()) {
      Close(aQuery, aShard);
      FinishIfDone(aNow, aQuery, aActions);
    }
    return;
  }
  const bool lost = aQuery.m_view->m_groups[aShard].m_replicas.empty();
  if (lost && Restart(aNow, aQuery, aActions)) {
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
  ShardRun& run = aQuery.m_shards[shard];
  run.m_reset = true;
  if (aQuery.m_resets++ == 0) {
    aQuery.m_firstReset = aNow;
  } else {
    aQuery.m_guarded = true;
  }
  m_guard.Crashed(aNow,
                  aAttempt.m_sentAt,
                  aQuery.m_fingerprint,
                  aQuery.m_request.m_statement,
                  view.m_groups[shard].m_shard,
                  aAttempt.m_replica,
                  aAttempt.m_incarnation);
}

bool
Engine::PassGuard(TimePoint aNow,
                  const QueuedSearch& aSearch,
                  Actions& aActions)
{
  const std::uint64_t fingerprint = Fingerprint(aSearch.m_request.m_statement);
  const Verdict verdict = m_guard.Judge(fingerprint);
  if (verdict == Verdict::Quarantined) {
    Refuse(aSearch.m_request.m_query,
           ErrorKind::Quarantined,
           "replicas died while this statement ran; fingerprint " +
             std::to_string(fingerprint),
           aActions);
    return false;
  }
  if (aNow >= aSearch.m_deadline) {
    Refuse(aSearch.m_request.m_query,
           ErrorKind::DeadlineTooShort,
           "the search could not start in time",
           aActions);
    return false;
  }
  if (verdict == Verdict::Suspect && m_guardedRuns.contains(fingerprint)) {
    m_suspects[fingerprint].push_back(aSearch);
    m_timers.Add({ aSearch.m_deadline, TimerKind::Hold, 0, 0, 0 });
    return false;
  }
  return true;
}

void
Engine::ResumeSuspects(TimePoint aNow, Actions& aActions)
{
  while (!m_resumable.empty()) {
    const auto waiting = m_suspects.find(m_resumable.back());
    m_resumable.pop_back();
    if (waiting == m_suspects.end()) {
      continue;
    }
    // Begin() lets them wait again, all but the first, if the statement is
    // still suspected.
    const std::vector<QueuedSearch> searches = std::move(waiting->second);
    m_suspects.erase(waiting);
    for (const QueuedSearch& search : searches) {
      Begin(aNow, search, aActions);
    }
  }
}

void
Engine::RefuseLateSuspects(TimePoint aNow, Actions& aActions)
{
  for (auto& [fingerprint, searches] : m_suspects) {
    std::erase_if(searches, [&](const QueuedSearch& aSearch) {
      const bool late = aNow >= aSearch.m_deadline;
      if (late) {
        Refuse(aSearch.m_request.m_query,
               ErrorKind::DeadlineTooShort,
               "the search could not start in time",
               aActions);
      }
      return late;
    });
  }
}

// ---- Hedges and retries ---------------------------------------------------

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

// ---- Finish ---------------------------------------------------------------

bool
Engine::Satisfied(TimePoint aNow, const Query& aQuery) const
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
      Satisfied(aNow, aQuery)) {
    if (HoldBack(aNow, aQuery)) {
      return;
    }
    Finish(aNow, aQuery, aActions);
  }
}

bool
Engine::HoldBack(TimePoint aNow, Query& aQuery)
{
  const TimePoint end =
    std::min(aQuery.m_firstReset + kSuspectHold, aQuery.m_deadline);
  if (aQuery.m_resets == 0 || aNow >= end ||
      m_guard.Judge(aQuery.m_fingerprint) == Verdict::Harmless ||
      aQuery.m_coverage.Fraction() == 1) {
    return false;
  }
  if (!std::exchange(aQuery.m_held, true)) {
    m_timers.Add({ end, TimerKind::Hold, aQuery.m_request.m_query, 0, 0 });
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
  m_guard.Completed(aQuery.m_fingerprint,
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
    finish.m_hits = aQuery.m_merger.Take();
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
               InvariantId::NotRunIsTrue,
               std::to_string(aQuery.m_sent) + " attempts, " +
                 std::to_string(aQuery.m_notRun) + " certainly not run");
  aActions.emplace_back(std::move(finish));
  Release(aNow, aQuery, AttemptEnd::Unanswered, aActions);
}

void
Engine::Release(TimePoint aNow,
                Query& aQuery,
                AttemptEnd aEnd,
                Actions& aActions)
{
  for (std::uint32_t shard = 0; shard < aQuery.m_shards.size(); ++shard) {
    CancelAttempts(aNow, aQuery, shard, aEnd, aActions);
  }
  aQuery.m_service->m_history->m_admission.ObserveRun(aNow -
                                                      aQuery.m_startedAt);
  if (m_guardedRuns.erase(aQuery.m_fingerprint) > 0) {
    m_resumable.push_back(aQuery.m_fingerprint);
  }
  const QueryId id = aQuery.m_request.m_query;
  m_queries.erase(id);
}

void
Engine::Handle(TimePoint aNow, const CancelSearch& aEvent, Actions& aActions)
{
  if (Query* query = FindQuery(aEvent.m_query)) {
    Release(aNow, *query, AttemptEnd::Cancelled, aActions);
    DispatchWaiting(aNow, aActions);
    AdmitAll(aNow, aActions);
    return;
  }
  for (auto& [fingerprint, searches] : m_suspects) {
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
                   Pick::Chosen) {
      return;
    }
    aView.m_saturated -= aGroup.m_waiting.size() == aGroup.SaturatedAt();
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
  ResumeSuspects(aNow, aActions);
  while (!m_freed.empty()) {
    const ReplicaIndex replica = m_freed.back();
    m_freed.pop_back();
    const auto service = FindService(m_owners[replica]);
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

// ---- Timers ---------------------------------------------------------------

std::optional<TimePoint>
Engine::NextTimer() const
{
  return m_timers.Next();
}

void
Engine::FireTimers(TimePoint aNow, Actions& aActions)
{
  while (const std::optional<Timer> timer = m_timers.Take(aNow)) {
    Fire(aNow, *timer, aActions);
  }
  DispatchWaiting(aNow, aActions);
}

void
Engine::Fire(TimePoint aNow, const Timer& aTimer, Actions& aActions)
{
  if (aTimer.m_kind == TimerKind::Admission) {
    AdmitAll(aNow, aActions);
    return;
  }
  if (aTimer.m_kind == TimerKind::Hold && aTimer.m_query == 0) {
    RefuseLateSuspects(aNow, aActions);
    return;
  }
  Query* query = FindQuery(aTimer.m_query);
  if (query == nullptr) {
    return;
  }
  switch (aTimer.m_kind) {
    case TimerKind::Deadline:
    case TimerKind::ResponseTarget:
    case TimerKind::Hold:
      FinishIfDone(aNow, *query, aActions);
      break;
    case TimerKind::Hedge:
      if (aTimer.m_epoch == query->m_epoch) {
        Hedge(aNow, *query, aActions);
      }
      break;
    case TimerKind::Retry:
      if (aTimer.m_epoch == query->m_epoch) {
        Retry(aNow, *query, aTimer.m_shard, aActions);
      }
      break;
    default:
      break;
  }
}

// ---- Commands -------------------------------------------------------------

std::optional<std::string>
Engine::PickCommandReplica(TimePoint aNow,
                           const std::string& aService,
                           const std::vector<std::string>& aExclude)
{
  const auto service = FindService(aService);
  if (!service) {
    return std::nullopt;
  }
  std::vector<ReplicaIndex> exclude;
  for (const std::string& id : aExclude) {
    if (const auto index = m_replicas.Find(id)) {
      exclude.push_back(*index);
    }
  }
  ReplicaIndex replica = 0;
  if (PickReplica(aNow, *service, service->m_commands, exclude, replica) !=
      Pick::Chosen) {
    return std::nullopt;
  }
  ++m_replicas[replica].m_inFlight;
  ++m_commandsOut;
  return m_replicas[replica].m_id;
}

void
Engine::CommandDone(TimePoint aNow,
                    const std::string& aReplica,
                    Duration aLatency,
                    std::optional<SubFailureKind> aFailure)
{
  const auto index = m_replicas.Find(aReplica);
  if (!index || m_replicas[*index].m_inFlight == 0) {
    return;
  }
  --m_replicas[*index].m_inFlight;
  --m_commandsOut;
  if (aFailure == SubFailureKind::Draining) {
    SetDraining(aNow, m_replicas[*index]);
  }
  RecordEnd(
    aNow, *index, aFailure ? EndOf(*aFailure) : AttemptEnd::Answered, aLatency);
}

// ---- Suspects -------------------------------------------------------------

std::vector<SuspectReport>
Engine::Suspects() const
{
  return m_guard.List();
}

std::uint64_t
Engine::SuspectsVersion() const
{
  return m_guard.Version();
}

void
Engine::MergeSuspects(TimePoint aNow,
                      const std::vector<SuspectReport>& aReports,
                      Actions&)
{
  m_guard.Merge(aNow, aReports);
  for (const auto& [id, query] : m_queries) {
    if (m_guard.Judge(query->m_fingerprint) != Verdict::Harmless) {
      query->m_guarded = true;
    }
  }
}

bool
Engine::LiftQuarantine(TimePoint, std::uint64_t aFingerprint)
{
  return m_guard.Lift(aFingerprint);
}

EngineCounters
Engine::Counters() const
{
  EngineCounters counters = m_counters;
  counters.m_quarantined = m_guard.Quarantined();
  return counters;
}

} // namespace goldcrestkeel
