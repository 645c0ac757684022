#pragma once

#include <goldcrestkeel/core/Time.h>

#include <algorithm>

namespace goldcrestkeel {

/** Time over which the demand of a tenant on this host is averaged. */
inline constexpr Duration kDemandTime{ 500000 };
/** Time over which granted tokens are averaged for the claim. */
inline constexpr Duration kClaimTime{ 1000000 };
/** Time for which tokens are requested ahead; less than kGrantValidity, so that
 *  few of them expire. */
inline constexpr Duration kAheadTime{ 200000 };
/** Smallest demand for which tokens are requested ahead, and smallest claim, in
 *  requests a second. Below it most tokens would expire unused. */
inline constexpr double kMinAheadRate = 4;
/** Smallest interval between two messages to a host. */
inline constexpr Duration kSendInterval{ 10000 };
/** Interval of messages to a host that is checking whether it is responsible.
 */
inline constexpr Duration kCheckInterval{ 25000 };
/** A host that did not answer is asked again after this time. */
inline constexpr Duration kRetryDelay{ 500000 };
/** A failure of a host that was not asked again is forgotten after this time.
 */
inline constexpr Duration kFailureValidity{ 3000000 };
/** A host named as owner by another one is asked for this time. */
inline constexpr Duration kRedirectTime{ 2000000 };
/** A host that is not responsible is not asked for this time. */
inline constexpr Duration kSkipTime{ 500000 };
/** A claim is renewed or withdrawn this long after the last message. */
inline constexpr Duration kClaimRenewal{ 400000 };
/** No tokens are requested for at most this time after an owner had none, as
 *  other hosts may return some. */
inline constexpr Duration kMaxExhausted{ 100000 };
/** Capacity of the fallback, as time at its rate. */
inline constexpr double kFallbackSeconds = 0.1;
/** Limits of Retry-After. */
inline constexpr Duration kMinRetryAfter{ 5000 };
inline constexpr Duration kMaxRetryAfter{ 2000000 };

/** Time between two requests at aRate a second. */
inline Duration
IntervalOf(double aRate)
{
  constexpr double kMicrosecondsPerSecond = 1e6;
  return Duration(static_cast<Duration::rep>(
    std::min(kMicrosecondsPerSecond / std::max(aRate, 1e-6),
             static_cast<double>(kMaxRetryAfter.count()))));
}

} // namespace goldcrestkeel
