#pragma once

#include <goldcrestkeel/core/Time.h>

#include <map>
#include <string>
#include <string_view>

namespace goldcrestkeel {

/** Settings of an entry host that forwards requests, from its settings file. */
struct EdgeSettings
{
  std::string m_hostId;
  std::string m_dataCentre;
  /** Region of each data centre. */
  std::map<std::string, std::string> m_regions;

  /** The whole deployment starts for the first time, and its replicas with it.
   */
  bool m_firstStart = false;

  /** Address that callers connect to. */
  std::string m_callerAddress;
  /** Address at which the load balancer asks whether the host is ready. */
  std::string m_readinessAddress;
  /** Address at which other entry hosts hand requests over; empty for none. */
  std::string m_relayAddress;
  /** Part of a processor core that this host may use. */
  double m_cores = 1;
  /** Address of the metrics; empty for none. */
  std::string m_metricsAddress;
  /** Address of the store. */
  std::string m_storeAddress;

  /** Repeats to a service over all hosts: this share of its requests plus
   *  m_repeatSlack in each m_repeatWindow. */
  double m_repeatRatio = 0.1;
  double m_repeatSlack = 0;
  Duration m_repeatWindow{ 10000000 };
  /** Time in which a replica that leaves must stop getting requests, and in
   *  which a new configuration must be in force. Changes that come together are
   *  read together within a part of it. */
  Duration m_drainLimit{ 3000000 };
  Duration m_applyLimit{ 3000000 };
  /** Time between the request to stop and the end of the process. */
  Duration m_grace{ 6000000 };

  bool operator==(const EdgeSettings&) const = default;
};

/** Reads settings from JSON with comments; unknown members are ignored. Throws
 *  Error (InvalidConfiguration) whose text lists all faults, each with its
 *  path. */
EdgeSettings
ParseEdgeSettings(std::string_view aText);

} // namespace goldcrestkeel
