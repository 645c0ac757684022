#include "ConnectionLimits.h"

#include <sys/resource.h>

#include <algorithm>

namespace goldcrestkeel {

namespace {

/** Limits of the connections of callers, of other entry hosts and at each
 *  address of the status, if the limit of descriptors allows them. */
constexpr std::uint64_t kMaxCallers = 2500;
constexpr std::uint64_t kMaxHosts = 500;
constexpr std::uint64_t kMaxStatus = 64;
/** Assumed if the limit cannot be read: the smallest of the deployments. */
constexpr std::uint64_t kAssumedDescriptors = 4000;

} // namespace

ConnectionLimits
ConnectionLimitsFor(std::uint64_t aDescriptors)
{
  // Of the usual limit of 4,000 descriptors, these shares are the limits above.
  ConnectionLimits limits;
  limits.m_all = aDescriptors / 8 * 7;
  limits.m_minReplicas = aDescriptors / 16;
  limits.m_crashMessages = aDescriptors / 16;
  limits.m_callers = std::min(kMaxCallers, aDescriptors / 8 * 5);
  limits.m_hosts = std::min(kMaxHosts, aDescriptors / 8);
  limits.m_status = std::min(kMaxStatus, aDescriptors / 32);
  limits.m_minAccepted =
    (limits.m_callers + limits.m_hosts + 2 * limits.m_status) / 2;
  return limits;
}

std::uint64_t
DescriptorLimit()
{
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur
                                               : kAssumedDescriptors;
}

} // namespace goldcrestkeel
