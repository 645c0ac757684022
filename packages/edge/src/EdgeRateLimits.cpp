#include "EdgeServerImpl.h"
#include "ForwardReplies.h"

#include <utility>

namespace goldcrestkeel {

namespace {

constexpr Duration kMillisecond{ 1000 };

} // namespace

void
EdgeServer::Impl::OnTokenMessage(CallerSession& aSession,
                                 std::string_view aBody)
{
  CallerReply reply;
  try {
    reply.m_body = m_rateLimits.OnMessage(aBody);
  } catch (const std::exception& error) {
    m_log.Write(LogPriority::Request,
                "rate_limit_message_unusable",
                { { "reason", std::string_view(error.what()) } });
    reply = ToErrorReply(ErrorKind::BadRequest, error.what(), std::nullopt);
  }
  aSession.Reply(std::move(reply));
}

void
EdgeServer::Impl::StartRequest(const ForwardRequest& aRequest)
{
  m_forwarder->Start(m_loop.Now(), aRequest);
  ArmForwardTimer();
}

void
EdgeServer::Impl::AdmitRequest(const ForwardRequest& aRequest)
{
  OpenRequest& open = m_openRequests.at(aRequest.m_id);
  open.m_unadmitted = aRequest;
  const AdmissionResult result = m_rateLimits.Admit(
    open.m_identity.m_tenant, aRequest.m_id, aRequest.m_deadline);
  if (result.m_admission != Admission::Waiting) {
    OnAdmission(aRequest.m_id, result);
  }
}

void
EdgeServer::Impl::OnAdmission(ForwardId aRequest,
                              const AdmissionResult& aResult)
{
  const auto found = m_openRequests.find(aRequest);
  if (found == m_openRequests.end()) {
    return;
  }
  LogAdmission(aRequest, aResult);
  const ForwardRequest request = std::move(*found->second.m_unadmitted);
  found->second.m_unadmitted.reset();
  if (aResult.m_admission == Admission::Admitted) {
    StartRequest(request);
    return;
  }
  ForwardResult refusal;
  refusal.m_error = ErrorKind::RateLimited;
  refusal.m_detail = "the rate limit of the tenant is exceeded";
  // Retry-After has whole milliseconds, and must not be too early.
  refusal.m_retryAfter = aResult.m_retryAfter + kMillisecond;
  Finish(aRequest, std::move(refusal));
}

void
EdgeServer::Impl::LogAdmission(ForwardId aRequest,
                               const AdmissionResult& aResult)
{
  // Requests admitted by a token that was there have only their answer line.
  if (aResult.m_basis == AdmissionBasis::Token ||
      aResult.m_basis == AdmissionBasis::Ahead ||
      aResult.m_basis == AdmissionBasis::NoLimit) {
    return;
  }
  const OpenRequest& open = m_openRequests.at(aRequest);
  m_log.Write(LogPriority::Request,
              "rate_limit",
              { { "request", open.m_requestId.View() },
                { "tenant", std::string_view(open.m_identity.m_tenant) },
                { "outcome", NameOf(aResult.m_admission) },
                { "reason", NameOf(aResult.m_basis) },
                { "retry_after_ms", aResult.m_retryAfter.count() / 1000.0 },
                { "age_ms", aResult.m_age.count() / 1000.0 } });
}

void
EdgeServer::Impl::RefuseUnadmitted()
{
  std::vector<ForwardId> unadmitted;
  for (const auto& [id, open] : m_openRequests) {
    if (open.m_unadmitted) {
      unadmitted.push_back(id);
    }
  }
  for (const ForwardId id : unadmitted) {
    m_rateLimits.Cancel(m_openRequests.at(id).m_identity.m_tenant, id);
    ForwardResult refusal;
    refusal.m_error = ErrorKind::ShuttingDown;
    refusal.m_detail = "the host is stopping";
    refusal.m_retryAfter = kStoppingRetryAfter;
    Finish(id, std::move(refusal));
  }
}

} // namespace goldcrestkeel
