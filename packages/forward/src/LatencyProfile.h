#pragma once

#include <goldcrestkeel/core/Time.h>

#include <array>
#include <cstddef>
#include <optional>

namespace goldcrestkeel {

/** Recent latencies as a histogram with logarithmic buckets; older samples lose
 *  weight as new ones come. */
class LatencyProfile
{
public:
  void Add(Duration aLatency);

  /** Latency below which aShare of the samples lie; nothing while there are
   *  too few samples. */
  std::optional<Duration> Quantile(double aShare) const;

private:
  static constexpr std::size_t kBuckets = 64;

  std::array<float, kBuckets> m_weights{};
  float m_total = 0;
};

} // namespace goldcrestkeel
