#pragma once

#include "AttemptTable.h"
#include "Query.h"
#include "ReplicaHealth.h"
#include "ReplicaTable.h"
#include "Service.h"
#include "ShareTable.h"
#include "TimerQueue.h"

#include <goldcrestkeel/core/QueryEngine.h>

#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace goldcrestkeel {

/** Interval at which waiting sub-requests are checked again if no event
 *  occurs. */
inline constexpr Duration kStalledCheckInterval{ 100000 };

/** Implementation of QueryEngine. */
class Engine : public QueryEngine
{
public:
  Engine(const EngineOptions& aOptions, RandomSource& aRandom);

  void SetService(TimePoint aNow, const ServiceSpec& aSpec) override;
  void DropService(TimePoint aNow, const std::string& aName) override;

  void Handle(TimePoint aNow,
              const StartSearch& aEvent,
              Actions& aActions) override;
  void Handle(TimePoint aNow,
              const SubReply& aEvent,
              Actions& aActions) override;
  void Handle(TimePoint aNow,
              const SubFailure& aEvent,
              Actions& aActions) override;
  void Handle(TimePoint aNow,
              const CancelSearch& aEvent,
              Actions& aActions) override;
  void Handle(TimePoint aNow,
              const ReplicaStatus& aEvent,
              Actions& aActions) override;

  void FireTimers(TimePoint aNow, Actions& aActions) override;
  std::optional<TimePoint> NextTimer() const override;

  void StatusUnavailable(TimePoint aNow, const std::string& aReplica) override;
  void MarkDraining(TimePoint aNow,
                    const std::string& aReplica,
                    std::uint64_t aIncarnation) override;
  void SetLiveHosts(TimePoint aNow, std::uint32_t aLiveHosts) override;

  std::optional<std::string> PickCommandReplica(
    TimePoint aNow,
    const std::string& aService,
    const std::vector<std::string>& aExclude) override;
  void CommandDone(TimePoint aNow,
                   const std::string& aReplica,
                   Duration aLatency,
                   std::optional<SubFailureKind> aFailure) override;

  std::vector<SuspectReport> Suspects() const override;
  void MergeSuspects(TimePoint aNow,
                     const std::vector<SuspectReport>& aReports,
                     Actions& aActions) override;
  std::uint64_t SuspectsVersion() const override;
  bool LiftQuarantine(TimePoint aNow, std::uint64_t aFingerprint) override;

  std::uint32_t ConnectionShare(TimePoint aNow,
                                const std::string& aReplica) override;
  void BeginShutdown(TimePoint aNow) override;
  bool Idle() const override;

  std::size_t RunningQueries() const override { return m_queries.size(); }
  EngineCounters Counters() const override;

private:
  enum class SelectionResult
  {
    Chosen,
    /** Every usable replica has reached the request limit of this host. */
    Busy,
    /** No replica is usable. */
    None,
  };

  enum class SendKind
  {
    Primary,
    Hedge,
    Retry,
  };

