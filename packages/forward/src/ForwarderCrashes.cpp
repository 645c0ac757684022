#include "ForwarderImpl.h"

#include <goldcrestkeel/core/StableHash.h>

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace goldcrestkeel {

namespace {

/** Interval at which replicas that may have crashed are judged. */
constexpr Duration kCrashCheckInterval{ 100000 };
/** A copy that is ended earlier says nothing of its replica. */
constexpr Duration kMinSilence{ 300000 };
/** Broken copies of a request from which no further replica runs it. */
constexpr std::size_t kMaxBrokenCopies = 2;
/** Number of services whose replicas seem to crash at once that counts as two
 *  crashes: an outage leaves some shards that answer. */
constexpr std::size_t kServicesOfTwoCrashes = 3;
/** An answer up to this time ago shows that such requests are sound: all
 *  replicas of a service can be dead for some seconds. */
constexpr Duration kSoundTime{ 10000000 };

} // namespace

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
  const std::size_t broken = aForward.m_brokenCopies.size();
  // An outage of many replicas rarely includes most of those of one request.
  return StatusOf(aForward) != StatementStatus::Allowed ||
         (broken >= kMaxBrokenCopies &&
          2 * broken > aForward.m_subRequests.size());
}

bool
ForwarderImpl::IsSilent(TimePoint aNow, const ForwardCopy& aCopy)
{
  if (!aCopy.m_sentAt) {
    return false;
  }
  const TimePoint lastAnswerAt = aCopy.m_replica->m_lastAnswerAt;
  return aNow - std::max(*aCopy.m_sentAt, lastAnswerAt) >= kMinSilence &&
         lastAnswerAt <= *aCopy.m_sentAt + kAnswersBeforeCrash;
}

std::uint32_t
ForwarderImpl::SuspectedServices(TimePoint aNow,
                                 const RunningForward& aForward) const
{
  std::set<std::string_view> services;
  for (const BrokenCopy& copy : aForward.m_brokenCopies) {
    services.insert(copy.m_replica->m_record.m_service);
  }
  for (const SubRequest& subRequest : aForward.m_subRequests) {
    for (const CopyId id : subRequest.m_copies) {
      if (IsSilent(aNow, m_copies.at(id))) {
        services.insert(subRequest.m_group->m_name);
      }
    }
  }
  return std::max<std::uint32_t>(1, services.size());
}

void
ForwarderImpl::SuspectCrash(TimePoint aNow,
                            const RunningForward& aForward,
                            const BrokenCopy& aCopy,
                            CrashSign aSign)
{
  const std::uint64_t fingerprint = aForward.m_request.m_fingerprint;
  if (fingerprint == 0 || aForward.m_replicaAnswered ||
      m_answered.Contains(fingerprint, aCopy.m_sentAt)) {
    return;
  }
  const ReplicaRecord& replica = aCopy.m_replica->m_record;
  CrashSuspicion suspicion;
  suspicion.m_report.m_fingerprint = fingerprint;
  suspicion.m_report.m_summary = m_sink.SummaryOf(aForward.m_request.m_id);
  suspicion.m_report.m_service = replica.m_service;
  suspicion.m_report.m_replica = replica.m_id;
  suspicion.m_report.m_startedAt = replica.m_startedAt;
  suspicion.m_report.m_services = SuspectedServices(aNow, aForward);
  suspicion.m_crashedAt = aCopy.m_brokeAt;
  suspicion.m_sentAt = aCopy.m_sentAt;
  suspicion.m_servedAt = aCopy.m_servedAt;
  suspicion.m_sign = aSign;
  if (m_crashChecks.IsEmpty()) {
    AddTimer(aNow + kCrashCheckInterval, ForwardTimer::CrashCheck, 0);
  }
  const CopyId probe = m_nextCopy++;
  if (m_crashChecks.Add(aNow, aCopy.m_replica, std::move(suspicion), probe)) {
    m_sink.ProbeReplica(probe, replica, m_pool.HealthPathOf(replica.m_service));
  }
}

void
ForwarderImpl::SuspectBroken(TimePoint aNow, const RunningForward& aForward)
{
  const auto& copies = aForward.m_brokenCopies;
  const auto proven =
    std::find_if(copies.rbegin(), copies.rend(), [](const BrokenCopy& aCopy) {
      return aCopy.m_connection == ConnectionState::Proven;
    });
  if (proven != copies.rend()) {
    SuspectCrash(aNow, aForward, *proven, CrashSign::Broken);
  } else if (!copies.empty()) {
    SuspectCrash(aNow, aForward, copies.back(), CrashSign::BrokenNew);
  }
}

