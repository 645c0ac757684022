#pragma once

#include <goldcrestkeel/core/Random.h>
#include <goldcrestkeel/core/Time.h>

#include <optional>

namespace goldcrestkeel {

/** Limit of the requests a second that a replica takes from all hosts together,
 *  and this host's share of it. Permits for single requests are issued at
 *  regular intervals and expire soon, so that after quiet seconds the hosts do
 *  not all use saved permits at once. */
class RequestLimit
{
public:
  /** How long a permit can be used. After a quiet time, the hosts together may
   *  send what the limit allows in this time on top of it. */
  static constexpr Duration kPermitValid{ 1000000 };

  explicit RequestLimit(Duration aPermitValid = kPermitValid)
    : m_permitValid(aPermitValid)
  {
  }

  /** Sets the limit, in requests a second of all hosts together; std::nullopt
   *  ends it. The first permit is issued at a random time within an interval,
   *  so that the hosts are not in step. */
  void Set(TimePoint aNow,
           std::optional<double> aPerSecond,
           RandomSource& aRandom);
  /** Sets the fraction of the limit, in (0, 1], that this host may use. */
  void SetShare(double aShare) { m_share = aShare; }

  std::optional<double> PerSecond() const { return m_perSecond; }
  /** Permits a second for this host; only if there is a limit. */
  double Rate() const;

  /** Time until a permit can be used; not positive if one can be used now, or
   *  if there is no limit. */
  Duration TimeToPermit(TimePoint aNow) const;
  bool Allows(TimePoint aNow) const
  {
    return TimeToPermit(aNow) <= Duration(0);
  }
  /** Uses a permit, possibly one that has not been issued yet. */
  void Use(TimePoint aNow);

private:
  Duration Interval() const;
  /** Issue time of the oldest permit that is neither used nor expired. */
  TimePoint NextPermit(TimePoint aNow) const;

  Duration m_permitValid;
  std::optional<double> m_perSecond;
  double m_share = 1;
  /** Issue time of the last permit that was used. */
  TimePoint m_lastUsed;
};

} // namespace goldcrestkeel
