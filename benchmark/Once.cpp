#include "Benchmark.h"
#include "CommandRun.h"

namespace goldcrestkeel::benchmark {

namespace {

/** Commands that run at most once. */
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

double
Share(std::size_t aPart, std::size_t aWhole)
{
  return static_cast<double>(aPart) / static_cast<double>(aWhole);
}

std::vector<Figure>
OnceBenchmark::Run(std::uint64_t aSeed)
{
  std::vector<Figure> figures;
  const auto add = [&](std::string aName,
                       double aValue,
                       std::optional<double> aBaseline,
                       bool aZero = false) {
    figures.push_back({ "once." + aName,
                        aValue,
                        aZero ? Bound::AtMost : Bound::None,
                        0,
                        aBaseline });
  };
  const auto memory = RunCommands(Options(aSeed, "host_memory", true));
  for (const std::string strategy : { "leased_range", "store_claim" }) {
    const auto run = RunCommands(Options(aSeed, strategy, true));
    const std::string prefix = strategy == "leased_range" ? "" : strategy + ".";
    add(prefix + "duplicates",
        static_cast<double>(run.m_duplicates),
        static_cast<double>(memory.m_duplicates),
        true);
    add(prefix + "false_not_run",
        static_cast<double>(run.m_falseNotRunAnswers),
        static_cast<double>(memory.m_falseNotRunAnswers),
        true);
    add(prefix + "unknown_share",
        Share(run.m_unknown, run.m_commands),
        Share(memory.m_unknown, memory.m_commands));
    add(prefix + "not_run_share",
        Share(run.m_notRun, run.m_commands),
        Share(memory.m_notRun, memory.m_commands));

    CommandRunOptions calm = Options(aSeed, strategy, false);
    const auto quiet = RunCommands(calm);
    add(prefix + "added_ms_p99", Quantile(quiet.m_addedLatencyMs, 0.99), 0);
    add(prefix + "store_writes_per_s",
        static_cast<double>(quiet.m_storeWrites) / quiet.m_seconds,
        0);
    add(prefix + "store_reads_per_s",
        static_cast<double>(quiet.m_storeReads) / quiet.m_seconds,
        0);
    // 120,000 queries per second with 1% commands over 800 hosts.
    CommandRunOptions large = calm;
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
  CommandRunOptions guild = Options(aSeed, "leased_range", false);
  guild.m_fleet.m_peerDelay = Duration{ 20000 };
  add("guild.added_ms_p99",
      Quantile(RunCommands(guild).m_addedLatencyMs, 0.99),
      0);
  return figures;
}

OnceBenchmark sOnce;
const Registration kRegistration(sOnce);

} // namespace

} // namespace goldcrestkeel::benchmark
