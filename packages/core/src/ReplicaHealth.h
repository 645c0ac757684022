#pragma once

#include "HedgePolicy.h"
#include "ReplicaTable.h"

#include <goldcrestkeel/core/QueryEngine.h>
#include <goldcrestkeel/core/Random.h>

#include <span>
#include <vector>

namespace goldcrestkeel {

/** How an attempt ended, as far as it concerns the replica's health. */
enum class AttemptEnd
{
  Answered,
  /** No usable reply: lost, broken or malformed. */
  Failed,
  /** The connection broke: the replica has probably died. */
  Reset,
  /** The replica refused without running the request. */
  Refused,
  /** The result was no longer needed. */
  Cancelled,
  /** The query ended while the attempt was still without a reply. */
  Unanswered,
};

/** Records the latency and the outcome of an attempt. */
void
RecordEnd(TimePoint aNow,
          ReplicaState& aReplica,
          AttemptEnd aEnd,
          Duration aElapsed);

LatencyEstimate
ExpectedLatency(const ReplicaState& aReplica);

/** True if the replica has failed so often that it should be ejected. */
bool
IsOutlier(const ReplicaState& aReplica);

bool
IsEjected(TimePoint aNow, const ReplicaState& aReplica);

/** Ejects aReplica for a time that grows with each ejection, unless no other
 *  replica of one of the groups is left. aGroups are the replicas of each
 *  shard that aReplica holds. Returns true if it was ejected. */
bool
EjectUnlessLast(TimePoint aNow,
                ReplicaTable& aTable,
                ReplicaIndex aReplica,
                const std::vector<std::span<const ReplicaIndex>>& aGroups);

/** Starts the slow start of a replica that is not warm. */
void
StartSlowly(TimePoint aNow, ReplicaState& aReplica);

/** Share of its normal load that the replica may take, in (0, 1]. */
double
SlowStartShare(TimePoint aNow, const ReplicaState& aReplica);

/** How an attempt that failed with aKind counts for its replica. */
AttemptEnd
EndOf(SubFailureKind aKind);

} // namespace goldcrestkeel
