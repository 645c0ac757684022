/** Umbrella header of the core library: the query tier's decisions, without
 *  input or output. Include this header only, not its parts. */
#pragma once

#include <goldcrestkeel/core/Errors.h>
#include <goldcrestkeel/core/Invariant.h>
#include <goldcrestkeel/core/QueryEngine.h>
#include <goldcrestkeel/core/Random.h>
#include <goldcrestkeel/core/StableHash.h>
#include <goldcrestkeel/core/Time.h>
#include <goldcrestkeel/core/Topology.h>
