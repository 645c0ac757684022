#include "ShareTable.h"

#include <algorithm>

namespace goldcrestkeel {

namespace {

/** Requests in flight for each slot. On the network a request takes up a
 *  connection but no slot: with a service time of 5 ms and a round trip of
 *  16 ms, four are needed to keep a slot busy. */
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
  if (m_views.empty() || m_views.back().m_hosts != hosts) {
    m_views.push_back({ aNow, hosts });
  }
}

std::uint32_t
ShareTable::Divisor(TimePoint aNow)
{
  // A view counts until kShareGrowDelay after the next one replaced it.
  while (m_views.size() > 1 && m_views[1].m_since + kShareGrowDelay <= aNow) {
    m_views.pop_front();
  }
  std::uint32_t divisor = 1;
  for (const View& view : m_views) {
    divisor = std::max(divisor, view.m_hosts);
  }
  return divisor;
}

std::uint32_t
ShareTable::Connections(TimePoint aNow, std::uint32_t aCap)
{
  if (m_joinedAt && aNow < *m_joinedAt + kShareGrowDelay) {
    return 0;
  }
  return aCap / Divisor(aNow);
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
                    std::max<std::uint32_t>(aSlots / Divisor(aNow), 1));
}

} // namespace goldcrestkeel
