#include "EdgeServerImpl.h"
#include "ForwardReplies.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace goldcrestkeel {

namespace {

/** Part of the caller's deadline that is spent outside this host: a network
 *  delay of 3 ms each way and some processing. */
constexpr Duration kCallerTransitTime{ 12000 };
/** Longer time limits of callers are shortened to this one, in milliseconds. */
constexpr std::int64_t kMaxTimeLimitMs = 86400000;
/** Retry-After while the host has no routing table. Outages of the store, which
 *  holds the table, last for seconds. */
constexpr Duration kNotReadyRetryAfter{ 2000000 };

/** Retry-After while too many connections are open. Most requests end, and
 *  leave theirs to others, sooner. */
constexpr Duration kConnectionsRetryAfter{ 1000000 };
/** Descriptors for other purposes: listening sockets, the log, the event loop,
 *  connections to the store and for the rate limits. */
constexpr std::size_t kOtherDescriptors = 32;

/** True if a request that was admitted has not run on any replica. */
bool
HasNotRun(const ForwardResult& aResult)
{
  return aResult.m_error && *aResult.m_error != ErrorKind::RateLimited &&
         InfoOf(*aResult.m_error).m_ran == Ran::No;
}

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
  return std::chrono::milliseconds(std::min(value, kMaxTimeLimitMs));
}

} // namespace

bool
EdgeServer::Impl::HandleHostRequest(CallerSession& aSession,
                                    const RequestMessage& aRequest)
{
  // Requests that are relayed carry fields that these do not.
  if (aSession.Peer() != SessionPeer::Host ||
      !FieldValue(aRequest.m_fields, kTableVersionField).empty()) {
    return false;
  }
  if (aRequest.m_target == kFeedPollTarget) {
    m_feedPolls.OnPoll(aSession.Id(), aRequest.m_body);
    return true;
  }
  if (aRequest.m_target == kTokenMessageTarget) {
    OnTokenMessage(aSession, aRequest.m_body);
    return true;
  }
  if (aRequest.m_target == kCrashMessageTarget) {
    OnCrashMessage(aSession, aRequest.m_body);
    return true;
  }
  return false;
}

