#pragma once

#include <goldcrestkeel/core/Random.h>
#include <goldcrestkeel/core/Time.h>

#include <cstdint>
#include <optional>

namespace goldcrestkeel {

/** Token bucket that limits extra sub-requests to a fraction of the primary
 *  ones. A second, smaller bucket is filled first and reserved for retries, so
 *  that hedges cannot consume the retries on which coverage depends when a
 *  replica is lost. */
class ExtraLoadBudget
{
public:
  /** Each primary sub-request adds aRatio tokens. aBurst and aReserve are the
   *  capacities of the common bucket and of the bucket for retries; both start
   *  full. */
  ExtraLoadBudget(double aRatio, double aBurst, double aReserve);

  void AddPrimary();
  bool CanHedge() const { return m_tokens >= 1; }
  bool CanRetry() const { return m_tokens >= 1 || m_reserved >= 1; }
  /** Consumes one token; checks the invariant HedgeWithinBudget. */
  void Spend();

private:
  double m_ratio;
  double m_burst;
  double m_reserve;
  double m_tokens;
  double m_reserved;
  std::uint64_t m_primaries = 0;
  std::uint64_t m_spent = 0;
};

/** Extra load allowed per shard, as a multiple of the ratio of the service. One
 *  lost shard then cannot consume the budget of the whole service, and the load
 *  amplification on the shard stays below 1.1 at a ratio of 0.05. */
inline constexpr double kShardBudgetFactor = 1.9;

/** Capacity in tokens of the common bucket of a shard. */
inline constexpr double kShardBurst = 3;

/** Tokens of a shard reserved for retries: about the number of searches of one
 *  entry host that run on a replica when it is lost. */
inline constexpr double kShardReserve = 3;

/** Returns a random delay before retry aRetry (0 is the first). Its upper bound
 *  grows with aRetry. Returns nothing if the delay would end at or after
 *  aDeadline. */
std::optional<Duration>
RetryDelay(TimePoint aNow,
           TimePoint aDeadline,
           std::uint32_t aRetry,
           RandomSource& aRandom);

} // namespace goldcrestkeel
