#pragma once

#include <goldcrestkeel/core/Time.h>
#include <goldcrestkeel/net/HttpClient.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace goldcrestkeel {

/** Identifies a timer within one event loop; never 0. */
using TimerId = std::uint64_t;

/** Single-threaded event loop for HTTP transfers, timers and posted tasks.
 *  Post() and Stop() may be called from any thread, all other methods only on
 *  the loop thread or before Run(). */
class EventLoop
{
public:
  using Task = std::function<void()>;

  /** Both references must outlive the loop. */
  EventLoop(const Clock& aClock, HttpClient& aClient);

  /** Runs until Stop(). */
  void Run();
  /** Makes Run() return after the current iteration. Any thread. */
  void Stop();
  /** Runs one iteration: posted tasks, then timers that are due, then
   *  transfers. Blocks for at most aMaxWait if there is nothing to do. */
  void RunOnce(Duration aMaxWait);

  /** Queues aTask to run on the loop thread. Any thread. */
  void Post(Task aTask);
  /** Runs aTask at aTime, or as soon as possible if aTime has passed. */
  TimerId At(TimePoint aTime, Task aTask);
  /** Runs aTask after aDelay. */
  TimerId After(Duration aDelay, Task aTask);
  /** Cancels a timer. Does nothing if it is unknown or has fired. */
  void Cancel(TimerId aTimer);

  TimePoint Now() const { return m_clock.Now(); }
  HttpClient& Client() { return m_client; }
  const Clock& GetClock() const { return m_clock; }

private:
  void RunPosted();
  void RunTimers();
  Duration WaitTime(Duration aMaxWait) const;

  const Clock& m_clock;
  HttpClient& m_client;
  std::atomic<bool> m_stopped{ false };
  mutable std::mutex m_mutex;
  std::vector<Task> m_posted;
  TimerId m_nextTimer = 1;
  std::map<std::pair<TimePoint, TimerId>, Task> m_timers;
  std::map<TimerId, TimePoint> m_timerTimes;
};

} // namespace goldcrestkeel
