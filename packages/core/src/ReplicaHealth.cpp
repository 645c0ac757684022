#include "ReplicaHealth.h"

#include <algorithm>
#include <cmath>

namespace goldcrestkeel {

namespace {

/** Weight of a new latency sample: a lasting change dominates after about 20
 *  samples, while a single straggler has little effect. */
constexpr double kSampleWeight = 0.1;
/** Limit of a sample above the average, in mean deviations. Without it, a
 *  straggler would delay the hedges of the next samples. */
constexpr double kMaxSampleDeviations = 4;

/** Deviation assumed after the first sample, as a fraction of the average. */
constexpr double kInitialDeviationRatio = 0.5;

/** Consecutive failures after which a replica is ejected. */
constexpr std::uint32_t kFailuresBeforeEjection = 5;
/** Duration of the first ejection; each further ejection is longer by this
 *  amount. */
constexpr Duration kEjectionStep{ 1000000 };
/** Maximum duration of an ejection. It is below the 5 s within which latency
 *  must be back to normal after an outage. */
constexpr Duration kMaxEjection{ 4000000 };

/** Time in which a cold replica reaches its full share of the load. */
constexpr Duration kSlowStartDuration{ 10000000 };
/** Fraction of its normal load that a cold replica receives at first. */
constexpr double kMinSlowStartFraction = 0.1;

void
RecordLatency(TimePoint aNow, ReplicaState& aReplica, Duration aElapsed)
{
  auto sample = static_cast<double>(aElapsed.count());
  if (aReplica.m_latency == 0) {
    aReplica.m_latency = std::max(sample, 1.0);
    aReplica.m_deviation = aReplica.m_latency * kInitialDeviationRatio;
  } else {
    sample = std::min(
      sample, aReplica.m_latency + kMaxSampleDeviations * aReplica.m_deviation);
    aReplica.m_deviation +=
      kSampleWeight *
      (std::abs(sample - aReplica.m_latency) - aReplica.m_deviation);
    aReplica.m_latency += kSampleWeight * (sample - aReplica.m_latency);
  }
  aReplica.m_latencyUpdatedAt = aNow;
}

} // namespace

void
RecordOutcome(TimePoint aNow,
              ReplicaState& aReplica,
              AttemptOutcome aOutcome,
              Duration aElapsed)
{
  switch (aOutcome) {
    case AttemptOutcome::Answered:
      aReplica.m_consecutiveFailures = 0;
      aReplica.m_statusMisses = 0;
      aReplica.m_ejections = 0;
      aReplica.m_ejectedUntil = aNow;
      RecordLatency(aNow, aReplica, aElapsed);
      break;
    case AttemptOutcome::Failed:
      ++aReplica.m_consecutiveFailures;
      break;
    case AttemptOutcome::Reset:
      aReplica.m_consecutiveFailures =
        std::max(aReplica.m_consecutiveFailures + 1, kFailuresBeforeEjection);
      break;
    case AttemptOutcome::Refused:
      break;
    case AttemptOutcome::Unanswered:
      ++aReplica.m_consecutiveFailures;
      [[fallthrough]];
    case AttemptOutcome::Cancelled:
      // The elapsed time is a lower bound of the latency, so only a longer one
      // is informative.
      if (static_cast<double>(aElapsed.count()) > aReplica.m_latency) {
        RecordLatency(aNow, aReplica, aElapsed);
      }
      break;
  }
}

LatencyEstimate
ExpectedLatency(const ReplicaState& aReplica)
{
  return { aReplica.m_latency, aReplica.m_deviation };
}

bool
IsOutlier(const ReplicaState& aReplica)
{
  return aReplica.m_consecutiveFailures >= kFailuresBeforeEjection;
}

bool
IsEjected(TimePoint aNow, const ReplicaState& aReplica)
{
  return aNow < aReplica.m_ejectedUntil;
}

bool
EjectUnlessLast(TimePoint aNow,
                ReplicaTable& aTable,
                ReplicaIndex aReplica,
                const std::vector<std::span<const ReplicaIndex>>& aGroups)
{
  const auto usable = [&](ReplicaIndex aOther) {
    return aOther != aReplica && !aTable[aOther].m_draining &&
           !IsEjected(aNow, aTable[aOther]);
  };
  for (const std::span<const ReplicaIndex> group : aGroups) {
    if (std::none_of(group.begin(), group.end(), usable)) {
      return false;
    }
  }
  ReplicaState& replica = aTable[aReplica];
  ++replica.m_ejections;
  replica.m_ejectedUntil =
    aNow + std::min(kEjectionStep * replica.m_ejections, kMaxEjection);
  replica.m_consecutiveFailures = 0;
  return true;
}

void
BeginSlowStart(TimePoint aNow, ReplicaState& aReplica)
{
  aReplica.m_coldSince = aNow;
}

double
SlowStartFraction(TimePoint aNow, const ReplicaState& aReplica)
{
  if (!aReplica.m_coldSince) {
    return 1;
  }
  const double progress =
    static_cast<double>((aNow - *aReplica.m_coldSince).count()) /
    static_cast<double>(kSlowStartDuration.count());
  return std::clamp(progress, kMinSlowStartFraction, 1.0);
}

AttemptOutcome
OutcomeOf(SubFailureKind aKind)
{
  if (aKind == SubFailureKind::Reset) {
    return AttemptOutcome::Reset;
  }
  const bool refused =
    ProvesNotRun(aKind) && aKind != SubFailureKind::ConnectFailed;
  return refused ? AttemptOutcome::Refused : AttemptOutcome::Failed;
}

} // namespace goldcrestkeel
