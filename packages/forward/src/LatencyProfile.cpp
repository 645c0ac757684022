#include "LatencyProfile.h"

#include <algorithm>
#include <cmath>

namespace goldcrestkeel {

namespace {

/** Upper bound of the first bucket, in microseconds. */
constexpr double kFirstBucketUs = 500;
/** Ratio of the bounds of adjacent buckets: 64 buckets reach 7 s. */
constexpr double kBucketRatio = 1.165;
/** Total weight at which all weights are halved, so that old samples decay. */
constexpr float kMaxTotalWeight = 600;
/** Minimum total weight of samples for a meaningful quantile. */
constexpr float kMinSamples = 20;

std::size_t
BucketOf(Duration aLatency, std::size_t aBuckets)
{
  const double latency = std::max<double>(kFirstBucketUs, aLatency.count());
  const double position =
    std::log(latency / kFirstBucketUs) / std::log(kBucketRatio);
  return std::min(aBuckets - 1, static_cast<std::size_t>(position));
}

} // namespace

void
LatencyProfile::Add(Duration aLatency)
{
  m_weights[BucketOf(aLatency, kBuckets)] += 1;
  m_total += 1;
  if (m_total >= kMaxTotalWeight) {
    for (float& weight : m_weights) {
      weight /= 2;
    }
    m_total /= 2;
  }
}

std::optional<Duration>
LatencyProfile::Quantile(double aFraction) const
{
  if (m_total < kMinSamples) {
    return std::nullopt;
  }
  double sum = 0;
  std::size_t bucket = 0;
  for (; bucket + 1 < kBuckets; ++bucket) {
    sum += m_weights[bucket];
    if (sum >= aFraction * m_total) {
      break;
    }
  }
  const double upperBound =
    kFirstBucketUs * std::pow(kBucketRatio, static_cast<double>(bucket) + 1);
  return Duration(static_cast<Duration::rep>(upperBound));
}

} // namespace goldcrestkeel
