#include "HedgePolicy.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

#include <algorithm>
#include <utility>

namespace goldcrestkeel {

namespace {

namespace accumulators = boost::accumulators;

/** Samples per window; the quantile of the last full window is used. */
constexpr std::size_t kWindowSamples = 1000;
/** Samples after which the quantile of the first window is used although the
 *  window is not full. */
constexpr std::size_t kFirstWindowSamples = 100;
/** Fraction of the extra load planned for hedges; the rest is left for
 *  retries. */
constexpr double kHedgeShare = 0.9;

using Tail = accumulators::accumulator_set<
  double,
  accumulators::stats<accumulators::tag::count,
                      accumulators::tag::tail_quantile<accumulators::right>>>;

class NoHedge : public HedgePolicy
{
public:
  void Observe(Duration, const LatencyEstimate&) override {}
  std::optional<Duration> Delay(const LatencyEstimate&) const override
  {
    return std::nullopt;
  }
};

/** Learns by how many deviations a sub-request exceeds the average of its
 *  replica. A quantile of the latencies themselves would hedge nearly all
 *  sub-requests of a shard whose replicas are all far away. A multiple of the
 *  average would hedge too late there, since the network latency hardly
 *  varies. */
class QuantileHedge : public HedgePolicy
{
public:
  explicit QuantileHedge(double aExtraLoad)
    : m_quantile(1 - kHedgeShare * std::clamp(aExtraLoad, 0.0, 0.5))
    , m_tail(MakeTail())
  {
  }

  void Observe(Duration aLatency, const LatencyEstimate& aExpected) override
  {
    if (aExpected.m_deviation <= 0) {
      return;
    }
    m_tail((static_cast<double>(aLatency.count()) - aExpected.m_mean) /
           aExpected.m_deviation);
    const std::size_t count = accumulators::count(m_tail);
    if (count == kWindowSamples ||
        (!m_factor && count == kFirstWindowSamples)) {
      m_factor = accumulators::quantile(
        m_tail, accumulators::quantile_probability = m_quantile);
    }
    if (count == kWindowSamples) {
      m_tail = MakeTail();
    }
  }

  std::optional<Duration> Delay(const LatencyEstimate& aExpected) const override
  {
    if (!m_factor || aExpected.m_deviation <= 0) {
      return std::nullopt;
    }
    return Duration{ static_cast<Duration::rep>(
      aExpected.m_mean + *m_factor * aExpected.m_deviation) };
  }

private:
  Tail MakeTail() const
  {
    const auto cache = static_cast<std::size_t>(
      static_cast<double>(kWindowSamples) * (1 - m_quantile));
    return Tail(accumulators::right_tail_cache_size = cache + 2);
  }

  double m_quantile;
  Tail m_tail;
  std::optional<double> m_factor;
};

} // namespace

std::unique_ptr<HedgePolicy>
MakeHedgePolicy(std::string_view aName, double aExtraLoad)
{
  if (aName == "none") {
    return std::make_unique<NoHedge>();
  }
  return std::make_unique<QuantileHedge>(aExtraLoad);
}

} // namespace goldcrestkeel
