#pragma once

#include "CallerIdentity.h"
#include "ConnectionLimits.h"
#include "CrashReporter.h"
#include "EdgeMetrics.h"
#include "FeedPolls.h"
#include "RateLimits.h"
#include "RelayFields.h"
#include "ReplicaConnections.h"
#include "SessionSet.h"
#include "ShutdownSchedule.h"
#include "StatusServer.h"

#include <goldcrestkeel/edge/EdgeServer.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestkeel {

/** Number of live entry hosts that share the connections and budgets of
 *  replicas, assumed until the hosts have been read. */
inline constexpr std::uint32_t kAssumedLiveHosts = 16;

/** Retry-After of a request that comes, or still waits to be admitted, too late
 *  during a shutdown; the next connection of the caller leads to another host.
 */
inline constexpr Duration kStoppingRetryAfter{ 50000 };

class EdgeServer::Impl
  : public ForwardSink
  , public CopyListener
  , public CallerSession::Owner
  , public TopologyListener
{
public:
  Impl(Loop& aLoop,
       DecisionLog& aLog,
       const EdgeSettings& aSettings,
       const EdgeFieldNames& aNames,
       TopologySource& aSource);

  void Shutdown(std::function<void()> aDone);

  // ForwardSink
  void SendCopy(CopyId aCopy,
                ForwardId aRequest,
                const ReplicaRecord& aReplica,
                TimePoint aDeadline) override;
  void SendRelay(CopyId aCopy,
                 ForwardId aRequest,
                 const ReplicaRecord& aHost,
                 TimePoint aDeadline,
                 const RelayedShards& aPart) override;
  void ProbeReplica(CopyId aProbe,
                    const ReplicaRecord& aReplica,
                    std::string_view aHealthPath) override;
  void AbortCopy(CopyId aCopy) override { m_replicas.Abort(aCopy); }
  void Finish(ForwardId aRequest, ForwardResult&& aResult) override;
  void LogDecision(const ForwardDecision& aDecision) override;
  void LogRequestLimit(const RequestLimitReport& aReport) override;
  void LogContact(const ContactReport& aReport) override;
  void LogReplicaNotice(const ReplicaNoticeReport& aReport) override;
  void LogReplicaPace(const ReplicaPaceReport& aReport) override;
  void LogCrash(const CrashDecision& aDecision) override;
  std::string SummaryOf(ForwardId aRequest) const override;
  void ReportCrash(const CrashReport& aReport) override;
  void AnnounceSuspect(const SuspectReport& aReport) override;
  void ReportAnswered(std::uint64_t aFingerprint) override;
  void AnnounceQuarantine(const SuspectReport& aReport) override;
  void NoReplicaListed() override { m_source.RefreshReplicas(); }

  // CopyListener
  void OnCopySent(CopyId aCopy, ConnectionState aConnection) override;
  void OnCopyAnswered(CopyId aCopy, ReplicaAnswer&& aAnswer) override;
  void OnCopyFailed(CopyId aCopy, CopyFailure aFailure) override;
  void OnConnectionProven(const std::string& aId) override;
  void OnProvenConnectionEnded(const std::string& aId) override
  {
    m_forwarder->ProvenConnectionEnded(aId);
  }

  // CallerSession::Owner
  CallerLimits Limits(SessionPeer aPeer) const override;
  bool IsStopping() const override { return m_shutdown.IsStarted(); }
  void OnRequest(CallerSession& aSession, RequestMessage&& aRequest) override;
  void OnRefused(CallerSession& aSession,
                 const SessionRefusal& aRefusal) override;
  void OnPeerDisconnected(CallerSession& aSession) override;
  void OnSessionEnded(CallerSession& aSession) override;

  // TopologyListener
  void OnRoutingTable(std::shared_ptr<const RoutingTable> aTable) override;
  void OnReplica(const ReplicaRecord& aReplica,
                 std::optional<TimePoint> aChangedAfter) override;
  void OnReplicaRemoved(const std::string& aId,
                        std::optional<TimePoint> aChangedAfter) override;
  void OnReplicaListComplete() override;
  void OnHosts(const std::vector<HostRecord>& aHosts) override;
  void OnEvacuations(const std::set<std::string>& aDataCentres) override;
  void OnQuarantines(const std::vector<SuspectReport>& aReports) override;

private:
  struct OpenRequest
  {
    SessionId m_session = 0;
    /** Without its fields and body once it is encoded. */
    RequestMessage m_request;
    /** Set when the first copy is sent. */
    std::shared_ptr<const EncodedRequest> m_encoded;
    SharedText m_requestId;
    TimePoint m_arrivedAt;
    TimePoint m_deadline;
    std::string m_route;
    RoutingVersion m_version = 0;
    /** It counts for the rate limit of its tenant. */
    bool m_rateLimited = false;
    /** Set while the request waits to be admitted; the forwarder does not know
     *  it yet. */
    std::optional<ForwardRequest> m_unadmitted;
    IdentityFields m_identity;
  };

  /** A request of another entry host that is not relayed: a poll, or a message
   *  about crashes. Returns false if aRequest is none. */
  bool HandleHostRequest(CallerSession& aSession,
                         const RequestMessage& aRequest);
  /** What the copies of a request share. */
  std::shared_ptr<const EncodedRequest> Encode(OpenRequest& aOpen) const;
  void OnCrashMessage(CallerSession& aSession, std::string_view aBody);
  /** Returns what the sender must know. */
  CrashMessage Apply(const CrashMessage& aMessage);
  /** aAddress names the address of the connection in the log. */
  void RecordRefusal(std::string_view aAddress, const SessionRefusal& aRefusal);
  void OnTokenMessage(CallerSession& aSession, std::string_view aBody);
  /** Passes a request to the forwarder if the rate limit of its tenant admits
   *  it. */
  void AdmitRequest(const ForwardRequest& aRequest);
  /** A request that was waiting to be admitted is decided. */
  void OnAdmission(ForwardId aRequest, const AdmissionResult& aResult);
  void LogAdmission(ForwardId aRequest, const AdmissionResult& aResult);
  void StartRequest(const ForwardRequest& aRequest);
  /** Answers the requests that wait to be admitted. */
  void RefuseUnadmitted();
  void CheckSessions();
  void ArmForwardTimer();
  void CheckShutdown();
  void CloseIdleSessions();
  CallerSession* FindSession(SessionId aId) const;
  /** Accepted connections, and descriptors for other purposes. */
  std::size_t UsedDescriptors() const;
  /** Descriptors are left for the connections that a request on aRoute may
   *  need. */
  bool HasRoomForCopies(const Route& aRoute);
  /** True if a request that another entry host relays can be served. */
  bool CanServeRelay(const std::optional<RelayParameters>& aParameters,
                     const Route& aRoute) const;
  /** Identifies the caller; answers the request and returns std::nullopt if it
   *  must not be served. */
  std::optional<CallerIdentity> Identify(CallerSession& aSession,
                                         const RequestMessage& aRequest,
                                         const Route& aRoute);
  /** Logs, once for a version, what is invalid in tenants and regions. */
  void LogTenantFaults(const RoutingTable& aTable);
  bool IsReady() const;
  CallerReply ReadinessReply() const;
  CallerReply MetricsReply();
  void ReplyError(CallerSession& aSession,
                  const RequestMessage& aRequest,
                  ErrorKind aKind,
                  const std::string& aDetail,
                  std::optional<Duration> aRetryAfter);
  void RecordAnswer(const OpenRequest& aOpen, const ForwardResult& aResult);
  /** Adds the request id to aReply unless a replica has. */
  void EchoRequestId(CallerReply& aReply, std::string_view aId) const;
  /** Upper bound of the age of a change, for the log; -1 if it is unknown. */
  double MillisecondsSince(std::optional<TimePoint> aChangedAfter) const;
  void ReplyToPoll(SessionId aSession, CallerReply&& aReply);

  Loop& m_loop;
  DecisionLog& m_log;
  EdgeSettings m_settings;
  EdgeFieldNames m_names;
  TopologySource& m_source;
  std::unique_ptr<RandomSource> m_random = MakeSystemRandom();
  ReplicaConnections m_replicas;
  std::unique_ptr<Forwarder> m_forwarder;
  LoopTimer m_forwardTimer;
  std::optional<TimePoint> m_forwardTimerAt;

  std::shared_ptr<const RoutingTable> m_table;
  bool m_replicasListed = false;
  bool m_hostsCounted = false;

  SessionId m_nextSession = 1;
  ConnectionLimits m_connectionLimits = ConnectionLimitsFor(DescriptorLimit());
  /** Must outlive all sessions. */
  SessionMemory m_sessionMemory;
  SessionSet m_sessions;
  /** Sessions of other entry hosts; empty if the host accepts no relayed
   *  requests. */
  std::optional<SessionSet> m_relaySessions;
  LoopTimer m_sessionTimer;
  std::unordered_map<ForwardId, OpenRequest> m_openRequests;
  std::unordered_map<SessionId, ForwardId> m_requestBySession;
  ForwardId m_nextRequest = 1;

  ShutdownSchedule m_shutdown;
  std::function<void()> m_onStopped;
  FeedPolls m_feedPolls;
  CrashReporter m_crashReporter;
  RateLimits m_rateLimits;
  EdgeMetrics m_metrics;
  StatusServer m_readiness;
  std::optional<StatusServer> m_metricsServer;
  std::uint32_t m_liveHosts = 0;
};

} // namespace goldcrestkeel
