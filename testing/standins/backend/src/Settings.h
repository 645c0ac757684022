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

/** Settings of one simulated replica, from the command line. */
struct BackendSettings
{
  std::string m_replica = "replica";
  ListenAddress m_listen;
  ListenAddress m_admin;
  int m_threads = 1;
  /** Number of requests that run at the same time. */
  std::uint32_t m_slots = 3;
  /** Number of requests that may wait for a slot; further requests are shed. */
  std::uint32_t m_queueLimit = 64;
  /** Limit of open connections; the first request of a further connection
   *  closes it. */
  std::uint32_t m_connectionLimit = 30;
  /** Additional delay of the first request of a connection. */
  Microseconds m_connectCost{ 0 };
  /** Median and sigma of the log-normal distribution of the service time. */
  Microseconds m_medianServiceTime{ 1000 };
  double m_serviceSigma = 0.3;
  /** One-way network delay by prefix of the request's origin, or by the IP
   *  address of the client; the longest match applies. */
  std::map<std::string, Microseconds> m_linkDelays;
  /** Probability that a message, in either direction, is retransmitted. */
  double m_retransmissionProbability = 0;
  /** Time after the start during which the replica is cold, which multiplies
   *  its service time by m_coldFactor. */
  Microseconds m_coldPeriod{ 0 };
  double m_coldFactor = 5;
  /** Time for which a draining replica still accepts new requests. */
  Microseconds m_drainGrace{ 3000000 };
  /** Simulated clock error, added to the wall clock. */
  std::chrono::milliseconds m_clockOffset{ 0 };
  /** Paths of the shard files to load at the start. */
  std::vector<std::string> m_indexFiles;
  /** File to which the key of each command run is appended, so that the record
   *  survives a kill of the process; empty for none. */
  std::string m_runsFile;
  std::uint64_t m_seed = 0;
};

/** Faults that the admin endpoint sets; all off by default. Probabilities apply
 *  to each request independently. */
struct Faults
{
  /** Additional delay before each request is admitted. */
  double m_requestDelayMs = 0;
  /** Probability that the service time is multiplied by m_slowFactor. */
  double m_slowProbability = 0;
  double m_slowFactor = 20;
  /** Factor on the service time of every request. */
  double m_slowdownFactor = 1;
  /** The reply, or the hits in it, is cut short. */
  double m_truncateProbability = 0;
  /** One byte of the reply is damaged. */
  double m_corruptProbability = 0;
  /** The reply is delayed by m_lateDelayMs. */
  double m_lateProbability = 0;
  double m_lateDelayMs = 1000;
  /** The previous reply of the same kind is sent in place of this one. */
  double m_crossProbability = 0;
  /** The reply is sent twice. */
  double m_duplicateProbability = 0;
  /** The reply is lost after the run: the connection closes. */
  double m_loseProbability = 0;
  /** The reply is lost after the run: the connection stays open and silent. */
  double m_hangProbability = 0;
  /** The search stops after a random fraction of the documents. */
  double m_stopEarlyProbability = 0;
  /** Age of the status that /status reports. */
  double m_statusLagMs = 0;
};

/** Returns the member of Faults that the admin field aName sets, or null if
 *  there is none. */
double Faults::*
FindFaultField(const std::string& aName);

/** Parses the command line. Throws std::invalid_argument for an invalid value
 *  or a missing listen address, and std::out_of_range for a number that does
 *  not fit its type. Prints the usage and exits with 0 for --help, and with
 *  2 for an unknown option. */
BackendSettings
ParseArguments(int aArgumentCount, char** aArguments);

} // namespace goldcrestkeel::standins