void
ForwarderImpl::SuspectSilent(TimePoint aNow,
                             const RunningForward& aForward,
                             const ForwardCopy& aCopy)
{
  if (IsSilent(aNow, aCopy)) {
    SuspectCrash(aNow,
                 aForward,
                 { aCopy.m_replica,
                   aCopy.m_connection,
                   *aCopy.m_sentAt,
                   *aCopy.m_sentAt,
                   aCopy.m_servedAt },
                 CrashSign::Silent);
  }
}

void
ForwarderImpl::OnSilentTimer(TimePoint aNow, CopyId aCopy)
{
  const auto copy = m_copies.find(aCopy);
  if (copy == m_copies.end()) {
    return;
  }
  const auto running = m_running.find(copy->second.m_request);
  if (running != m_running.end()) {
    SuspectSilent(aNow, *running->second, copy->second);
  }
}

void
ForwarderImpl::SuspectSilentCopies(TimePoint aNow,
                                   const RunningForward& aForward,
                                   const SubRequest& aSubRequest)
{
  for (const CopyId id : aSubRequest.m_copies) {
    SuspectSilent(aNow, aForward, m_copies.at(id));
  }
}

bool
ForwarderImpl::HasAnswerSince(TimePoint aTime) const
{
  return m_contact.State() == ContactState::Reached &&
         m_contact.LastAnswerAt() > aTime;
}

bool
ForwarderImpl::HasAnswerNear(const PooledReplica& aReplica,
                             TimePoint aTime) const
{
  const ReplicaRecord& replica = aReplica.m_record;
  return m_pool.HasOtherAnswer(
    replica, aTime, [&](const ReplicaRecord& aOther) {
      return aOther.m_dataCentre == replica.m_dataCentre;
    });
}

bool
ForwarderImpl::HasAnswerOfService(const PooledReplica& aReplica,
                                  TimePoint aTime) const
{
  const ReplicaRecord& replica = aReplica.m_record;
  return m_pool.HasOtherAnswer(
    replica, aTime, [&](const ReplicaRecord& aOther) {
      return aOther.m_service == replica.m_service;
    });
}

void
ForwarderImpl::JudgeCrashes(TimePoint aNow)
{
  for (const CrashVerdict& verdict : m_crashChecks.Decide(aNow, *this)) {
    CrashReport report = verdict.m_suspicion.m_report;
    report.m_sinceCrash = verdict.m_age;
    report.m_sinceSent = aNow - verdict.m_suspicion.m_sentAt;
    if (verdict.m_suspicion.m_servedAt > TimePoint::min()) {
      report.m_sinceServed = aNow - verdict.m_suspicion.m_servedAt;
    }
    if (verdict.m_outcome == CrashOutcome::Counted) {
      RecordCrash(aNow, report, false);
    } else if (verdict.m_suspicion.m_sign != CrashSign::Silent) {
      // Replicas are often silent for a while.
      LogCrash(report, verdict.m_outcome, false);
    }
  }
  for (const CopyId probe : m_crashChecks.TakeExpiredProbes()) {
    m_sink.AbortCopy(probe);
  }
  if (!m_crashChecks.IsEmpty()) {
    AddTimer(aNow + kCrashCheckInterval, ForwardTimer::CrashCheck, 0);
  }
}

void
ForwarderImpl::LogCrash(const CrashReport& aReport,
                        CrashOutcome aOutcome,
                        bool aReported)
{
  const SuspectReport suspect = m_crashGuard.ReportOf(aReport.m_fingerprint);
  m_sink.LogCrash({ aOutcome,
                    aReport.m_sinceCrash,
                    aReport.m_summary,
                    aReport.m_fingerprint,
                    aReport.m_service,
                    aReport.m_replica,
                    suspect.m_crashes,
                    suspect.m_quarantined,
                    aReported });
}

void
ForwarderImpl::ForgetCrashesLater(TimePoint aNow)
{
  if (!std::exchange(m_forgetsCrashes, true)) {
    AddTimer(aNow + kCrashMemory + Duration(1), ForwardTimer::ForgetCrashes, 0);
  }
}

