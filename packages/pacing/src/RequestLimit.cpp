#include <goldcrestkeel/pacing/RequestLimit.h>

#include <algorithm>
#include <cmath>

namespace goldcrestkeel {

namespace {

/** Lower bound of a limit, in requests a second of all hosts together: without
 *  any request, hosts would not learn that a limit of 0 has ended. */
constexpr double kMinPerSecond = 0.5;
constexpr double kMicrosecondsPerSecond = 1e6;

} // namespace

void
RequestLimit::Set(TimePoint aNow,
                  std::optional<double> aPerSecond,
                  RandomSource& aRandom)
{
  const bool begins = aPerSecond && !m_perSecond;
  m_perSecond = aPerSecond;
  if (begins) {
    m_lastUsed = aNow - Duration(aRandom.Below(Interval().count()));
  }
}

double
RequestLimit::Rate() const
{
  return std::max(kMinPerSecond, *m_perSecond) * m_share;
}

Duration
RequestLimit::Interval() const
{
  return Duration(
    static_cast<Duration::rep>(std::ceil(kMicrosecondsPerSecond / Rate())));
}

TimePoint
RequestLimit::NextPermit(TimePoint aNow) const
{
  const Duration interval = Interval();
  const TimePoint next = m_lastUsed + interval;
  const Duration expired = aNow - m_permitValid - next;
  if (expired <= Duration(0)) {
    return next;
  }
  return next + interval * ((expired + interval - Duration(1)) / interval);
}

Duration
RequestLimit::TimeToPermit(TimePoint aNow) const
{
  return m_perSecond ? NextPermit(aNow) - aNow : Duration(0);
}

void
RequestLimit::Use(TimePoint aNow)
{
  if (m_perSecond) {
    m_lastUsed = NextPermit(aNow);
  }
}

} // namespace goldcrestkeel
