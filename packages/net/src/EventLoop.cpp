#include <goldcrestkeel/net/EventLoop.h>

#include <algorithm>

namespace goldcrestkeel {

namespace {

// Maximum wait without events, in case a wake-up is lost.
constexpr Duration kMaxIdleWait{ 1000000 }; // 1 s

} // namespace

EventLoop::EventLoop(const Clock& aClock, HttpClient& aClient)
  : m_clock(aClock)
  , m_client(aClient)
{
}

void
EventLoop::Run()
{
  while (!m_stopped.load()) {
    RunOnce(kMaxIdleWait);
  }
}

void
EventLoop::Stop()
{
  m_stopped.store(true);
  m_client.Wake();
}

void
EventLoop::RunOnce(Duration aMaxWait)
{
  RunPosted();
  RunTimers();
  m_client.Perform();
  m_client.Wait(WaitTime(aMaxWait));
}

void
EventLoop::Post(Task aTask)
{
  bool first = false;
  {
    std::lock_guard lock(m_mutex);
    first = m_posted.empty();
    m_posted.push_back(std::move(aTask));
  }
  if (first) {
    m_client.Wake();
  }
}

TimerId
EventLoop::At(TimePoint aTime, Task aTask)
{
  const TimerId id = m_nextTimer++;
  m_timers.emplace(std::pair(aTime, id), std::move(aTask));
  m_timerTimes.emplace(id, aTime);
  return id;
}

TimerId
EventLoop::After(Duration aDelay, Task aTask)
{
  return At(Now() + aDelay, std::move(aTask));
}

void
EventLoop::Cancel(TimerId aTimer)
{
  const auto time = m_timerTimes.find(aTimer);
  if (time != m_timerTimes.end()) {
    m_timers.erase({ time->second, aTimer });
    m_timerTimes.erase(time);
  }
}

void
EventLoop::RunPosted()
{
  std::vector<Task> tasks;
  {
    std::lock_guard lock(m_mutex);
    tasks.swap(m_posted);
  }
  for (Task& task : tasks) {
    task();
  }
}

void
EventLoop::RunTimers()
{
  const TimePoint now = Now();
  // Timers that are set by the tasks below run in the next iteration. Otherwise
  // a timer that is always due would starve transfers and posted tasks.
  const TimerId firstNewTimer = m_nextTimer;
  auto next = m_timers.begin();
  while (next != m_timers.end() && next->first.first <= now) {
    if (next->first.second >= firstNewTimer) {
      ++next;
      continue;
    }
    auto node = m_timers.extract(next);
    m_timerTimes.erase(node.key().second);
    node.mapped()();
    // The task may have set or cancelled timers, which invalidates iterators.
    next = m_timers.begin();
  }
}

Duration
EventLoop::WaitTime(Duration aMaxWait) const
{
  {
    std::lock_guard lock(m_mutex);
    if (!m_posted.empty() || m_stopped.load()) {
      return Duration{ 0 };
    }
  }
  if (m_timers.empty()) {
    return aMaxWait;
  }
  const Duration untilNextTimer = m_timers.begin()->first.first - Now();
  return std::clamp(untilNextTimer, Duration{ 0 }, aMaxWait);
}

} // namespace goldcrestkeel
