#pragma once

#include <cstddef>
#include <cstdint>

namespace goldcrestkeel {

/** Largest numbers of connections. */
struct ConnectionLimits
{
  /** Accepted and opened ones together. */
  std::size_t m_all = 0;
  /** To replicas and other hosts, whatever the number of the others. */
  std::size_t m_minReplicas = 0;
  /** Accepted ones that replicas leave room for. */
  std::size_t m_minAccepted = 0;
  /** That carry messages about crashes to other hosts. */
  std::size_t m_crashMessages = 0;
  /** Accepted of callers. */
  std::size_t m_callers = 0;
  /** Of other entry hosts. */
  std::size_t m_hosts = 0;
  /** At the address of the readiness check, and at that of the metrics. */
  std::size_t m_status = 0;
};

/** Divides a limit of open descriptors. Connections to replicas and hosts may
 *  take what the others leave of m_all. */
ConnectionLimits
ConnectionLimitsFor(std::uint64_t aDescriptors);

/** Limit of the open descriptors of this process. */
std::uint64_t
DescriptorLimit();

} // namespace goldcrestkeel
