#include "Keys.h"

#include <chrono>
#include <cstdio>

namespace goldcrestkeel::gkctl {

WallTime
WallNow()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::string
MakeKey(WallTime aNow, RandomSource& aRandom)
{
  char digits[17];
  std::snprintf(digits,
                sizeof(digits),
                "%016llx",
                static_cast<unsigned long long>(aRandom.Next()));
  return std::to_string(aNow) + "-" + digits;
}

} // namespace goldcrestkeel::gkctl
