#include "Simulation.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace goldcrestkeel::benchmark {

namespace {

constexpr DocumentCount kDocuments = 1000;
/** Smallest retransmission time-out of Linux. */
constexpr Duration kRetransmission{ 200000 };
/** Spread of the service times (standard deviation of their logarithm). */
constexpr double kSpread = 0.4;
/** Time after which a crashing statement takes its replica down. */
constexpr Duration kCrashAfter{ 1000 };

double
Normal(RandomSource& aRandom)
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

/** One request on its way to, on or from a replica. */
struct Simulation::Work
{
  int m_engine = -1;
  int m_dataCentre = 0;
  SendSubRequest m_send;
  std::function<void(bool)> m_done;
  bool m_ended = false;
  bool m_running = false;
};

struct Simulation::Node
{
  std::deque<std::shared_ptr<Work>> m_queue;
  std::vector<std::shared_ptr<Work>> m_running;
};

TimePoint
Seconds(double aSeconds)
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
    for (int copy = 0; copy < aOptions.m_replicas; ++copy) {
      ReplicaSpec replica;
      replica.m_id = name + "-r" + std::to_string(copy);
      replica.m_shard = name;
      replica.m_dataCentre = "dc" + std::to_string(copy);
      replica.m_region = replica.m_dataCentre;
      replica.m_slots = aOptions.m_slots;
      replica.m_connections = aOptions.m_connections;
      m_indices[replica.m_id] = m_replicas.size();
      FakeReplica& fake = m_replicas.emplace_back();
      fake.m_id = replica.m_id;
      fake.m_shard = name;
      fake.m_dataCentre = copy;
      spec.m_replicas.push_back(replica);
    }
  }
  m_nodes.resize(m_replicas.size());
  m_engines.resize(static_cast<std::size_t>(aOptions.m_engines));
  for (int i = 0; i < aOptions.m_engines; ++i) {
    Host& host = m_engines[static_cast<std::size_t>(i)];
    host.m_dataCentre = i % static_cast<int>(aOptions.m_delays.size());
    host.m_random =
      MakeSeededRandom(aOptions.m_seed * 1000 + static_cast<std::uint64_t>(i));
    EngineOptions options;
    options.m_dataCentre = "dc" + std::to_string(host.m_dataCentre);
    options.m_region = options.m_dataCentre;
    options.m_crashGuard = aOptions.m_crashGuard;
    options.m_admission = aOptions.m_admission;
    host.m_engine = MakeQueryEngine(options, *host.m_random);
    host.m_engine->SetLiveHosts(m_now,
                                static_cast<std::uint32_t>(aOptions.m_engines));
    host.m_engine->SetService(m_now, spec);
    Poll(i);
  }
}

Simulation::~Simulation() = default;

void
Simulation::At(TimePoint aTime, std::function<void()> aAction)
{
  m_events.push({ std::max(aTime, m_now), ++m_order, std::move(aAction) });
}

void
Simulation::After(Duration aDelay, std::function<void()> aAction)
{
  At(m_now + aDelay, std::move(aAction));
}

void
Simulation::Run(TimePoint aEnd)
{
  while (!m_events.empty() && m_events.top().m_at <= aEnd) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.m_at;
    event.m_action();
  }
  m_now = aEnd;
}

// ---- Network and replicas -------------------------------------------------

Duration
Simulation::Delay(int aFrom, int aTo) const
{
  const auto places = static_cast<int>(m_options.m_delays.size());
  const int distance = (aTo - aFrom + places) % places;
  return m_options.m_delays[static_cast<std::size_t>(distance)];
}

Duration
Simulation::Network(int aFrom, int aTo)
{
  Duration delay = Delay(aFrom, aTo);
  if (m_options.m_loss > 0 && m_random->Unit() < m_options.m_loss) {
    delay += kRetransmission;
  }
  return delay;
}

Duration
Simulation::ServiceTime(const FakeReplica& aReplica)
{
  const double mean = static_cast<double>(m_options.m_service.count());
  double time =
    mean * std::exp(kSpread * Normal(*m_random) - kSpread * kSpread / 2);
  if (m_random->Unit() < m_options.m_stragglers) {
    time *= m_options.m_stragglerFactor;
  }
  return Duration{ static_cast<Duration::rep>(time * aReplica.m_slowness) };
}

