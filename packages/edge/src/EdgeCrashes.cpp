#include "EdgeServerImpl.h"
#include "ForwardReplies.h"

#include <goldcrestkeel/edge/QuarantineRecord.h>

#include <utility>

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
  m_crashReporter.Report(aReport.m_fingerprint, { { aReport }, {} });
}

void
EdgeServer::Impl::AnnounceSuspect(const SuspectReport& aReport)
{
  m_crashReporter.Announce({ {}, {}, { aReport } });
}

void
EdgeServer::Impl::ReportAnswered(std::uint64_t aFingerprint)
{
  m_crashReporter.Report(aFingerprint, { {}, {}, {}, { aFingerprint } });
}

void
EdgeServer::Impl::AnnounceQuarantine(const SuspectReport& aReport)
{
  m_crashReporter.Announce({ {}, { aReport } });
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
  const CrashMessage reply = Apply(message);
  CallerReply answer;
  if (!reply.IsEmpty()) {
    answer.m_body = EncodeCrashMessage(reply);
  }
  aSession.Reply(std::move(answer));
}

CrashMessage
EdgeServer::Impl::Apply(const CrashMessage& aMessage)
{
  const TimePoint now = m_loop.Now();
  CrashMessage reply;
  for (const CrashReport& crash : aMessage.m_crashes) {
    m_forwarder->CrashReported(now, crash);
    const SuspectReport suspect = m_forwarder->SuspectOf(crash.m_fingerprint);
    if (suspect.m_quarantined) {
      reply.m_quarantined.push_back(suspect);
    }
  }
  for (const SuspectReport& suspect : aMessage.m_suspects) {
    if (m_forwarder->SuspectReported(now, suspect)) {
      reply.m_answered.push_back(suspect.m_fingerprint);
    }
  }
  for (const std::uint64_t fingerprint : aMessage.m_answered) {
    m_forwarder->AnswerReported(fingerprint);
  }
  OnQuarantines(aMessage.m_quarantined);
  ArmForwardTimer();
  return reply;
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
