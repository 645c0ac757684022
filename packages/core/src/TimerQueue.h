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
  /** Time at which queued searches are checked again. */
  Admission,
  /** End of kSuspectAnswerDelay for a query; with query 0, the deadline of a
   *  search that waits for a suspected statement. */
  SuspectTimeout,
};

/** A timer of a finished query stays in the queue and is ignored when due. */
struct Timer
{
  TimePoint m_at;
  TimerKind m_kind = TimerKind::Deadline;
  QueryId m_query = 0;
  std::uint32_t m_shard = 0;
  std::uint32_t m_epoch = 0;
};

/** Timers ordered by time. */
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

  /** Removes and returns the earliest timer that is due at aNow, if any. */
  std::optional<Timer> PopDue(TimePoint aNow)
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
