#include "CopyWriter.h"
#include "EdgeMetrics.h"
#include "ForwardReplies.h"
#include "RelayFields.h"
#include "ReplicaConnections.h"
#include "SessionSet.h"
#include "StatusServer.h"

#include <goldcrestkeel/edge/EdgeServer.h>

#include <algorithm>
#include <charconv>
#include <functional>
#include <unordered_map>
#include <utility>

namespace goldcrestkeel {

namespace {

/** How often sessions are checked for their time limits. */
constexpr Duration kSessionCheck{ 250000 };
/** Connections of callers; the rest of the usual 4,000 descriptors is for
 *  replicas. */
constexpr std::size_t kMaxSessions = 2500;
/** Connections of other entry hosts. */
constexpr std::size_t kMaxHostSessions = 500;
/** Room for the fields that another entry host adds, in bytes: positions of up
 *  to 1,400 shards and some numbers. */
constexpr std::uint32_t kRelayFieldBytes = 8192;
/** Time that an answer needs to the caller and that the caller's request has
 *  already taken: a one-way delay of 3 ms each, and some processing. */
constexpr Duration kCallerTransit{ 12000 };
/** The load balancer asks once a second and needs two misses. New connections
 *  and requests on kept ones are taken for this long after the start of a
 *  shutdown; what is taken later could not be finished in the grace time. */
constexpr Duration kAcceptWhileStopping{ 2800000 };
/** The process ends this long before the platform kills it; sessions are
 *  checked 0.25 s apart, and a slow host is late. */
constexpr Duration kGraceMargin{ 750000 };
/** Retry-After while the host has no routing table: the store that has it is
 *  away for seconds. */
constexpr Duration kNotReadyRetry{ 2000000 };
/** Entry hosts that share the replicas' connections until the source tells. */
constexpr std::uint32_t kAssumedHosts = 16;
/** One host in this many may have joined since the hosts were counted. */
constexpr std::uint32_t kJoiningHosts = 5;

std::string_view
PathOf(std::string_view aTarget)
{
  constexpr std::string_view kScheme = "http://";
  if (aTarget.starts_with(kScheme)) {
    const std::size_t slash = aTarget.find('/', kScheme.size());
    aTarget = slash == std::string_view::npos ? "/" : aTarget.substr(slash);
  }
  return aTarget.substr(0, aTarget.find_first_of("?#"));
}

std::optional<Duration>
ParseMilliseconds(std::string_view aText)
{
  std::int64_t value = 0;
  const auto parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (aText.empty() || parsed.ec != std::errc() || value < 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(value);
}

} // namespace

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
                 const RelayedPart& aPart) override;
  void AbortCopy(CopyId aCopy) override { m_replicas.Abort(aCopy); }
  void Finish(ForwardId aRequest, ForwardResult&& aResult) override;
  void Decided(const ForwardDecision& aDecision) override;
  void ReplicasMissing() override { m_source.RefreshReplicas(); }

  // CopyListener
  void OnCopySent(CopyId aCopy) override;
  void OnCopyAnswered(CopyId aCopy, ReplicaAnswer&& aAnswer) override;
  void OnCopyFailed(CopyId aCopy, CopyFailure aFailure) override;

  // CallerSession::Owner
  CallerLimits Limits(SessionPeer aPeer) const override;
  bool IsStopping() const override { return m_stopping; }
  void OnRequest(CallerSession& aSession, RequestMessage&& aRequest) override;
  void OnPeerDisconnected(CallerSession& aSession) override;
  void OnSessionEnded(CallerSession& aSession) override;

  // TopologyListener
  void OnRoutingTable(std::shared_ptr<const RoutingTable> aTable) override;
  void OnReplica(const ReplicaRecord& aReplica) override;
  void OnReplicaRemoved(const std::string& aId) override;
  void OnReplicaListComplete() override;
  void OnHosts(const std::vector<HostRecord>& aHosts) override;

private:
  struct OpenRequest
  {
    SessionId m_session = 0;
    RequestMessage m_request;
    std::string m_requestId;
    TimePoint m_arrivedAt;
    std::string m_route;
    RoutingVersion m_version = 0;
  };

