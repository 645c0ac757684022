#pragma once

#include "Options.h"

namespace goldcrestkeel {

/** Runs an entry host on the users' platform until SIGTERM or SIGINT, or only
 *  checks its settings (Options::m_check). Returns the exit status. Throws
 *  std::exception if the settings are not valid or the host cannot start. */
int
ServePlatform(const Options& aOptions);

} // namespace goldcrestkeel