std::size_t
Simulation::Busy(std::size_t aReplica) const
{
  return m_nodes[aReplica].m_queue.size() + m_nodes[aReplica].m_running.size();
}

void
Simulation::Direct(std::size_t aReplica,
                   int aDataCentre,
                   std::function<void(bool)> aDone)
{
  auto work = std::make_shared<Work>();
  work->m_dataCentre = aDataCentre;
  work->m_done = std::move(aDone);
  After(Network(aDataCentre, m_replicas[aReplica].m_dataCentre),
        [this, aReplica, work] { Arrive(aReplica, work); });
}

void
Simulation::Send(int aEngine, const SendSubRequest& aSend)
{
  ++m_sent;
  ++m_sentTo[aSend.m_shard];
  const std::size_t replica = m_indices.at(aSend.m_replica);
  auto work = std::make_shared<Work>();
  work->m_engine = aEngine;
  work->m_dataCentre =
    m_engines[static_cast<std::size_t>(aEngine)].m_dataCentre;
  work->m_send = aSend;
  After(Network(work->m_dataCentre, m_replicas[replica].m_dataCentre),
        [this, replica, work] { Arrive(replica, work); });
}

void
Simulation::Arrive(std::size_t aReplica, std::shared_ptr<Work> aWork)
{
  FakeReplica& replica = m_replicas[aReplica];
  const Duration back = Network(replica.m_dataCentre, aWork->m_dataCentre);
  const auto refuse = [&](SubFailureKind aKind) {
    aWork->m_ended = true;
    After(back, [this, aWork, aKind] {
      if (aWork->m_done) {
        aWork->m_done(false);
        return;
      }
      Actions actions;
      Engine(aWork->m_engine)
        .Handle(m_now, SubFailure{ aWork->m_send.m_attempt, aKind }, actions);
      Apply(aWork->m_engine, actions);
    });
  };
  if (aWork->m_ended) {
    return;
  }
  if (!replica.m_alive) {
    refuse(SubFailureKind::ConnectFailed);
    return;
  }
  ++replica.m_arrived;
  replica.m_lastArrival = m_now;
  if (m_nodes[aReplica].m_queue.size() >= m_options.m_maxQueue) {
    refuse(SubFailureKind::Shed);
    return;
  }
  m_nodes[aReplica].m_queue.push_back(std::move(aWork));
  StartNext(aReplica);
}

void
Simulation::StartNext(std::size_t aReplica)
{
  Node& node = m_nodes[aReplica];
  while (!node.m_queue.empty() && node.m_running.size() < m_options.m_slots) {
    const std::shared_ptr<Work> work = node.m_queue.front();
    node.m_queue.pop_front();
    if (work->m_ended) {
      continue;
    }
    work->m_running = true;
    node.m_running.push_back(work);
    if (!m_crashing.empty() && work->m_send.m_statement == m_crashing) {
      After(kCrashAfter, [this, aReplica, work] {
        if (!work->m_ended) {
          Kill(aReplica);
          After(m_options.m_restart, [this, aReplica] { Revive(aReplica); });
        }
      });
      continue;
    }
    After(ServiceTime(m_replicas[aReplica]),
          [this, aReplica, work] { Complete(aReplica, work); });
  }
}

void
Simulation::Complete(std::size_t aReplica, const std::shared_ptr<Work>& aWork)
{
  if (aWork->m_ended) {
    return;
  }
  aWork->m_ended = true;
  std::erase(m_nodes[aReplica].m_running, aWork);
  const FakeReplica& replica = m_replicas[aReplica];
  const Duration back = Network(replica.m_dataCentre, aWork->m_dataCentre);
  if (aWork->m_done) {
    After(back, [aWork] { aWork->m_done(true); });
  } else {
    SubReply reply;
    reply.m_attempt = aWork->m_send.m_attempt;
    reply.m_incarnation = replica.m_incarnation;
    reply.m_echoQuery = aWork->m_send.m_query;
    reply.m_echoAttempt = aWork->m_send.m_attempt;
    reply.m_echoShard = aWork->m_send.m_shard;
    reply.m_echoVersion = aWork->m_send.m_version;
    reply.m_documentsSearched = kDocuments;
    reply.m_draining = replica.m_draining && m_options.m_drainSignals;
    After(back, [this, aWork, reply] {
      Actions actions;
      Engine(aWork->m_engine).Handle(m_now, reply, actions);
      Apply(aWork->m_engine, actions);
    });
  }
  StartNext(aReplica);
}

