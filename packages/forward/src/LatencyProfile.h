#pragma once

#include <goldcrestkeel/core/Time.h>

#include <array>
#include <cstddef>
#include <optional>

namespace goldcrestkeel {

/** Histogram of recent latencies with logarithmic buckets. Older samples lose
 *  weight as new ones are added. */
class LatencyProfile
{
public:
  void Add(Duration aLatency);

  /** Returns the aFraction quantile, in [0, 1], of the samples; nothing while
   *  there are too few of them. */
  std::optional<Duration> Quantile(double aFraction) const;

private:
  static constexpr std::size_t kBuckets = 64;

  std::array<float, kBuckets> m_weights{};
  float m_total = 0;
};

} // namespace goldcrestkeel
