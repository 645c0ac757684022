#include "Simulation.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace goldcrestkeel::benchmark {

namespace {

constexpr DocumentCount kDocuments = 1000;
/** Minimum TCP retransmission time-out of Linux. */
constexpr Duration kRetransmissionTimeout{ 200000 };
/** Standard deviation of the logarithm of the service times, which are
 *  log-normal. */
constexpr double kServiceTimeSigma = 0.4;
/** Time from the start of a crashing statement to the crash of its replica. */
constexpr Duration kCrashDelay{ 1000 };

double
StandardNormal(RandomSource& aRandom)
{
  const double first = std::max(aRandom.Unit(), 1e-12);
  return std::sqrt(-2 * std::log(first)) * std::cos(2 * M_PI * aRandom.Unit());
}

double
Exponential(RandomSource& aRandom, double aMean)
{
  return -std::log(std::max(aRandom.Unit(), 1e-12)) * aMean;
}

} // namespace

/** One request from its submission to its reply or failure. An engine of -1
 *  marks a request of SendDirect(), which is answered by m_done. */
struct Simulation::PendingRequest
{
  int m_engine = -1;
  int m_dataCentre = 0;
  SendSubRequest m_send;
  std::function<void(bool)> m_done;
  bool m_finished = false;
  bool m_running = false;
};

/** Requests on one replica. */
struct Simulation::ReplicaState
{
  std::deque<std::shared_ptr<PendingRequest>> m_queue;
  std::vector<std::shared_ptr<PendingRequest>> m_running;
};

TimePoint
TimeAtSeconds(double aSeconds)
{
  return TimePoint{ Duration{ static_cast<Duration::rep>(aSeconds * 1e6) } };
}

Simulation::Simulation(const SimulationOptions& aOptions)
  : m_options(aOptions)
  , m_random(MakeSeededRandom(aOptions.m_seed))
{
  ServiceSpec spec;
  spec.m_name = "catalogue";
  spec.m_policy = aOptions.m_policy;
  for (int shard = 0; shard < aOptions.m_shards; ++shard) {
    const std::string name = "s" + std::to_string(shard);
    spec.m_shards.push_back(name);
    for (int dataCentre = 0; dataCentre < aOptions.m_replicas; ++dataCentre) {
      ReplicaSpec replica;
      replica.m_id = name + "-r" + std::to_string(dataCentre);
      replica.m_shard = name;
      replica.m_dataCentre = "dc" + std::to_string(dataCentre);
      replica.m_region = replica.m_dataCentre;
      replica.m_slots = aOptions.m_slots;
      replica.m_connections = aOptions.m_connections;
      m_replicaIndices[replica.m_id] = m_replicas.size();
      FakeReplica& fake = m_replicas.emplace_back();
      fake.m_id = replica.m_id;
      fake.m_shard = name;
      fake.m_dataCentre = dataCentre;
      spec.m_replicas.push_back(replica);
    }
  }
  m_replicaStates.resize(m_replicas.size());
  m_engines.resize(static_cast<std::size_t>(aOptions.m_engines));
  for (int i = 0; i < aOptions.m_engines; ++i) {
    EngineHost& host = m_engines[static_cast<std::size_t>(i)];
    host.m_dataCentre =
      i % static_cast<int>(aOptions.m_dataCentreDelays.size());
    host.m_random =
      MakeSeededRandom(aOptions.m_seed * 1000 + static_cast<std::uint64_t>(i));
    EngineOptions options;
    options.m_dataCentre = "dc" + std::to_string(host.m_dataCentre);
    options.m_region = options.m_dataCentre;
    options.m_crashGuard = aOptions.m_crashGuard;
    options.m_admission = aOptions.m_admission;
    host.m_engine = MakeQueryEngine(options, *host.m_random);
    host.m_engine->SetLiveHosts(Now(),
                                static_cast<std::uint32_t>(aOptions.m_engines));
    host.m_engine->SetService(Now(), spec);
    PollReplicaStatuses(i);
  }
}

