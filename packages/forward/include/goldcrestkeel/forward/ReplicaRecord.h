#pragma once

#include <goldcrestkeel/core/Time.h>

#include <cstdint>
#include <string>

namespace goldcrestkeel {

/** A running instance of a replica, as service discovery lists it. A restart
 *  under the same id is another instance. */
struct ReplicaRecord
{
  /** Unique over all services. */
  std::string m_id;
  std::string m_service;
  /** "IP:port". */
  std::string m_address;
  std::string m_dataCentre;
  /** Number of requests that the replica runs concurrently. */
  std::uint32_t m_slots = 1;
  bool m_draining = false;
  /** Remaining warm-up time, during which the replica is slow. */
  Duration m_warmupLeft{ 0 };
  /** Wall-clock start time; distinguishes instances with the same id. */
  WallTime m_startedAt = 0;
  /** Number of its report on itself, counted from its start. */
  std::uint64_t m_sequence = 0;

  bool operator==(const ReplicaRecord&) const = default;
};

/** Load of a replica as reported in its answers, in requests. */
struct LoadReport
{
  std::uint32_t m_running = 0;
  std::uint32_t m_waiting = 0;
  std::uint32_t m_slots = 0;
  /** How long work takes on the replica's machine now, in percent of the usual
   *  time; 0 if the report does not state it. */
  std::uint32_t m_workPercent = 0;
};

} // namespace goldcrestkeel
