#include <goldcrestkeel/net/SystemClock.h>

#include <chrono>

namespace goldcrestkeel {

TimePoint
SystemClock::Now() const
{
  return TimePoint(std::chrono::duration_cast<Duration>(
    std::chrono::steady_clock::now().time_since_epoch()));
}

WallTime
SystemClock::WallNow() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace goldcrestkeel
