#include "Benchmark.h"
#include "Simulation.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace goldcrestkeel::benchmark {

namespace {

/** Searches per second: a third of what the replicas could do, so that the
 *  slow replica is not overloaded under round robin. */
constexpr double kRate = 100;
constexpr double kSeconds = 100;
constexpr double kSlowReplica = 5;
constexpr double kStragglers = 0.02;

struct Result
{
  double m_p99 = 0;
  double m_extraLoad = 0;
  double m_coverage = 0;
};

/** One replica of the first shard, in the near data centre, is slow. */
Result
Measure(const SimulationOptions& aOptions, Duration aDeadline)
{
  Simulation simulation(aOptions);
  simulation.Replicas().front().m_slowness = kSlowReplica;
  StartSearch request;
  request.m_deadline = aDeadline;
  simulation.Load(kRate, Seconds(kSeconds), request);
  simulation.Run(Seconds(kSeconds + 5));
  const EngineCounters counters = simulation.Totals();
  const double extra =
    static_cast<double>(counters.m_hedges + counters.m_retries);
  return { Quantile(Latencies(simulation.Outcomes()), 0.99),
           extra / (static_cast<double>(counters.m_subRequests) - extra),
           MeanCoverage(simulation.Outcomes()) };
}

Result
Baseline(SimulationOptions aOptions, Duration aDeadline)
{
  aOptions.m_policy.m_selector = "round_robin";
  aOptions.m_policy.m_hedge = "none";
  return Measure(aOptions, aDeadline);
}

class Coop : public Benchmark
{
public:
  std::string_view Name() const override { return "coop.tender"; }

  std::vector<Figure> Run(std::uint64_t aSeed) override
  {
    SimulationOptions options;
    options.m_seed = aSeed;
    options.m_stragglers = kStragglers;
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

class Guild : public Benchmark
{
public:
  std::string_view Name() const override { return "guild.spares"; }

  std::vector<Figure> Run(std::uint64_t aSeed) override
  {
    SimulationOptions options;
    options.m_seed = aSeed;
    options.m_slots = 2;
    options.m_connections = 25;
    options.m_delays = { Duration{ 250 }, Duration{ 3000 }, Duration{ 20000 } };
    options.m_stragglers = kStragglers;
    options.m_loss = 0.01;
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

/** Sends each sub-request to the replica with the shortest expected answer,
 *  from the true state of all replicas. */
class Oracle
{
public:
  Oracle(Simulation& aSimulation, int aShards, int aReplicas, Duration aService)
    : m_simulation(aSimulation)
    , m_shards(aShards)
    , m_replicas(aReplicas)
    , m_service(static_cast<double>(aService.count()))
  {
  }

  void Load(double aRate, TimePoint aEnd)
  {
    const Duration pause{ static_cast<Duration::rep>(
      -std::log(std::max(m_simulation.Random().Unit(), 1e-12)) * 1e6 / aRate) };
    if (m_simulation.Now() + pause > aEnd) {
      return;
    }
    m_simulation.After(pause, [this, aRate, aEnd] {
      Search();
      Load(aRate, aEnd);
    });
  }

  const std::vector<double>& Latencies() const { return m_latencies; }

private:
  double Expected(std::size_t aReplica) const
  {
    const FakeReplica& replica = m_simulation.Replicas()[aReplica];
    const double network =
      static_cast<double>(m_simulation.Delay(0, replica.m_dataCentre).count());
    const double busy = static_cast<double>(m_simulation.Busy(aReplica));
    return 2 * network +
           m_service * replica.m_slowness * std::max(1.0, (busy + 1) / 3);
  }

  void Search()
  {
    const TimePoint start = m_simulation.Now();
    const auto open = std::make_shared<int>(m_shards);
    for (int shard = 0; shard < m_shards; ++shard) {
      const auto first = static_cast<std::size_t>(shard * m_replicas);
      std::size_t best = first;
      for (std::size_t i = first + 1;
           i < first + static_cast<std::size_t>(m_replicas);
           ++i) {
        best = Expected(i) < Expected(best) ? i : best;
      }
      m_simulation.Direct(best, 0, [this, start, open](bool) {
        if (--*open == 0) {
          m_latencies.push_back(
            static_cast<double>((m_simulation.Now() - start).count()) / 1000);
        }
      });
    }
  }

  Simulation& m_simulation;
  int m_shards;
  int m_replicas;
  double m_service;
  std::vector<double> m_latencies;
};

class Optimum : public Benchmark
{
public:
  std::string_view Name() const override { return "optimum"; }

  /** The speed of each replica changes every 10 s; there are no stragglers,
   *  which nobody could foresee. */
  std::vector<Figure> Run(std::uint64_t aSeed) override
  {
    SimulationOptions options;
    options.m_seed = aSeed;
    options.m_policy.m_hedge = "quantile";
    Simulation policy(options);
    ChangeSpeeds(policy, aSeed);
    policy.Load(kRate, Seconds(kSeconds), {});
    policy.Run(Seconds(kSeconds + 5));

    options.m_policy.m_selector = "round_robin";
    options.m_policy.m_hedge = "none";
    Simulation baseline(options);
    ChangeSpeeds(baseline, aSeed);
    baseline.Load(kRate, Seconds(kSeconds), {});
    baseline.Run(Seconds(kSeconds + 5));

    Simulation ideal(options);
    ChangeSpeeds(ideal, aSeed);
    Oracle oracle(
      ideal, options.m_shards, options.m_replicas, options.m_service);
    oracle.Load(kRate, Seconds(kSeconds));
    ideal.Run(Seconds(kSeconds + 5));

    const double optimum = Quantile(oracle.Latencies(), 0.99);
    return { { "optimum.p99_ratio",
               Quantile(Latencies(policy.Outcomes()), 0.99) / optimum,
               Bound::AtMost,
               1.3,
               Quantile(Latencies(baseline.Outcomes()), 0.99) / optimum } };
  }

private:
  static constexpr double kPeriod = 10;

  static void ChangeSpeeds(Simulation& aSimulation, std::uint64_t aSeed)
  {
    // A source of its own, so that all runs see the same speeds.
    const std::shared_ptr<RandomSource> random = MakeSeededRandom(aSeed + 99);
    for (double time = 0; time < kSeconds; time += kPeriod) {
      aSimulation.At(Seconds(time), [&aSimulation, random] {
        for (FakeReplica& replica : aSimulation.Replicas()) {
          replica.m_slowness = 1 + 4 * random->Unit() * random->Unit();
        }
      });
    }
  }
};

Coop sCoop;
Guild sGuild;
Optimum sOptimum;
const Registration kCoop(sCoop);
const Registration kGuild(sGuild);
const Registration kOptimum(sOptimum);

} // namespace

} // namespace goldcrestkeel::benchmark
