#include <goldcrestkeel/admission/TokenBucket.h>

#include <algorithm>
#include <cmath>

namespace goldcrestkeel {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
/** Tolerance of the rounding error of levels, in tokens. */
constexpr double kRounding = 1e-6;

} // namespace

TokenBucket::TokenBucket(TimePoint aNow, double aRate, double aCapacity)
  : m_rate(aRate)
  , m_capacity(aCapacity)
  , m_refilledAt(aNow)
{
}

void
TokenBucket::Refill(TimePoint aNow)
{
  if (aNow > m_refilledAt) {
    const double seconds = static_cast<double>((aNow - m_refilledAt).count()) /
                           kMicrosecondsPerSecond;
    m_level = std::min(m_capacity, m_level + m_rate * seconds);
    m_refilledAt = aNow;
  }
}

void
TokenBucket::SetLimits(TimePoint aNow, double aRate, double aCapacity)
{
  Refill(aNow);
  m_rate = aRate;
  m_capacity = aCapacity;
  m_level = std::min(m_level, m_capacity);
}

std::uint32_t
TokenBucket::Take(TimePoint aNow, std::uint32_t aCount)
{
  Refill(aNow);
  const double whole = std::floor(std::max(0.0, m_level) + kRounding);
  const auto taken =
    static_cast<std::uint32_t>(std::min<double>(aCount, whole));
  m_level -= taken;
  return taken;
}

void
TokenBucket::Adjust(TimePoint aNow, double aTokens)
{
  Refill(aNow);
  m_level = std::clamp(m_level + aTokens, -m_capacity, m_capacity);
}

double
TokenBucket::Level(TimePoint aNow)
{
  Refill(aNow);
  return m_level;
}

Duration
TokenBucket::TimeTo(TimePoint aNow, double aCount)
{
  Refill(aNow);
  if (m_level + kRounding >= aCount) {
    return Duration(0);
  }
  const double micros = (aCount - m_level) / m_rate * kMicrosecondsPerSecond;
  return m_rate <= 0 || micros > static_cast<double>(kMaxTimeTo.count())
           ? kMaxTimeTo
           : Duration(static_cast<Duration::rep>(std::ceil(micros)));
}

} // namespace goldcrestkeel
