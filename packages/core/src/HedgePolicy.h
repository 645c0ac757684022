#pragma once

#include <goldcrestkeel/core/Time.h>

#include <memory>
#include <optional>
#include <string_view>

namespace goldcrestkeel {

/** Decides after which time a second copy of a sub-request is sent. */
class HedgePolicy
{
public:
  virtual ~HedgePolicy() = default;

  /** Latency of a sub-request, or the time after which it was cancelled, and
   *  the average latency of its replica. */
  virtual void Observe(Duration aLatency, Duration aExpected) = 0;

  /** Time from the first copy, on a replica with the average latency
   *  aExpected, to the second; nothing for no hedge. */
  virtual std::optional<Duration> Delay(Duration aExpected) const = 0;
};

/** Strategy with this name: "none" or "quantile"; any other name gives
 *  "quantile". aExtraLoad is the share of sub-requests that may be hedged. */
std::unique_ptr<HedgePolicy>
MakeHedgePolicy(std::string_view aName, double aExtraLoad);

} // namespace goldcrestkeel
