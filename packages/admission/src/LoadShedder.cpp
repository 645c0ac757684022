#include <goldcrestkeel/admission/LoadShedder.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace goldcrestkeel {

namespace {

constexpr std::array<std::string_view, kRejectReasons> kReasons{
  "queue_too_long",
  "too_little_time",
  "queue_past_target"
};

constexpr double kMicrosecondsPerSecond = 1e6;
/** Time constant of the rate of served requests. A host may have a few a
 *  second, so a shorter one would leave too few samples. */
constexpr double kRateTimeConstantUs = 2e6;
/** Least decayed number of served requests that make a rate. */
constexpr double kMinServed = 4;
/** A shorter backlog is a pause of a server (up to 250 ms) and no overload. */
constexpr Duration kMinBacklogTime{ 300000 };
/** A backlog that returns within this time has not ended. */
constexpr Duration kBacklogGap{ 100000 };
/** Servers may become this much faster than the estimate before a request is
 *  served. */
constexpr double kRateMargin = 1.5;
constexpr double kCompletionMargin = 0.7;
/** Fraction of the time to the target that the expected answer may take. */
constexpr double kTargetRatio = 0.7;
/** Bounds of Retry-After, and least width of the time over which callers
 *  return. */
constexpr Duration kMinRetryAfter{ 150000 };
constexpr Duration kMaxRetryAfter{ 5000000 };
constexpr Duration kMinSpread{ 250000 };

Duration
Scaled(Duration aTime, double aFactor)
{
  return Duration(
    static_cast<Duration::rep>(static_cast<double>(aTime.count()) * aFactor));
}

} // namespace

std::string_view
NameOf(RejectReason aReason)
{
  return kReasons.at(static_cast<std::size_t>(aReason));
}

double
LoadShedder::ServedAt(TimePoint aNow) const
{
  return m_served * std::exp(-static_cast<double>((aNow - m_servedAt).count()) /
                             kRateTimeConstantUs);
}

void
LoadShedder::OnServed(TimePoint aNow)
{
  m_served = ServedAt(aNow) + 1;
  m_servedAt = aNow;
}

void
LoadShedder::OnQueueChanged(TimePoint aNow, bool aWaiting)
{
  if (!aWaiting) {
    m_emptyAt = m_emptyAt.value_or(aNow);
    return;
  }
  if (!m_waitingSince || (m_emptyAt && aNow - *m_emptyAt > kBacklogGap)) {
    m_waitingSince = aNow;
  }
  m_emptyAt.reset();
}

std::optional<AnswerEstimate>
LoadShedder::Estimate(TimePoint aNow,
                      double aAhead,
                      const ServiceCapacity& aCapacity) const
{
  const bool backlog =
    m_waitingSince && !m_emptyAt && aNow - *m_waitingSince >= kMinBacklogTime;
  const double served = ServedAt(aNow);
  if (!backlog || served < kMinServed || !aCapacity.m_completion) {
    return std::nullopt;
  }
  const double rate = served / (kRateTimeConstantUs / kMicrosecondsPerSecond);
  // A host that carries more than an equal share shows it by its rate; one that
  // carried little until now can have at least an equal share.
  const double share = aCapacity.m_perSecond / std::max(1U, aCapacity.m_hosts);
  const auto timeAt = [&](double aRate) {
    return Duration(
      static_cast<Duration::rep>(aAhead / aRate * kMicrosecondsPerSecond));
  };
  return AnswerEstimate{ timeAt(std::max(rate, share)),
                         timeAt(rate),
                         *aCapacity.m_completion };
}

std::optional<RejectReason>
LoadShedder::Judge(const std::optional<AnswerEstimate>& aEstimate,
                   Duration aLeft)
{
  if (!aEstimate) {
    return std::nullopt;
  }
  const Duration completion =
    Scaled(aEstimate->m_completion, kCompletionMargin);
  if (completion > aLeft) {
    return RejectReason::TooLittleTime;
  }
  if (Scaled(aEstimate->m_wait, 1 / kRateMargin) + completion > aLeft) {
    return RejectReason::QueueTooLong;
  }
  return std::nullopt;
}

std::optional<RejectReason>
LoadShedder::JudgeByTarget(const std::optional<AnswerEstimate>& aEstimate,
                           Duration aTarget,
                           Duration aTargetLeft,
                           Duration aLeft)
{
  const auto reason = Judge(aEstimate, aLeft);
  if (reason || !aEstimate || aEstimate->m_completion >= aTarget) {
    // A service that is slower than the target is late without a queue, too.
    return reason;
  }
  return aEstimate->m_likelyWait + aEstimate->m_completion >
             Scaled(aTargetLeft, kTargetRatio)
           ? std::optional(RejectReason::QueuePastTarget)
           : std::nullopt;
}

Duration
LoadShedder::RetryAfter(const AnswerEstimate& aEstimate,
                        Duration aLeft,
                        RandomSource& aRandom)
{
  const Duration excess = aEstimate.m_likelyWait + aEstimate.m_completion -
                          std::max(aLeft, Duration(0));
  const Duration room = std::clamp(excess, kMinRetryAfter, kMaxRetryAfter);
  const Duration spread =
    std::clamp(aEstimate.m_likelyWait, kMinSpread, kMaxRetryAfter);
  return room + Duration(aRandom.Below(spread.count()));
}

} // namespace goldcrestkeel
