#include "Benchmark.h"
#include "Simulation.h"

#include <algorithm>
#include <string>

namespace goldcrestkeel::benchmark {

namespace {

constexpr int kEngines = 7;

/** One caller sends a statement that crashes its replicas 50 times, each time
 *  through the next entry host and as soon as it has an answer. Other callers
 *  send harmless statements. */
class Crash : public Benchmark
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
  static constexpr int kSends = 50;
  static constexpr int kStatements = 200;
  static constexpr double kRate = 20;
  static constexpr double kSeconds = 60;

  struct Result
  {
    /** Deaths of replicas of the shard that lost most. */
    double m_lost = 0;
    /** Share of the harmless searches that were refused as quarantined. */
    double m_refused = 0;
    double m_coverage = 0;
  };

  static void SendCrashing(Simulation& aSimulation, int aSent)
  {
    if (aSent == kSends) {
      return;
    }
    StartSearch request;
    request.m_statement = "crash";
    request.m_deadline = Duration{ 1000000 };
    aSimulation.Search(
      aSent % kEngines, request, [&aSimulation, aSent](const Outcome&) {
        // The caller is 3 ms away from either host.
        aSimulation.After(Duration{ 6000 }, [&aSimulation, aSent] {
          SendCrashing(aSimulation, aSent + 1);
        });
      });
  }

  static Result Measure(std::uint64_t aSeed, bool aGuard)
  {
    SimulationOptions options;
    options.m_seed = aSeed;
    options.m_engines = kEngines;
    options.m_slots = 3;
    options.m_crashGuard = aGuard;
    Simulation simulation(options);
    simulation.SetCrashing("crash");
    const std::shared_ptr<RandomSource> random = MakeSeededRandom(aSeed + 5);
    StartSearch request;
    request.m_deadline = Duration{ 1000000 };
    simulation.SetStatements([random] {
      return "part " + std::to_string(random->Below(kStatements));
    });
    simulation.Load(kRate, Seconds(kSeconds), request);
    simulation.At(Seconds(10), [&] { SendCrashing(simulation, 0); });
    simulation.Run(Seconds(kSeconds + 2));

    std::map<std::string, int> deaths;
    for (const FakeReplica& replica : simulation.Replicas()) {
      deaths[replica.m_shard] += replica.m_deaths;
    }
    Result result;
    for (const auto& [shard, count] : deaths) {
      result.m_lost = std::max(result.m_lost, static_cast<double>(count));
    }
    const auto& outcomes = simulation.Outcomes();
    const auto refused = std::count_if(
      outcomes.begin(), outcomes.end(), [](const Outcome& aOutcome) {
        return aOutcome.m_answer.m_error == ErrorKind::Quarantined;
      });
    result.m_refused =
      static_cast<double>(refused) / static_cast<double>(outcomes.size());
    result.m_coverage = MeanCoverage(outcomes);
    return result;
  }
};

/** One replica after the other starts to drain under load. */
class Drain : public Benchmark
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
  static constexpr double kSeconds = 60;
  /** The platform's host list lags by this much. */
  static constexpr Duration kListDelay{ 10000000 };

  /** Longest time from the start of a drain to the last arrival. The baseline
   *  uses the host list only. */
  static double Measure(std::uint64_t aSeed, bool aSignals)
  {
    SimulationOptions options;
    options.m_seed = aSeed;
    options.m_engines = kEngines;
    options.m_slots = 14;
    options.m_drainSignals = aSignals;
    Simulation simulation(options);
    std::map<std::size_t, TimePoint> drains;
    for (std::size_t i = 0; i < simulation.Replicas().size(); i += 3) {
      // Off the second, when the engines read the status.
      simulation.At(Seconds(5.1 + static_cast<double>(i)), [&, i] {
        drains[i] = simulation.Now();
        simulation.Replicas()[i].m_draining = true;
        simulation.After(kListDelay, [&, i] {
          for (int engine = 0; engine < kEngines; ++engine) {
            simulation.Engine(engine).MarkDraining(
              simulation.Now(), simulation.Replicas()[i].m_id, 0);
          }
        });
      });
    }
    simulation.Load(20, Seconds(kSeconds), {});
    simulation.Run(Seconds(kSeconds + 2));
    Duration longest{ 0 };
    for (const auto& [replica, start] : drains) {
      longest =
        std::max(longest, simulation.Replicas()[replica].m_lastArrival - start);
    }
    return static_cast<double>(longest.count()) / 1000;
  }
};

/** An entry host shuts down under load. */
class Shutdown : public Benchmark
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
  /** Searches without an answer when the host stops. A host that is not
   *  graceful stops at once. */
  static double Measure(std::uint64_t aSeed, bool aGraceful)
  {
    SimulationOptions options;
    options.m_seed = aSeed;
    Simulation simulation(options);
    std::size_t cut = 0;
    std::function<void()> stop = [&] {
      if (aGraceful && !simulation.Engine(0).Idle()) {
        simulation.After(Duration{ 1000 }, stop);
        return;
      }
      cut = simulation.Waiting(0);
    };
    simulation.At(Seconds(5), [&] {
      if (aGraceful) {
        simulation.Engine(0).BeginShutdown(simulation.Now());
      }
      stop();
    });
    simulation.Load(1000, Seconds(8), {});
    simulation.Run(Seconds(10));
    return static_cast<double>(cut);
  }
};

Crash sCrash;
Drain sDrain;
Shutdown sShutdown;
const Registration kCrash(sCrash);
const Registration kDrain(sDrain);
const Registration kShutdown(sShutdown);

} // namespace

} // namespace goldcrestkeel::benchmark
