#include <goldcrestkeel/net/SystemClock.h>

#include <chrono>
#include <ctime>

namespace goldcrestkeel {

TimePoint
SystemClock::Now() const
{
  // Unlike std::chrono::steady_clock, this clock also counts the time that the
  // host is suspended, so that ages and deadlines include it.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

WallTime
SystemClock::WallNow() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace goldcrestkeel
