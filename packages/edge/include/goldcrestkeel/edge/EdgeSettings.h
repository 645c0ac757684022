#pragma once

#include <goldcrestkeel/core/Time.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace goldcrestkeel {

/** Limits of the memory for answers that are being received, in bytes. */
struct AnswerLimits
{
  /** Largest body of one answer. */
  std::uint64_t m_answerBytes = 3 * 1024 * 1024;
  /** All incomplete answers together; beyond it, the largest one is ended. */
  std::uint64_t m_totalBytes = 3 * 1024 * 1024;

  bool operator==(const AnswerLimits&) const = default;
};

/** Limits of the memory for the connections of callers and other entry hosts,
 *  and for those at the addresses of the status. */
struct SessionLimits
{
  /** All connections together, in bytes: what was received of requests, the
   *  requests that are being served, and unread answers. Beyond it, the largest
   *  incomplete request is refused, or the largest unread answer cut off. */
  std::uint64_t m_totalBytes = 32 * 1024 * 1024;
  /** Requests of one connection that are read while an earlier one is being
   *  served, in bytes. */
  std::uint64_t m_readAheadBytes = 16 * 1024;
  /** A connection of whose answer the peer reads nothing for this long is
   *  closed. */
  Duration m_unreadTimeout{ 30000000 };

  bool operator==(const SessionLimits&) const = default;
};

/** Settings of an entry host, read from its settings file. */
struct EdgeSettings
{
  std::string m_hostId;
  std::string m_dataCentre;
  /** Region of each data centre, by the name of the data centre. */
  std::map<std::string, std::string> m_regions;

  /** True if the whole deployment, including its replicas, starts for the first
   *  time. */
  bool m_firstStart = false;

  /** Address, as "IP:port", at which the host accepts callers. */
  std::string m_callerAddress;
  /** Address of the readiness check for the load balancer. */
  std::string m_readinessAddress;
  /** Address at which the host accepts requests relayed by other entry hosts;
   *  empty to accept none. */
  std::string m_relayAddress;
  /** CPU limit of this host, in processor cores. */
  double m_cores = 1;
  /** Address at which the metrics are served; empty to serve none. */
  std::string m_metricsAddress;
  /** Address of the store that holds the configuration and the membership. */
  std::string m_storeAddress;

  /** Number of entry hosts from which they pass changes of the store on to each
   *  other; with fewer, each host reads the store. */
  std::uint64_t m_minSharedHosts = 24;

  /** Retry and hedge budget of a service, over all entry hosts: in each
   *  m_repeatWindow, m_repeatRatio of its requests plus m_repeatSlack. */
  double m_repeatRatio = 0.1;
  double m_repeatSlack = 0;
  Duration m_repeatWindow{ 10000000 };
  /** Window of the bound of tenants' rate limits, and the part by which all
   *  hosts together may exceed it. They limit how long a token is valid. */
  Duration m_rateLimitWindow{ 5000000 };
  double m_rateLimitOvershoot = 0.1;
  /** Time within which a draining replica must stop receiving requests
   *  (m_drainLimit) and a new configuration must be applied (m_applyLimit).
   *  Changes are read in batches, whose interval is a fraction of these limits.
   */
  Duration m_drainLimit{ 3000000 };
  Duration m_applyLimit{ 3000000 };
  /** Memory for answers of replicas and of other entry hosts. */
  AnswerLimits m_answerLimits;
  SessionLimits m_sessionLimits;
  /** Time from the shutdown request until the platform kills the process. */
  Duration m_grace{ 6000000 };

  bool operator==(const EdgeSettings&) const = default;
};

/** Parses settings from JSON with comments; unknown members are ignored. Throws
 *  Error (InvalidConfiguration) that lists every fault with its JSON pointer.
 */
EdgeSettings
ParseEdgeSettings(std::string_view aText);

} // namespace goldcrestkeel
