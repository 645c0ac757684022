#pragma once

#include "HedgePolicy.h"
#include "ReplicaTable.h"

#include <goldcrestkeel/core/QueryEngine.h>
#include <goldcrestkeel/core/Random.h>

#include <span>
#include <vector>

namespace goldcrestkeel {

/** Outcome of an attempt with regard to the health of the replica. */
enum class AttemptOutcome
{
  Answered,
  /** No usable reply: lost, truncated or malformed. */
  Failed,
  /** The connection was reset: the replica has probably crashed. */
  Reset,
  /** The replica refused the request without running it. */
  Refused,
  /** The result was no longer needed. */
  Cancelled,
  /** The query ended before the replica replied. */
  Unanswered,
};

/** Updates latency and failure statistics of aReplica after an attempt that
 *  took aElapsed. */
void
RecordOutcome(TimePoint aNow,
              ReplicaState& aReplica,
              AttemptOutcome aOutcome,
              Duration aElapsed);

LatencyEstimate
ExpectedLatency(const ReplicaState& aReplica);

/** Returns true if the replica has enough consecutive failures to be
 *  ejected. */
bool
IsOutlier(const ReplicaState& aReplica);

bool
IsEjected(TimePoint aNow, const ReplicaState& aReplica);

/** Ejects aReplica, for a time that grows with each ejection, unless it is the
 *  last usable replica of one of aGroups, which are the replicas of each shard
 *  that it holds. Returns true if it was ejected. */
bool
EjectUnlessLast(TimePoint aNow,
                ReplicaTable& aTable,
                ReplicaIndex aReplica,
                const std::vector<std::span<const ReplicaIndex>>& aGroups);

/** Starts the slow start of a cold replica. */
void
BeginSlowStart(TimePoint aNow, ReplicaState& aReplica);

/** Fraction of its normal load that the replica may receive, in (0, 1]. */
double
SlowStartFraction(TimePoint aNow, const ReplicaState& aReplica);

/** Outcome that an attempt with failure aKind counts as. */
AttemptOutcome
OutcomeOf(SubFailureKind aKind);

} // namespace goldcrestkeel
