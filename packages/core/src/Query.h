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

/** Copies of one sub-request that can be in flight. With 1% loss both of two
 *  copies are late in about 1.6% of the queries over ten shards. */
inline constexpr std::size_t kCopies = 3;

/** Progress of one query on one shard. */
struct ShardRun
{
  /** Attempts in flight; 0 if there is none. */
  std::array<AttemptId, kCopies> m_attempts{};
  /** Replicas tried last, newest first. */
  std::array<ReplicaIndex, kCopies> m_tried{};
  std::uint8_t m_triedCount = 0;
  std::uint8_t m_retries = 0;
  /** The shard has been searched completely. */
  bool m_answered = false;
  /** An attempt is in flight, waiting for a slot or about to be retried. */
  bool m_open = false;
  bool m_waiting = false;
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

/** Hits of a replica that stopped early, kept until a better reply comes. */
struct PartialReply
{
  DocumentCount m_documents = 0;
  std::vector<Hit> m_hits;
};

/** One running search. */
struct Query
{
  StartSearch m_request;
  std::shared_ptr<Service> m_service;
  std::shared_ptr<SnapshotView> m_view;
  CoverageAccount m_coverage;
  HitMerger m_merger;
  std::vector<ShardRun> m_shards;
  std::map<std::uint32_t, PartialReply> m_partials;

  TimePoint m_arrivedAt;
  TimePoint m_startedAt;
  TimePoint m_deadline;
  TimePoint m_responseTarget;
  double m_minCoverage = 0;

  std::uint64_t m_fingerprint = 0;
  /** Neither hedges nor retries: the statement may crash replicas. */
  bool m_guarded = false;
  std::uint32_t m_resets = 0;
  /** Set while the query waits for the end of kSuspectHold. */
  bool m_held = false;
  TimePoint m_firstReset;

  std::uint32_t m_openShards = 0;
  /** Grows with each restart on another snapshot; older timers are void. */
  std::uint32_t m_epoch = 0;
  std::uint32_t m_hedges = 0;
  std::uint32_t m_retries = 0;
  /** Attempts sent, and those that certainly did not run. */
  std::uint32_t m_sent = 0;
  std::uint32_t m_notRun = 0;

  /** Pins aView and forgets all that was found on another one. */
  void Pin(std::shared_ptr<SnapshotView> aView);

  Query(const StartSearch& aRequest,
        std::shared_ptr<Service> aService,
        std::shared_ptr<SnapshotView> aView);
};

} // namespace goldcrestkeel
