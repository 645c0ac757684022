#include "ShareTable.h"

#include <algorithm>

namespace goldcrestkeel {

namespace {

/** Requests in flight per slot. A request on the network occupies a connection
 *  but no slot: with a service time of 5 ms and a round trip of 16 ms, four
 *  requests are needed to keep one slot busy. */
constexpr std::uint32_t kInFlightPerSlot = 4;

} // namespace

ShareTable::ShareTable(std::optional<TimePoint> aJoinedAt)
  : m_joinedAt(aJoinedAt)
{
}

void
ShareTable::SetLiveHosts(TimePoint aNow, std::uint32_t aLiveHosts)
{
  const std::uint32_t hosts = std::max<std::uint32_t>(aLiveHosts, 1);
  if (m_hostCounts.empty() || m_hostCounts.back().m_hosts != hosts) {
    m_hostCounts.push_back({ aNow, hosts });
  }
}

std::uint32_t
ShareTable::HostDivisor(TimePoint aNow)
{
  // A host count applies until kShareGrowDelay after its replacement.
  while (m_hostCounts.size() > 1 &&
         m_hostCounts[1].m_since + kShareGrowDelay <= aNow) {
    m_hostCounts.pop_front();
  }
  std::uint32_t divisor = 1;
  for (const HostCount& count : m_hostCounts) {
    divisor = std::max(divisor, count.m_hosts);
  }
  return divisor;
}

std::uint32_t
ShareTable::Connections(TimePoint aNow, std::uint32_t aCap)
{
  if (m_joinedAt && aNow < *m_joinedAt + kShareGrowDelay) {
    return 0;
  }
  return aCap / HostDivisor(aNow);
}

std::uint32_t
ShareTable::Slots(TimePoint aNow,
                  std::uint32_t aSlots,
                  std::uint32_t aConnections)
{
  const std::uint32_t connections = Connections(aNow, aConnections);
  if (connections == 0) {
    return 0;
  }
  return std::min(connections,
                  kInFlightPerSlot *
                    std::max<std::uint32_t>(aSlots / HostDivisor(aNow), 1));
}

} // namespace goldcrestkeel
