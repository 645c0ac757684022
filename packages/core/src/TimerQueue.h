#pragma once

#include <goldcrestkeel/core/QueryEngine.h>

#include <optional>
#include <queue>
#include <vector>

namespace goldcrestkeel {

enum class TimerKind
{
  ResponseTarget,
  Deadline,
  Hedge,
  Retry,
  /** End of the time that a queued query may wait. */
  Admission,
  /** End of the hold of a query that may have crashed replicas. */
  Hold,
};

/** A timer is not removed when its query ends; it then has no effect. */
struct Timer
{
  TimePoint m_at;
  TimerKind m_kind = TimerKind::Deadline;
  QueryId m_query = 0;
  std::uint32_t m_shard = 0;
  std::uint32_t m_epoch = 0;
};

class TimerQueue
{
public:
  void Add(const Timer& aTimer) { m_timers.push(aTimer); }

  std::optional<TimePoint> Next() const
  {
    if (m_timers.empty()) {
      return std::nullopt;
    }
    return m_timers.top().m_at;
  }

  /** Earliest timer due at aNow, removed from the queue. */
  std::optional<Timer> Take(TimePoint aNow)
  {
    if (m_timers.empty() || m_timers.top().m_at > aNow) {
      return std::nullopt;
    }
    const Timer timer = m_timers.top();
    m_timers.pop();
    return timer;
  }

private:
  struct Later
  {
    bool operator()(const Timer& aLeft, const Timer& aRight) const
    {
      return aLeft.m_at > aRight.m_at;
    }
  };

  std::priority_queue<Timer, std::vector<Timer>, Later> m_timers;
};

} // namespace goldcrestkeel
