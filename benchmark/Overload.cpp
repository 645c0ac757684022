#include "Benchmark.h"
#include "Simulation.h"

#include <algorithm>

namespace goldcrestkeel::benchmark {

namespace {

constexpr double kSeconds = 6;
constexpr double kWarmUp = 2;
constexpr double kOverload = 3;

/** Complete answers per second, after the warm-up, as a share of what the
 *  replicas of one shard can run. */
double
Goodput(Simulation& aSimulation, double aCapacity)
{
  const auto& outcomes = aSimulation.Outcomes();
  const auto good = std::count_if(
    outcomes.begin(), outcomes.end(), [](const Outcome& aOutcome) {
      return aOutcome.m_sentAt >= Seconds(kWarmUp) &&
             !aOutcome.m_answer.m_error &&
             aOutcome.m_answer.m_coverage.m_fraction == 1;
    });
  return static_cast<double>(good) / (kSeconds - kWarmUp) / aCapacity;
}

/** Three times the load that the replicas can run. */
class Overload : public Benchmark
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
      (static_cast<double>(options.m_service.count()) / 1e6);
    const auto run = [&](const SimulationOptions& aOptions) {
      Simulation simulation(aOptions);
      StartSearch request;
      request.m_deadline = Duration{ 500000 };
      simulation.Load(kOverload * capacity, Seconds(kSeconds), request);
      simulation.Run(Seconds(kSeconds + 2));
      return Goodput(simulation, capacity);
    };
    const double policy = run(options);
    // Without admission every search starts at once and waits in the replicas'
    // queues.
    options.m_admission = false;
    return {
      { "overload.goodput", policy, Bound::AtLeast, 0.9, run(options) }
    };
  }
};

/** All replicas of one shard are down for some time. */
class Outage : public Benchmark
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
               policy.m_lostShard,
               Bound::AtMost,
               1.1,
               baseline.m_lostShard },
             { "outage.recovery_ms",
               policy.m_recoveryMs,
               Bound::AtMost,
               5000,
               baseline.m_recoveryMs } };
  }

private:
  static constexpr double kRate = 200;
  static constexpr double kDown = 20.4;
  static constexpr double kUp = 40.3;
  static constexpr double kEnd = 60;
  /** Length of the windows in which the p99 is compared. */
  static constexpr double kWindow = 0.5;
  /** p99 is normal again below this multiple of the one before the outage. */
  static constexpr double kNormal = 1.5;

  struct Result
  {
    double m_amplification = 0;
    double m_lostShard = 0;
    double m_recoveryMs = 0;
  };

  static std::vector<Outcome> Between(const std::vector<Outcome>& aOutcomes,
                                      double aFrom,
                                      double aTo)
  {
    std::vector<Outcome> selected;
    for (const Outcome& outcome : aOutcomes) {
      if (outcome.m_sentAt >= Seconds(aFrom) &&
          outcome.m_sentAt < Seconds(aTo)) {
        selected.push_back(outcome);
      }
    }
    return selected;
  }

  static double RecoveryMs(const std::vector<Outcome>& aOutcomes)
  {
    const double normal =
      kNormal * Quantile(Latencies(Between(aOutcomes, kDown / 2, kDown)), 0.99);
    double recovered = kUp;
    for (double start = kUp; start < kEnd - kWindow; start += kWindow) {
      const auto window = Between(aOutcomes, start, start + kWindow);
      const bool complete = MeanCoverage(window) > 0.999;
      if (!complete || Quantile(Latencies(window), 0.99) > normal) {
        recovered = start + kWindow;
      }
    }
    return (recovered - kUp) * 1000;
  }

  static Result Measure(std::uint64_t aSeed, bool aUnlimited)
  {
    SimulationOptions options;
    options.m_seed = aSeed;
    if (aUnlimited) {
      // Retries without a limit: as many tokens as sub-requests.
      options.m_policy.m_extraLoad = 10;
      options.m_policy.m_hedge = "none";
    }
    Simulation simulation(options);
    std::uint64_t before = 0;
    std::uint64_t after = 0;
    std::uint64_t lostBefore = 0;
    std::uint64_t lostAfter = 0;
    simulation.At(Seconds(kDown), [&] {
      before = simulation.Sent();
      lostBefore = simulation.SentTo("s0");
      for (std::size_t i = 0; i < 3; ++i) {
        simulation.Kill(i);
      }
    });
    simulation.At(Seconds(kUp), [&] {
      after = simulation.Sent();
      lostAfter = simulation.SentTo("s0");
      for (std::size_t i = 0; i < 3; ++i) {
        simulation.Revive(i);
      }
    });
    simulation.Load(kRate, Seconds(kEnd), {});
    simulation.Run(Seconds(kEnd + 2));
    const double queries =
      static_cast<double>(Between(simulation.Outcomes(), kDown, kUp).size());
    return { static_cast<double>(after - before) / (queries * options.m_shards),
             static_cast<double>(lostAfter - lostBefore) / queries,
             RecoveryMs(simulation.Outcomes()) };
  }
};

Overload sOverload;
Outage sOutage;
const Registration kOverloadRegistration(sOverload);
const Registration kOutageRegistration(sOutage);

} // namespace

} // namespace goldcrestkeel::benchmark