Simulation::~Simulation() = default;

void
Simulation::At(TimePoint aTime, std::function<void()> aAction)
{
  m_events.At(std::max(aTime, Now()), std::move(aAction));
}

void
Simulation::After(Duration aDelay, std::function<void()> aAction)
{
  At(Now() + aDelay, std::move(aAction));
}

void
Simulation::Run(TimePoint aEnd)
{
  m_events.RunUntil(aEnd);
}

// ---- Network and replicas -------------------------------------------------

Duration
Simulation::OneWayDelay(int aFrom, int aTo) const
{
  const auto dataCentres =
    static_cast<int>(m_options.m_dataCentreDelays.size());
  const int distance = (aTo - aFrom + dataCentres) % dataCentres;
  return m_options.m_dataCentreDelays[static_cast<std::size_t>(distance)];
}

Duration
Simulation::SampleNetworkDelay(int aFrom, int aTo)
{
  Duration delay = OneWayDelay(aFrom, aTo);
  if (m_options.m_lossProbability > 0 &&
      m_random->Unit() < m_options.m_lossProbability) {
    delay += kRetransmissionTimeout;
  }
  return delay;
}

Duration
Simulation::SampleServiceTime(const FakeReplica& aReplica)
{
  const double mean = static_cast<double>(m_options.m_meanServiceTime.count());
  double time = mean * std::exp(kServiceTimeSigma * StandardNormal(*m_random) -
                                kServiceTimeSigma * kServiceTimeSigma / 2);
  if (m_random->Unit() < m_options.m_stragglerProbability) {
    time *= m_options.m_stragglerFactor;
  }
  return Duration{ static_cast<Duration::rep>(time * aReplica.m_slowdown) };
}

std::size_t
Simulation::PendingRequests(std::size_t aReplica) const
{
  return m_replicaStates[aReplica].m_queue.size() +
         m_replicaStates[aReplica].m_running.size();
}

void
Simulation::SendDirect(std::size_t aReplica,
                       int aDataCentre,
                       std::function<void(bool)> aDone)
{
  auto pending = std::make_shared<PendingRequest>();
  pending->m_dataCentre = aDataCentre;
  pending->m_done = std::move(aDone);
  After(SampleNetworkDelay(aDataCentre, m_replicas[aReplica].m_dataCentre),
        [this, aReplica, pending] { Arrive(aReplica, pending); });
}

void
Simulation::Send(int aEngine, const SendSubRequest& aSend)
{
  ++m_sent;
  ++m_sentTo[aSend.m_shard];
  const std::size_t replica = m_replicaIndices.at(aSend.m_replica);
  auto pending = std::make_shared<PendingRequest>();
  pending->m_engine = aEngine;
  pending->m_dataCentre =
    m_engines[static_cast<std::size_t>(aEngine)].m_dataCentre;
  pending->m_send = aSend;
  After(
    SampleNetworkDelay(pending->m_dataCentre, m_replicas[replica].m_dataCentre),
    [this, replica, pending] { Arrive(replica, pending); });
}

void
Simulation::Arrive(std::size_t aReplica,
                   std::shared_ptr<PendingRequest> aPending)
{
  FakeReplica& replica = m_replicas[aReplica];
  const Duration returnDelay =
    SampleNetworkDelay(replica.m_dataCentre, aPending->m_dataCentre);
  const auto refuse = [&](SubFailureKind aKind) {
    aPending->m_finished = true;
    After(returnDelay, [this, aPending, aKind] {
      if (aPending->m_done) {
        aPending->m_done(false);
        return;
      }
      Actions actions;
      Engine(aPending->m_engine)
        .Handle(
          Now(), SubFailure{ aPending->m_send.m_attempt, aKind }, actions);
      ExecuteActions(aPending->m_engine, actions);
    });
  };
  if (aPending->m_finished) {
    return;
  }
  if (!replica.m_alive) {
    refuse(SubFailureKind::ConnectFailed);
    return;
  }
  ++replica.m_arrived;
  replica.m_lastArrival = Now();
  if (m_replicaStates[aReplica].m_queue.size() >= m_options.m_maxQueueLength) {
    refuse(SubFailureKind::Shed);
    return;
  }
  m_replicaStates[aReplica].m_queue.push_back(std::move(aPending));
  StartNext(aReplica);
}

