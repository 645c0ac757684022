#include "Benchmark.h"
#include "Simulation.h"

#include <algorithm>
#include <string>

namespace goldcrestkeel::benchmark {

namespace {

constexpr int kEngines = 7;

/** One caller sends 50 searches with a statement that crashes each replica that
 *  runs it. It sends each of them to the next entry host after the previous
 *  answer. Other callers send harmless statements. */
class CrashBenchmark : public Benchmark
{
public:
  std::string_view Name() const override { return "crash"; }

  std::vector<Figure> Run(std::uint64_t aSeed) override
  {
    const Result policy = Measure(aSeed, true);
    const Result baseline = Measure(aSeed, false);
    return { { "crash.replicas_lost",
               policy.m_lost,
               Bound::AtMost,
               2,
               baseline.m_lost },
             { "crash.innocent_refused",
               policy.m_refused,
               Bound::AtMost,
               0.001,
               baseline.m_refused },
             { "crash.innocent_coverage",
               policy.m_coverage,
               Bound::None,
               0,
               baseline.m_coverage } };
  }

private:
  static constexpr int kMaxCrashingSearches = 50;
  static constexpr int kDistinctStatements = 200;
  static constexpr double kSearchesPerSecond = 20;
  static constexpr double kDurationSeconds = 60;

  struct Result
  {
    /** Crashes of replicas of the shard with the most crashes. */
    double m_lost = 0;
    /** Fraction of the harmless searches that were refused as quarantined. */
    double m_refused = 0;
    /** Mean coverage of the harmless searches. */
    double m_coverage = 0;
  };

  static void SendCrashingSearches(Simulation& aSimulation, int aSent)
  {
    if (aSent == kMaxCrashingSearches) {
      return;
    }
    StartSearch request;
    request.m_statement = "crash";
    request.m_deadline = Duration{ 1000000 };
    aSimulation.Search(
      aSent % kEngines, request, [&aSimulation, aSent](const SearchOutcome&) {
        // The one-way delay between the caller and each host is 3 ms.
        aSimulation.After(Duration{ 6000 }, [&aSimulation, aSent] {
          SendCrashingSearches(aSimulation, aSent + 1);
        });
      });
  }

  static Result Measure(std::uint64_t aSeed, bool aCrashGuard)
  {
    SimulationOptions options;
    options.m_seed = aSeed;
    options.m_engines = kEngines;
    options.m_slots = 3;
    options.m_crashGuard = aCrashGuard;
    Simulation simulation(options);
    simulation.SetCrashingStatement("crash");
    const std::shared_ptr<RandomSource> random = MakeSeededRandom(aSeed + 5);
    StartSearch request;
    request.m_deadline = Duration{ 1000000 };
    simulation.SetStatementSource([random] {
      return "part " + std::to_string(random->Below(kDistinctStatements));
    });
    simulation.GenerateLoad(
      kSearchesPerSecond, TimeAtSeconds(kDurationSeconds), request);
    simulation.At(TimeAtSeconds(10),
                  [&] { SendCrashingSearches(simulation, 0); });
    simulation.Run(TimeAtSeconds(kDurationSeconds + 2));

    std::map<std::string, int> crashes;
    for (const FakeReplica& replica : simulation.Replicas()) {
      crashes[replica.m_shard] += replica.m_crashCount;
    }
    Result result;
    for (const auto& [shard, count] : crashes) {
      result.m_lost = std::max(result.m_lost, static_cast<double>(count));
    }
    const auto& outcomes = simulation.Outcomes();
    const auto refused = std::count_if(
      outcomes.begin(), outcomes.end(), [](const SearchOutcome& aOutcome) {
        return aOutcome.m_answer.m_error == ErrorKind::Quarantined;
      });
    result.m_refused =
      static_cast<double>(refused) / static_cast<double>(outcomes.size());
    result.m_coverage = MeanCoverage(outcomes);
    return result;
  }
};

/** The first replicas of all shards start to drain one after the other under
 *  load. */
class DrainBenchmark : public Benchmark
{
public:
  std::string_view Name() const override { return "drain"; }

  std::vector<Figure> Run(std::uint64_t aSeed) override
  {
    return { { "drain.last_new_work_ms",
               Measure(aSeed, true),
               Bound::AtMost,
               3000,
               Measure(aSeed, false) } };
  }

private:
  static constexpr double kDurationSeconds = 60;
  /** Time until the platform's host list shows a draining replica. */
  static constexpr Duration kHostListDelay{ 10000000 };

  /** Longest time from the start of a drain to the last arrival at the replica,
   *  in milliseconds. The baseline uses only the host list. */
  static double Measure(std::uint64_t aSeed, bool aReportDraining)
  {
    SimulationOptions options;
    options.m_seed = aSeed;
    options.m_engines = kEngines;
    options.m_slots = 14;
    options.m_reportDraining = aReportDraining;
    Simulation simulation(options);
    std::map<std::size_t, TimePoint> drainStarts;
    for (std::size_t i = 0; i < simulation.Replicas().size(); i += 3) {
      // Not at a full second, because the engines read the status then.
      simulation.At(TimeAtSeconds(5.1 + static_cast<double>(i)), [&, i] {
        drainStarts[i] = simulation.Now();
        simulation.Replicas()[i].m_draining = true;
        simulation.After(kHostListDelay, [&, i] {
          for (int engine = 0; engine < kEngines; ++engine) {
            simulation.Engine(engine).MarkDraining(
              simulation.Now(), simulation.Replicas()[i].m_id, 0);
          }
        });
      });
    }
    simulation.GenerateLoad(20, TimeAtSeconds(kDurationSeconds), {});
    simulation.Run(TimeAtSeconds(kDurationSeconds + 2));
    Duration longest{ 0 };
    for (const auto& [replica, start] : drainStarts) {
      longest =
        std::max(longest, simulation.Replicas()[replica].m_lastArrival - start);
    }
    return static_cast<double>(longest.count()) / 1000;
  }
};

/** An entry host shuts down under load. The baseline stops at once instead of
 *  waiting for open searches. */
class ShutdownBenchmark : public Benchmark
{
public:
  std::string_view Name() const override { return "shutdown"; }

  std::vector<Figure> Run(std::uint64_t aSeed) override
  {
    return { { "shutdown.cut_requests",
               Measure(aSeed, true),
               Bound::AtMost,
               0,
               Measure(aSeed, false) } };
  }

private:
  /** Number of searches without an answer when the host stops. */
  static double Measure(std::uint64_t aSeed, bool aGraceful)
  {
    SimulationOptions options;
    options.m_seed = aSeed;
    Simulation simulation(options);
    std::size_t unanswered = 0;
    std::function<void()> stop = [&] {
      if (aGraceful && !simulation.Engine(0).Idle()) {
        simulation.After(Duration{ 1000 }, stop);
        return;
      }
      unanswered = simulation.UnansweredSearches(0);
    };
    simulation.At(TimeAtSeconds(5), [&] {
      if (aGraceful) {
        simulation.Engine(0).BeginShutdown(simulation.Now());
      }
      stop();
    });
    simulation.GenerateLoad(1000, TimeAtSeconds(8), {});
    simulation.Run(TimeAtSeconds(10));
    return static_cast<double>(unanswered);
  }
};

CrashBenchmark sCrash;
DrainBenchmark sDrain;
ShutdownBenchmark sShutdown;
const BenchmarkRegistration kCrash(sCrash);
const BenchmarkRegistration kDrain(sDrain);
const BenchmarkRegistration kShutdown(sShutdown);

} // namespace

} // namespace goldcrestkeel::benchmark
