#include "ReplicaHealth.h"

#include <algorithm>
#include <cmath>

namespace goldcrestkeel {

namespace {

/** Weight of a new latency sample: a lasting change shows after some 20
 *  samples, a single straggler hardly. */
constexpr double kSampleWeight = 0.1;
/** A single sample counts at most this many deviations above the average; a
 *  straggler would otherwise delay the hedges of the next samples. */
constexpr double kSampleLimit = 4;

/** Deviation assumed after one sample, as a share of the average. */
constexpr double kFirstDeviation = 0.5;

constexpr std::uint32_t kOutlierFailures = 5;
constexpr Duration kFirstEjection{ 1000000 };
/** Below the 5 s in which normal latency must be back after an outage. */
constexpr Duration kLongestEjection{ 4000000 };

constexpr Duration kSlowStart{ 10000000 };
constexpr double kSlowStartFloor = 0.1;

void
RecordLatency(TimePoint aNow, ReplicaState& aReplica, Duration aElapsed)
{
  auto sample = static_cast<double>(aElapsed.count());
  if (aReplica.m_latency == 0) {
    aReplica.m_latency = std::max(sample, 1.0);
    aReplica.m_deviation = aReplica.m_latency * kFirstDeviation;
  } else {
    sample = std::min(sample,
                      aReplica.m_latency + kSampleLimit * aReplica.m_deviation);
    aReplica.m_deviation +=
      kSampleWeight *
      (std::abs(sample - aReplica.m_latency) - aReplica.m_deviation);
    aReplica.m_latency += kSampleWeight * (sample - aReplica.m_latency);
  }
  aReplica.m_latencyAt = aNow;
}

} // namespace

void
RecordEnd(TimePoint aNow,
          ReplicaState& aReplica,
          AttemptEnd aEnd,
          Duration aElapsed)
{
  switch (aEnd) {
    case AttemptEnd::Answered:
      aReplica.m_consecutiveFailures = 0;
      aReplica.m_statusMisses = 0;
      aReplica.m_ejections = 0;
      aReplica.m_ejectedUntil = aNow;
      RecordLatency(aNow, aReplica, aElapsed);
      break;
    case AttemptEnd::Failed:
      ++aReplica.m_consecutiveFailures;
      break;
    case AttemptEnd::Reset:
      aReplica.m_consecutiveFailures =
        std::max(aReplica.m_consecutiveFailures + 1, kOutlierFailures);
      break;
    case AttemptEnd::Refused:
      break;
    case AttemptEnd::Unanswered:
      ++aReplica.m_consecutiveFailures;
      [[fallthrough]];
    case AttemptEnd::Cancelled:
      // The elapsed time is a lower bound of the latency.
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
  return aReplica.m_consecutiveFailures >= kOutlierFailures;
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
    aNow + std::min(kFirstEjection * replica.m_ejections, kLongestEjection);
  replica.m_consecutiveFailures = 0;
  return true;
}

void
StartSlowly(TimePoint aNow, ReplicaState& aReplica)
{
  aReplica.m_coldSince = aNow;
}

double
SlowStartShare(TimePoint aNow, const ReplicaState& aReplica)
{
  if (!aReplica.m_coldSince) {
    return 1;
  }
  const double progress =
    static_cast<double>((aNow - *aReplica.m_coldSince).count()) /
    static_cast<double>(kSlowStart.count());
  return std::clamp(progress, kSlowStartFloor, 1.0);
}

AttemptEnd
EndOf(SubFailureKind aKind)
{
  if (aKind == SubFailureKind::Reset) {
    return AttemptEnd::Reset;
  }
  const bool refused =
    ProvesNotRun(aKind) && aKind != SubFailureKind::ConnectFailed;
  return refused ? AttemptEnd::Refused : AttemptEnd::Failed;
}

} // namespace goldcrestkeel
