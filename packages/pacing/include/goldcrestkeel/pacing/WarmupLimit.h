#pragma once

#include <goldcrestkeel/core/Random.h>
#include <goldcrestkeel/core/Time.h>
#include <goldcrestkeel/pacing/RequestLimit.h>

namespace goldcrestkeel {

/** Limit of the requests a second that a replica takes from all hosts together
 *  while it is cold, and this host's share of it. */
class WarmupLimit
{
public:
  /** Sets the limit while cold, in requests a second of all hosts together; 0
   *  for none. */
  void SetRate(TimePoint aNow, double aPerSecond, RandomSource& aRandom);
  /** Sets the fraction of the limit, in (0, 1], that this host may use. */
  void SetShare(double aShare) { m_limit.SetShare(aShare); }
  /** The replica is cold until aUntil; not cold if that has passed. */
  void SetColdUntil(TimePoint aNow, TimePoint aUntil, RandomSource& aRandom);

  TimePoint ColdUntil() const { return m_coldUntil; }
  bool IsCold(TimePoint aNow) const { return aNow < m_coldUntil; }
  /** Whether requests are limited now. */
  bool IsLimited(TimePoint aNow) const
  {
    return IsCold(aNow) && m_limit.PerSecond().has_value();
  }
  /** Permits a second for this host; only while requests are limited. */
  double Rate() const { return m_limit.Rate(); }

  /** Time until a request may be sent; not positive if one may be sent now. */
  Duration TimeToPermit(TimePoint aNow) const;
  bool Allows(TimePoint aNow) const
  {
    return TimeToPermit(aNow) <= Duration(0);
  }
  /** Uses a permit, possibly one that has not been issued yet. */
  void Use(TimePoint aNow);

private:
  /** How long a permit can be used: all hosts together may send the limit for
   *  one second plus this time within one second, and the bound is one and a
   *  half times the limit. */
  static constexpr Duration kPermitValid{ 500000 };

  void Apply(TimePoint aNow, RandomSource& aRandom);

  double m_perSecond = 0;
  TimePoint m_coldUntil;
  RequestLimit m_limit{ kPermitValid };
};

} // namespace goldcrestkeel