void
ForwarderImpl::ForgetCrashes(TimePoint aNow)
{
  m_forgetsCrashes = false;
  m_crashGuard.ForgetBefore(aNow - kCrashMemory);
  if (const auto oldest = m_crashGuard.OldestCrash()) {
    m_forgetsCrashes = true;
    AddTimer(
      *oldest + kCrashMemory + Duration(1), ForwardTimer::ForgetCrashes, 0);
  }
}

void
ForwarderImpl::RecordCrash(TimePoint aNow,
                           const CrashReport& aReport,
                           bool aReported)
{
  const TimePoint sentAt = aNow - aReport.m_sinceSent;
  if (m_answered.Contains(aReport.m_fingerprint, sentAt)) {
    LogCrash(aReport, CrashOutcome::RequestAnswered, aReported);
    return;
  }
  ++m_counters.m_crashes;
  const std::uint32_t crashesBefore =
    m_crashGuard.ReportOf(aReport.m_fingerprint).m_crashes;
  const std::uint32_t crashes =
    aReport.m_services >= kServicesOfTwoCrashes ? 2 : 1;
  if (crashesBefore + crashes >= kCrashesBeforeQuarantine &&
      m_answered.Contains(aReport.m_fingerprint, aNow - kSoundTime)) {
    LogCrash(aReport, CrashOutcome::RequestAnswered, aReported);
    return;
  }
  const std::uint64_t before = m_crashGuard.QuarantinedCount();
  m_crashGuard.RecordCrash(aNow - aReport.m_sinceCrash,
                           sentAt,
                           aReport.m_fingerprint,
                           aReport.m_summary,
                           aReport.m_service,
                           StableHash().Add(aReport.m_replica).Value(),
                           static_cast<std::uint64_t>(aReport.m_startedAt),
                           aReport.m_sinceServed ? aNow - *aReport.m_sinceServed
                                                 : TimePoint::min(),
                           crashes);
  ForgetCrashesLater(aNow);
  const SuspectReport suspect = m_crashGuard.ReportOf(aReport.m_fingerprint);
  LogCrash(aReport,
           suspect.m_crashes > crashesBefore ? CrashOutcome::Counted
                                             : CrashOutcome::CountedBefore,
           aReported);
  if (m_crashGuard.QuarantinedCount() > before) {
    RefuseQuarantined(aNow);
    m_sink.AnnounceQuarantine(suspect);
    return;
  }
  if (suspect.m_crashes > crashesBefore && !suspect.m_quarantined &&
      suspect.m_crashes + 1 == kCrashesBeforeQuarantine) {
    m_sink.AnnounceSuspect(suspect);
  }
  if (!aReported) {
    m_sink.ReportCrash(aReport);
  }
}

void
ForwarderImpl::CrashReported(TimePoint aNow, const CrashReport& aReport)
{
  RecordCrash(aNow, aReport, true);
}

bool
ForwarderImpl::SuspectReported(TimePoint aNow, const SuspectReport& aReport)
{
  if (m_answered.Contains(aReport.m_fingerprint, aNow - kSoundTime)) {
    return true;
  }
  m_crashGuard.AddSuspect(aNow, aReport.m_fingerprint, aReport.m_statement);
  ForgetCrashesLater(aNow);
  return false;
}

void
ForwarderImpl::AnswerReported(std::uint64_t aFingerprint)
{
  m_crashGuard.RecordCompletion(aFingerprint, {}, 1, false);
}

void
ForwarderImpl::RecordAnswered(TimePoint aNow, std::uint64_t aFingerprint)
{
  m_answered.Add(aFingerprint, aNow);
  m_crashChecks.RequestAnswered(aFingerprint);
  if (m_crashGuard.StatusOf(aFingerprint) == StatementStatus::Suspect) {
    m_crashGuard.RecordCompletion(aFingerprint, {}, 1, false);
    m_sink.ReportAnswered(aFingerprint);
  }
}

void
ForwarderImpl::MergeQuarantines(TimePoint aNow,
                                const std::vector<SuspectReport>& aReports)
{
  const std::uint64_t before = m_crashGuard.Version();
  m_crashGuard.Merge(aNow, aReports);
  if (m_crashGuard.Version() != before) {
    ForgetCrashesLater(aNow);
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
