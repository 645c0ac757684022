#pragma once

#include <goldcrestkeel/standins/HttpServer.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestkeel::standins {

using Microseconds = std::chrono::microseconds;

/** What one simulated replica is; fixed at its start. */
struct BackendSettings
{
  std::string m_replica = "replica";
  ListenAddress m_listen;
  ListenAddress m_admin;
  int m_threads = 1;
  std::uint32_t m_slots = 3;
  /** Requests that may wait for a slot; more are shed. */
  std::uint32_t m_queue = 64;
  std::uint32_t m_connections = 30;
  Microseconds m_connectCost{ 0 };
  /** Median and spread (sigma of the logarithm) of the time to run. */
  Microseconds m_service{ 1000 };
  double m_serviceSigma = 0.3;
  /** One-way delay by the start of the request's origin, or by peer address;
   *  the longest match counts. */
  std::map<std::string, Microseconds> m_links;
  /** Share of messages that need a retransmission, in each direction. */
  double m_loss = 0;
  /** Time from the start during which the replica is cold. */
  Microseconds m_cold{ 0 };
  double m_coldFactor = 5;
  /** Time during which a draining replica still takes new work. */
  Microseconds m_drainGrace{ 3000000 };
  /** Added to the wall clock, to simulate clock error. */
  std::chrono::milliseconds m_clockOffset{ 0 };
  /** Shard files to load at the start. */
  std::vector<std::string> m_indexes;
  /** Command runs are appended here, so that they survive a kill; may be
   *  empty. */
  std::string m_runsFile;
  std::uint64_t m_seed = 0;
};

/** Faults that the admin endpoint sets; all off by default. The shares are
 *  probabilities for each request. */
struct Faults
{
  double m_delayMs = 0;
  double m_slowFraction = 0;
  double m_slowFactor = 20;
  /** Factor on the time to run of every request. */
  double m_slowdown = 1;
  double m_truncate = 0;
  double m_corrupt = 0;
  double m_late = 0;
  double m_lateMs = 1000;
  double m_cross = 0;
  double m_duplicate = 0;
  /** Reply lost after the run: the connection closes. */
  double m_lose = 0;
  /** Reply lost after the run: the connection stays open and silent. */
  double m_hang = 0;
  double m_stopEarly = 0;
  double m_statusLagMs = 0;
};

/** Field of Faults with this name in an admin request, or null. */
double Faults::*
FaultField(const std::string& aName);

/** Throws std::invalid_argument or prints the usage and exits. */
BackendSettings
ParseArguments(int aCount, char** aValues);

} // namespace goldcrestkeel::standins
