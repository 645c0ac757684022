#include "Benchmark.h"
#include "CommandRun.h"

namespace goldcrestkeel::benchmark {

namespace {

/** Measures how often commands run more than once or get a wrong answer under
 *  faults, and the latency and store calls without faults. The baseline is the
 *  strategy "host_memory". */
class OnceBenchmark : public Benchmark
{
public:
  std::string_view Name() const override { return "once"; }
  std::vector<Figure> Run(std::uint64_t aSeed) override;
};

CommandRunOptions
Options(std::uint64_t aSeed, const std::string& aStrategy, bool aFaults)
{
  CommandRunOptions options;
  options.m_fleet.m_seed = aSeed;
  options.m_fleet.m_strategy = aStrategy;
  options.m_fleet.m_assertInvariants = false;
  options.m_faults = aFaults;
  return options;
}

/** aCount as a fraction of aTotal. */
double
Share(std::size_t aCount, std::size_t aTotal)
{
  return static_cast<double>(aCount) / static_cast<double>(aTotal);
}

std::vector<Figure>
OnceBenchmark::Run(std::uint64_t aSeed)
{
  std::vector<Figure> figures;
  const auto add = [&](std::string aName,
                       double aValue,
                       std::optional<double> aBaseline,
                       bool aTargetZero = false) {
    figures.push_back({ "once." + aName,
                        aValue,
                        aTargetZero ? Bound::AtMost : Bound::None,
                        0,
                        aBaseline });
  };
  const auto hostMemory = RunCommands(Options(aSeed, "host_memory", true));
  for (const std::string strategy : { "leased_range", "store_claim" }) {
    const auto faultyRun = RunCommands(Options(aSeed, strategy, true));
    const std::string prefix = strategy == "leased_range" ? "" : strategy + ".";
    add(prefix + "duplicates",
        static_cast<double>(faultyRun.m_duplicates),
        static_cast<double>(hostMemory.m_duplicates),
        true);
    add(prefix + "false_not_run",
        static_cast<double>(faultyRun.m_falseNotRunAnswers),
        static_cast<double>(hostMemory.m_falseNotRunAnswers),
        true);
    add(prefix + "unknown_share",
        Share(faultyRun.m_unknown, faultyRun.m_commands),
        Share(hostMemory.m_unknown, hostMemory.m_commands));
    add(prefix + "not_run_share",
        Share(faultyRun.m_notRun, faultyRun.m_commands),
        Share(hostMemory.m_notRun, hostMemory.m_commands));

    CommandRunOptions faultFree = Options(aSeed, strategy, false);
    const auto faultFreeRun = RunCommands(faultFree);
    add(prefix + "added_ms_p99",
        Quantile(faultFreeRun.m_addedLatencyMs, 0.99),
        0);
    add(prefix + "store_writes_per_s",
        static_cast<double>(faultFreeRun.m_storeWrites) /
          faultFreeRun.m_seconds,
        0);
    add(prefix + "store_reads_per_s",
        static_cast<double>(faultFreeRun.m_storeReads) / faultFreeRun.m_seconds,
        0);
    // 120,000 queries per second, 1% of them commands, over 800 hosts.
    CommandRunOptions large = faultFree;
    large.m_fleet.m_hosts = 800;
    large.m_interval = Duration{ 833 };
    large.m_commands = 36000;
    const auto target = RunCommands(large);
    add(prefix + "store_writes_per_s_800",
        static_cast<double>(target.m_storeWrites) / target.m_seconds,
        0);
    add(prefix + "store_reads_per_s_800",
        static_cast<double>(target.m_storeReads) / target.m_seconds,
        0);
  }
  // 20 ms one-way between hosts, the largest delay of guild.spares.
  CommandRunOptions remoteHosts = Options(aSeed, "leased_range", false);
  remoteHosts.m_fleet.m_peerDelay = Duration{ 20000 };
  add("guild.added_ms_p99",
      Quantile(RunCommands(remoteHosts).m_addedLatencyMs, 0.99),
      0);
  return figures;
}

OnceBenchmark sOnce;
const BenchmarkRegistration kRegistration(sOnce);

} // namespace

} // namespace goldcrestkeel::benchmark