  void CheckSessions();
  void ArmForwarder();
  void CheckStopped();
  void CloseIdleSessions();
  CallerSession* FindSession(SessionId aId) const;
  /** Whether a request of another entry host is taken. */
  bool MayServe(const std::optional<RelayParameters>& aParameters,
                const Route& aRoute) const;
  bool IsReady() const;
  CallerReply ReadinessReply() const;
  CallerReply MetricsReply();
  void ReplyError(CallerSession& aSession,
                  const RequestMessage& aRequest,
                  ErrorKind aKind,
                  const std::string& aDetail,
                  std::optional<Duration> aRetryAfter);
  void LogFinish(const OpenRequest& aOpen, const ForwardResult& aResult);

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
  bool m_replicasKnown = false;
  bool m_hostsCounted = false;

  SessionId m_nextSession = 1;
  SessionSet m_sessions;
  /** Sessions of other entry hosts. */
  std::optional<SessionSet> m_hostSessions;
  LoopTimer m_sessionTimer;
  std::unordered_map<ForwardId, OpenRequest> m_open;
  std::unordered_map<SessionId, ForwardId> m_bySession;
  ForwardId m_nextRequest = 1;

  bool m_stopping = false;
  TimePoint m_stopAt;
  TimePoint m_stopAcceptingAt;
  std::function<void()> m_stopped;
  EdgeMetrics m_metrics;
  StatusServer m_readiness;
  std::optional<StatusServer> m_metricsServer;
  std::uint32_t m_liveHosts = 0;
};

EdgeServer::Impl::Impl(Loop& aLoop,
                       DecisionLog& aLog,
                       const EdgeSettings& aSettings,
                       const EdgeFieldNames& aNames,
                       TopologySource& aSource)
  : m_loop(aLoop)
  , m_log(aLog)
  , m_settings(aSettings)
  , m_names(aNames)
  , m_source(aSource)
  , m_replicas(aLoop, m_names, *this)
  , m_forwardTimer(aLoop,
                   [this] {
                     m_forwardTimerAt.reset();
                     m_forwarder->OnTimer(m_loop.Now());
                     ArmForwarder();
                   })
  , m_sessions(aLoop,
               SessionPeer::Caller,
               m_nextSession,
               aSettings.m_callerAddress,
               kMaxSessions,
               *this)
  , m_sessionTimer(aLoop, [this] { CheckSessions(); })
  , m_readiness(aLoop, aSettings.m_readinessAddress, [this] {
    return ReadinessReply();
  })
{
  if (!aSettings.m_relayAddress.empty()) {
    m_hostSessions.emplace(aLoop,
                           SessionPeer::Host,
                           m_nextSession,
                           aSettings.m_relayAddress,
                           kMaxHostSessions,
                           *this);
  }
  ForwarderOptions options;
  options.m_hostId = aSettings.m_hostId;
  options.m_dataCentre = aSettings.m_dataCentre;
  options.m_regions = aSettings.m_regions;
  options.m_leavingUse =
    std::max(Duration(0),
             aSettings.m_drainLimit -
               ReplicaPollInterval(aSettings.m_drainLimit) - kMaxWatchDelay);
  options.m_repeatRatio = aSettings.m_repeatRatio;
  options.m_repeatSlack = aSettings.m_repeatSlack;
  options.m_repeatWindow = aSettings.m_repeatWindow;
  m_forwarder = MakeForwarder(options, *m_random, *this);
  m_forwarder->SetLiveHosts(kAssumedHosts);
  if (!aSettings.m_metricsAddress.empty()) {
    m_metricsServer.emplace(
      aLoop, aSettings.m_metricsAddress, [this] { return MetricsReply(); });
  }
  m_sessionTimer.SetAfter(kSessionCheck);
  aSource.Start(*this);
}

bool
EdgeServer::Impl::IsReady() const
{
  return m_table && m_replicasKnown && !m_stopping;
}

CallerReply
EdgeServer::Impl::ReadinessReply() const
{
  CallerReply reply;
  reply.m_status = IsReady() ? 200 : 503;
  return reply;
}

