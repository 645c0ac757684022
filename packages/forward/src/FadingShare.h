#pragma once

#include <goldcrestkeel/core/Time.h>

#include <cmath>

namespace goldcrestkeel {

/** aValue after aAge, if it loses most of its weight in aMemoryUs. */
inline double
Decayed(double aValue, Duration aAge, double aMemoryUs)
{
  return aValue * std::exp(-static_cast<double>(aAge.count()) / aMemoryUs);
}

/** Share of recent events that were of one kind. It is forgotten without new
 *  events. */
class FadingShare
{
public:
  /** aWeight is that of one event, aMemoryUs the time in which the share is
   *  forgotten. */
  FadingShare(double aWeight, double aMemoryUs)
    : m_weight(aWeight)
    , m_memoryUs(aMemoryUs)
  {
  }

  void Add(TimePoint aNow, bool aCounts)
  {
    const double before = At(aNow);
    m_value = before + m_weight * ((aCounts ? 1.0 : 0.0) - before);
    m_since = aNow;
  }

  double At(TimePoint aNow) const
  {
    return Decayed(m_value, aNow - m_since, m_memoryUs);
  }

private:
  double m_weight;
  double m_memoryUs;
  double m_value = 0;
  TimePoint m_since;
};

} // namespace goldcrestkeel
