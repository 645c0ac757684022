#pragma once

#include "AttemptTable.h"
#include "CrashGuard.h"
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

/** Interval at which waiting searches are looked at without an event. */
inline constexpr Duration kWaitCheck{ 100000 };

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
  enum class Pick
  {
    Chosen,
    /** Every usable replica is at its share. */
    Busy,
    /** No replica may be used. */
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
  void Begin(TimePoint aNow, const QueuedSearch& aSearch, Actions& aActions);
  bool CanStart(const Service& aService) const;
  /** Starts queued searches and refuses those that are too late. */
  void Admit(TimePoint aNow, Service& aService, Actions& aActions);
  void ArmAdmission(TimePoint aNow, ServiceHistory& aHistory, TimePoint aNext);
  void DispatchStalled(TimePoint aNow, Service& aService, Actions& aActions);
  void RetryWaiting(TimePoint aNow, SnapshotView& aView);
  void AdmitAll(TimePoint aNow, Actions& aActions);
  void FanOut(TimePoint aNow, Query& aQuery, Actions& aActions);
  /** Sends to one replica of the shard, or lets the shard wait or fail. */
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
  Pick PickReplica(TimePoint aNow,
                   const Service& aService,
                   ShardGroup& aGroup,
                   std::span<const ReplicaIndex> aExclude,
                   ReplicaIndex& aChosen);
  void RemoveAttempt(TimePoint aNow, AttemptId aId, AttemptEnd aEnd);
  void CancelAttempts(TimePoint aNow,
                      Query& aQuery,
                      std::uint32_t aShard,
                      AttemptEnd aEnd,
                      Actions& aActions);
  bool Accept(TimePoint aNow, const SubReply& aReply, const Attempt& aAttempt);
  void CountReply(TimePoint aNow,
                  Query& aQuery,
                  std::uint32_t aShard,
                  const SubReply& aReply,
                  Actions& aActions);
  /** Whether one more sub-request to the shard is within the budgets. */
  bool SpendExtra(Query& aQuery, std::uint32_t aShard, SendKind aKind);
  void Hedge(TimePoint aNow, Query& aQuery, Actions& aActions);
  /** When the only attempt of a shard is to be hedged, if at all. */
  std::optional<TimePoint> HedgeTime(const ShardRun& aRun, const Query& aQuery);
  void PlanHedges(TimePoint aNow, Query& aQuery);
  /** Plans a retry, or gives the shard up. */
  /** Starts the query again on another snapshot if that can cover more than
   *  the pinned one still can; false if not. */
  bool Restart(TimePoint aNow, Query& aQuery, Actions& aActions);
  /** The replica no longer holds the version. */
  void DropVersion(TimePoint aNow, ReplicaIndex aReplica, VersionId aVersion);
  void ScheduleRetry(TimePoint aNow, Query& aQuery, std::uint32_t aShard);
  void Retry(TimePoint aNow,
             Query& aQuery,
             std::uint32_t aShard,
             Actions& aActions);
  /** The connection of an attempt was reset: the replica may have died. */
  void ConnectionReset(TimePoint aNow, Query& aQuery, const Attempt& aAttempt);
  /** False if the search may not begin now; it is then refused or waits for
   *  the run of the same statement that is under way. */
  bool PassGuard(TimePoint aNow,
                 const QueuedSearch& aSearch,
                 Actions& aActions);
  /** Starts the searches that have waited for the end of a guarded run. */
  void ResumeSuspects(TimePoint aNow, Actions& aActions);
  void RefuseLateSuspects(TimePoint aNow, Actions& aActions);
  /** Replaces what a replica holds; queries that wait on a retired view go
   *  on. */
  void Hold(TimePoint aNow,
            ReplicaIndex aReplica,
            const std::vector<HeldVersion>& aVersions);
  void AttemptFailed(TimePoint aNow,
                     Query& aQuery,
                     std::uint32_t aShard,
                     Actions& aActions);
  void Close(Query& aQuery, std::uint32_t aShard);
  bool Satisfied(TimePoint aNow, const Query& aQuery) const;
  void FinishIfDone(TimePoint aNow, Query& aQuery, Actions& aActions);
  /** True if the answer must wait for the end of kSuspectHold. */
  bool HoldBack(TimePoint aNow, Query& aQuery);
  void Finish(TimePoint aNow, Query& aQuery, Actions& aActions);
  void Release(TimePoint aNow,
               Query& aQuery,
               AttemptEnd aEnd,
               Actions& aActions);
  void Wait(TimePoint aNow, Query& aQuery, std::uint32_t aShard);
  /** Sends waiting sub-requests of aGroup while it has free slots. */
  void DispatchGroup(TimePoint aNow,
                     SnapshotView& aView,
                     ShardGroup& aGroup,
                     Actions& aActions);
  /** Sends what waits for the slots that have been freed. */
  void DispatchWaiting(TimePoint aNow, Actions& aActions);
  /** True if the replica has not started again since the attempt was sent. */
  bool IsCurrent(const Attempt& aAttempt) const;
  void SetDraining(TimePoint aNow, ReplicaState& aReplica);
  void RecordEnd(TimePoint aNow,
                 ReplicaIndex aReplica,
                 AttemptEnd aEnd,
                 Duration aElapsed);
  void Fire(TimePoint aNow, const Timer& aTimer, Actions& aActions);
  std::shared_ptr<Service> FindService(const std::string& aName) const;
  Query* FindQuery(QueryId aId);

  EngineOptions m_options;
  RandomSource& m_random;
  ReplicaTable m_replicas;
  AttemptTable m_attempts;
  TimerQueue m_timers;
  std::unique_ptr<SnapshotSelector> m_snapshots;
  std::unordered_map<std::string, std::shared_ptr<Service>> m_services;
  /** Service of each replica, by its name. */
  std::unordered_map<ReplicaIndex, std::string> m_owners;
  std::unordered_map<QueryId, std::unique_ptr<Query>> m_queries;
  /** Replicas that have freed a slot since the last DispatchWaiting(). */
  std::vector<ReplicaIndex> m_freed;
  ShareTable m_shares;
  CrashGuard m_guard;
  /** Fingerprints of the guarded runs under way. */
  std::unordered_set<std::uint64_t> m_guardedRuns;
  /** Searches that wait for a guarded run of the same statement. */
  std::unordered_map<std::uint64_t, std::vector<QueuedSearch>> m_suspects;
  /** Statements whose guarded run has ended since the last look. */
  std::vector<std::uint64_t> m_resumable;
  std::uint32_t m_commandsOut = 0;
  bool m_shuttingDown = false;
  EngineCounters m_counters;
};

} // namespace goldcrestkeel
