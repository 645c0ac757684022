#include "Engine.h"

namespace goldcrestkeel {

std::unique_ptr<QueryEngine>
MakeQueryEngine(const EngineOptions& aOptions, RandomSource& aRandom)
{
  return std::make_unique<Engine>(aOptions, aRandom);
}

Engine::Engine(const EngineOptions& aOptions, RandomSource& aRandom)
  : m_options(aOptions)
  , m_random(aRandom)
  , m_snapshots(MakeBestCoverageSelector())
  , m_shares(aOptions.m_joinedAt)
{
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
  while (const std::optional<Timer> timer = m_timers.PopDue(aNow)) {
    RunTimer(aNow, *timer, aActions);
  }
  DispatchWaiting(aNow, aActions);
}

void
Engine::RunTimer(TimePoint aNow, const Timer& aTimer, Actions& aActions)
{
  if (aTimer.m_kind == TimerKind::Admission) {
    AdmitAll(aNow, aActions);
    return;
  }
  if (aTimer.m_kind == TimerKind::SuspectTimeout && aTimer.m_query == 0) {
    RefuseExpiredSuspects(aNow, aActions);
    return;
  }
  Query* query = FindQuery(aTimer.m_query);
  if (query == nullptr) {
    return;
  }
  switch (aTimer.m_kind) {
    case TimerKind::Deadline:
    case TimerKind::ResponseTarget:
    case TimerKind::SuspectTimeout:
      FinishIfDone(aNow, *query, aActions);
      break;
    case TimerKind::Hedge:
      if (aTimer.m_epoch == query->m_epoch) {
        SendHedges(aNow, *query, aActions);
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
      SelectionResult::Chosen) {
    return std::nullopt;
  }
  ++m_replicas[replica].m_inFlight;
  ++m_commandsInFlight;
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
  --m_commandsInFlight;
  if (aFailure == SubFailureKind::Draining) {
    SetDraining(aNow, m_replicas[*index]);
  }
  RecordOutcome(aNow,
                *index,
                aFailure ? OutcomeOf(*aFailure) : AttemptOutcome::Answered,
                aLatency);
}

// ---- Suspects -------------------------------------------------------------

std::vector<SuspectReport>
Engine::Suspects() const
{
  return m_guard.Reports();
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
    if (m_guard.StatusOf(query->m_fingerprint) != StatementStatus::Allowed) {
      query->m_suspect = true;
    }
  }
}

bool
Engine::LiftQuarantine(TimePoint, std::uint64_t aFingerprint)
{
  return m_guard.LiftQuarantine(aFingerprint);
}

EngineCounters
Engine::Counters() const
{
  EngineCounters counters = m_counters;
  counters.m_quarantined = m_guard.QuarantinedCount();
  return counters;
}

} // namespace goldcrestkeel
