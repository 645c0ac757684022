#pragma once

#include <goldcrestkeel/core/Time.h>

namespace goldcrestkeel {

/** Interval of the timer, and of the probes between the hosts that may grant
 * the tokens of a busy tenant. Both sides of a broken link notice it within
 * this time and kPeerTimeout. */
inline constexpr Duration kProbeInterval{ 600000 };
/** What is known of a host counts for this long: one failed probe more than
 *  kProbeInterval. */
inline constexpr Duration kPeerValidity{ 1300000 };
/** A tenant without requests for this time is idle. */
inline constexpr Duration kBusyTime{ 5000000 };

} // namespace goldcrestkeel
