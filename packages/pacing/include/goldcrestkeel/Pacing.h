#pragma once

/** Pace at which replicas get requests: request limits, warm-up limits and slow
 *  start. Performs no I/O. */
#include <goldcrestkeel/pacing/RequestLimit.h>
#include <goldcrestkeel/pacing/SlowStart.h>
#include <goldcrestkeel/pacing/WarmupLimit.h>
