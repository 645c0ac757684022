#pragma once

#include "CommandFleet.h"

namespace goldcrestkeel::benchmark {

/** A run of many commands over a fleet, with callers that send again through
 *  other hosts. */
struct CommandRunOptions
{
  FleetOptions m_fleet;
  std::size_t m_commands = 20000;
  /** Mean time between two commands. */
  Duration m_interval{ 50000 };
  /** Injects every fault at random, several at once. */
  bool m_faults = true;
};

struct CommandRunResult
{
  std::size_t m_commands = 0;
  /** By the caller's last answer. */
  std::size_t m_ran = 0;
  std::size_t m_notRun = 0;
  std::size_t m_unknown = 0;
  /** Commands that ran, whatever was answered. */
  std::size_t m_executed = 0;
  std::uint64_t m_duplicates = 0;
  std::uint64_t m_falseNotRunAnswers = 0;
  std::uint64_t m_storeReads = 0;
  std::uint64_t m_storeWrites = 0;
  double m_seconds = 0;
  std::vector<double> m_addedLatencyMs;
  /** Of the last "unknown" answers, by their detail with digits removed. */
  std::map<std::string, std::size_t> m_unknownByDetail;
};

CommandRunResult
RunCommands(const CommandRunOptions& aOptions);

} // namespace goldcrestkeel::benchmark