  void Refuse(QueryId aQuery,
              ErrorKind aError,
              std::string aDetail,
              Actions& aActions);
  void StartQuery(TimePoint aNow,
                  const QueuedSearch& aSearch,
                  Actions& aActions);
  bool CanStart(const Service& aService) const;
  /** Starts queued searches and refuses those that can no longer meet their
   *  deadline. */
  void Admit(TimePoint aNow, Service& aService, Actions& aActions);
  void ScheduleAdmission(TimePoint aNow,
                         ServiceHistory& aHistory,
                         TimePoint aNext);
  /** Sends sub-requests of aService that wait although no reply is due. */
  void DispatchStalled(TimePoint aNow, Service& aService, Actions& aActions);
  /** Schedules an immediate retry of all sub-requests that wait on aView. */
  void RetryWaiting(TimePoint aNow, SnapshotView& aView);
  void AdmitAll(TimePoint aNow, Actions& aActions);
  void FanOut(TimePoint aNow, Query& aQuery, Actions& aActions);
  /** Sends the sub-request to a replica of the shard, queues it for a slot, or
   *  schedules a retry. */
  void Dispatch(TimePoint aNow,
                Query& aQuery,
                std::uint32_t aShard,
                Actions& aActions);
  static ExtraLoadBudget& BudgetOf(Query& aQuery, std::uint32_t aShard);
  void Send(TimePoint aNow,
            Query& aQuery,
            std::uint32_t aShard,
            ReplicaIndex aReplica,
            SendKind aKind,
            Actions& aActions);
  SelectionResult PickReplica(TimePoint aNow,
                              const Service& aService,
                              ShardGroup& aGroup,
                              std::span<const ReplicaIndex> aExclude,
                              ReplicaIndex& aChosen);
  /** Frees the slot of an attempt and records its outcome. */
  void RemoveAttempt(TimePoint aNow, AttemptId aId, AttemptOutcome aOutcome);
  void CancelAttempts(TimePoint aNow,
                      Query& aQuery,
                      std::uint32_t aShard,
                      AttemptOutcome aOutcome,
                      Actions& aActions);
  /** Returns true if the reply matches the attempt and can be counted. */
  bool ValidateReply(TimePoint aNow,
                     const SubReply& aReply,
                     const Attempt& aAttempt);
  void RecordReply(TimePoint aNow,
                   Query& aQuery,
                   std::uint32_t aShard,
                   const SubReply& aReply,
                   Actions& aActions);
  /** Consumes a token of the service and of the shard budget; false if one of
   *  them has none. */
  bool SpendExtraLoad(Query& aQuery, std::uint32_t aShard, SendKind aKind);
  void SendHedges(TimePoint aNow, Query& aQuery, Actions& aActions);
  /** Time at which the newest attempt of a shard is to be hedged, if at all. */
  std::optional<TimePoint> HedgeDueAt(const ShardProgress& aProgress,
                                      const Query& aQuery);
  void ScheduleHedges(TimePoint aNow, Query& aQuery);
  /** Restarts the query on another snapshot and returns true if that snapshot
   *  can reach a higher coverage than the pinned one. */
  bool Restart(TimePoint aNow, Query& aQuery, Actions& aActions);
  /** Removes aVersion from the versions held by the replica. */
  void DropVersion(TimePoint aNow, ReplicaIndex aReplica, VersionId aVersion);
  /** Schedules a retry, or closes the shard if none is possible. */
  void ScheduleRetry(TimePoint aNow, Query& aQuery, std::uint32_t aShard);
  void Retry(TimePoint aNow,
             Query& aQuery,
             std::uint32_t aShard,
             Actions& aActions);
  /** Records that the connection of an attempt was reset: the replica may have
   *  crashed. */
  void ConnectionReset(TimePoint aNow, Query& aQuery, const Attempt& aAttempt);
  /** Returns false if the search cannot start now. It has then been refused, or
   *  waits for the end of a running search with the same suspected
   *  statement. */
  bool CheckStatement(TimePoint aNow,
                      const QueuedSearch& aSearch,
                      Actions& aActions);
  /** Starts the searches that waited for the end of a run of the same suspected
   *  statement. */
  void StartWaitingSuspects(TimePoint aNow, Actions& aActions);
  void RefuseExpiredSuspects(TimePoint aNow, Actions& aActions);
  /** Replaces the versions that a replica holds and reschedules the queries
   *  that wait on a retired view. */
  void SetHeldVersions(TimePoint aNow,
                       ReplicaIndex aReplica,
                       const std::vector<HeldVersion>& aVersions);
  void AttemptFailed(TimePoint aNow,
                     Query& aQuery,
                     std::uint32_t aShard,
                     Actions& aActions);
  /** Ends the work of a query on a shard. */
  void CloseShard(Query& aQuery, std::uint32_t aShard);
  /** Returns true if the query may answer at its response target. */
  bool ResponseTargetMet(TimePoint aNow, const Query& aQuery) const;
  void FinishIfDone(TimePoint aNow, Query& aQuery, Actions& aActions);
  /** Returns true if the answer must wait for the end of
   *  kSuspectAnswerDelay. */
  bool DelayAnswer(TimePoint aNow, Query& aQuery);
  void Finish(TimePoint aNow, Query& aQuery, Actions& aActions);
  /** Cancels all attempts of the query and removes it. */
  void EndQuery(TimePoint aNow,
                Query& aQuery,
                AttemptOutcome aOutcome,
                Actions& aActions);
  /** Queues the sub-request for a free slot, or closes the shard if none of its
   *  replicas answers. */
  void WaitForSlot(TimePoint aNow, Query& aQuery, std::uint32_t aShard);
  /** Sends the waiting sub-requests of aGroup while it has free slots. */
  void DispatchGroup(TimePoint aNow,
                     SnapshotView& aView,
                     ShardGroup& aGroup,
                     Actions& aActions);
  /** Sends the sub-requests that wait for slots which have been freed. */
  void DispatchWaiting(TimePoint aNow, Actions& aActions);
  /** Returns true if the replica has not restarted since the attempt was
   *  sent. */
  bool IsCurrent(const Attempt& aAttempt) const;
  void SetDraining(TimePoint aNow, ReplicaState& aReplica);
  void RecordOutcome(TimePoint aNow,
                     ReplicaIndex aReplica,
                     AttemptOutcome aOutcome,
                     Duration aElapsed);
  void RunTimer(TimePoint aNow, const Timer& aTimer, Actions& aActions);
  std::shared_ptr<Service> FindService(const std::string& aName) const;
  Query* FindQuery(QueryId aId);

  EngineOptions m_options;
  RandomSource& m_random;
  ReplicaTable m_replicas;
  AttemptTable m_attempts;
  TimerQueue m_timers;
  std::unique_ptr<SnapshotSelector> m_snapshots;
  std::unordered_map<std::string, std::shared_ptr<Service>> m_services;
  /** Name of the service of each replica. */
  std::unordered_map<ReplicaIndex, std::string> m_serviceOfReplica;
  std::unordered_map<QueryId, std::unique_ptr<Query>> m_queries;
  /** Replicas with slots freed since the last DispatchWaiting(). */
  std::vector<ReplicaIndex> m_replicasWithFreedSlots;
  ShareTable m_shares;
  CrashGuard m_guard;
  /** Fingerprints of the suspected statements that are running. */
  std::unordered_set<std::uint64_t> m_runningSuspects;
  /** Searches that wait for a running search with the same suspected statement,
   *  by fingerprint. */
  std::unordered_map<std::uint64_t, std::vector<QueuedSearch>>
    m_waitingSuspects;
  /** Fingerprints of suspected statements whose run ended since the last
   *  StartWaitingSuspects(). */
  std::vector<std::uint64_t> m_finishedSuspects;
  std::uint32_t m_commandsInFlight = 0;
  bool m_shuttingDown = false;
  EngineCounters m_counters;
};

} // namespace goldcrestkeel
