/** Umbrella header of the control library: configuration, membership and
 *  at-most-once commands, without input or output. Include this header only,
 *  not its parts. */
#pragma once

#include <goldcrestkeel/control/CommandGuard.h>
#include <goldcrestkeel/control/Configuration.h>
#include <goldcrestkeel/control/Store.h>
