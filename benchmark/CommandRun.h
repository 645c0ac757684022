#pragma once

#include "CommandFleet.h"

namespace goldcrestkeel::benchmark {

/** Configuration of RunCommands(). */
struct CommandRunOptions
{
  FleetOptions m_fleet;
  /** Number of commands to submit. */
  std::size_t m_commands = 20000;
  /** Mean time between two commands. */
  Duration m_interval{ 50000 };
  /** Injects all kinds of faults at random times, also several at once. */
  bool m_faults = true;
};

/** Counts and latencies of one RunCommands(). */
struct CommandRunResult
{
  std::size_t m_commands = 0;
  /** Commands by the last answer that their caller received. A command without
   *  an answer counts as unknown. */
  std::size_t m_ran = 0;
  std::size_t m_notRun = 0;
  std::size_t m_unknown = 0;
  /** Commands that ran at least once, regardless of the answer. */
  std::size_t m_executed = 0;
  std::uint64_t m_duplicates = 0;
  std::uint64_t m_falseNotRunAnswers = 0;
  std::uint64_t m_storeReads = 0;
  std::uint64_t m_storeWrites = 0;
  /** Virtual time from the first to the last command. Store calls are counted
   *  during this time only. */
  double m_seconds = 0;
  std::vector<double> m_addedLatencyMs;
  /** Number of last "unknown" answers by their detail, with digits removed. */
  std::map<std::string, std::size_t> m_unknownByDetail;
};

/** Submits commands to a CommandFleet and repeats those that are unanswered or
 *  answered "unknown" through other hosts. */
CommandRunResult
RunCommands(const CommandRunOptions& aOptions);

} // namespace goldcrestkeel::benchmark
