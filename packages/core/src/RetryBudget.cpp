#include "RetryBudget.h"

#include <goldcrestkeel/core/Invariant.h>

#include <algorithm>

namespace goldcrestkeel {

namespace {

/** Maximum delay before the first retry: about the time in which the state of a
 *  replica that refused changes, and short compared with the 110 ms target. */
constexpr Duration kMaxFirstRetryDelay{ 2000 };
/** Maximum number of times that the delay is doubled. */
constexpr std::uint32_t kMaxDoublings = 6;
/** Tolerance for the rounding errors of many additions of the ratio, in
 *  tokens. */
constexpr double kRoundingTolerance = 1e-3;

} // namespace

ExtraLoadBudget::ExtraLoadBudget(double aRatio, double aBurst, double aReserve)
  : m_ratio(aRatio)
  , m_burst(aBurst)
  , m_reserve(aReserve)
  , m_tokens(aBurst)
  , m_reserved(aReserve)
{
}

void
ExtraLoadBudget::AddPrimary()
{
  ++m_primaries;
  const double reserved = std::min(m_ratio, m_reserve - m_reserved);
  m_reserved += reserved;
  m_tokens = std::min(m_tokens + m_ratio - reserved, m_burst);
}

void
ExtraLoadBudget::Spend()
{
  (m_tokens >= 1 ? m_tokens : m_reserved) -= 1;
  ++m_spent;
  GK_INVARIANT(static_cast<double>(m_spent) <=
                 m_ratio * static_cast<double>(m_primaries) + m_burst +
                   m_reserve + kRoundingTolerance,
               InvariantId::HedgeWithinBudget,
               std::to_string(m_spent) + " extra sub-requests for " +
                 std::to_string(m_primaries));
}

std::optional<Duration>
RetryDelay(TimePoint aNow,
           TimePoint aDeadline,
           std::uint32_t aRetry,
           RandomSource& aRandom)
{
  const Duration limit =
    kMaxFirstRetryDelay * (1 << std::min(aRetry, kMaxDoublings));
  const Duration delay{ static_cast<Duration::rep>(
    aRandom.Below(static_cast<std::uint64_t>(limit.count())) + 1) };
  if (aNow + delay >= aDeadline) {
    return std::nullopt;
  }
  return delay;
}

} // namespace goldcrestkeel
