#include "CopyWriter.h"
#include "EdgeServerImpl.h"

#include <algorithm>
#include <utility>

namespace goldcrestkeel {

namespace {

/** Interval of the checks of sessions for exceeded time limits. */
constexpr Duration kSessionCheckInterval{ 250000 };
/** Allowance above the header limit for the relay fields of another entry host,
 *  in bytes: the indices of up to 1,400 shards and a few numbers. */
constexpr std::uint32_t kMaxRelayFieldBytes = 8192;
/** Part of the overshoot of the rate limits' window for which granted tokens
 * are valid. The rest covers the detection of failures. */
constexpr double kGrantPart = 0.6;

Duration
GrantValidityOf(const EdgeSettings& aSettings)
{
  return Duration(static_cast<Duration::rep>(
    static_cast<double>(aSettings.m_rateLimitWindow.count()) *
    aSettings.m_rateLimitOvershoot * kGrantPart));
}

} // namespace

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
  , m_replicas(aLoop, m_names, *this, aSettings.m_answerLimits)
  , m_forwardTimer(aLoop,
                   [this] {
                     m_forwardTimerAt.reset();
                     m_forwarder->OnTimer(m_loop.Now());
                     ArmForwardTimer();
                   })
  , m_sessionMemory(aSettings.m_sessionLimits)
  , m_sessions(aLoop,
               SessionPeer::Caller,
               m_nextSession,
               aSettings.m_callerAddress,
               m_connectionLimits.m_callers,
               m_sessionMemory,
               *this)
  , m_sessionTimer(aLoop, [this] { CheckSessions(); })
  , m_shutdown(aSettings.m_grace)
  , m_feedPolls(aLoop,
                aLog,
                aSettings.m_hostId,
                aSource.Feeds(),
                [this](SessionId aSession, CallerReply&& aReply) {
                  ReplyToPoll(aSession, std::move(aReply));
                })
  , m_crashReporter(aLoop,
                    aLog,
                    aSettings.m_hostId,
                    m_connectionLimits.m_crashMessages,
                    [this](const CrashMessage& aReply) { Apply(aReply); })
  , m_rateLimits(
      aLoop,
      aLog,
      *m_random,
      { aSettings.m_hostId, aSettings.m_relayAddress, aSettings.m_cores },
      GrantValidityOf(aSettings),
      [this](ForwardId aRequest, const AdmissionResult& aResult) {
        OnAdmission(aRequest, aResult);
      })
  , m_readiness(
      aLoop,
      aSettings.m_readinessAddress,
      m_connectionLimits.m_status,
      m_sessionMemory,
      [this] { return ReadinessReply(); },
      [this](const SessionRefusal& aRefusal) {
        RecordRefusal("readiness", aRefusal);
      })
{
  m_sessionMemory.m_isFull = [this] {
    return UsedDescriptors() + m_replicas.OpenCount() >=
           m_connectionLimits.m_all;
  };
  if (!aSettings.m_relayAddress.empty()) {
    m_relaySessions.emplace(aLoop,
                            SessionPeer::Host,
                            m_nextSession,
                            aSettings.m_relayAddress,
                            m_connectionLimits.m_hosts,
                            m_sessionMemory,
                            *this);
  }
  ForwarderOptions options;
  options.m_hostId = aSettings.m_hostId;
  options.m_dataCentre = aSettings.m_dataCentre;
  options.m_regions = aSettings.m_regions;
  options.m_drainLimit = aSettings.m_drainLimit;
  options.m_repeatRatio = aSettings.m_repeatRatio;
  options.m_repeatSlack = aSettings.m_repeatSlack;
  options.m_repeatWindow = aSettings.m_repeatWindow;
  m_forwarder = MakeForwarder(options, *m_random, *this);
  m_forwarder->SetLiveHosts(kAssumedLiveHosts);
  if (!aSettings.m_metricsAddress.empty()) {
    m_metricsServer.emplace(
      aLoop,
      aSettings.m_metricsAddress,
      m_connectionLimits.m_status,
      m_sessionMemory,
      [this] { return MetricsReply(); },
      [this](const SessionRefusal& aRefusal) {
        RecordRefusal("metrics", aRefusal);
      });
  }
  m_sessionTimer.SetAfter(kSessionCheckInterval);
  aSource.Start(*this);
}

bool
EdgeServer::Impl::IsReady() const
{
  return m_table && m_replicasListed && !m_shutdown.IsStarted();
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
  gauges.m_runningRequests = m_openRequests.size();
  gauges.m_callerConnections = m_sessions.size();
  gauges.m_sessionBytes = m_sessionMemory.m_budget.HeldBytes();
  gauges.m_replicaConnections = m_replicas.OpenCount();
  gauges.m_replicaConnectionsOpened = m_replicas.OpenedTotal();
  gauges.m_logLinesDropped = m_log.DroppedLines();
  gauges.m_ready = IsReady();
  for (const SharedFeed* feed : m_source.Feeds()) {
    const auto age = feed->Age();
    gauges.m_feeds.push_back({ feed->Name(),
                               feed->Revision(),
                               age ? age->count() / 1e6 : -1,
                               feed->Source() == FeedSource::Host });
  }
  CallerReply reply;
  reply.m_body = m_metrics.Text(m_forwarder->Counters(),
                                m_rateLimits.ClientCounters(),
                                m_rateLimits.OwnerCounters(),
                                gauges);
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
  if (m_relaySessions) {
    for (CallerSession* session : m_relaySessions->List()) {
      session->CheckTimeouts(now);
    }
  }
  if (m_sessions.size() >= m_connectionLimits.m_callers) {
    m_log.Write(
      LogPriority::Request,
      "callers_full",
      { { "connections", static_cast<std::int64_t>(m_sessions.size()) } });
  }
  m_sessionTimer.SetAfter(kSessionCheckInterval);
  if (m_shutdown.IsStarted()) {
    CheckShutdown();
  }
}

void
EdgeServer::Impl::ArmForwardTimer()
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

std::shared_ptr<const EncodedRequest>
EdgeServer::Impl::Encode(OpenRequest& aOpen) const
{
  if (!aOpen.m_encoded) {
    RequestMessage& request = aOpen.m_request;
    aOpen.m_encoded = EncodeRequest(request, m_names, aOpen.m_identity);
    std::vector<HeaderField>().swap(request.m_fields);
    std::string().swap(request.m_body);
  }
  return aOpen.m_encoded;
}

void
EdgeServer::Impl::SendCopy(CopyId aCopy,
                           ForwardId aRequest,
                           const ReplicaRecord& aReplica,
                           TimePoint aDeadline)
{
  OpenRequest& open = m_openRequests.at(aRequest);
  OutgoingCopy copy;
  copy.m_copy = aCopy;
  copy.m_requestId = open.m_requestId;
  copy.m_requestEndsAt = open.m_deadline;
  copy.m_head = open.m_request.m_method == "HEAD";
  copy.m_bytes = WriteCopy(Encode(open),
                           m_names,
                           open.m_identity,
                           aReplica.m_id,
                           aDeadline - m_loop.Now());
  m_replicas.Send(aReplica, std::move(copy));
}

void
EdgeServer::Impl::SendRelay(CopyId aCopy,
                            ForwardId aRequest,
                            const ReplicaRecord& aHost,
                            TimePoint aDeadline,
                            const RelayedShards& aPart)
{
  OpenRequest& open = m_openRequests.at(aRequest);
  const TimePoint now = m_loop.Now();
  OutgoingCopy copy;
  copy.m_copy = aCopy;
  copy.m_requestId = open.m_requestId;
  copy.m_requestEndsAt = open.m_deadline;
  copy.m_head = open.m_request.m_method == "HEAD";
  copy.m_bytes = WriteRelay(Encode(open),
                            m_names,
                            open.m_identity,
                            { open.m_version,
                              aPart.m_shards,
                              aPart.m_maxMissingShards,
                              aPart.m_targetAt - now,
                              aPart.m_attemptsLeft },
                            aDeadline - now);
  m_replicas.Send(aHost, std::move(copy));
}

void
EdgeServer::Impl::ProbeReplica(CopyId aProbe,
                               const ReplicaRecord& aReplica,
                               std::string_view aHealthPath)
{
  OutgoingCopy probe;
  probe.m_copy = aProbe;
  probe.m_bytes = WriteHealthCheck(aHealthPath, aReplica.m_address);
  m_replicas.SendOverNew(aReplica, std::move(probe));
}

void
EdgeServer::Impl::OnCopySent(CopyId aCopy, ConnectionState aConnection)
{
  m_forwarder->CopySent(m_loop.Now(), aCopy, aConnection);
}

void
EdgeServer::Impl::OnCopyAnswered(CopyId aCopy, ReplicaAnswer&& aAnswer)
{
  m_forwarder->CopyAnswered(m_loop.Now(), aCopy, std::move(aAnswer));
  ArmForwardTimer();
}

void
EdgeServer::Impl::OnCopyFailed(CopyId aCopy, CopyFailure aFailure)
{
  m_forwarder->CopyFailed(m_loop.Now(), aCopy, aFailure);
  ArmForwardTimer();
}

void
EdgeServer::Impl::OnConnectionProven(const std::string& aId)
{
  m_forwarder->ConnectionProven(aId);
}

CallerLimits
EdgeServer::Impl::Limits(SessionPeer aPeer) const
{
  CallerLimits limits = m_table ? m_table->m_limits : CallerLimits();
  if (aPeer == SessionPeer::Host) {
    limits.m_headerBytes += kMaxRelayFieldBytes;
  }
  return limits;
}

void
EdgeServer::Impl::Shutdown(std::function<void()> aDone)
{
  if (m_shutdown.IsStarted()) {
    return;
  }
  m_shutdown.Start(m_loop.Now());
  m_onStopped = std::move(aDone);
  m_feedPolls.Stop();
}

void
EdgeServer::Impl::CheckShutdown()
{
  const TimePoint now = m_loop.Now();
  if (m_shutdown.TakesRequests(now)) {
    return;
  }
  if (m_sessions.IsAccepting()) {
    m_sessions.StopAccepting();
    CloseIdleSessions();
  }
  if (now >= m_shutdown.AnswerAllAt()) {
    RefuseUnadmitted();
    m_forwarder->FinishAll(now);
    m_sessionTimer.SetAt(m_shutdown.EndAt());
  } else {
    m_sessionTimer.SetAt(
      std::min(now + kSessionCheckInterval, m_shutdown.AnswerAllAt()));
  }
  if ((m_sessions.size() == 0 && m_openRequests.empty()) ||
      now >= m_shutdown.EndAt()) {
    m_log.Write(
      LogPriority::Process,
      "stopped",
      { { "open_requests", static_cast<std::int64_t>(m_openRequests.size()) },
        { "connections", static_cast<std::int64_t>(m_sessions.size()) } });
    m_onStopped();
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
