#include "EdgeServerImpl.h"

namespace goldcrestkeel {

namespace {

/** Logged in place of a limit if there is none. */
constexpr double kNoLimit = -1;

} // namespace

void
EdgeServer::Impl::OnRefused(CallerSession& aSession,
                            const SessionRefusal& aRefusal)
{
  RecordRefusal(aSession.Peer() == SessionPeer::Host ? "hosts" : "callers",
                aRefusal);
}

void
EdgeServer::Impl::RecordRefusal(std::string_view aAddress,
                                const SessionRefusal& aRefusal)
{
  m_metrics.CountRefusal(NameOf(aRefusal.m_reason));
  const MemoryBudget& budget = m_sessionMemory.m_budget;
  m_log.Write(LogPriority::Request,
              "connection_refused",
              { { "address", aAddress },
                { "reason", NameOf(aRefusal.m_reason) },
                { "status", static_cast<std::int64_t>(aRefusal.m_status) },
                { "bytes", static_cast<std::int64_t>(aRefusal.m_bytes) },
                { "all_bytes", static_cast<std::int64_t>(budget.HeldBytes()) },
                { "limit", static_cast<std::int64_t>(budget.Limit()) } });
}

void
EdgeServer::Impl::RecordAnswer(const OpenRequest& aOpen,
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
    { { "request", aOpen.m_requestId.View() },
      { "route", std::string_view(aOpen.m_route) },
      { "tenant", std::string_view(aOpen.m_identity.m_tenant) },
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
      { "missing", std::string_view(aResult.m_missingServices) },
      { "detail", std::string_view(aResult.m_detail) },
      { "age_ms", age.count() / 1000.0 } });
}

void
EdgeServer::Impl::LogDecision(const ForwardDecision& aDecision)
{
  const auto open = m_openRequests.find(aDecision.m_request);
  m_log.Write(
    LogPriority::Request,
    aDecision.m_decision,
    { { "request",
        open == m_openRequests.end() ? std::string_view()
                                     : open->second.m_requestId.View() },
      { "service", aDecision.m_service },
      { "replica", aDecision.m_replica },
      { "reason", aDecision.m_reason },
      { "age_ms", aDecision.m_age.count() / 1000.0 } });
}

void
EdgeServer::Impl::LogRequestLimit(const RequestLimitReport& aReport)
{
  m_log.Write(
    LogPriority::Request,
    "replica_limit",
    { { "service", aReport.m_service },
      { "replica", aReport.m_replica },
      { "limit_per_s", aReport.m_limit.value_or(kNoLimit) },
      { "copies", static_cast<std::int64_t>(aReport.m_copies) },
      { "since_ms", aReport.m_since.count() / 1000.0 },
      { "reason", std::string_view(aReport.m_invalid ? "invalid" : "") } });
}

void
EdgeServer::Impl::LogContact(const ContactReport& aReport)
{
  m_log.Write(
    LogPriority::Process,
    "replica_contact",
    { { "state", NameOf(aReport.m_state) },
      { "before", NameOf(aReport.m_before) },
      { "lasted_ms", aReport.m_lasted.count() / 1000.0 },
      { "silent", static_cast<std::int64_t>(aReport.m_silentReplicas) },
      { "unconnectable",
        static_cast<std::int64_t>(aReport.m_unconnectableReplicas) } });
}

void
EdgeServer::Impl::LogReplicaNotice(const ReplicaNoticeReport& aReport)
{
  m_log.Write(
    LogPriority::Request,
    "replica_notice",
    { { "notice", NameOf(aReport.m_notice) },
      { "service", aReport.m_service },
      { "replica", aReport.m_replica },
      { "rest_ms", aReport.m_restFor.count() / 1000.0 },
      { "in_flight", static_cast<std::int64_t>(aReport.m_inFlight) } });
}

void
EdgeServer::Impl::LogReplicaPace(const ReplicaPaceReport& aReport)
{
  m_log.Write(LogPriority::Request,
              "replica_pace",
              { { "state", NameOf(aReport.m_pace) },
                { "service", aReport.m_service },
                { "replica", aReport.m_replica },
                { "limit", aReport.m_limit.value_or(kNoLimit) },
                { "left_ms", aReport.m_left.count() / 1000.0 },
                { "reason", aReport.m_reason },
                { "age_ms", aReport.m_age.count() / 1000.0 } });
}

} // namespace goldcrestkeel
