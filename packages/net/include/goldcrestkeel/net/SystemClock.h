#pragma once

#include <goldcrestkeel/core/Time.h>

namespace goldcrestkeel {

/** Steady clock and wall clock of the operating system. Thread-safe. */
class SystemClock : public Clock
{
public:
  TimePoint Now() const override;
  WallTime WallNow() const override;
};

} // namespace goldcrestkeel
