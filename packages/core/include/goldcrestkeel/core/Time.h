#pragma once

#include <chrono>
#include <cstdint>

namespace goldcrestkeel {

/** Length of time in microseconds. */
using Duration = std::chrono::microseconds;

/** Tag of the monotonic time line on which the core receives its events. The
 *  caller of the core reads the clock; the core never does. */
struct CoreClock
{
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<CoreClock, Duration>;
};

/** Point on the monotonic time line, in microseconds since an arbitrary epoch
 *  of this process. */
using TimePoint = CoreClock::time_point;

/** Wall-clock time in milliseconds since the Unix epoch. Used only for leases
 *  and for keys minted by callers. */
using WallTime = std::int64_t;

/** Source of both clocks. The daemon reads the system clocks; tests and
 *  benchmarks set the time by hand. */
class Clock
{
public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
  virtual WallTime WallNow() const = 0;
};

} // namespace goldcrestkeel
