#pragma once

#include <goldcrestkeel/core/Time.h>

#include <memory>
#include <optional>
#include <string_view>

namespace goldcrestkeel {

/** Average and mean deviation of a replica's latency, in microseconds; both 0
 *  before the first sample. */
struct LatencyEstimate
{
  double m_mean = 0;
  double m_deviation = 0;
};

/** Decides after which time a second copy of a sub-request is sent. */
class HedgePolicy
{
public:
  virtual ~HedgePolicy() = default;

  /** Latency of a sub-request, or the time after which it was cancelled, and
   *  what was expected of its replica. */
  virtual void Observe(Duration aLatency, const LatencyEstimate& aExpected) = 0;

  /** Time from the first copy, on a replica of which aExpected is known, to
   *  the second; nothing for no hedge. */
  virtual std::optional<Duration> Delay(
    const LatencyEstimate& aExpected) const = 0;
};

/** Strategy with this name: "none" or "quantile"; any other name gives
 *  "quantile". aExtraLoad is the share of sub-requests that may be hedged. */
std::unique_ptr<HedgePolicy>
MakeHedgePolicy(std::string_view aName, double aExtraLoad);

} // namespace goldcrestkeel
