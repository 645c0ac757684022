#pragma once

#include <goldcrestkeel/core/QueryEngine.h>

#include <cstdint>
#include <deque>
#include <optional>

namespace goldcrestkeel {

/** Share of this host in the connections and slots of each replica. The member
 *  lists of two hosts can differ for up to kShareGrowDelay. A share therefore
 *  shrinks immediately when a host joins, and grows only after the member list
 *  has been shorter for that time. */
class ShareTable
{
public:
  /** If aJoinedAt is set, the share is 0 until kShareGrowDelay later, because
   *  the other hosts may not know this host before. */
  explicit ShareTable(std::optional<TimePoint> aJoinedAt);

  /** aLiveHosts includes this host. */
  void SetLiveHosts(TimePoint aNow, std::uint32_t aLiveHosts);

  /** Number of connections that this host may open to a replica that accepts
   *  aCap connections in total. */
  std::uint32_t Connections(TimePoint aNow, std::uint32_t aCap);

  /** Number of requests that this host may have in flight to one replica, at
   *  most its share of connections. The replica queues requests beyond its
   *  slots, which also happens if it has fewer slots than there are hosts. */
  std::uint32_t Slots(TimePoint aNow,
                      std::uint32_t aSlots,
                      std::uint32_t aConnections);

private:
  /** Length of the member list since m_since. */
  struct HostCount
  {
    TimePoint m_since;
    std::uint32_t m_hosts = 1;
  };

  /** Largest host count of the last kShareGrowDelay. */
  std::uint32_t HostDivisor(TimePoint aNow);

  std::optional<TimePoint> m_joinedAt;
  /** Host counts in effect during the last kShareGrowDelay, oldest first. */
  std::deque<HostCount> m_hostCounts;
};

} // namespace goldcrestkeel
