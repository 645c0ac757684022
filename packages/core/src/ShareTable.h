#pragma once

#include <goldcrestkeel/core/QueryEngine.h>

#include <cstdint>
#include <deque>
#include <optional>

namespace goldcrestkeel {

/** This host's share of the connections and slots of each replica. The member
 *  lists of two hosts can differ for up to kShareGrowDelay. A share therefore
 *  shrinks at once when a host appears, and grows only when every list of that
 *  period has been shorter. */
class ShareTable
{
public:
  /** With aJoinedAt, the host takes no share until kShareGrowDelay later: the
   *  other hosts may not know of it before. */
  explicit ShareTable(std::optional<TimePoint> aJoinedAt);

  /** aLiveHosts includes this host. */
  void SetLiveHosts(TimePoint aNow, std::uint32_t aLiveHosts);

  /** Connections to one replica that this host may hold. */
  std::uint32_t Connections(TimePoint aNow, std::uint32_t aCap);

  /** Requests of this host that may be in flight to one replica, at most its
   *  share of connections. The replica queues what exceeds its slots, which
   *  also happens if it has fewer slots than there are hosts. */
  std::uint32_t Slots(TimePoint aNow,
                      std::uint32_t aSlots,
                      std::uint32_t aConnections);

private:
  struct View
  {
    TimePoint m_since;
    std::uint32_t m_hosts = 1;
  };

  std::uint32_t Divisor(TimePoint aNow);

  std::optional<TimePoint> m_joinedAt;
  /** Views of the last kShareGrowDelay and the one before, oldest first. */
  std::deque<View> m_views;
};

} // namespace goldcrestkeel