void
Simulation::Kill(std::size_t aReplica)
{
  FakeReplica& replica = m_replicas[aReplica];
  if (!replica.m_alive) {
    return;
  }
  replica.m_alive = false;
  ++replica.m_deaths;
  Node& node = m_nodes[aReplica];
  std::vector<std::shared_ptr<Work>> lost(node.m_queue.begin(),
                                          node.m_queue.end());
  lost.insert(lost.end(), node.m_running.begin(), node.m_running.end());
  node.m_queue.clear();
  node.m_running.clear();
  for (const auto& work : lost) {
    if (work->m_ended) {
      continue;
    }
    work->m_ended = true;
    After(Network(replica.m_dataCentre, work->m_dataCentre), [this, work] {
      if (work->m_done) {
        work->m_done(false);
        return;
      }
      Actions actions;
      Engine(work->m_engine)
        .Handle(m_now,
                SubFailure{ work->m_send.m_attempt, SubFailureKind::Reset },
                actions);
      Apply(work->m_engine, actions);
    });
  }
}

void
Simulation::Revive(std::size_t aReplica)
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
  m_engines[static_cast<std::size_t>(aEngine)].m_waiting[request.m_query] = {
    m_now, std::move(aDone)
  };
  Actions actions;
  Engine(aEngine).Handle(m_now, request, actions);
  Apply(aEngine, actions);
}

void
Simulation::Load(double aRate, TimePoint aEnd, const StartSearch& aRequest)
{
  for (int i = 0; i < m_options.m_engines; ++i) {
    Arrivals(i, aRate, aEnd, aRequest);
  }
}

void
Simulation::Arrivals(int aEngine,
                     double aRate,
                     TimePoint aEnd,
                     const StartSearch& aRequest)
{
  const Duration pause{ static_cast<Duration::rep>(
    Exponential(*m_random, 1e6 / aRate)) };
  if (m_now + pause > aEnd) {
    return;
  }
  After(pause, [this, aEngine, aRate, aEnd, aRequest] {
    StartSearch request = aRequest;
    if (m_statements) {
      request.m_statement = m_statements();
    }
    Search(aEngine, request, [this](const Outcome& aOutcome) {
      m_outcomes.push_back(aOutcome);
    });
    Arrivals(aEngine, aRate, aEnd, aRequest);
  });
}

void
Simulation::Apply(int aEngine, Actions& aActions)
{
  Host& host = m_engines[static_cast<std::size_t>(aEngine)];
  for (Action& action : aActions) {
    if (const auto* send = std::get_if<SendSubRequest>(&action)) {
      Send(aEngine, *send);
    } else if (const auto* cancel = std::get_if<CancelSubRequest>(&action)) {
      const std::size_t replica = m_indices.at(cancel->m_replica);
      const AttemptId attempt = cancel->m_attempt;
      After(Network(host.m_dataCentre, m_replicas[replica].m_dataCentre),
            [this, replica, attempt, aEngine] {
              Node& node = m_nodes[replica];
              const auto matches = [&](const std::shared_ptr<Work>& aWork) {
                return aWork->m_engine == aEngine &&
                       aWork->m_send.m_attempt == attempt;
              };
              for (auto& work : node.m_queue) {
                work->m_ended = work->m_ended || matches(work);
              }
              const auto running = std::find_if(
                node.m_running.begin(), node.m_running.end(), matches);
              if (running != node.m_running.end()) {
                (*running)->m_ended = true;
                node.m_running.erase(running);
                StartNext(replica);
              }
            });
    } else {
      auto& finish = std::get<FinishSearch>(action);
      const auto waiting = host.m_waiting.find(finish.m_query);
      if (waiting == host.m_waiting.end()) {
        continue;
      }
      const auto [start, done] = waiting->second;
      host.m_waiting.erase(waiting);
      done({ start, m_now, std::move(finish) });
    }
  }
  ArmTimer(aEngine);
  ShareSuspects(aEngine);
}

