#pragma once

#include <goldcrestkeel/core/Random.h>
#include <goldcrestkeel/core/Time.h>

#include <string>

namespace goldcrestkeel::gkctl {

/** Returns the time of the system clock in milliseconds since the Unix
 *  epoch. */
WallTime
WallNow();

/** Returns a new idempotency key or operation id: "<unix milliseconds>-<16 hex
 *  digits>". */
std::string
MakeKey(WallTime aNow, RandomSource& aRandom);

} // namespace goldcrestkeel::gkctl
