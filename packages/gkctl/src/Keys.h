#pragma once

#include <goldcrestkeel/core/Random.h>
#include <goldcrestkeel/core/Time.h>

#include <string>

namespace goldcrestkeel::gkctl {

/** Milliseconds since the Unix epoch, from the system clock. */
WallTime
WallNow();

/** Idempotency key or operation id: "<unix milliseconds>-<16 hex digits>". */
std::string
MakeKey(WallTime aNow, RandomSource& aRandom);

} // namespace goldcrestkeel::gkctl
