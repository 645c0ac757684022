#pragma once

#include <goldcrestkeel/Control.h>

namespace goldcrestkeel {

/** Hash of the service name and the body. It detects a key that was already
 *  used for another command. */
std::uint64_t
FingerprintOf(const Command& aCommand);

} // namespace goldcrestkeel