void
Simulation::StartNext(std::size_t aReplica)
{
  ReplicaState& state = m_replicaStates[aReplica];
  while (!state.m_queue.empty() && state.m_running.size() < m_options.m_slots) {
    const std::shared_ptr<PendingRequest> pending = state.m_queue.front();
    state.m_queue.pop_front();
    if (pending->m_finished) {
      continue;
    }
    pending->m_running = true;
    state.m_running.push_back(pending);
    if (!m_crashingStatement.empty() &&
        pending->m_send.m_statement == m_crashingStatement) {
      After(kCrashDelay, [this, aReplica, pending] {
        if (!pending->m_finished) {
          KillReplica(aReplica);
          After(m_options.m_restartDelay,
                [this, aReplica] { RestartReplica(aReplica); });
        }
      });
      continue;
    }
    After(SampleServiceTime(m_replicas[aReplica]),
          [this, aReplica, pending] { Complete(aReplica, pending); });
  }
}

void
Simulation::Complete(std::size_t aReplica,
                     const std::shared_ptr<PendingRequest>& aPending)
{
  if (aPending->m_finished) {
    return;
  }
  aPending->m_finished = true;
  std::erase(m_replicaStates[aReplica].m_running, aPending);
  const FakeReplica& replica = m_replicas[aReplica];
  const Duration returnDelay =
    SampleNetworkDelay(replica.m_dataCentre, aPending->m_dataCentre);
  if (aPending->m_done) {
    After(returnDelay, [aPending] { aPending->m_done(true); });
  } else {
    SubReply reply;
    reply.m_attempt = aPending->m_send.m_attempt;
    reply.m_incarnation = replica.m_incarnation;
    reply.m_echoQuery = aPending->m_send.m_query;
    reply.m_echoAttempt = aPending->m_send.m_attempt;
    reply.m_echoShard = aPending->m_send.m_shard;
    reply.m_echoVersion = aPending->m_send.m_version;
    reply.m_documentsSearched = kDocuments;
    reply.m_draining = replica.m_draining && m_options.m_reportDraining;
    After(returnDelay, [this, aPending, reply] {
      Actions actions;
      Engine(aPending->m_engine).Handle(Now(), reply, actions);
      ExecuteActions(aPending->m_engine, actions);
    });
  }
  StartNext(aReplica);
}

void
Simulation::KillReplica(std::size_t aReplica)
{
  FakeReplica& replica = m_replicas[aReplica];
  if (!replica.m_alive) {
    return;
  }
  replica.m_alive = false;
  ++replica.m_crashCount;
  ReplicaState& state = m_replicaStates[aReplica];
  std::vector<std::shared_ptr<PendingRequest>> requests(state.m_queue.begin(),
                                                        state.m_queue.end());
  requests.insert(
    requests.end(), state.m_running.begin(), state.m_running.end());
  state.m_queue.clear();
  state.m_running.clear();
  for (const auto& pending : requests) {
    if (pending->m_finished) {
      continue;
    }
    pending->m_finished = true;
    After(SampleNetworkDelay(replica.m_dataCentre, pending->m_dataCentre),
          [this, pending] {
            if (pending->m_done) {
              pending->m_done(false);
              return;
            }
            Actions actions;
            Engine(pending->m_engine)
              .Handle(
                Now(),
                SubFailure{ pending->m_send.m_attempt, SubFailureKind::Reset },
                actions);
            ExecuteActions(pending->m_engine, actions);
          });
  }
}

void
Simulation::RestartReplica(std::size_t aReplica)
{
  m_replicas[aReplica].m_alive = true;
  ++m_replicas[aReplica].m_incarnation;
}

// ---- Engines --------------------------------------------------------------

