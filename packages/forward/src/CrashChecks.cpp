#include "CrashChecks.h"

#include <algorithm>
#include <array>
#include <utility>

namespace goldcrestkeel {

namespace {

/** A replica that is down has crashed if none has answered the request for this
 *  time: the answer of another copy may be on its way. */
constexpr Duration kDownTime{ 300000 };
/** The same for a replica that answers nothing; replicas pause for 250 ms. */
constexpr Duration kNoAnswerTime{ 1000000 };
/** A suspicion ends after this time: without an answer of any other replica,
 *  this host is as likely to be cut off. */
constexpr Duration kMaxCheckTime{ 4000000 };
/** The same for a replica that answers nothing. Unless it is certain that it
 *  lived, its service must have answered within this time before the crash: if
 *  all its replicas are dead, the requests that are still sent to them did not
 *  end them. */
constexpr Duration kMaxNoAnswerTime{ 2000000 };
/** Answers that were on their way when a network was cut arrive within this
 *  time, and show nothing. */
constexpr Duration kCrossingCutTime{ 100000 };
/** Answers that were on their way when the replica crashed arrive within this
 *  time. */
constexpr Duration kCrossingTime{ 20000 };
/** Replicas that are checked at a time, and requests of each. */
constexpr std::size_t kMaxChecks = 64;
constexpr std::size_t kMaxSuspicions = 64;

constexpr std::array<std::string_view, 7> kCrashOutcomes{
  "counted",    "counted_before", "replica_alive",   "no_answer",
  "no_contact", "not_checked",    "request_answered"
};

} // namespace

std::string_view
NameOf(CrashOutcome aOutcome)
{
  return kCrashOutcomes.at(static_cast<std::size_t>(aOutcome));
}

bool
CrashChecks::Add(TimePoint aNow,
                 const std::shared_ptr<const PooledReplica>& aReplica,
                 CrashSuspicion aSuspicion,
                 CopyId aProbe)
{
  const bool known = m_checks.contains(aReplica.get());
  if (!known && m_checks.size() >= kMaxChecks) {
    m_ended.push_back({ std::move(aSuspicion), CrashOutcome::NotChecked });
    return false;
  }
  Check& check = m_checks[aReplica.get()];
  if (!known) {
    check.m_replica = aReplica;
    check.m_startedAt = aNow;
  }
  const auto same = [&](const CrashSuspicion& aOther) {
    return aOther.m_report.m_fingerprint == aSuspicion.m_report.m_fingerprint;
  };
  if (std::any_of(check.m_suspicions.begin(), check.m_suspicions.end(), same)) {
    return false;
  }
  if (check.m_suspicions.size() >= kMaxSuspicions) {
    m_ended.push_back({ std::move(aSuspicion), CrashOutcome::NotChecked });
    return false;
  }
  // A slow replica must not get a health check in addition.
  const bool probe = aSuspicion.m_sign != CrashSign::Silent && !check.m_probe &&
                     !check.m_outcome;
  check.m_suspicions.push_back(std::move(aSuspicion));
  if (probe) {
    check.m_probe = aProbe;
  }
  return probe;
}

bool
CrashChecks::EndProbe(CopyId aProbe,
                      ProbeOutcome aOutcome,
                      std::string_view aInstance)
{
  const auto found =
    std::find_if(m_checks.begin(), m_checks.end(), [&](const auto& aItem) {
      return aItem.second.m_probe == aProbe;
    });
  if (found == m_checks.end()) {
    return false;
  }
  Check& check = found->second;
  const bool another =
    !aInstance.empty() && aInstance != check.m_replica->m_record.m_id;
  check.m_probe.reset();
  check.m_outcome = another ? ProbeOutcome::Down : aOutcome;
  return true;
}

void
CrashChecks::RequestAnswered(std::uint64_t aFingerprint)
{
  for (auto& [id, check] : m_checks) {
    std::erase_if(check.m_suspicions, [&](const CrashSuspicion& aSuspicion) {
      if (aSuspicion.m_report.m_fingerprint != aFingerprint) {
        return false;
      }
      m_ended.push_back({ aSuspicion, CrashOutcome::RequestAnswered });
      return true;
    });
  }
}

std::optional<CrashOutcome>
CrashChecks::Judge(TimePoint aNow,
                   const Check& aCheck,
                   const CrashSuspicion& aSuspicion,
                   const ReplicaActivity& aActivity)
{
  const bool silent = aSuspicion.m_sign == CrashSign::Silent;
  const TimePoint lastAnswerAt = aCheck.m_replica->m_lastAnswerAt;
  const TimePoint since = silent
                            ? std::max(aSuspicion.m_crashedAt, lastAnswerAt)
                            : aSuspicion.m_crashedAt;
  const Duration age = aNow - since;
  if (aCheck.m_outcome == ProbeOutcome::Down || aCheck.m_replica->m_replaced) {
    if (age >= kDownTime && aActivity.HasAnswerSince(since)) {
      return CrashOutcome::Counted;
    }
    return age >= kMaxCheckTime ? std::optional(CrashOutcome::NoContact)
                                : std::nullopt;
  }
  const bool answered =
    lastAnswerAt >
    aSuspicion.m_crashedAt + (silent ? kAnswersBeforeCrash : kCrossingTime);
  if (aCheck.m_outcome == ProbeOutcome::Answered || answered) {
    return CrashOutcome::ReplicaAlive;
  }
  bool othersAnswer = false;
  if (aSuspicion.m_sign == CrashSign::Broken) {
    othersAnswer = aActivity.LastAnswerAt() > since + kCrossingCutTime;
  } else {
    // Only part of the network may be cut, or the replica was dead before.
    othersAnswer =
      aSuspicion.m_servedAt > aSuspicion.m_crashedAt - kMaxNoAnswerTime &&
      aActivity.HasAnswerNear(*aCheck.m_replica, since + kCrossingCutTime) &&
      aActivity.HasAnswerOfService(*aCheck.m_replica,
                                   since + kAnswersBeforeCrash);
  }
  if (age >= kNoAnswerTime && othersAnswer) {
    return CrashOutcome::Counted;
  }
  return age >= kMaxNoAnswerTime ? std::optional(CrashOutcome::NoAnswer)
                                 : std::nullopt;
}

std::vector<CrashVerdict>
CrashChecks::Decide(TimePoint aNow, const ReplicaActivity& aActivity)
{
  std::vector<CrashVerdict> verdicts = std::exchange(m_ended, {});
  for (auto& item : m_checks) {
    Check& check = item.second;
    std::erase_if(check.m_suspicions, [&](const CrashSuspicion& aSuspicion) {
      const auto outcome = Judge(aNow, check, aSuspicion, aActivity);
      if (outcome) {
        verdicts.push_back(
          { aSuspicion, *outcome, aNow - aSuspicion.m_crashedAt });
      }
      return outcome.has_value();
    });
  }
  for (auto& [id, check] : m_checks) {
    if (check.m_probe && (check.m_suspicions.empty() ||
                          aNow - check.m_startedAt >= kNoAnswerTime)) {
      m_expiredProbes.push_back(*check.m_probe);
      check.m_probe.reset();
      check.m_outcome = ProbeOutcome::NoAnswer;
    }
  }
  std::erase_if(m_checks, [](const auto& aItem) {
    return aItem.second.m_suspicions.empty();
  });
  return verdicts;
}

std::vector<CopyId>
CrashChecks::TakeExpiredProbes()
{
  return std::exchange(m_expiredProbes, {});
}

} // namespace goldcrestkeel
