#pragma once

#include <goldcrestkeel/core/Time.h>

#include <cstdint>
#include <string>

namespace goldcrestkeel {

/** One start of a replica, as discovery lists it. */
struct ReplicaRecord
{
  /** Unique over all services; names the replica at its address. */
  std::string m_id;
  std::string m_service;
  /** "IP:port". */
  std::string m_address;
  std::string m_dataCentre;
  /** Requests that the replica runs at once. */
  std::uint32_t m_slots = 1;
  bool m_draining = false;
  /** How much longer the replica is slow after its start. */
  Duration m_warmupLeft{ 0 };
  /** Wall-clock time of the start; tells two starts under one id apart. */
  WallTime m_startedAt = 0;

  bool operator==(const ReplicaRecord&) const = default;
};

/** A replica's own report of its load. */
struct LoadReport
{
  std::uint32_t m_running = 0;
  std::uint32_t m_waiting = 0;
  std::uint32_t m_slots = 0;
};

} // namespace goldcrestkeel