void
Simulation::Search(int aEngine, const StartSearch& aRequest, Callback aDone)
{
  StartSearch request = aRequest;
  request.m_query = m_nextQuery++;
  request.m_service = "catalogue";
  m_engines[static_cast<std::size_t>(aEngine)].m_unanswered[request.m_query] = {
    Now(), std::move(aDone)
  };
  Actions actions;
  Engine(aEngine).Handle(Now(), request, actions);
  ExecuteActions(aEngine, actions);
}

void
Simulation::GenerateLoad(double aRate,
                         TimePoint aEnd,
                         const StartSearch& aRequest)
{
  for (int i = 0; i < m_options.m_engines; ++i) {
    ScheduleNextSearch(i, aRate, aEnd, aRequest);
  }
}

void
Simulation::ScheduleNextSearch(int aEngine,
                               double aRate,
                               TimePoint aEnd,
                               const StartSearch& aRequest)
{
  const Duration interval{ static_cast<Duration::rep>(
    Exponential(*m_random, 1e6 / aRate)) };
  if (Now() + interval > aEnd) {
    return;
  }
  After(interval, [this, aEngine, aRate, aEnd, aRequest] {
    StartSearch request = aRequest;
    if (m_statementSource) {
      request.m_statement = m_statementSource();
    }
    Search(aEngine, request, [this](const SearchOutcome& aOutcome) {
      m_outcomes.push_back(aOutcome);
    });
    ScheduleNextSearch(aEngine, aRate, aEnd, aRequest);
  });
}

void
Simulation::ExecuteActions(int aEngine, Actions& aActions)
{
  EngineHost& host = m_engines[static_cast<std::size_t>(aEngine)];
  for (Action& action : aActions) {
    if (const auto* send = std::get_if<SendSubRequest>(&action)) {
      Send(aEngine, *send);
    } else if (const auto* cancel = std::get_if<CancelSubRequest>(&action)) {
      const std::size_t replica = m_replicaIndices.at(cancel->m_replica);
      const AttemptId attempt = cancel->m_attempt;
      After(
        SampleNetworkDelay(host.m_dataCentre, m_replicas[replica].m_dataCentre),
        [this, replica, attempt, aEngine] {
          ReplicaState& state = m_replicaStates[replica];
          const auto matches =
            [&](const std::shared_ptr<PendingRequest>& aPending) {
              return aPending->m_engine == aEngine &&
                     aPending->m_send.m_attempt == attempt;
            };
          for (auto& pending : state.m_queue) {
            pending->m_finished = pending->m_finished || matches(pending);
          }
          const auto running = std::find_if(
            state.m_running.begin(), state.m_running.end(), matches);
          if (running != state.m_running.end()) {
            (*running)->m_finished = true;
            state.m_running.erase(running);
            StartNext(replica);
          }
        });
    } else {
      auto& finish = std::get<FinishSearch>(action);
      const auto unanswered = host.m_unanswered.find(finish.m_query);
      if (unanswered == host.m_unanswered.end()) {
        continue;
      }
      const auto [start, done] = unanswered->second;
      host.m_unanswered.erase(unanswered);
      done({ start, Now(), std::move(finish) });
    }
  }
  ScheduleTimer(aEngine);
  ShareSuspects(aEngine);
}

void
Simulation::ScheduleTimer(int aEngine)
{
  EngineHost& host = m_engines[static_cast<std::size_t>(aEngine)];
  const auto next = host.m_engine->NextTimer();
  if (!next || (*next >= host.m_timerAt && host.m_timerAt > Now())) {
    return;
  }
  host.m_timerAt = std::max(*next, Now());
  At(host.m_timerAt, [this, aEngine] {
    EngineHost& engineHost = m_engines[static_cast<std::size_t>(aEngine)];
    if (engineHost.m_timerAt <= Now()) {
      engineHost.m_timerAt = TimePoint::max();
    }
    Actions actions;
    engineHost.m_engine->FireTimers(Now(), actions);
    ExecuteActions(aEngine, actions);
  });
}

