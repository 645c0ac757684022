#include "Benchmark.h"
#include "Simulation.h"

#include <algorithm>

namespace goldcrestkeel::benchmark {

namespace {

constexpr double kDurationSeconds = 6;
constexpr double kWarmUpSeconds = 2;
constexpr double kLoadFactor = 3;

/** Rate of complete answers after the warm-up, as a fraction of the capacity of
 *  the replicas of one shard. aCapacity is in searches per second. */
double
Goodput(Simulation& aSimulation, double aCapacity)
{
  const auto& outcomes = aSimulation.Outcomes();
  const auto good = std::count_if(
    outcomes.begin(), outcomes.end(), [](const SearchOutcome& aOutcome) {
      return aOutcome.m_sentAt >= TimeAtSeconds(kWarmUpSeconds) &&
             !aOutcome.m_answer.m_error &&
             aOutcome.m_answer.m_coverage.m_fraction == 1;
    });
  return static_cast<double>(good) / (kDurationSeconds - kWarmUpSeconds) /
         aCapacity;
}

/** The load is three times the capacity of the replicas. */
class OverloadBenchmark : public Benchmark
{
public:
  std::string_view Name() const override { return "overload"; }

  std::vector<Figure> Run(std::uint64_t aSeed) override
  {
    SimulationOptions options;
    options.m_seed = aSeed;
    options.m_policy.m_preference = CoveragePreference::WaitForCoverage;
    options.m_policy.m_minCoverage = 1;
    const double capacity =
      options.m_replicas * options.m_slots /
      (static_cast<double>(options.m_meanServiceTime.count()) / 1e6);
    const auto run = [&](const SimulationOptions& aOptions) {
      Simulation simulation(aOptions);
      StartSearch request;
      request.m_deadline = Duration{ 500000 };
      simulation.GenerateLoad(
        kLoadFactor * capacity, TimeAtSeconds(kDurationSeconds), request);
      simulation.Run(TimeAtSeconds(kDurationSeconds + 2));
      return Goodput(simulation, capacity);
    };
    const double policy = run(options);
    // Without admission control every search starts at once and waits in the
    // queues of the replicas.
    options.m_admission = false;
    return {
      { "overload.goodput", policy, Bound::AtLeast, 0.9, run(options) }
    };
  }
};

/** All replicas of one shard are down from kOutageStartSeconds to
 *  kOutageEndSeconds. The baseline retries without a limit. */
class OutageBenchmark : public Benchmark
{
public:
  std::string_view Name() const override { return "outage"; }

  std::vector<Figure> Run(std::uint64_t aSeed) override
  {
    const Result policy = Measure(aSeed, false);
    const Result baseline = Measure(aSeed, true);
    return { { "outage.amplification",
               policy.m_amplification,
               Bound::AtMost,
               1.1,
               baseline.m_amplification },
             { "outage.lost_shard_amplification",
               policy.m_lostShardAmplification,
               Bound::AtMost,
               1.1,
               baseline.m_lostShardAmplification },
             { "outage.recovery_ms",
               policy.m_recoveryMs,
               Bound::AtMost,
               5000,
               baseline.m_recoveryMs } };
  }

private:
  static constexpr double kSearchesPerSecond = 200;
  static constexpr double kOutageStartSeconds = 20.4;
  static constexpr double kOutageEndSeconds = 40.3;
  static constexpr double kEndSeconds = 60;
  /** Length of the windows for which the p99 latency is computed. */
  static constexpr double kWindowSeconds = 0.5;
  /** A window has recovered if its answers are complete and its p99 latency is
   *  at most this multiple of the p99 latency before the outage. */
  static constexpr double kRecoveredP99Ratio = 1.5;

  struct Result
  {
    /** Sub-requests sent during the outage per shard of each search, over all
     *  shards and for the lost shard. */
    double m_amplification = 0;
    double m_lostShardAmplification = 0;
    /** Time from the end of the outage to the end of the last window that has
     *  not recovered. */
    double m_recoveryMs = 0;
  };

  static std::vector<SearchOutcome> SentBetween(
    const std::vector<SearchOutcome>& aOutcomes,
    double aFrom,
    double aTo)
  {
    std::vector<SearchOutcome> selected;
    for (const SearchOutcome& outcome : aOutcomes) {
      if (outcome.m_sentAt >= TimeAtSeconds(aFrom) &&
          outcome.m_sentAt < TimeAtSeconds(aTo)) {
        selected.push_back(outcome);
      }
    }
    return selected;
  }

  static double RecoveryMs(const std::vector<SearchOutcome>& aOutcomes)
  {
    const double normal =
      kRecoveredP99Ratio *
      Quantile(LatenciesMs(SentBetween(
                 aOutcomes, kOutageStartSeconds / 2, kOutageStartSeconds)),
               0.99);
    double recovered = kOutageEndSeconds;
    for (double start = kOutageEndSeconds; start < kEndSeconds - kWindowSeconds;
         start += kWindowSeconds) {
      const auto window = SentBetween(aOutcomes, start, start + kWindowSeconds);
      const bool complete = MeanCoverage(window) > 0.999;
      if (!complete || Quantile(LatenciesMs(window), 0.99) > normal) {
        recovered = start + kWindowSeconds;
      }
    }
    return (recovered - kOutageEndSeconds) * 1000;
  }

  static Result Measure(std::uint64_t aSeed, bool aUnlimitedRetries)
  {
    SimulationOptions options;
    options.m_seed = aSeed;
    if (aUnlimitedRetries) {
      // Unlimited retries: the budget grants at least one token for each
      // sub-request.
      options.m_policy.m_extraLoad = 10;
      options.m_policy.m_hedge = "none";
    }
    Simulation simulation(options);
    std::uint64_t sentBefore = 0;
    std::uint64_t sentAfter = 0;
    std::uint64_t lostShardSentBefore = 0;
    std::uint64_t lostShardSentAfter = 0;
    simulation.At(TimeAtSeconds(kOutageStartSeconds), [&] {
      sentBefore = simulation.SentSubRequests();
      lostShardSentBefore = simulation.SentSubRequestsTo("s0");
      for (std::size_t i = 0; i < 3; ++i) {
        simulation.KillReplica(i);
      }
    });
    simulation.At(TimeAtSeconds(kOutageEndSeconds), [&] {
      sentAfter = simulation.SentSubRequests();
      lostShardSentAfter = simulation.SentSubRequestsTo("s0");
      for (std::size_t i = 0; i < 3; ++i) {
        simulation.RestartReplica(i);
      }
    });
    simulation.GenerateLoad(kSearchesPerSecond, TimeAtSeconds(kEndSeconds), {});
    simulation.Run(TimeAtSeconds(kEndSeconds + 2));
    const double queries = static_cast<double>(
      SentBetween(simulation.Outcomes(), kOutageStartSeconds, kOutageEndSeconds)
        .size());
    return { static_cast<double>(sentAfter - sentBefore) /
               (queries * options.m_shards),
             static_cast<double>(lostShardSentAfter - lostShardSentBefore) /
               queries,
             RecoveryMs(simulation.Outcomes()) };
  }
};

OverloadBenchmark sOverload;
OutageBenchmark sOutage;
const BenchmarkRegistration kOverloadRegistration(sOverload);
const BenchmarkRegistration kOutageRegistration(sOutage);

} // namespace

} // namespace goldcrestkeel::benchmark
