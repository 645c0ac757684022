#pragma once

#include <goldcrestkeel/core/Time.h>

#include <cmath>

namespace goldcrestkeel {

/** Exponential decay of aValue over aAge. */
inline double
Decayed(double aValue, Duration aAge, double aTimeConstantUs)
{
  return aValue *
         std::exp(-static_cast<double>(aAge.count()) / aTimeConstantUs);
}

/** Moving average, in [0, 1], of how often an event occurs. Decays towards 0
 *  while no sample is added. */
class DecayingRate
{
public:
  /** aWeight is that of one sample, aTimeConstantUs that of the decay. */
  DecayingRate(double aWeight, double aTimeConstantUs)
    : m_weight(aWeight)
    , m_timeConstantUs(aTimeConstantUs)
  {
  }

  /** aCounts tells whether the event occurred. */
  void Add(TimePoint aNow, bool aCounts)
  {
    const double before = At(aNow);
    m_value = before + m_weight * ((aCounts ? 1.0 : 0.0) - before);
    m_since = aNow;
  }

  double At(TimePoint aNow) const
  {
    return Decayed(m_value, aNow - m_since, m_timeConstantUs);
  }

private:
  double m_weight;
  double m_timeConstantUs;
  double m_value = 0;
  TimePoint m_since;
};

} // namespace goldcrestkeel
