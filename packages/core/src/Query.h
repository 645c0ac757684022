#pragma once

#include "CoverageAccount.h"
#include "HitMerger.h"
#include "Service.h"

#include <goldcrestkeel/core/QueryEngine.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <vector>

namespace goldcrestkeel {

/** Attempts of one sub-request that can be in flight at once. With two attempts
 *  and 1% packet loss, both are late in about 1.6% of the queries over ten
 *  shards. */
inline constexpr std::size_t kMaxAttemptsInFlight = 3;

/** Progress of one query on one shard. */
struct ShardProgress
{
  /** Attempts in flight; 0 if there is none. */
  std::array<AttemptId, kMaxAttemptsInFlight> m_attempts{};
  /** Replicas tried most recently, newest first. */
  std::array<ReplicaIndex, kMaxAttemptsInFlight> m_tried{};
  std::uint8_t m_triedCount = 0;
  std::uint8_t m_retries = 0;
  /** All documents of the shard have been searched. */
  bool m_answered = false;
  /** An attempt is in flight, waiting for a slot or about to be retried. */
  bool m_open = false;
  /** Queued for a free slot of the shard. */
  bool m_waiting = false;
  /** A retry timer is set. */
  bool m_retryDue = false;
  /** The connection of the last attempt was reset. */
  bool m_reset = false;

  bool InFlight() const
  {
    return std::any_of(m_attempts.begin(), m_attempts.end(), [](AttemptId aId) {
      return aId != 0;
    });
  }
};

/** Result of a replica that stopped early; used unless a better reply
 *  arrives. */
struct PartialReply
{
  DocumentCount m_documents = 0;
  std::vector<Hit> m_hits;
};

/** A running search. */
struct Query
{
  StartSearch m_request;
  std::shared_ptr<Service> m_service;
  std::shared_ptr<SnapshotView> m_view;
  CoverageAccount m_coverage;
  HitMerger m_merger;
  std::vector<ShardProgress> m_shards;
  std::map<std::uint32_t, PartialReply> m_partials;

  TimePoint m_arrivedAt;
  TimePoint m_startedAt;
  TimePoint m_deadline;
  TimePoint m_responseTarget;
  double m_minCoverage = 0;

  std::uint64_t m_fingerprint = 0;
  /** The statement may crash replicas: no hedges and no retries are sent. */
  bool m_suspect = false;
  /** Connections that were reset during this query. */
  std::uint32_t m_resets = 0;
  /** Set while the answer is delayed by kSuspectAnswerDelay. */
  bool m_answerDelayed = false;
  TimePoint m_firstReset;

  /** Shards with m_open set. */
  std::uint32_t m_openShards = 0;
  /** Incremented by each restart on another snapshot; timers of earlier epochs
   *  are ignored. */
  std::uint32_t m_epoch = 0;
  std::uint32_t m_hedges = 0;
  std::uint32_t m_retries = 0;
  /** Attempts sent, and those that are proven not to have run. */
  std::uint32_t m_sent = 0;
  std::uint32_t m_notRun = 0;

  /** Pins aView and discards the results from the previous view. */
  void Pin(std::shared_ptr<SnapshotView> aView);

  Query(const StartSearch& aRequest,
        std::shared_ptr<Service> aService,
        std::shared_ptr<SnapshotView> aView);
};

} // namespace goldcrestkeel
