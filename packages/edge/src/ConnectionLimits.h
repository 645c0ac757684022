#pragma once

#include <cstddef>
#include <cstdint>

namespace goldcrestkeel {

/** Largest numbers of accepted connections. */
struct ConnectionLimits
{
  std::size_t m_callers = 0;
  /** Of other entry hosts. */
  std::size_t m_hosts = 0;
  /** At the address of the readiness check, and at that of the metrics. */
  std::size_t m_status = 0;
};

/** Divides a limit of open descriptors. What is left is for connections to
 *  replicas and hosts. */
ConnectionLimits
ConnectionLimitsFor(std::uint64_t aDescriptors);

/** Limit of the open descriptors of this process. */
std::uint64_t
DescriptorLimit();

} // namespace goldcrestkeel
