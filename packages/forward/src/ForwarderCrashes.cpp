#include "ForwarderImpl.h"

#include <goldcrestkeel/core/StableHash.h>

#include <array>
#include <utility>

namespace goldcrestkeel {

namespace {

/** A crash is attributed to a request this long after it, or at most this many
 *  times as long, once another replica has answered: a host that is cut off
 *  takes all of them for down. */
constexpr Duration kCrashCheckTime{ 1000000 };
constexpr int kMaxCrashCheckTimes = 4;
/** Health checks after crashes at a time; further crashes are not attributed.
 */
constexpr std::size_t kMaxCrashChecks = 32;
/** Broken copies of a request from which no further replica runs it. */
constexpr std::size_t kMaxBrokenCopies = 2;

constexpr std::array<std::string_view, 6> kCrashOutcomes{
  "counted",   "counted_before", "replica_alive",
  "no_answer", "no_contact",     "not_checked"
};

} // namespace

std::string_view
NameOf(CrashOutcome aOutcome)
{
  return kCrashOutcomes.at(static_cast<std::size_t>(aOutcome));
}

StatementStatus
ForwarderImpl::StatusOf(const RunningForward& aForward) const
{
  return m_crashGuard.StatusOf(aForward.m_request.m_fingerprint);
}

bool
ForwarderImpl::MayCrashReplicas(const RunningForward& aForward) const
{
  if (aForward.m_replicaAnswered) {
    return false;
  }
  const std::size_t broken = aForward.m_brokenReplicas.size();
  // An outage of many replicas rarely includes most of those of one request.
  return StatusOf(aForward) != StatementStatus::Allowed ||
         (broken >= kMaxBrokenCopies &&
          2 * broken > aForward.m_subRequests.size());
}

void
ForwarderImpl::StartCrashCheck(TimePoint aNow, RunningForward& aForward)
{
  const std::uint64_t fingerprint = aForward.m_request.m_fingerprint;
  if (fingerprint == 0 || aForward.m_brokenReplicas.empty() ||
      aForward.m_replicaAnswered) {
    return;
  }
  const ReplicaRecord& replica = aForward.m_brokenReplicas.back()->m_record;
  CrashReport report;
  report.m_fingerprint = fingerprint;
  report.m_summary = m_sink.SummaryOf(aForward.m_request.m_id);
  report.m_service = replica.m_service;
  report.m_replica = replica.m_id;
  report.m_startedAt = replica.m_startedAt;
  if (m_crashChecks.size() >= kMaxCrashChecks) {
    LogCrash(report, CrashOutcome::NotChecked, Duration(0), false);
    return;
  }
  const CopyId probe = m_nextCopy++;
  m_crashChecks.emplace(probe, CrashCheck{ std::move(report), aNow });
  AddTimer(aNow + kCrashCheckTime, ForwardTimer::CrashCheck, probe);
  m_sink.ProbeReplica(probe, replica, m_pool.HealthPathOf(replica.m_service));
}

bool
ForwarderImpl::EndCrashProbe(TimePoint aNow,
                             CopyId aProbe,
                             CrashOutcome aOutcome)
{
  const auto found = m_crashChecks.find(aProbe);
  if (found == m_crashChecks.end()) {
    return false;
  }
  if (aOutcome == CrashOutcome::Counted) {
    found->second.m_down = true;
  } else {
    LogCrash(found->second.m_report,
             aOutcome,
             aNow - found->second.m_startedAt,
             false);
    m_crashChecks.erase(found);
  }
  return true;
}

void
ForwarderImpl::OnCrashCheck(TimePoint aNow, CopyId aProbe)
{
  const auto found = m_crashChecks.find(aProbe);
  if (found == m_crashChecks.end()) {
    return;
  }
  const CrashCheck check = found->second;
  const bool reached = m_contact.State() == ContactState::Reached &&
                       m_contact.LastAnswerAt() > check.m_startedAt;
  if (check.m_down && !reached &&
      aNow - check.m_startedAt < kCrashCheckTime * kMaxCrashCheckTimes) {
    AddTimer(aNow + kCrashCheckTime, ForwardTimer::CrashCheck, aProbe);
    return;
  }
  m_crashChecks.erase(found);
  const Duration age = aNow - check.m_startedAt;
  if (!check.m_down) {
    // Without an answer, the network is as likely to be at fault.
    m_sink.AbortCopy(aProbe);
    LogCrash(check.m_report, CrashOutcome::NoAnswer, age, false);
  } else if (reached) {
    RecordCrash(aNow, check.m_report, age, false);
  } else {
    LogCrash(check.m_report, CrashOutcome::NoContact, age, false);
  }
}

void
ForwarderImpl::LogCrash(const CrashReport& aReport,
                        CrashOutcome aOutcome,
                        Duration aAge,
                        bool aReported)
{
  const SuspectReport suspect = m_crashGuard.ReportOf(aReport.m_fingerprint);
  m_sink.LogCrash({ aOutcome,
                    aAge,
                    aReport.m_summary,
                    aReport.m_fingerprint,
                    aReport.m_service,
                    aReport.m_replica,
                    suspect.m_crashes,
                    suspect.m_quarantined,
                    aReported });
}

void
ForwarderImpl::RecordCrash(TimePoint aNow,
                           const CrashReport& aReport,
                           Duration aAge,
                           bool aReported)
{
  ++m_counters.m_crashes;
  const std::uint32_t crashesBefore =
    m_crashGuard.ReportOf(aReport.m_fingerprint).m_crashes;
  const std::uint64_t before = m_crashGuard.QuarantinedCount();
  m_crashGuard.RecordCrash(aNow,
                           aNow,
                           aReport.m_fingerprint,
                           aReport.m_summary,
                           aReport.m_service,
                           StableHash().Add(aReport.m_replica).Value(),
                           static_cast<std::uint64_t>(aReport.m_startedAt));
  AddTimer(aNow + kCrashMemory + Duration(1), ForwardTimer::ForgetCrashes, 0);
  const SuspectReport suspect = m_crashGuard.ReportOf(aReport.m_fingerprint);
  LogCrash(aReport,
           suspect.m_crashes > crashesBefore ? CrashOutcome::Counted
                                             : CrashOutcome::CountedBefore,
           aAge,
           aReported);
  if (m_crashGuard.QuarantinedCount() > before) {
    RefuseQuarantined(aNow);
    m_sink.AnnounceQuarantine(suspect);
  } else if (!aReported && !suspect.m_quarantined) {
    m_sink.ReportCrash(aReport);
  }
}

void
ForwarderImpl::CrashReported(TimePoint aNow, const CrashReport& aReport)
{
  RecordCrash(aNow, aReport, Duration(0), true);
}

void
ForwarderImpl::MergeQuarantines(TimePoint aNow,
                                const std::vector<SuspectReport>& aReports)
{
  const std::uint64_t before = m_crashGuard.Version();
  m_crashGuard.Merge(aNow, aReports);
  if (m_crashGuard.Version() != before) {
    AddTimer(aNow + kCrashMemory + Duration(1), ForwardTimer::ForgetCrashes, 0);
    RefuseQuarantined(aNow);
  }
}

void
ForwarderImpl::RefuseQuarantined(TimePoint aNow)
{
  for (const ForwardId id : RunningIds()) {
    const auto running = m_running.find(id);
    if (running != m_running.end() && !MayHaveRun(*running->second) &&
        StatusOf(*running->second) == StatementStatus::Quarantined) {
      FinishQuarantined(aNow, *running->second);
    }
  }
}

ForwardResult
ForwarderImpl::QuarantineResult()
{
  ++m_counters.m_quarantined;
  ForwardResult result;
  result.m_error = ErrorKind::RequestQuarantined;
  result.m_detail = "backend servers crashed while such requests ran";
  result.m_retryAfter = kCrashMemory;
  return result;
}

void
ForwarderImpl::FinishQuarantined(TimePoint aNow, RunningForward& aForward)
{
  if (MayHaveRun(aForward)) {
    FinishFailed(aNow, aForward, false);
  } else {
    FinishWith(aNow, aForward, QuarantineResult());
  }
}

void
ForwarderImpl::OnRelayQuarantined(TimePoint aNow,
                                  RunningForward& aForward,
                                  const ForwardCopy& aCopy)
{
  OnRelayRefused(aNow, aForward, aCopy, "quarantined");
  SuspectReport report;
  report.m_fingerprint = aForward.m_request.m_fingerprint;
  report.m_quarantined = true;
  report.m_crashes = 1;
  report.m_version = m_crashGuard.ReportOf(report.m_fingerprint).m_version + 1;
  report.m_statement = m_sink.SummaryOf(aForward.m_request.m_id);
  const ForwardId request = aForward.m_request.m_id;
  MergeQuarantines(aNow, { report });
  const auto running = m_running.find(request);
  if (running != m_running.end()) {
    FinishQuarantined(aNow, *running->second);
  }
}

} // namespace goldcrestkeel
