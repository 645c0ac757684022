#pragma once

#include <goldcrestkeel/core/Time.h>

#include <cstdint>

namespace goldcrestkeel {

/** Token bucket that starts empty. */
class TokenBucket
{
public:
  /** aRate in tokens a second, aCapacity in tokens. */
  TokenBucket(TimePoint aNow, double aRate, double aCapacity);

  /** Tokens that accrued until aNow accrue at the rate before. */
  void SetLimits(TimePoint aNow, double aRate, double aCapacity);
  /** Takes up to aCount whole tokens; returns their number. */
  std::uint32_t Take(TimePoint aNow, std::uint32_t aCount);
  /** Adds tokens up to the capacity, or removes them if aTokens is negative.
   * The level may become negative, but not below -capacity. */
  void Adjust(TimePoint aNow, double aTokens);
  double Level(TimePoint aNow);
  bool IsFull(TimePoint aNow) { return Level(aNow) >= m_capacity; }
  /** Time until aCount tokens are there; at most kMaxTimeTo. */
  Duration TimeTo(TimePoint aNow, double aCount);

  static constexpr Duration kMaxTimeTo{ 60000000 };

private:
  void Refill(TimePoint aNow);

  double m_rate;
  double m_capacity;
  double m_level = 0;
  TimePoint m_refilledAt;
};

} // namespace goldcrestkeel
