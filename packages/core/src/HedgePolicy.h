#pragma once

#include <goldcrestkeel/core/Time.h>

#include <memory>
#include <optional>
#include <string_view>

namespace goldcrestkeel {

/** Mean and mean absolute deviation of a replica's latency, in microseconds;
 *  both 0 before the first sample. */
struct LatencyEstimate
{
  double m_mean = 0;
  double m_deviation = 0;
};

/** Decides after which delay a sub-request is hedged. */
class HedgePolicy
{
public:
  virtual ~HedgePolicy() = default;

  /** Records the latency of a sub-request, or the time after which it was
   *  cancelled, and the estimate for its replica at that time. */
  virtual void Observe(Duration aLatency, const LatencyEstimate& aExpected) = 0;

  /** Returns the delay after which an attempt on a replica with the estimate
   *  aExpected is hedged; nothing for no hedge. */
  virtual std::optional<Duration> Delay(
    const LatencyEstimate& aExpected) const = 0;
};

/** Returns the strategy "none" or "quantile"; any other name selects
 *  "quantile". aExtraLoad is the fraction of sub-requests that may be
 *  hedged. */
std::unique_ptr<HedgePolicy>
MakeHedgePolicy(std::string_view aName, double aExtraLoad);

} // namespace goldcrestkeel
