#pragma once

#include <goldcrestkeel/core/Time.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace goldcrestkeel::testing {

/** Events in virtual time, for tests and benchmarks. Events at the same time
 * run in the order in which they were added. */
class EventQueue
{
public:
  using Action = std::function<void()>;

  explicit EventQueue(TimePoint aStart)
    : m_now(aStart)
  {
  }

  TimePoint Now() const { return m_now; }

  void At(TimePoint aTime, Action aAction)
  {
    m_events.push({ aTime, m_nextNumber++, std::move(aAction) });
  }
  void After(Duration aDelay, Action aAction)
  {
    At(m_now + aDelay, std::move(aAction));
  }

  /** Runs the next event unless it is later than aEnd; returns whether it did.
   *  The time never goes back. */
  bool RunNext(TimePoint aEnd = TimePoint::max())
  {
    if (m_events.empty() || m_events.top().m_at > aEnd) {
      return false;
    }
    const Event event = m_events.top();
    m_events.pop();
    m_now = std::max(m_now, event.m_at);
    event.m_action();
    return true;
  }

  /** Runs all events up to aEnd, and advances the time to it. */
  void RunUntil(TimePoint aEnd)
  {
    while (RunNext(aEnd)) {
    }
    m_now = aEnd;
  }

private:
  struct Event
  {
    TimePoint m_at;
    std::uint64_t m_number = 0;
    Action m_action;

    /** The queue has the greatest event on top, which must be the next one. */
    bool operator<(const Event& aOther) const
    {
      return std::pair(m_at, m_number) >
             std::pair(aOther.m_at, aOther.m_number);
    }
  };

  TimePoint m_now;
  std::uint64_t m_nextNumber = 0;
  std::priority_queue<Event> m_events;
};

} // namespace goldcrestkeel::testing