void
Simulation::ArmTimer(int aEngine)
{
  Host& host = m_engines[static_cast<std::size_t>(aEngine)];
  const auto next = host.m_engine->NextTimer();
  if (!next || (*next >= host.m_timer && host.m_timer > m_now)) {
    return;
  }
  host.m_timer = std::max(*next, m_now);
  At(host.m_timer, [this, aEngine] {
    Host& fired = m_engines[static_cast<std::size_t>(aEngine)];
    if (fired.m_timer <= m_now) {
      fired.m_timer = TimePoint::max();
    }
    Actions actions;
    fired.m_engine->FireTimers(m_now, actions);
    Apply(aEngine, actions);
  });
}

void
Simulation::ShareSuspects(int aEngine)
{
  Host& host = m_engines[static_cast<std::size_t>(aEngine)];
  if (host.m_suspects == host.m_engine->SuspectsVersion()) {
    return;
  }
  host.m_suspects = host.m_engine->SuspectsVersion();
  for (int other = 0; other < m_options.m_engines; ++other) {
    if (other != aEngine) {
      After(m_options.m_suspectDelay,
            [this, other, reports = host.m_engine->Suspects()] {
              Actions actions;
              Engine(other).MergeSuspects(m_now, reports, actions);
              Apply(other, actions);
            });
    }
  }
}

void
Simulation::Poll(int aEngine)
{
  for (std::size_t i = 0; i < m_replicas.size(); ++i) {
    const FakeReplica& replica = m_replicas[i];
    if (!replica.m_alive) {
      Engine(aEngine).StatusUnavailable(m_now, replica.m_id);
      continue;
    }
    ReplicaStatus status;
    status.m_replica = replica.m_id;
    status.m_incarnation = replica.m_incarnation;
    status.m_draining = replica.m_draining && m_options.m_drainSignals;
    status.m_cold = replica.m_cold;
    status.m_slots = m_options.m_slots;
    status.m_inFlight = static_cast<std::uint32_t>(m_nodes[i].m_running.size());
    status.m_queued = static_cast<std::uint32_t>(m_nodes[i].m_queue.size());
    HeldVersion held;
    held.m_map.m_version = 1;
    for (int shard = 0; shard < m_options.m_shards; ++shard) {
      held.m_map.m_documents["s" + std::to_string(shard)] = kDocuments;
    }
    held.m_shard = replica.m_shard;
    status.m_versions.push_back(std::move(held));
    Actions actions;
    Engine(aEngine).Handle(m_now, status, actions);
    Apply(aEngine, actions);
  }
  After(m_options.m_statusInterval, [this, aEngine] { Poll(aEngine); });
}

std::uint64_t
Simulation::SentTo(const std::string& aShard) const
{
  const auto entry = m_sentTo.find(aShard);
  return entry == m_sentTo.end() ? 0 : entry->second;
}

std::size_t
Simulation::Waiting(int aEngine) const
{
  return m_engines[static_cast<std::size_t>(aEngine)].m_waiting.size();
}

EngineCounters
Simulation::Totals() const
{
  EngineCounters totals;
  for (const Host& host : m_engines) {
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
Latencies(const std::vector<Outcome>& aOutcomes)
{
  std::vector<double> latencies;
  latencies.reserve(aOutcomes.size());
  for (const Outcome& outcome : aOutcomes) {
    latencies.push_back(
      static_cast<double>((outcome.m_endedAt - outcome.m_sentAt).count()) /
      1000);
  }
  return latencies;
}

double
MeanCoverage(const std::vector<Outcome>& aOutcomes)
{
  const double sum =
    std::accumulate(aOutcomes.begin(),
                    aOutcomes.end(),
                    0.0,
                    [](double aSum, const Outcome& aOutcome) {
                      return aSum + aOutcome.m_answer.m_coverage.m_fraction;
                    });
  return aOutcomes.empty() ? 0 : sum / static_cast<double>(aOutcomes.size());
}

} // namespace goldcrestkeel::benchmark
