#include "Benchmark.h"
#include "Simulation.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace goldcrestkeel::benchmark {

namespace {

/** A third of the capacity of the replicas, so that round robin does not
 *  overload the slow replica. */
constexpr double kSearchesPerSecond = 100;
constexpr double kDurationSeconds = 100;
/** Factor on the service time of the slow replica. */
constexpr double kSlowReplicaFactor = 5;
constexpr double kStragglerProbability = 0.02;

struct Result
{
  double m_p99 = 0;
  double m_extraLoad = 0;
  double m_coverage = 0;
};

/** Runs a load in which one replica of the first shard, in the same data centre
 *  as the engine, is slow. */
Result
Measure(const SimulationOptions& aOptions, Duration aDeadline)
{
  Simulation simulation(aOptions);
  simulation.Replicas().front().m_slowdown = kSlowReplicaFactor;
  StartSearch request;
  request.m_deadline = aDeadline;
  simulation.GenerateLoad(
    kSearchesPerSecond, TimeAtSeconds(kDurationSeconds), request);
  simulation.Run(TimeAtSeconds(kDurationSeconds + 5));
  const EngineCounters counters = simulation.TotalCounters();
  const double extraSubRequests =
    static_cast<double>(counters.m_hedges + counters.m_retries);
  return { Quantile(LatenciesMs(simulation.Outcomes()), 0.99),
           extraSubRequests /
             (static_cast<double>(counters.m_subRequests) - extraSubRequests),
           MeanCoverage(simulation.Outcomes()) };
}

/** Runs the same load with round robin and without hedging. */
Result
Baseline(SimulationOptions aOptions, Duration aDeadline)
{
  aOptions.m_policy.m_selector = "round_robin";
  aOptions.m_policy.m_hedge = "none";
  return Measure(aOptions, aDeadline);
}

/** Stragglers and one slow replica, with the default coverage preference. */
class CoopBenchmark : public Benchmark
{
public:
  std::string_view Name() const override { return "coop.tender"; }

  std::vector<Figure> Run(std::uint64_t aSeed) override
  {
    SimulationOptions options;
    options.m_seed = aSeed;
    options.m_stragglerProbability = kStragglerProbability;
    const Duration deadline{ 1000000 };
    const Result policy = Measure(options, deadline);
    const Result baseline = Baseline(options, deadline);
    return {
      { "coop.tender.p99_ms", policy.m_p99, Bound::None, 0, baseline.m_p99 },
      { "coop.tender.p99_ratio",
        policy.m_p99 / baseline.m_p99,
        Bound::AtMost,
        0.5,
        1 },
      { "coop.tender.extra_load",
        policy.m_extraLoad,
        Bound::AtMost,
        0.05,
        baseline.m_extraLoad },
      { "coop.tender.coverage",
        policy.m_coverage,
        Bound::AtLeast,
        0.99,
        baseline.m_coverage }
    };
  }
};

/** A remote data centre, packet loss and fewer slots, with the preference
 *  WaitForCoverage. */
class GuildBenchmark : public Benchmark
{
public:
  std::string_view Name() const override { return "guild.spares"; }

  std::vector<Figure> Run(std::uint64_t aSeed) override
  {
    SimulationOptions options;
    options.m_seed = aSeed;
    options.m_slots = 2;
    options.m_connections = 25;
    options.m_dataCentreDelays = { Duration{ 250 },
                                   Duration{ 3000 },
                                   Duration{ 20000 } };
    options.m_stragglerProbability = kStragglerProbability;
    options.m_lossProbability = 0.01;
    options.m_policy.m_preference = CoveragePreference::WaitForCoverage;
    const Duration deadline{ 1000000 };
    const Result policy = Measure(options, deadline);
    const Result baseline = Baseline(options, deadline);
    return {
      { "guild.spares.coverage",
        policy.m_coverage,
        Bound::AtLeast,
        0.999,
        baseline.m_coverage },
      { "guild.spares.extra_load",
        policy.m_extraLoad,
        Bound::AtMost,
        0.05,
        baseline.m_extraLoad },
      { "guild.spares.p99_ms", policy.m_p99, Bound::None, 0, baseline.m_p99 },
      { "guild.spares.p99_ratio",
        policy.m_p99 / baseline.m_p99,
        Bound::AtMost,
        0.6,
        1 }
    };
  }
};

/** Load generator that sends each sub-request to the replica with the lowest
 *  expected latency, computed from the actual state of all replicas. */
class Oracle
{
public:
  Oracle(Simulation& aSimulation,
         int aShards,
         int aReplicas,
         Duration aMeanServiceTime)
    : m_simulation(aSimulation)
    , m_shards(aShards)
    , m_replicas(aReplicas)
    , m_meanServiceTimeUs(static_cast<double>(aMeanServiceTime.count()))
  {
  }

