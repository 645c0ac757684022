#include "Settings.h"

#include <getopt.h>

#include <array>
#include <cstdlib>
#include <iostream>
#include <random>
#include <stdexcept>
#include <utility>

namespace goldcrestkeel::standins {

namespace {

/** Difference between the default admin port and the service port. */
constexpr int kAdminPortOffset = 10000;

constexpr const char* kUsage =
  R"(Usage: gk-standin-backend --listen IP:PORT [OPTION]...
Simulated backend server: one replica of one shard. See docs/standins.md.

  --replica ID            name in /status
  --listen IP:PORT        address of the backend server protocol
  --admin IP:PORT         address of the admin endpoint (default: port + 10000)
  --index FILE            shard file to load; may be repeated
  --threads N             HTTP threads (1)
  --slots N               requests that run at the same time (3)
  --queue N               requests that may wait for a slot (64)
  --connections N         limit of open connections (30)
  --connect-cost-us N     delay of the first request of a connection (0)
  --service-us N          median service time (1000)
  --service-sigma X       sigma of the log-normal service time (0.3)
  --link PREFIX=US        one-way delay for origins that start with PREFIX, or
                          for the client address PREFIX; may be repeated
  --loss X                probability that a message is retransmitted (0)
  --cold-ms N             time after the start in which the replica is cold (0)
  --drain-grace-ms N      time for which a draining replica accepts requests
                          (3000)
  --clock-offset-ms N     simulated error of the wall clock (0)
  --runs-file FILE        file to which the key of each command run is appended
  --seed N                seed of all random choices (random)
)";

enum Option : int
{
  OptionReplica = 256,
  OptionListen,
  OptionAdmin,
  OptionIndex,
  OptionThreads,
  OptionSlots,
  OptionQueue,
  OptionConnections,
  OptionConnectCost,
  OptionService,
  OptionServiceSigma,
  OptionLink,
  OptionLoss,
  OptionCold,
  OptionDrainGrace,
  OptionClockOffset,
  OptionRunsFile,
  OptionSeed,
  OptionHelp,
};

void
AddLinkDelay(BackendSettings& aSettings, const std::string& aText)
{
  const auto equals = aText.rfind('=');
  if (equals == std::string::npos) {
    throw std::invalid_argument("--link needs PREFIX=MICROSECONDS");
  }
  aSettings.m_linkDelays[aText.substr(0, equals)] =
    Microseconds(std::stoll(aText.substr(equals + 1)));
}

void
ApplyOption(BackendSettings& aSettings, int aOption, const std::string& aValue)
{
  const auto number = [&] { return std::stoll(aValue); };
  const auto count = [&] { return static_cast<std::uint32_t>(number()); };
  const auto milliseconds = [&] { return Microseconds(number() * 1000); };
  switch (aOption) {
    case OptionReplica:
      aSettings.m_replica = aValue;
      break;
    case OptionListen:
      aSettings.m_listen = ParseListenAddress(aValue);
      break;
    case OptionAdmin:
      aSettings.m_admin = ParseListenAddress(aValue);
      break;
    case OptionIndex:
      aSettings.m_indexFiles.push_back(aValue);
      break;
    case OptionThreads:
      aSettings.m_threads = static_cast<int>(number());
      break;
    case OptionSlots:
      aSettings.m_slots = count();
      break;
    case OptionQueue:
      aSettings.m_queueLimit = count();
      break;
    case OptionConnections:
      aSettings.m_connectionLimit = count();
      break;
    case OptionConnectCost:
      aSettings.m_connectCost = Microseconds(number());
      break;
    case OptionService:
      aSettings.m_medianServiceTime = Microseconds(number());
      break;
    case OptionServiceSigma:
      aSettings.m_serviceSigma = std::stod(aValue);
      break;
    case OptionLink:
      AddLinkDelay(aSettings, aValue);
      break;
    case OptionLoss:
      aSettings.m_retransmissionProbability = std::stod(aValue);
      break;
    case OptionCold:
      aSettings.m_coldPeriod = milliseconds();
      break;
    case OptionDrainGrace:
      aSettings.m_drainGrace = milliseconds();
      break;
    case OptionClockOffset:
      aSettings.m_clockOffset = std::chrono::milliseconds(number());
      break;
    case OptionRunsFile:
      aSettings.m_runsFile = aValue;
      break;
    case OptionSeed:
      aSettings.m_seed = static_cast<std::uint64_t>(number());
      break;
    default:
      std::cout << kUsage;
      std::exit(aOption == OptionHelp ? 0 : 2);
  }
}

} // namespace

double Faults::*
FindFaultField(const std::string& aName)
{
  static const std::map<std::string, double Faults::*> fields{
    { "delay_ms", &Faults::m_requestDelayMs },
    { "slow_fraction", &Faults::m_slowProbability },
    { "slow_factor", &Faults::m_slowFactor },
    { "slowdown", &Faults::m_slowdownFactor },
    { "truncate", &Faults::m_truncateProbability },
    { "corrupt", &Faults::m_corruptProbability },
    { "late", &Faults::m_lateProbability },
    { "late_ms", &Faults::m_lateDelayMs },
    { "cross", &Faults::m_crossProbability },
    { "duplicate", &Faults::m_duplicateProbability },
    { "lose", &Faults::m_loseProbability },
    { "hang", &Faults::m_hangProbability },
    { "stop_early", &Faults::m_stopEarlyProbability },
    { "status_lag_ms", &Faults::m_statusLagMs },
  };
  const auto field = fields.find(aName);
  return field == fields.end() ? nullptr : field->second;
}

BackendSettings
ParseArguments(int aArgumentCount, char** aArguments)
{
  static const std::array<option, 20> options{ {
    { "replica", required_argument, nullptr, OptionReplica },
    { "listen", required_argument, nullptr, OptionListen },
    { "admin", required_argument, nullptr, OptionAdmin },
    { "index", required_argument, nullptr, OptionIndex },
    { "threads", required_argument, nullptr, OptionThreads },
    { "slots", required_argument, nullptr, OptionSlots },
    { "queue", required_argument, nullptr, OptionQueue },
    { "connections", required_argument, nullptr, OptionConnections },
    { "connect-cost-us", required_argument, nullptr, OptionConnectCost },
    { "service-us", required_argument, nullptr, OptionService },
    { "service-sigma", required_argument, nullptr, OptionServiceSigma },
    { "link", required_argument, nullptr, OptionLink },
    { "loss", required_argument, nullptr, OptionLoss },
    { "cold-ms", required_argument, nullptr, OptionCold },
    { "drain-grace-ms", required_argument, nullptr, OptionDrainGrace },
    { "clock-offset-ms", required_argument, nullptr, OptionClockOffset },
    { "runs-file", required_argument, nullptr, OptionRunsFile },
    { "seed", required_argument, nullptr, OptionSeed },
    { "help", no_argument, nullptr, OptionHelp },
    { nullptr, 0, nullptr, 0 },
  } };
  BackendSettings settings;
  settings.m_seed = std::random_device{}();
  int code = 0;
  while ((code = getopt_long(
            aArgumentCount, aArguments, "", options.data(), nullptr)) != -1) {
    ApplyOption(settings, code, optarg == nullptr ? "" : optarg);
  }
  if (settings.m_listen.m_port == 0) {
    throw std::invalid_argument("--listen is required");
  }
  if (settings.m_admin.m_port == 0) {
    settings.m_admin = settings.m_listen;
    settings.m_admin.m_port =
      static_cast<std::uint16_t>(settings.m_listen.m_port + kAdminPortOffset);
  }
  return settings;
}

} // namespace goldcrestkeel::standins