void
EdgeServer::Impl::OnRequest(CallerSession& aSession, RequestMessage&& aRequest)
{
  if (HandleHostRequest(aSession, aRequest)) {
    return;
  }
  const std::string_view host = FieldValue(aRequest.m_fields, "host");
  if (host.empty()) {
    ReplyError(
      aSession, aRequest, ErrorKind::BadRequest, "no Host field", std::nullopt);
    return;
  }
  if (!m_shutdown.TakesRequests(m_loop.Now())) {
    ReplyError(aSession,
               aRequest,
               ErrorKind::NotReady,
               "the host is stopping",
               kStoppingRetryAfter);
    return;
  }
  if (!m_table || !m_replicasListed) {
    ReplyError(aSession,
               aRequest,
               ErrorKind::NotReady,
               "no routing table yet",
               kNotReadyRetryAfter);
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
  if (fromHost && !CanServeRelay(parameters, *route)) {
    ReplyError(aSession,
               aRequest,
               ErrorKind::NotReady,
               "requests of other hosts are not taken now, or not by this "
               "version of the routing table",
               std::nullopt);
    return;
  }
  if (!HasRoomForCopies(*route)) {
    ReplyError(aSession,
               aRequest,
               ErrorKind::NotReady,
               "too many connections to backend servers are open",
               kConnectionsRetryAfter);
    return;
  }
  const auto identity = Identify(aSession, aRequest, *route);
  if (!identity) {
    return;
  }
  const TimePoint now = m_loop.Now();
  ForwardRequest forward;
  if (parameters) {
    forward.m_relayedShards = { parameters->m_shards,
                                parameters->m_maxMissingShards,
                                now + parameters->m_timeToTarget,
                                parameters->m_attemptsLeft };
  }
  forward.m_fingerprint = FingerprintOf(aRequest);
  forward.m_id = m_nextRequest++;
  forward.m_table = m_table;
  forward.m_route = route;
  forward.m_tenant = identity->m_tenant;
  const auto requestedTimeout =
    ParseMilliseconds(FieldValue(aRequest.m_fields, m_names.m_deadlineMs));
  // Another entry host has already subtracted the transit time.
  const Duration transit = fromHost ? Duration(0) : kCallerTransitTime;
  const Duration timeLeft = std::max(
    Duration(0), requestedTimeout.value_or(route->m_timeout) - transit);
  forward.m_deadline = now + std::min(route->m_timeout, timeLeft);
  OpenRequest open;
  open.m_session = aSession.Id();
  open.m_requestId =
    std::string(FieldValue(aRequest.m_fields, m_names.m_requestId));
  open.m_request = std::move(aRequest);
  open.m_arrivedAt = now;
  open.m_deadline = forward.m_deadline;
  open.m_route = route->m_name;
  open.m_version = m_table->m_version;
  open.m_identity = IdentityFieldsOf(*m_table, *identity);
  m_requestBySession[open.m_session] = forward.m_id;
  // The host that got a relayed request from its caller has admitted it.
  const bool limited =
    !fromHost && forward.m_tenant && forward.m_tenant->HasRateLimit();
  open.m_rateLimited = limited;
  m_openRequests.emplace(forward.m_id, std::move(open));
  if (limited) {
    AdmitRequest(forward);
  } else {
    StartRequest(forward);
  }
}

void
EdgeServer::Impl::OnPeerDisconnected(CallerSession& aSession)
{
  const auto found = m_requestBySession.find(aSession.Id());
  if (found == m_requestBySession.end()) {
    return;
  }
  const ForwardId request = found->second;
  m_requestBySession.erase(found);
  const OpenRequest& open = m_openRequests.at(request);
  const TimePoint now = m_loop.Now();
  m_log.Write(LogPriority::Request,
              "caller_gone",
              { { "request", open.m_requestId.View() },
                { "route", std::string_view(open.m_route) },
                { "age_ms", (now - open.m_arrivedAt).count() / 1000.0 } });
  if (open.m_unadmitted) {
    m_rateLimits.Cancel(open.m_identity.m_tenant, request);
  } else {
    m_forwarder->Cancel(now, request);
  }
  m_openRequests.erase(request);
  ArmForwardTimer();
}

void
EdgeServer::Impl::OnSessionEnded(CallerSession& aSession)
{
  if (aSession.Peer() == SessionPeer::Host) {
    m_relaySessions->Remove(aSession);
  } else {
    m_sessions.Remove(aSession);
  }
}

void
EdgeServer::Impl::Finish(ForwardId aRequest, ForwardResult&& aResult)
{
  const auto found = m_openRequests.find(aRequest);
  if (found == m_openRequests.end()) {
    return;
  }
  const OpenRequest open = std::move(found->second);
  m_openRequests.erase(found);
  m_requestBySession.erase(open.m_session);
  RecordAnswer(open, aResult);
  if (open.m_rateLimited && !open.m_unadmitted && HasNotRun(aResult)) {
    m_rateLimits.GiveBack(open.m_identity.m_tenant);
  }
  if (CallerSession* session = FindSession(open.m_session)) {
    const std::string copies = std::to_string(aResult.m_copies);
    const std::string shards = FormatNumbers(aResult.m_shards);
    const bool quarantined = aResult.m_error == ErrorKind::RequestQuarantined;
    CallerReply reply = ToReply(std::move(aResult), m_names);
    if (session->Peer() == SessionPeer::Host) {
      reply.m_fields.emplace_back(shards.empty() ? kCopiesField : kShardsField,
                                  shards.empty() ? copies : shards);
      if (quarantined) {
        reply.m_fields.emplace_back(kQuarantinedField, "1");
      }
      EchoRequestId(reply, open.m_requestId.View());
      // It tells when this host is to stop using the replica, not the other
      // one.
      std::erase_if(reply.m_fields, [&](const HeaderField& aField) {
        return EqualsIgnoreCase(aField.first, m_names.m_leaving);
      });
    }
    session->Reply(std::move(reply));
  }
}

void
EdgeServer::Impl::ReplyToPoll(SessionId aSession, CallerReply&& aReply)
{
  if (CallerSession* session = FindSession(aSession)) {
    session->Reply(std::move(aReply));
  }
}

CallerSession*
EdgeServer::Impl::FindSession(SessionId aId) const
{
  CallerSession* const session = m_sessions.Find(aId);
  return session || !m_relaySessions ? session : m_relaySessions->Find(aId);
}

std::size_t
EdgeServer::Impl::UsedDescriptors() const
{
  return m_sessions.size() + (m_relaySessions ? m_relaySessions->size() : 0) +
         m_readiness.ConnectionCount() +
         (m_metricsServer ? m_metricsServer->ConnectionCount() : 0) +
         m_crashReporter.OpenCount() + kOtherDescriptors;
}

bool
EdgeServer::Impl::HasRoomForCopies(const Route& aRoute)
{
  const ConnectionLimits& limits = m_connectionLimits;
  const std::size_t used =
    std::max(UsedDescriptors(), limits.m_minAccepted + kOtherDescriptors);
  const std::size_t limit =
    std::max(limits.m_minReplicas, limits.m_all - std::min(limits.m_all, used));
  m_replicas.SetLimit(limit);
  // A request over more shards than there are descriptors is served alone.
  const std::size_t needed =
    std::min(limit, aRoute.m_gather ? aRoute.m_gather->m_shards.size() : 1);
  return m_replicas.BusyCount() + needed <= limit;
}

bool
EdgeServer::Impl::CanServeRelay(
  const std::optional<RelayParameters>& aParameters,
  const Route& aRoute) const
{
  // A request is handled by a single version of the routing table: that of the
  // host that received it from the caller.
  if (m_shutdown.IsStarted() || !aParameters ||
      aParameters->m_version != m_table->m_version ||
      m_forwarder->Contact() != ContactState::Reached) {
    return false;
  }
  const std::vector<std::uint32_t>& shards = aParameters->m_shards;
  if (!aRoute.m_gather) {
    return shards.size() == 1 && shards.front() < aRoute.m_services.size();
  }
  // Strictly ascending, so that no shard is queried twice. The list has at
  // least one shard: ParseNumbers() rejects an empty one.
  const bool ascending =
    std::adjacent_find(shards.begin(), shards.end(), std::greater_equal<>()) ==
    shards.end();
  return ascending && shards.back() < aRoute.m_gather->m_shards.size();
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
  if (aKind == ErrorKind::Unauthorized) {
    reply.m_fields.emplace_back("WWW-Authenticate", m_names.m_keyScheme);
  }
  if (aSession.Peer() == SessionPeer::Host) {
    reply.m_fields.emplace_back(kCopiesField, "0");
    reply.m_fields.emplace_back(kUnavailableField, "1");
    EchoRequestId(reply, FieldValue(aRequest.m_fields, m_names.m_requestId));
  }
  aSession.Reply(std::move(reply));
}

void
EdgeServer::Impl::EchoRequestId(CallerReply& aReply, std::string_view aId) const
{
  // Other hosts also get answers of single replicas over the same connection,
  // which carry ids.
  if (!aId.empty() &&
      FieldValue(aReply.m_fields, m_names.m_requestId).empty()) {
    aReply.m_fields.emplace_back(m_names.m_requestId, aId);
  }
}

} // namespace goldcrestkeel