  void GenerateLoad(double aRate, TimePoint aEnd)
  {
    const Duration interval{ static_cast<Duration::rep>(
      -std::log(std::max(m_simulation.Random().Unit(), 1e-12)) * 1e6 / aRate) };
    if (m_simulation.Now() + interval > aEnd) {
      return;
    }
    m_simulation.After(interval, [this, aRate, aEnd] {
      Search();
      GenerateLoad(aRate, aEnd);
    });
  }

  const std::vector<double>& LatenciesMs() const { return m_latenciesMs; }

private:
  double ExpectedLatencyUs(std::size_t aReplica) const
  {
    const FakeReplica& replica = m_simulation.Replicas()[aReplica];
    const double network = static_cast<double>(
      m_simulation.OneWayDelay(0, replica.m_dataCentre).count());
    const double pendingRequests =
      static_cast<double>(m_simulation.PendingRequests(aReplica));
    return 2 * network + m_meanServiceTimeUs * replica.m_slowdown *
                           std::max(1.0, (pendingRequests + 1) / 3);
  }

  void Search()
  {
    const TimePoint start = m_simulation.Now();
    const auto unanswered = std::make_shared<int>(m_shards);
    for (int shard = 0; shard < m_shards; ++shard) {
      const auto first = static_cast<std::size_t>(shard * m_replicas);
      std::size_t bestReplica = first;
      for (std::size_t i = first + 1;
           i < first + static_cast<std::size_t>(m_replicas);
           ++i) {
        bestReplica = ExpectedLatencyUs(i) < ExpectedLatencyUs(bestReplica)
                        ? i
                        : bestReplica;
      }
      m_simulation.SendDirect(bestReplica, 0, [this, start, unanswered](bool) {
        if (--*unanswered == 0) {
          m_latenciesMs.push_back(
            static_cast<double>((m_simulation.Now() - start).count()) / 1000);
        }
      });
    }
  }

  Simulation& m_simulation;
  int m_shards;
  int m_replicas;
  double m_meanServiceTimeUs;
  std::vector<double> m_latenciesMs;
};

/** Compares the p99 latency of the engine with that of the oracle. */
class OptimumBenchmark : public Benchmark
{
public:
  std::string_view Name() const override { return "optimum"; }

  /** The speed of each replica changes every 10 s. There are no stragglers,
   *  because no policy can predict them. */
  std::vector<Figure> Run(std::uint64_t aSeed) override
  {
    SimulationOptions options;
    options.m_seed = aSeed;
    options.m_policy.m_hedge = "quantile";
    Simulation policy(options);
    ChangeSpeeds(policy, aSeed);
    policy.GenerateLoad(
      kSearchesPerSecond, TimeAtSeconds(kDurationSeconds), {});
    policy.Run(TimeAtSeconds(kDurationSeconds + 5));

    options.m_policy.m_selector = "round_robin";
    options.m_policy.m_hedge = "none";
    Simulation baseline(options);
    ChangeSpeeds(baseline, aSeed);
    baseline.GenerateLoad(
      kSearchesPerSecond, TimeAtSeconds(kDurationSeconds), {});
    baseline.Run(TimeAtSeconds(kDurationSeconds + 5));

    Simulation ideal(options);
    ChangeSpeeds(ideal, aSeed);
    Oracle oracle(
      ideal, options.m_shards, options.m_replicas, options.m_meanServiceTime);
    oracle.GenerateLoad(kSearchesPerSecond, TimeAtSeconds(kDurationSeconds));
    ideal.Run(TimeAtSeconds(kDurationSeconds + 5));

    const double optimum = Quantile(oracle.LatenciesMs(), 0.99);
    return { { "optimum.p99_ratio",
               Quantile(LatenciesMs(policy.Outcomes()), 0.99) / optimum,
               Bound::AtMost,
               1.3,
               Quantile(LatenciesMs(baseline.Outcomes()), 0.99) / optimum } };
  }

private:
  static constexpr double kSpeedChangeIntervalSeconds = 10;

  static void ChangeSpeeds(Simulation& aSimulation, std::uint64_t aSeed)
  {
    // A separate random source, so that all runs use the same speeds.
    const std::shared_ptr<RandomSource> random = MakeSeededRandom(aSeed + 99);
    for (double time = 0; time < kDurationSeconds;
         time += kSpeedChangeIntervalSeconds) {
      aSimulation.At(TimeAtSeconds(time), [&aSimulation, random] {
        for (FakeReplica& replica : aSimulation.Replicas()) {
          replica.m_slowdown = 1 + 4 * random->Unit() * random->Unit();
        }
      });
    }
  }
};

CoopBenchmark sCoop;
GuildBenchmark sGuild;
OptimumBenchmark sOptimum;
const BenchmarkRegistration kCoop(sCoop);
const BenchmarkRegistration kGuild(sGuild);
const BenchmarkRegistration kOptimum(sOptimum);

} // namespace

} // namespace goldcrestkeel::benchmark
