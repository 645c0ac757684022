#pragma once

#include <goldcrestkeel/Control.h>

namespace goldcrestkeel {

/** Hash of service and body, by which a key used for another command is
 *  recognised. */
std::uint64_t
FingerprintOf(const Command& aCommand);

} // namespace goldcrestkeel
