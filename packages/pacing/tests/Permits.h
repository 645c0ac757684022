#pragma once

#include <goldcrestkeel/core/Time.h>

#include <cstddef>

namespace goldcrestkeel::testing {

/** Uses all permits of aLimit that are available, at most 1,000, so that one
 *  that allows everything does not go on without end; returns their number. */
template<typename Limit>
std::size_t
UseAll(Limit& aLimit, TimePoint aNow)
{
  std::size_t used = 0;
  for (; aLimit.Allows(aNow) && used < 1000; ++used) {
    aLimit.Use(aNow);
  }
  return used;
}

} // namespace goldcrestkeel::testing
