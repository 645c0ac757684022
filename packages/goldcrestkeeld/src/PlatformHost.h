#pragma once

#include "Options.h"

namespace goldcrestkeel {

/** Runs an entry host on the users' platform until SIGTERM or SIGINT, or only
 *  checks its settings. Returns the exit status; throws std::exception if the
 *  host cannot start. */
int
ServePlatform(const Options& aOptions);

} // namespace goldcrestkeel
