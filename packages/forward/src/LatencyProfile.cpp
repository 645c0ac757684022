#include "LatencyProfile.h"

#include <algorithm>
#include <cmath>

namespace goldcrestkeel {

namespace {

/** Upper end of the first bucket, in microseconds. */
constexpr double kFirstBucketUs = 500;
/** Ratio of the ends of neighbouring buckets: 64 buckets reach 7 s. */
constexpr double kBucketRatio = 1.165;
/** Total weight at which all weights are halved. */
constexpr float kFullWeight = 600;
/** Samples without which a quantile says nothing. */
constexpr float kFewestSamples = 20;

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
  if (m_total >= kFullWeight) {
    for (float& weight : m_weights) {
      weight /= 2;
    }
    m_total /= 2;
  }
}

std::optional<Duration>
LatencyProfile::Quantile(double aShare) const
{
  if (m_total < kFewestSamples) {
    return std::nullopt;
  }
  double sum = 0;
  std::size_t bucket = 0;
  for (; bucket + 1 < kBuckets; ++bucket) {
    sum += m_weights[bucket];
    if (sum >= aShare * m_total) {
      break;
    }
  }
  const double upperEnd =
    kFirstBucketUs * std::pow(kBucketRatio, static_cast<double>(bucket) + 1);
  return Duration(static_cast<Duration::rep>(upperEnd));
}

} // namespace goldcrestkeel