CallerReply
EdgeServer::Impl::MetricsReply()
{
  EdgeGauges gauges;
  gauges.m_tableVersion = m_table ? m_table->m_version : 0;
  gauges.m_liveHosts = m_liveHosts;
  gauges.m_runningRequests = m_open.size();
  gauges.m_callerConnections = m_sessions.size();
  gauges.m_replicaConnections = m_replicas.OpenCount();
  gauges.m_replicaConnectionsOpened = m_replicas.OpenedTotal();
  gauges.m_logLinesDropped = m_log.DroppedLines();
  gauges.m_ready = IsReady();
  CallerReply reply;
  reply.m_body = m_metrics.Text(m_forwarder->Counters(), gauges);
  reply.m_fields.emplace_back("Content-Type", "text/plain; version=0.0.4");
  return reply;
}

void
EdgeServer::Impl::CheckSessions()
{
  const TimePoint now = m_loop.Now();
  for (CallerSession* session : m_sessions.List()) {
    session->CheckTimeouts(now);
  }
  if (m_hostSessions) {
    for (CallerSession* session : m_hostSessions->List()) {
      session->CheckTimeouts(now);
    }
  }
  if (m_sessions.size() >= kMaxSessions) {
    m_log.Write(LogPriority::Request,
                "callers_full",
                { { "connections", static_cast<std::int64_t>(kMaxSessions) } });
  }
  if (m_stopping) {
    CheckStopped();
  }
  m_sessionTimer.SetAfter(kSessionCheck);
}

void
EdgeServer::Impl::ArmForwarder()
{
  const auto next = m_forwarder->NextTimer();
  if (!next) {
    return;
  }
  if (!m_forwardTimerAt || *next < *m_forwardTimerAt) {
    m_forwardTimerAt = next;
    m_forwardTimer.SetAt(*next);
  }
}

void
EdgeServer::Impl::SendCopy(CopyId aCopy,
                           ForwardId aRequest,
                           const ReplicaRecord& aReplica,
                           TimePoint aDeadline)
{
  const OpenRequest& open = m_open.at(aRequest);
  OutgoingCopy copy;
  copy.m_copy = aCopy;
  copy.m_requestId = open.m_requestId;
  copy.m_head = open.m_request.m_method == "HEAD";
  copy.m_bytes =
    WriteCopy(open.m_request, m_names, aReplica.m_id, aDeadline - m_loop.Now());
  m_replicas.Send(aReplica, std::move(copy));
}

void
EdgeServer::Impl::SendRelay(CopyId aCopy,
                            ForwardId aRequest,
                            const ReplicaRecord& aHost,
                            TimePoint aDeadline,
                            const RelayedPart& aPart)
{
  const OpenRequest& open = m_open.at(aRequest);
  const TimePoint now = m_loop.Now();
  OutgoingCopy copy;
  copy.m_copy = aCopy;
  copy.m_requestId = open.m_requestId;
  copy.m_head = open.m_request.m_method == "HEAD";
  copy.m_bytes = WriteRelay(
    open.m_request,
    m_names,
    { open.m_version, aPart.m_shards, aPart.m_mayMiss, aPart.m_targetAt - now },
    aDeadline - now);
  m_replicas.Send(aHost, std::move(copy));
}

void
EdgeServer::Impl::OnCopySent(CopyId aCopy)
{
  m_forwarder->CopySent(m_loop.Now(), aCopy);
}

void
EdgeServer::Impl::OnCopyAnswered(CopyId aCopy, ReplicaAnswer&& aAnswer)
{
  m_forwarder->CopyAnswered(m_loop.Now(), aCopy, std::move(aAnswer));
  ArmForwarder();
}

void
EdgeServer::Impl::OnCopyFailed(CopyId aCopy, CopyFailure aFailure)
{
  m_forwarder->CopyFailed(m_loop.Now(), aCopy, aFailure);
  ArmForwarder();
}

