#include <goldcrestkeel/net/EventLoop.h>

#include <algorithm>

namespace goldcrestkeel {

namespace {

// Longest sleep without any event; a bound in case a wake-up is lost.
constexpr Duration kIdleWait{ 1000000 };

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
    RunOnce(kIdleWait);
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
  // Timers set from here on wait for the next round. One that is always due
  // would otherwise keep transfers and posted tasks from running.
  const TimerId firstNew = m_nextTimer;
  auto next = m_timers.begin();
  while (next != m_timers.end() && next->first.first <= now) {
    if (next->first.second >= firstNew) {
      ++next;
      continue;
    }
    auto node = m_timers.extract(next);
    m_timerTimes.erase(node.key().second);
    node.mapped()();
    // The task may have set or cancelled any timer.
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
  const Duration left = m_timers.begin()->first.first - Now();
  return std::clamp(left, Duration{ 0 }, aMaxWait);
}

} // namespace goldcrestkeel
