#include <goldcrestkeel/admission/DispatchPacer.h>

#include <algorithm>
#include <cmath>

namespace goldcrestkeel {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
/** The rate grows while fewer requests than this wait for each slot, and falls
 *  while more do: a request then waits about two service times at the server,
 *  and no slot is idle although few hosts know of it. */
constexpr double kWaitingPerSlot = 2;
/** What a refusal counts as, and the maximum of a report. */
constexpr double kRefusedPerSlot = 4;
/** Weight of one report in the average. */
constexpr double kReportWeight = 0.2;
/** Decline of the logarithm of the rate in a second, and growth in equal shares
 *  of the capacity in a second, for each unit of difference, with the bounds of
 *  the difference. Bursts last a few seconds. Additive growth lets hosts with a
 *  low rate catch up. */
constexpr double kDecline = 1.5;
constexpr double kGrowth = 1;
constexpr double kMaxDifference = 1;
/** Longest time that a change covers. */
constexpr Duration kMaxStep{ 500000 };
/** Lower bound of the rate, in equal shares of the capacity. */
constexpr double kMinShare = 0.5;
/** The limit ends at this multiple of the rate of served requests: it does not
 *  bind. */
constexpr double kEndRatio = 2;
/** Requests that may be sent at once: those of this time, and at least one. */
constexpr Duration kBurstTime{ 40000 };
/** Time constant of the rate of served requests. */
constexpr double kServedTimeConstantUs = 1e6;

double
Seconds(Duration aTime)
{
  return static_cast<double>(aTime.count()) / kMicrosecondsPerSecond;
}

} // namespace

double
DispatchPacer::ServedAt(TimePoint aNow) const
{
  return m_served * std::exp(-static_cast<double>((aNow - m_servedAt).count()) /
                             kServedTimeConstantUs);
}

double
DispatchPacer::TokensAt(TimePoint aNow) const
{
  const double burst = std::max(1.0, *m_rate * Seconds(kBurstTime));
  return std::min(burst, m_tokens + *m_rate * Seconds(aNow - m_tokensAt));
}

void
DispatchPacer::OnAnswer(TimePoint aNow, const ServerReport& aReport)
{
  if (!aReport.m_refused) {
    m_served = ServedAt(aNow) + 1;
    m_servedAt = aNow;
  }
  const double sample = aReport.m_refused
                          ? kRefusedPerSlot
                          : std::min(aReport.m_waitingPerSlot, kRefusedPerSlot);
  m_waitingPerSlot += kReportWeight * (sample - m_waitingPerSlot);
  const Duration step = std::min(aNow - m_answeredAt, kMaxStep);
  m_answeredAt = aNow;
  const double served =
    ServedAt(aNow) / (kServedTimeConstantUs / kMicrosecondsPerSecond);
  if (!m_rate) {
    if (m_waitingPerSlot > kWaitingPerSlot) {
      m_rate = std::max(aReport.m_equalShare, served);
      m_tokens = 0;
      m_tokensAt = aNow;
    }
    return;
  }
  m_tokens = TokensAt(aNow);
  m_tokensAt = aNow;
  const double difference = std::clamp(
    kWaitingPerSlot - m_waitingPerSlot, -kMaxDifference, kMaxDifference);
  if (difference < 0) {
    *m_rate *= std::exp(kDecline * Seconds(step) * difference);
  } else {
    *m_rate += kGrowth * aReport.m_equalShare * Seconds(step) * difference;
  }
  m_rate = std::max(*m_rate, kMinShare * aReport.m_equalShare);
  if (difference > 0 &&
      *m_rate > kEndRatio * std::max(aReport.m_equalShare, served)) {
    m_rate.reset();
  }
}

void
DispatchPacer::OnDispatched(TimePoint aNow)
{
  if (m_rate) {
    m_tokens = TokensAt(aNow) - 1;
    m_tokensAt = aNow;
  }
}

bool
DispatchPacer::Allows(TimePoint aNow) const
{
  return !m_rate || TokensAt(aNow) >= 1;
}

} // namespace goldcrestkeel