CallerLimits
EdgeServer::Impl::Limits(SessionPeer aPeer) const
{
  CallerLimits limits = m_table ? m_table->m_limits : CallerLimits();
  if (aPeer == SessionPeer::Host) {
    limits.m_headerBytes += kRelayFieldBytes;
  }
  return limits;
}

void
EdgeServer::Impl::OnRequest(CallerSession& aSession, RequestMessage&& aRequest)
{
  const std::string_view host = FieldValue(aRequest.m_fields, "host");
  if (host.empty()) {
    ReplyError(
      aSession, aRequest, ErrorKind::BadRequest, "no Host field", std::nullopt);
    return;
  }
  if (!m_table || !m_replicasKnown) {
    ReplyError(aSession,
               aRequest,
               ErrorKind::NotReady,
               "no routing table yet",
               kNotReadyRetry);
    return;
  }
  const Route* route = m_table->Find(host, PathOf(aRequest.m_target));
  if (!route) {
    ReplyError(
      aSession, aRequest, ErrorKind::NotFound, "no such route", std::nullopt);
    return;
  }
  const bool fromHost = aSession.Peer() == SessionPeer::Host;
  const auto parameters =
    fromHost ? ExtractRelayParameters(aRequest) : std::nullopt;
  if (fromHost && !MayServe(parameters, *route)) {
    ReplyError(aSession,
               aRequest,
               ErrorKind::NotReady,
               "requests of other hosts are not taken now, or not by this "
               "version of the routing table",
               std::nullopt);
    return;
  }
  const TimePoint now = m_loop.Now();
  ForwardRequest forward;
  if (parameters) {
    forward.m_part = { parameters->m_shards,
                       parameters->m_mayMiss,
                       now + parameters->m_timeToTarget };
  }
  forward.m_id = m_nextRequest++;
  forward.m_table = m_table;
  forward.m_route = route;
  const auto wait =
    ParseMilliseconds(FieldValue(aRequest.m_fields, m_names.m_deadlineMs));
  // Another entry host has taken the way off.
  const Duration transit = fromHost ? Duration(0) : kCallerTransit;
  const Duration patience =
    std::max(Duration(0), wait.value_or(route->m_timeout) - transit);
  forward.m_deadline = now + std::min(route->m_timeout, patience);
  OpenRequest open;
  open.m_session = aSession.Id();
  open.m_requestId = FieldValue(aRequest.m_fields, m_names.m_requestId);
  open.m_request = std::move(aRequest);
  open.m_arrivedAt = now;
  open.m_route = route->m_name;
  open.m_version = m_table->m_version;
  m_bySession[open.m_session] = forward.m_id;
  m_open.emplace(forward.m_id, std::move(open));
  m_forwarder->Start(now, forward);
  ArmForwarder();
}

void
EdgeServer::Impl::OnPeerDisconnected(CallerSession& aSession)
{
  const auto found = m_bySession.find(aSession.Id());
  if (found == m_bySession.end()) {
    return;
  }
  const ForwardId request = found->second;
  m_bySession.erase(found);
  const OpenRequest& open = m_open.at(request);
  const TimePoint now = m_loop.Now();
  m_log.Write(LogPriority::Request,
              "caller_gone",
              { { "request", std::string_view(open.m_requestId) },
                { "route", std::string_view(open.m_route) },
                { "age_ms", (now - open.m_arrivedAt).count() / 1000.0 } });
  m_open.erase(request);
  m_forwarder->Cancel(now, request);
  ArmForwarder();
}

void
EdgeServer::Impl::OnSessionEnded(CallerSession& aSession)
{
  if (aSession.Peer() == SessionPeer::Host) {
    m_hostSessions->Remove(aSession);
  } else {
    m_sessions.Remove(aSession);
  }
}

