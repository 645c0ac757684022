/** Umbrella header of the core library: the decisions of the query tier,
 *  without input or output. Include this header, not the individual headers. */
#pragma once

#include <goldcrestkeel/core/CrashGuard.h>
#include <goldcrestkeel/core/Errors.h>
#include <goldcrestkeel/core/Invariant.h>
#include <goldcrestkeel/core/QueryEngine.h>
#include <goldcrestkeel/core/Random.h>
#include <goldcrestkeel/core/StableHash.h>
#include <goldcrestkeel/core/Time.h>
#include <goldcrestkeel/core/Topology.h>
