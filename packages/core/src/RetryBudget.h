#pragma once

#include <goldcrestkeel/core/Random.h>
#include <goldcrestkeel/core/Time.h>

#include <cstdint>
#include <optional>

namespace goldcrestkeel {

/** Token bucket that limits extra sub-requests to a share of primary ones. */
class ExtraLoadBudget
{
public:
  /** aRatio tokens are earned by each primary sub-request; aBurst tokens are
   *  there at the start and are the most that can be saved. */
  ExtraLoadBudget(double aRatio, double aBurst);

  void AddPrimary();
  bool CanSpend() const { return m_tokens >= 1; }
  /** Takes one token; checks HedgeWithinBudget. */
  void Spend();

private:
  double m_ratio;
  double m_burst;
  double m_tokens;
  std::uint64_t m_primaries = 0;
  std::uint64_t m_spent = 0;
};

/** Extra load that a service allows for each shard, as a multiple of the
 *  service's ratio. One lost shard can then not use up the budget of the
 *  service, and its amplification stays below 1.1 at a ratio of 0.05. */
inline constexpr double kShardBudgetFactor = 1.9;

/** Tokens that a shard's bucket holds. */
inline constexpr double kShardBurst = 3;

/** Random delay before retry aRetry (0 is the first), growing with each;
 *  nothing if it would end at or after aDeadline. */
std::optional<Duration>
RetryDelay(TimePoint aNow,
           TimePoint aDeadline,
           std::uint32_t aRetry,
           RandomSource& aRandom);

} // namespace goldcrestkeel