void
Simulation::ShareSuspects(int aEngine)
{
  EngineHost& host = m_engines[static_cast<std::size_t>(aEngine)];
  if (host.m_sharedSuspectsVersion == host.m_engine->SuspectsVersion()) {
    return;
  }
  host.m_sharedSuspectsVersion = host.m_engine->SuspectsVersion();
  for (int other = 0; other < m_options.m_engines; ++other) {
    if (other != aEngine) {
      After(m_options.m_suspectPropagationDelay,
            [this, other, reports = host.m_engine->Suspects()] {
              Actions actions;
              Engine(other).MergeSuspects(Now(), reports, actions);
              ExecuteActions(other, actions);
            });
    }
  }
}

void
Simulation::PollReplicaStatuses(int aEngine)
{
  for (std::size_t i = 0; i < m_replicas.size(); ++i) {
    const FakeReplica& replica = m_replicas[i];
    if (!replica.m_alive) {
      Engine(aEngine).StatusUnavailable(Now(), replica.m_id);
      continue;
    }
    ReplicaStatus status;
    status.m_replica = replica.m_id;
    status.m_incarnation = replica.m_incarnation;
    status.m_draining = replica.m_draining && m_options.m_reportDraining;
    status.m_cold = replica.m_cold;
    status.m_slots = m_options.m_slots;
    status.m_inFlight =
      static_cast<std::uint32_t>(m_replicaStates[i].m_running.size());
    status.m_queued =
      static_cast<std::uint32_t>(m_replicaStates[i].m_queue.size());
    HeldVersion held;
    held.m_map.m_version = 1;
    for (int shard = 0; shard < m_options.m_shards; ++shard) {
      held.m_map.m_documents["s" + std::to_string(shard)] = kDocuments;
    }
    held.m_shard = replica.m_shard;
    status.m_versions.push_back(std::move(held));
    Actions actions;
    Engine(aEngine).Handle(Now(), status, actions);
    ExecuteActions(aEngine, actions);
  }
  After(m_options.m_statusInterval,
        [this, aEngine] { PollReplicaStatuses(aEngine); });
}

std::uint64_t
Simulation::SentSubRequestsTo(const std::string& aShard) const
{
  const auto entry = m_sentTo.find(aShard);
  return entry == m_sentTo.end() ? 0 : entry->second;
}

std::size_t
Simulation::UnansweredSearches(int aEngine) const
{
  return m_engines[static_cast<std::size_t>(aEngine)].m_unanswered.size();
}

EngineCounters
Simulation::TotalCounters() const
{
  EngineCounters totals;
  for (const EngineHost& host : m_engines) {
    const EngineCounters counters = host.m_engine->Counters();
    totals.m_queries += counters.m_queries;
    totals.m_refused += counters.m_refused;
    totals.m_subRequests += counters.m_subRequests;
    totals.m_hedges += counters.m_hedges;
    totals.m_retries += counters.m_retries;
    totals.m_ejections += counters.m_ejections;
    totals.m_quarantined += counters.m_quarantined;
  }
  return totals;
}

std::vector<double>
LatenciesMs(const std::vector<SearchOutcome>& aOutcomes)
{
  std::vector<double> latenciesMs;
  latenciesMs.reserve(aOutcomes.size());
  for (const SearchOutcome& outcome : aOutcomes) {
    latenciesMs.push_back(
      static_cast<double>((outcome.m_answeredAt - outcome.m_sentAt).count()) /
      1000);
  }
  return latenciesMs;
}

double
MeanCoverage(const std::vector<SearchOutcome>& aOutcomes)
{
  const double sum =
    std::accumulate(aOutcomes.begin(),
                    aOutcomes.end(),
                    0.0,
                    [](double aSum, const SearchOutcome& aOutcome) {
                      return aSum + aOutcome.m_answer.m_coverage.m_fraction;
                    });
  return aOutcomes.empty() ? 0 : sum / static_cast<double>(aOutcomes.size());
}

} // namespace goldcrestkeel::benchmark
