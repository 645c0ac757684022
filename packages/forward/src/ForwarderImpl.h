#pragma once

#include "AnsweredFingerprints.h"
#include "BackendPool.h"
#include "ContactMonitor.h"
#include "CrashChecks.h"
#include "ForwardState.h"
#include "RelayPool.h"

#include <goldcrestkeel/forward/Forwarder.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestkeel {

class ForwarderImpl
  : public Forwarder
  , private ReplicaActivity
{
public:
  ForwarderImpl(const ForwarderOptions& aOptions,
                RandomSource& aRandom,
                ForwardSink& aSink);

  void SetTable(TimePoint aNow,
                std::shared_ptr<const RoutingTable> aTable) override;
  void SetLiveHosts(std::uint32_t aHosts) override;
  void SetHosts(TimePoint aNow, const std::vector<HostRecord>& aHosts) override;
  void SetEvacuated(TimePoint aNow,
                    const std::set<std::string>& aDataCentres) override;
  void UpdateReplica(TimePoint aNow,
                     const ReplicaRecord& aRecord,
                     std::optional<TimePoint> aChangedAfter) override;
  void RemoveReplica(TimePoint aNow,
                     const std::string& aId,
                     std::optional<TimePoint> aChangedAfter) override;
  void Start(TimePoint aNow, const ForwardRequest& aRequest) override;
  void FinishAll(TimePoint aNow) override;
  void Cancel(TimePoint aNow, ForwardId aRequest) override;
  void ConnectionProven(const std::string& aId) override;
  void ProvenConnectionEnded(const std::string& aId) override
  {
    m_pool.CountConnection(aId, false);
  }
  ContactState Contact() const override { return m_contact.State(); }
  void CrashReported(TimePoint aNow, const CrashReport& aReport) override;
  bool SuspectReported(TimePoint aNow, const SuspectReport& aReport) override;
  void AnswerReported(std::uint64_t aFingerprint) override;
  SuspectReport SuspectOf(std::uint64_t aFingerprint) const override
  {
    return m_crashGuard.ReportOf(aFingerprint);
  }
  void MergeQuarantines(TimePoint aNow,
                        const std::vector<SuspectReport>& aReports) override;
  void CopySent(TimePoint aNow,
                CopyId aCopy,
                ConnectionState aConnection) override;
  void CopyAnswered(TimePoint aNow,
                    CopyId aCopy,
                    ReplicaAnswer&& aAnswer) override;
  void CopyFailed(TimePoint aNow, CopyId aCopy, CopyFailure aFailure) override;
  std::optional<TimePoint> NextTimer() const override;
  void OnTimer(TimePoint aNow) override;
  std::size_t Running() const override { return m_running.size(); }
  const ForwarderCounters& Counters() const override { return m_counters; }

private:
  struct Timer
  {
    TimePoint m_at;
    ForwardTimer m_kind = ForwardTimer::Deadline;
    /** Request or copy id, depending on the kind. */
    std::uint64_t m_id = 0;

    bool operator<(const Timer& aOther) const { return m_at > aOther.m_at; }
  };

  /** Creates the sub-requests: one for the service, or one for each shard. */
  void MakeSubRequests(RunningForward& aForward);

  // ForwarderRelay.cpp: shards that other entry hosts gather.
  /** Assigns shards to other hosts and marks their sub-requests as Relayed. */
  std::vector<RelayPool::Assignment> AssignRelays(TimePoint aNow,
                                                  RunningForward& aForward);
  void SendRelay(TimePoint aNow,
                 RunningForward& aForward,
                 const RelayPool::Assignment& aAssignment,
                 RelayReason aReason);
  void OnRelayAnswered(TimePoint aNow,
                       const ForwardCopy& aCopy,
                       ReplicaAnswer&& aAnswer);
  /** Takes the shards of an answer of another host. */
  void OnGatheredRelayAnswered(TimePoint aNow,
                               RunningForward& aForward,
                               const ForwardCopy& aCopy,
                               ReplicaAnswer&& aAnswer);
  void OnRelayFailed(TimePoint aNow,
                     const ForwardCopy& aCopy,
                     CopyFailure aFailure);
  /** The host has run nothing of the relay. */
  void OnRelayRefused(TimePoint aNow,
                      RunningForward& aForward,
                      const ForwardCopy& aCopy,
                      std::string_view aReason);
  /** Queries the shards directly if the relay was not sent in time. */
  void OnRelayLate(TimePoint aNow, CopyId aCopy);
  /** Queries the shards of a relay that was refused or not sent. */
  void DispatchDirectly(TimePoint aNow,
                        RunningForward& aForward,
                        const ForwardCopy& aCopy,
                        std::string_view aReason);
  /** Whether aAnswer is a well-formed answer to aCopy. */
  static bool IsValidRelayAnswer(const ForwardCopy& aCopy,
                                 const ReplicaAnswer& aAnswer);
  /** Fails those of the sub-requests that are still Relayed and have no copy of
   *  this host in flight. */
  void FailRelayedSubRequests(TimePoint aNow,
                              RunningForward& aForward,
                              const std::vector<std::uint32_t>& aIndexes);

  // ForwarderContact.cpp: other entry hosts serve while this one reaches no
  // replica.
  /** Advances the contact state, and probes replicas if that is due. */
  void UpdateContact(TimePoint aNow);
  /** The state before a change. */
  ContactReport MakeContactReport(TimePoint aNow) const;
  /** Logs a change of the state, and acts on it. */
  void OnContactUpdated(TimePoint aNow, ContactReport aReport);
  void ProbeReplicas(TimePoint aNow);
  /** Ends a probe; returns false if aProbe is none. */
  bool EndProbe(TimePoint aNow, CopyId aProbe, const ReplicaAnswer* aAnswer);
  /** Whether other hosts are asked to serve what this one cannot. */
  bool UsesFallback(const RegionFilter& aRegions) const;
  /** Whether another host is to be asked for aSubRequest: this one reaches no
   *  replica, or all that it reaches want no request from it. */
  bool NeedsFallback(TimePoint aNow,
                     const RunningForward& aForward,
                     const SubRequest& aSubRequest);
  /** Hands over what can be handed over of all requests in progress. */
  void RelayRunningRequests(TimePoint aNow);
  /** Marks the sub-requests that another host is to serve as Relayed, ends
   * their copies that were not sent, and returns their indexes. */
  std::vector<std::uint32_t> PrepareFallback(TimePoint aNow,
                                             RunningForward& aForward);
  /** Relays sub-requests to another entry host. If there is none, fails them
   * or, while open connections still serve, lets them wait for these. */
  void SendFallback(TimePoint aNow,
                    RunningForward& aForward,
                    const std::vector<std::uint32_t>& aIndexes);
  /** Marks a sub-request as one that another host is to serve. */
  static void MarkRelayed(TimePoint aNow, SubRequest& aSubRequest);
  /** Dispatches sub-requests to replicas that no other host has run. */
  void DispatchReturned(TimePoint aNow,
                        RunningForward& aForward,
                        const std::vector<std::uint32_t>& aIndexes);
  void OnFallbackAnswered(TimePoint aNow,
                          const ForwardCopy& aCopy,
                          ReplicaAnswer&& aAnswer);
  /** Takes the answer of another host to a request to one replica. */
  void OnSingleRelayAnswered(TimePoint aNow,
                             RunningForward& aForward,
                             const ForwardCopy& aCopy,
                             ReplicaAnswer&& aAnswer);
  /** Asks the next host or, if contact is restored, the replicas, after a host
   *  that has run nothing. */
  void RetryFallback(TimePoint aNow,
                     RunningForward& aForward,
                     const ForwardCopy& aCopy,
                     std::string_view aReason);

  // ForwarderCrashes.cpp: requests that crash replicas.
  StatementStatus StatusOf(const RunningForward& aForward) const;
  /** Whether the request may be what ends its replicas, so that no further
   *  replica is to run it. */
  bool MayCrashReplicas(const RunningForward& aForward) const;
  /** Whether the replica of aCopy has answered nothing for some time. */
  static bool IsSilent(TimePoint aNow, const ForwardCopy& aCopy);
  /** Number of services of which a replica broke off or is silent. */
  std::uint32_t SuspectedServices(TimePoint aNow,
                                  const RunningForward& aForward) const;
  /** Checks whether the replica of aCopy has crashed, unless one has answered
   *  the request. */
  void SuspectCrash(TimePoint aNow,
                    const RunningForward& aForward,
                    const BrokenCopy& aCopy,
                    CrashSign aSign);
  /** The same for the last replica that broke off while it had the request. */
  void SuspectBroken(TimePoint aNow, const RunningForward& aForward);
  /** The same if the replica of aCopy has answered nothing since. */
  void SuspectSilent(TimePoint aNow,
                     const RunningForward& aForward,
                     const ForwardCopy& aCopy);
  void OnSilentTimer(TimePoint aNow, CopyId aCopy);
  void SuspectSilentCopies(TimePoint aNow,
                           const RunningForward& aForward,
                           const SubRequest& aSubRequest);
  /** Counts the crashes that have turned out as such. */
  void JudgeCrashes(TimePoint aNow);
  // ReplicaActivity
  bool HasAnswerSince(TimePoint aTime) const override;
  TimePoint LastAnswerAt() const override { return m_contact.LastAnswerAt(); }
  bool HasAnswerNear(const PooledReplica& aReplica,
                     TimePoint aTime) const override;
  bool HasAnswerOfService(const PooledReplica& aReplica,
                          TimePoint aTime) const override;
  void RecordCrash(TimePoint aNow, const CrashReport& aReport, bool aReported);
  /** Sets the timer of the crashes that are to be forgotten, unless it is. */
  void ForgetCrashesLater(TimePoint aNow);
  void ForgetCrashes(TimePoint aNow);
  void LogCrash(const CrashReport& aReport,
                CrashOutcome aOutcome,
                bool aReported);
  /** A replica has answered such a request, so that it is sound. */
  void RecordAnswered(TimePoint aNow, std::uint64_t aFingerprint);
  /** Refuses requests that are in quarantine and that no replica has. */
  void RefuseQuarantined(TimePoint aNow);
  void FinishQuarantined(TimePoint aNow, RunningForward& aForward);
  /** The result of a request that is in quarantine. */
  ForwardResult QuarantineResult();
  /** A host that a request was relayed to has refused it as quarantined. */
  void OnRelayQuarantined(TimePoint aNow,
                          RunningForward& aForward,
                          const ForwardCopy& aCopy);

  // ForwarderDispatch.cpp: selection of replicas, hedging and retries.
  /** Sends a copy to the best replica, waits for one with capacity, or fails
   *  the sub-request. */
  void Dispatch(TimePoint aNow,
                RunningForward& aForward,
                std::uint32_t aIndex,
                CopyReason aReason);
  void SendTo(TimePoint aNow,
              RunningForward& aForward,
              std::uint32_t aIndex,
              const std::shared_ptr<PooledReplica>& aReplica,
              CopyReason aReason);
  /** Whether the route, its attempts and the budget allow another copy. */
  bool MayRepeat(TimePoint aNow,
                 const RunningForward& aForward,
                 const SubRequest& aSubRequest,
                 CopyReason aReason);
  /** Time after which aCopy counts as late. */
  static Duration LateThreshold(const RunningForward& aForward,
                                const ForwardCopy& aCopy);
  void OnCopyLate(TimePoint aNow, CopyId aCopy);
  void OnUnresponsiveTimer(TimePoint aNow, CopyId aCopy);
  /** Maximum number of replicas of one service that may run the request. */
  static std::uint32_t AttemptsOf(const RunningForward& aForward);
  /** Returns the index of the service in the list of the route. */
  std::uint32_t ChooseService(const Route& aRoute);

  // ForwarderQueue.cpp: sub-requests that wait, and early rejection.
  /** Name of the tenant; empty without one. */
  static const std::string& TenantOf(const RunningForward& aForward);
  /** Whether a request has to queue although a replica has capacity: with
   *  tenants, one that arrives must not overtake those that wait, and requests
   *  to overloaded replicas wait here. */
  bool MustQueue(TimePoint aNow,
                 const BackendGroup& aGroup,
                 CopyReason aReason) const;
  static void CountDemand(TimePoint aNow, const RunningForward& aForward);
  /** Takes what an answer tells of the load of the service. */
  void RecordLoad(TimePoint aNow,
                  BackendGroup& aGroup,
                  const ReplicaAnswer& aAnswer) const;
  static WaitingRequest MakeWaiting(TimePoint aNow,
                                    const RunningForward& aForward,
                                    std::uint32_t aIndex);
  /** Queues the sub-request until a replica has capacity. */
  void Enqueue(TimePoint aNow, RunningForward& aForward, std::uint32_t aIndex);
  /** Removes the sub-request from the queue if it waits. */
  static void LeaveQueue(TimePoint aNow,
                         const RunningForward& aForward,
                         std::uint32_t aIndex);
  static void LeaveQueues(TimePoint aNow, const RunningForward& aForward);
  static std::vector<BackendGroup*> GroupsWaitedFor(
    const RunningForward& aForward);
  /** Dispatches queued sub-requests to replicas with capacity. */
  void DispatchWaiting(TimePoint aNow, BackendGroup& aGroup);
  void OnWaitTimer(TimePoint aNow, ForwardId aRequest);
  /** When the sub-request could be answered; nothing without tenants, a backlog
   *  or recent answers. */
  std::optional<AnswerEstimate> EstimateAnswer(TimePoint aNow,
                                               const RunningForward& aForward,
                                               std::uint32_t aIndex) const;
  /** Why the sub-request is not worth a server: it cannot be answered by the
   *  deadline or, while others wait, by the target. Nothing if it is. */
  std::optional<RejectReason> WhyHopeless(TimePoint aNow,
                                          const RunningForward& aForward,
                                          std::uint32_t aIndex) const;
  /** Finishes a waiting request that no replica may have run and that has not
   *  been answerable in time for a while; returns whether it did. */
  bool RejectIfHopeless(TimePoint aNow, RunningForward& aForward);
  void Reject(TimePoint aNow, RunningForward& aForward, RejectReason aReason);
  /** Retry-After of a request that no replica has run. */
  Duration RetryAfterOf(TimePoint aNow, const RunningForward& aForward);

  // ForwarderFinish.cpp: answers and errors for the caller.
  /** Finishes the request with an error and returns true if too few of its
   *  services have a usable replica. */
  bool RefuseIfUnserved(TimePoint aNow, RunningForward& aForward);
  /** What a gathered answer can need of the records of a part. The part, which
   *  may be large, is not kept while others are awaited. */
  static std::string TopRecordsOf(const RunningForward& aForward,
                                  std::string_view aBody);
  void OnSubRequestAnswered(TimePoint aNow,
                            RunningForward& aForward,
                            std::uint32_t aIndex,
                            ReplicaAnswer&& aAnswer);
  void OnSubRequestFailed(TimePoint aNow,
                          RunningForward& aForward,
                          std::uint32_t aIndex);
  /** Finishes a gathered request once its answer is complete, sufficient at the
   *  target, or no longer possible. */
  void FinishIfGathered(TimePoint aNow, RunningForward& aForward);
  void FinishGathered(TimePoint aNow, RunningForward& aForward);
  /** Whether a replica may have run the request. */
  static bool MayHaveRun(const RunningForward& aForward);
  /** Finishes with an error, or with the shards gathered if they suffice. */
  void FinishFailed(TimePoint aNow, RunningForward& aForward, bool aTimedOut);
  void FinishWith(TimePoint aNow,
                  RunningForward& aForward,
                  ForwardResult&& aResult);
  void AbandonRelays(RunningForward& aForward);
  /** Ids of the requests in progress. */
  std::vector<ForwardId> RunningIds() const;
  /** Closes unsent copies at once and sent ones after aDelay. */
  void AbandonCopies(TimePoint aNow, SubRequest& aSubRequest, Duration aDelay);
  void AbortUnsentCopies(const SubRequest& aSubRequest);

  // ForwarderPacing.cpp: replicas that have failed, and their slow start.
  /** Backs off from a replica, and plans a health check if it is to start
   *  slowly afterwards. */
  void BackOff(TimePoint aNow,
               BackendGroup& aGroup,
               const std::shared_ptr<PooledReplica>& aReplica,
               Duration aFirst);
  void PlanHealthCheck(TimePoint aNow,
                       BackendGroup& aGroup,
                       const std::shared_ptr<PooledReplica>& aReplica);
  void OnHealthCheckTimer(TimePoint aNow, CopyId aCheck);
  /** Ends a health check that was answered, or failed if aAnswer is nullptr;
   *  returns false if aCheck is none. */
  bool EndHealthCheck(TimePoint aNow,
                      CopyId aCheck,
                      const ReplicaAnswer* aAnswer);
  /** The worst tier for a copy: while a replica is paced and there is time,
   *  better than that. */
  static ReplicaTier WorstTier(TimePoint aNow,
                               const RunningForward& aForward,
                               const SubRequest& aSubRequest);
  void OnPaceChanged(const ReplicaPaceReport& aReport);

  // ForwarderLimits.cpp: request limits of replicas, allowed regions, and
  // overloaded shards.
  /** Sheds load of overloaded shards: skips them in some of the requests whose
   *  answer may lack them, and in all of these if request limits leave no time.
   */
  void SkipOverloaded(TimePoint aNow, RunningForward& aForward);
  /** Takes the request limit that an answer of aReplica names, and logs it when
   *  it begins, ends, and at intervals. */
  void UpdateRequestLimit(TimePoint aNow,
                          const BackendGroup& aGroup,
                          PooledReplica& aReplica,
                          const ReplicaAnswer& aAnswer);
  /** Takes what aReplica says of itself in an answer, and logs what is new. */
  void UpdateNotices(TimePoint aNow,
                     const BackendGroup& aGroup,
                     PooledReplica& aReplica,
                     const ReplicaAnswer& aAnswer);
  /** Sends the copies that wait for a connection to a replica that aMatches
   *  elsewhere. */
  void MoveUnsentCopies(
    TimePoint aNow,
    const std::function<bool(const PooledReplica&)>& aMatches);
  /** Fails the queued sub-requests of aForward that no replica can take any
   *  more, or has another host serve them. */
  void FailUnservedWaiting(TimePoint aNow, RunningForward& aForward);
  /** Selects a replica that the request may use and has not tried; nullptr if
   *  there is none. */
  std::shared_ptr<PooledReplica> ChooseReplica(TimePoint aNow,
                                               const RunningForward& aForward,
                                               const SubRequest& aSubRequest,
                                               ReplicaTier aWorst);
  /** Whether aGroup has a usable replica and, if request limits hold a new
   *  sub-request back, it can still be answered by the target of the route. */
  bool IsServedInTime(TimePoint aNow,
                      const RunningForward& aForward,
                      const BackendGroup& aGroup) const;
  /** Whether aAnswer is a success, or another answer of a replica that is not
   *  repeated. */
  static bool IsSuccess(const ReplicaAnswer& aAnswer);
  /** A copy to a replica is late or has failed: reports it to m_contact. */
  /** A copy had no connection for want of descriptors. */
  void OnNoConnection(TimePoint aNow, const ForwardCopy& aCopy);
  void ReportUnanswered(TimePoint aNow, const ForwardCopy& aCopy);
  /** Releases the copy's in-flight slot and erases it. */
  void EndCopy(CopyId aCopy);
  /** Once all copies have failed, sends another or fails the sub-request. */
  void Retry(TimePoint aNow, RunningForward& aForward, std::uint32_t aIndex);
  void AddTimer(TimePoint aAt, ForwardTimer aKind, std::uint64_t aId);
  void LogDecision(std::string_view aDecision,
                   const RunningForward& aForward,
                   std::string_view aService,
                   std::string_view aReplica,
                   std::string_view aReason,
                   Duration aAge = Duration(0));
  /** Maximum number of shards that the answer may lack. */
  static std::uint32_t MaxMissingShards(const RunningForward& aForward);
  /** Updates the miss rate of each queried shard. */
  static void RecordMissedShards(TimePoint aNow,
                                 const RunningForward& aForward);
  /** Minimum number of shards that the answer must cover. */
  static std::uint32_t RequiredShards(const RunningForward& aForward);

  ForwarderOptions m_options;
  RandomSource& m_random;
  ForwardSink& m_sink;
  BackendPool m_pool;
  RelayPool m_relayPool;
  ContactMonitor m_contact;
  std::optional<TimePoint> m_contactTimerAt;
  /** Probes that have not ended, in the order in which they were sent. */
  std::map<CopyId, ContactProbe> m_probes;
  std::map<CopyId, HealthCheck> m_healthChecks;
  CrashGuard m_crashGuard;
  AnsweredFingerprints m_answered;
  /** A timer of the kind ForgetCrashes is set. */
  bool m_forgetsCrashes = false;
  CrashChecks m_crashChecks;
  std::unordered_map<std::string, RouteState> m_routes;
  std::unordered_map<ForwardId, std::unique_ptr<RunningForward>> m_running;
  std::unordered_map<CopyId, ForwardCopy> m_copies;
  std::priority_queue<Timer> m_timers;
  CopyId m_nextCopy = 1;
  ForwarderCounters m_counters;
};

} // namespace goldcrestkeel