void
EdgeServer::Impl::Finish(ForwardId aRequest, ForwardResult&& aResult)
{
  const auto found = m_open.find(aRequest);
  if (found == m_open.end()) {
    return;
  }
  const OpenRequest open = std::move(found->second);
  m_open.erase(found);
  m_bySession.erase(open.m_session);
  LogFinish(open, aResult);
  if (CallerSession* session = FindSession(open.m_session)) {
    const std::string copies = std::to_string(aResult.m_copies);
    const std::string shards = FormatNumbers(aResult.m_shards);
    CallerReply reply = ToReply(std::move(aResult), m_names);
    if (session->Peer() == SessionPeer::Host) {
      reply.m_fields.emplace_back(shards.empty() ? kCopiesField : kShardsField,
                                  shards.empty() ? copies : shards);
    }
    session->Reply(std::move(reply));
  }
}

CallerSession*
EdgeServer::Impl::FindSession(SessionId aId) const
{
  CallerSession* const session = m_sessions.Find(aId);
  return session || !m_hostSessions ? session : m_hostSessions->Find(aId);
}

bool
EdgeServer::Impl::MayServe(const std::optional<RelayParameters>& aParameters,
                           const Route& aRoute) const
{
  // A request is handled by one version only: that of the host that has taken
  // it from the caller.
  if (m_stopping || !aParameters || !aRoute.m_gather ||
      aParameters->m_version != m_table->m_version) {
    return false;
  }
  // Ascending, so that no shard is asked twice; ParseNumbers() gives at least
  // one.
  const std::vector<std::uint32_t>& shards = aParameters->m_shards;
  const bool ascending =
    std::adjacent_find(shards.begin(), shards.end(), std::greater_equal<>()) ==
    shards.end();
  return ascending && shards.back() < aRoute.m_gather->m_shards.size();
}

void
EdgeServer::Impl::LogFinish(const OpenRequest& aOpen,
                            const ForwardResult& aResult)
{
  const Duration age = m_loop.Now() - aOpen.m_arrivedAt;
  m_metrics.CountAnswer(aResult.m_error ? InfoOf(*aResult.m_error).m_name
                        : aResult.m_missingShards > 0 ? "partial"
                                                      : "ok",
                        age);
  m_log.Write(
    LogPriority::Request,
    "answer",
    { { "request", std::string_view(aOpen.m_requestId) },
      { "route", std::string_view(aOpen.m_route) },
      { "version", static_cast<std::int64_t>(aOpen.m_version) },
      { "status",
        static_cast<std::int64_t>(aResult.m_error
                                    ? InfoOf(*aResult.m_error).m_httpStatus
                                    : aResult.m_answer.m_status) },
      { "error",
        aResult.m_error ? InfoOf(*aResult.m_error).m_name
                        : std::string_view() },
      { "copies", static_cast<std::int64_t>(aResult.m_copies) },
      { "missing_shards", static_cast<std::int64_t>(aResult.m_missingShards) },
      { "missing", std::string_view(aResult.m_missingNames) },
      { "detail", std::string_view(aResult.m_detail) },
      { "age_ms", age.count() / 1000.0 } });
}

void
EdgeServer::Impl::Decided(const ForwardDecision& aDecision)
{
  const auto open = m_open.find(aDecision.m_request);
  m_log.Write(
    LogPriority::Request,
    aDecision.m_what,
    { { "request",
        open == m_open.end() ? std::string_view()
                             : std::string_view(open->second.m_requestId) },
      { "service", aDecision.m_service },
      { "replica", aDecision.m_replica },
      { "reason", aDecision.m_reason },
      { "age_ms", aDecision.m_age.count() / 1000.0 } });
}

void
EdgeServer::Impl::ReplyError(CallerSession& aSession,
                             const RequestMessage& aRequest,
                             ErrorKind aKind,
                             const std::string& aDetail,
                             std::optional<Duration> aRetryAfter)
{
  m_log.Write(
    LogPriority::Request,
    "refused",
    { { "request", FieldValue(aRequest.m_fields, m_names.m_requestId) },
      { "error", InfoOf(aKind).m_name },
      { "reason", std::string_view(aDetail) },
      { "version",
        static_cast<std::int64_t>(m_table ? m_table->m_version : 0) } });
  CallerReply reply = ToErrorReply(aKind, aDetail, aRetryAfter);
  if (aSession.Peer() == SessionPeer::Host) {
    reply.m_fields.emplace_back(kCopiesField, "0");
  }
  aSession.Reply(std::move(reply));
}

