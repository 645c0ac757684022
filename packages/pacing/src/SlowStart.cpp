#include <goldcrestkeel/pacing/SlowStart.h>

#include <algorithm>
#include <cmath>

namespace goldcrestkeel {

namespace {

/** An answer is late from this multiple of the usual time on: service times
 *  vary by about a half, and replicas are slower for some seconds after their
 *  start. With a request queued ahead, an answer takes longer than that. */
constexpr double kLateFactor = 2.5;
/** Growth of a limit below one with each answer in time: about seven answers
 *  lead from one request of all hosts together to one of each of 60 hosts. */
constexpr double kGrowthFactor = 1.5;
/** The same from one on, in requests. */
constexpr double kGrowthStep = 0.5;
constexpr double kShrinkFactor = 0.5;
/** Lower bound of the limit, relative to the first one. With less, replicas
 * that are late because all have much to do would leave the work to the first
 * one that was not. */
constexpr double kMinRatio = 0.5;
/** The same where a slow start begins after others without an answer in time.
 */
constexpr double kMinFirstRatio = 0.125;
/** Latency that is assumed before the first answer. */
constexpr Duration kAssumedLatency{ 20000 };
/** Longest gap between two requests, doubled with each slow start in a row that
 *  had no answer in time, and the upper bound of that. A replica that can take
 *  requests again is not left idle for longer. */
constexpr Duration kMaxGap{ 1000000 };
constexpr std::uint32_t kMaxGapDoublings = 3;
/** A slow start does not end sooner: of several replicas that start at a time,
 *  the first one at its usual share would get what the others do not take. */
constexpr Duration kMinTime{ 2000000 };
/** A slow start ends after this time: a replica that is permanently slower than
 *  before is used by the ordinary rules. */
constexpr Duration kMaxTime{ 30000000 };

} // namespace

Duration
SlowStart::GapOf(const Phase& aPhase)
{
  const Duration latency = aPhase.m_plan.m_usualLatency > Duration(0)
                             ? aPhase.m_plan.m_usualLatency
                             : kAssumedLatency;
  const double gap = static_cast<double>(latency.count()) / aPhase.m_limit;
  const Duration longest =
    kMaxGap * (1U << std::min(aPhase.m_fruitless, kMaxGapDoublings));
  return std::min(longest, Duration(static_cast<Duration::rep>(gap)));
}

SlowStart::Phase
SlowStart::MakePhase(TimePoint aAt,
                     const SlowStartPlan& aPlan,
                     std::uint32_t aFruitless,
                     RandomSource& aRandom)
{
  Phase phase;
  phase.m_beginsAt = aAt;
  phase.m_plan = aPlan;
  phase.m_fruitless = aFruitless;
  phase.m_limit =
    std::max(kMinFirstRatio, std::pow(kShrinkFactor, aFruitless)) *
    aPlan.m_first;
  phase.m_nextAt =
    aAt +
    Duration(aRandom.Below(std::max<Duration::rep>(1, GapOf(phase).count())));
  return phase;
}

void
SlowStart::Begin(TimePoint aNow,
                 const SlowStartPlan& aPlan,
                 RandomSource& aRandom)
{
  const Phase* const before = CurrentAt(aNow);
  const std::uint32_t fruitless =
    before && !before->m_hasGoodAnswer ? before->m_fruitless + 1 : 0;
  m_phase = MakePhase(aNow, aPlan, fruitless, aRandom);
  if (m_next && m_next->m_beginsAt <= aNow) {
    m_next.reset();
  }
}

void
SlowStart::BeginAt(TimePoint aAt,
                   const SlowStartPlan& aPlan,
                   RandomSource& aRandom)
{
  m_next = MakePhase(aAt, aPlan, 0, aRandom);
}

const SlowStart::Phase*
SlowStart::CurrentAt(TimePoint aNow) const
{
  const bool next = m_next && m_next->m_beginsAt <= aNow;
  const auto& phase = next ? m_next : m_phase;
  return phase && aNow < phase->m_beginsAt + kMaxTime ? &*phase : nullptr;
}

SlowStart::Phase*
SlowStart::Current(TimePoint aNow)
{
  if (m_next && m_next->m_beginsAt <= aNow) {
    m_phase = m_next;
    m_next.reset();
  }
  return CurrentAt(aNow) ? &*m_phase : nullptr;
}

bool
SlowStart::IsOn(TimePoint aNow) const
{
  return CurrentAt(aNow) != nullptr;
}

bool
SlowStart::Allows(TimePoint aNow, std::uint32_t aInFlight) const
{
  const Phase* const phase = CurrentAt(aNow);
  if (!phase) {
    return true;
  }
  return phase->m_limit < 1 ? aInFlight == 0 && aNow >= phase->m_nextAt
                            : aInFlight + 1 <= phase->m_limit;
}

void
SlowStart::OnSent(TimePoint aNow)
{
  if (Phase* const phase = Current(aNow)) {
    phase->m_sentAt = aNow;
    phase->m_nextAt = aNow + GapOf(*phase);
  }
}

void
SlowStart::OnAnswered(TimePoint aNow, Duration aLatency)
{
  Phase* const phase = Current(aNow);
  if (!phase) {
    return;
  }
  SlowStartPlan& plan = phase->m_plan;
  if (plan.m_usualLatency <= Duration(0)) {
    plan.m_usualLatency = aLatency;
  }
  if (static_cast<double>(aLatency.count()) >
      kLateFactor * static_cast<double>(plan.m_usualLatency.count())) {
    OnFailed(aNow);
    return;
  }
  phase->m_hasGoodAnswer = true;
  phase->m_fruitless = 0;
  phase->m_limit = phase->m_limit < 1 ? phase->m_limit * kGrowthFactor
                                      : phase->m_limit + kGrowthStep;
  if (phase->m_limit >= plan.m_last) {
    if (aNow >= phase->m_beginsAt + kMinTime) {
      m_phase.reset();
      return;
    }
    phase->m_limit = plan.m_last;
  }
  phase->m_nextAt = std::min(phase->m_nextAt, phase->m_sentAt + GapOf(*phase));
}

void
SlowStart::OnFailed(TimePoint aNow)
{
  Phase* const phase = Current(aNow);
  // Requests that were in flight together fail for one reason.
  if (!phase || aNow - phase->m_reducedAt < phase->m_plan.m_usualLatency) {
    return;
  }
  phase->m_reducedAt = aNow;
  phase->m_limit = std::min(phase->m_limit,
                            std::max(kMinRatio * phase->m_plan.m_first,
                                     kShrinkFactor * phase->m_limit));
  phase->m_nextAt = std::max(phase->m_nextAt, aNow + GapOf(*phase));
}

} // namespace goldcrestkeel
