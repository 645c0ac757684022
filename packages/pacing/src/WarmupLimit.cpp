#include <goldcrestkeel/pacing/WarmupLimit.h>

#include <algorithm>

namespace goldcrestkeel {

void
WarmupLimit::SetRate(TimePoint aNow, double aPerSecond, RandomSource& aRandom)
{
  m_perSecond = aPerSecond;
  Apply(aNow, aRandom);
}

void
WarmupLimit::SetColdUntil(TimePoint aNow,
                          TimePoint aUntil,
                          RandomSource& aRandom)
{
  if (!IsCold(aNow)) {
    // The next period begins at another random time within an interval.
    m_limit.Set(aNow, std::nullopt, aRandom);
  }
  m_coldUntil = aUntil;
  Apply(aNow, aRandom);
}

void
WarmupLimit::Apply(TimePoint aNow, RandomSource& aRandom)
{
  const bool limited = IsCold(aNow) && m_perSecond > 0;
  m_limit.Set(
    aNow, limited ? std::optional(m_perSecond) : std::nullopt, aRandom);
}

Duration
WarmupLimit::TimeToPermit(TimePoint aNow) const
{
  return IsCold(aNow) ? std::min(m_limit.TimeToPermit(aNow), m_coldUntil - aNow)
                      : Duration(0);
}

void
WarmupLimit::Use(TimePoint aNow)
{
  if (IsCold(aNow)) {
    m_limit.Use(aNow);
  }
}

} // namespace goldcrestkeel