void
EdgeServer::Impl::OnRoutingTable(std::shared_ptr<const RoutingTable> aTable)
{
  if (m_table && aTable->m_version <= m_table->m_version) {
    return;
  }
  m_log.Write(
    LogPriority::Process,
    "table_in_force",
    { { "version", static_cast<std::int64_t>(aTable->m_version) },
      { "routes", static_cast<std::int64_t>(aTable->m_routes.size()) } });
  m_table = std::move(aTable);
  m_forwarder->SetTable(m_loop.Now(), m_table);
}

void
EdgeServer::Impl::OnReplica(const ReplicaRecord& aReplica)
{
  m_log.Write(LogPriority::Request,
              "replica_listed",
              { { "replica", std::string_view(aReplica.m_id) },
                { "service", std::string_view(aReplica.m_service) },
                { "address", std::string_view(aReplica.m_address) },
                { "draining", aReplica.m_draining } });
  m_forwarder->UpdateReplica(m_loop.Now(), aReplica);
  ArmForwarder();
}

void
EdgeServer::Impl::OnReplicaRemoved(const std::string& aId)
{
  m_log.Write(LogPriority::Request,
              "replica_gone",
              { { "replica", std::string_view(aId) } });
  m_forwarder->RemoveReplica(m_loop.Now(), aId);
}

void
EdgeServer::Impl::OnReplicaListComplete()
{
  m_replicasKnown = true;
}

void
EdgeServer::Impl::OnHosts(const std::vector<HostRecord>& aHosts)
{
  m_log.Write(LogPriority::Process,
              "live_hosts",
              { { "hosts", static_cast<std::int64_t>(aHosts.size()) } });
  // This host may not be listed yet.
  m_liveHosts = std::max(1U, static_cast<std::uint32_t>(aHosts.size()));
  // Hosts that have just started are not counted by all others yet, and the
  // first count of a host that starts with them sees few.
  const std::uint32_t seen =
    m_hostsCounted ? m_liveHosts : std::max(m_liveHosts, kAssumedHosts);
  m_hostsCounted = true;
  m_forwarder->SetLiveHosts(seen + seen / kJoiningHosts);
  m_forwarder->SetHosts(m_loop.Now(), aHosts);
}

void
EdgeServer::Impl::Shutdown(std::function<void()> aDone)
{
  if (m_stopping) {
    return;
  }
  const TimePoint now = m_loop.Now();
  m_stopping = true;
  m_stopped = std::move(aDone);
  m_stopAcceptingAt = now + kAcceptWhileStopping;
  m_stopAt = now + m_settings.m_grace - kGraceMargin;
}

void
EdgeServer::Impl::CheckStopped()
{
  const TimePoint now = m_loop.Now();
  if (now < m_stopAcceptingAt) {
    return;
  }
  if (m_sessions.IsAccepting()) {
    m_sessions.StopAccepting();
    CloseIdleSessions();
  }
  if ((m_sessions.size() == 0 && m_open.empty()) || now >= m_stopAt) {
    m_log.Write(
      LogPriority::Process,
      "stopped",
      { { "open_requests", static_cast<std::int64_t>(m_open.size()) },
        { "connections", static_cast<std::int64_t>(m_sessions.size()) } });
    m_stopped();
  }
}

void
EdgeServer::Impl::CloseIdleSessions()
{
  for (CallerSession* session : m_sessions.List()) {
    if (session->IsIdle()) {
      session->Close();
    }
  }
}

EdgeServer::EdgeServer(Loop& aLoop,
                       DecisionLog& aLog,
                       const EdgeSettings& aSettings,
                       const EdgeFieldNames& aNames,
                       TopologySource& aSource)
  : m_impl(std::make_unique<Impl>(aLoop, aLog, aSettings, aNames, aSource))
{
}

EdgeServer::~EdgeServer() = default;

void
EdgeServer::Shutdown(std::function<void()> aDone)
{
  m_impl->Shutdown(std::move(aDone));
}

} // namespace goldcrestkeel
