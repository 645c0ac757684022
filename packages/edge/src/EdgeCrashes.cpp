#include "EdgeServerImpl.h"
#include "ForwardReplies.h"

#include <goldcrestkeel/edge/QuarantineRecord.h>

namespace goldcrestkeel {

std::string
EdgeServer::Impl::SummaryOf(ForwardId aRequest) const
{
  const auto open = m_openRequests.find(aRequest);
  return open == m_openRequests.end()
           ? std::string()
           : goldcrestkeel::SummaryOf(open->second.m_request);
}

void
EdgeServer::Impl::LogCrash(const CrashDecision& aDecision)
{
  const std::string fingerprint = FormatFingerprint(aDecision.m_fingerprint);
  m_log.Write(LogPriority::Process,
              "crash_checked",
              { { "outcome", NameOf(aDecision.m_outcome) },
                { "age_ms", aDecision.m_age.count() / 1000.0 },
                { "target", aDecision.m_summary },
                { "fingerprint", std::string_view(fingerprint) },
                { "service", aDecision.m_service },
                { "replica", aDecision.m_replica },
                { "crashes", static_cast<std::int64_t>(aDecision.m_crashes) },
                { "quarantined", aDecision.m_quarantined },
                { "by", aDecision.m_reported ? "other host" : "this host" } });
}

void
EdgeServer::Impl::ReportCrash(const CrashReport& aReport)
{
  m_crashReporter.Report(aReport);
}

void
EdgeServer::Impl::AnnounceQuarantine(const SuspectReport& aReport)
{
  m_crashReporter.Announce(aReport);
  m_source.KeepQuarantine(aReport);
}

void
EdgeServer::Impl::OnCrashMessage(CallerSession& aSession,
                                 std::string_view aBody)
{
  CrashMessage message;
  try {
    message = DecodeCrashMessage(aBody);
  } catch (const std::exception& error) {
    m_log.Write(LogPriority::Process,
                "crash_message_unusable",
                { { "reason", std::string_view(error.what()) } });
    aSession.Reply(
      ToErrorReply(ErrorKind::BadRequest, error.what(), std::nullopt));
    return;
  }
  const TimePoint now = m_loop.Now();
  for (const CrashReport& crash : message.m_crashes) {
    m_forwarder->CrashReported(now, crash);
  }
  OnQuarantines(message.m_quarantined);
  aSession.Reply(CallerReply());
  ArmForwardTimer();
}

void
EdgeServer::Impl::OnQuarantines(const std::vector<SuspectReport>& aReports)
{
  if (!aReports.empty()) {
    m_forwarder->MergeQuarantines(m_loop.Now(), aReports);
    ArmForwardTimer();
  }
}

} // namespace goldcrestkeel
