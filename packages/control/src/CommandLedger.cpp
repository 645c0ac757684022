#include "CommandLedger.h"

#include "CommandKey.h"

#include <goldcrestkeel/core/Invariant.h>

#include <algorithm>

namespace goldcrestkeel {

namespace {

/** Wait for a reply after the deadline of the command. A late reply still
 *  determines the outcome for later requests with the same key. */
constexpr Duration kLateReplyWait{ 5000000 };
constexpr Duration kMinBackoff{ 20000 };
constexpr Duration kMaxBackoff{ 320000 };
/** Number of attempts after which the command is refused. */
constexpr std::uint32_t kMaxAttempts = 8;

WallTime
ToWall(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace

void
AppendAnswer(CommandRequestId aRequest,
             const CommandOutcome& aOutcome,
             CommandGuardCounters& aCounters,
             GuardActions& aActions)
{
  aCounters.m_answeredUnknown += aOutcome.m_ran == Ran::Unknown ? 1 : 0;
  aCounters.m_answeredNotRun += aOutcome.m_ran == Ran::No ? 1 : 0;
  aActions.emplace_back(AnswerCommand{ aRequest, false, {}, aOutcome });
}

CommandOutcome
ErrorOutcome(ErrorKind aKind, Ran aRan, std::string aDetail)
{
  return CommandOutcome{ aKind, aRan, {}, std::move(aDetail) };
}

CommandLedger::CommandLedger(LedgerDelegate& aDelegate,
                             CommandGuardCounters& aCounters)
  : m_delegate(aDelegate)
  , m_counters(aCounters)
{
}

bool
CommandLedger::Contains(const std::string& aKey) const
{
  return m_entries.contains(aKey);
}

void
CommandLedger::Admit(TimePoint aNow,
                     WallTime aWall,
                     const SubmitCommand& aEvent,
                     GuardActions& aActions)
{
  const std::string& key = aEvent.m_command.m_key;
  GK_INVARIANT(
    !Contains(key), InvariantId::AtMostOnce, "key admitted twice: " + key);
  Entry& entry = m_entries[key];
  entry.m_command = aEvent.m_command;
  entry.m_time = TimeOfKey(key).value_or(0);
  entry.m_range = RangeOfKey(key);
  entry.m_fingerprint = FingerprintOf(aEvent.m_command);
  entry.m_deadline = aNow + aEvent.m_deadline;
  entry.m_waiters.push_back({ aEvent.m_request, entry.m_deadline });
  m_keysByTime[entry.m_range].emplace(entry.m_time, key);
  ++m_running[entry.m_range];
  ++m_runningTotal;
  ScheduleTimer(entry.m_deadline, key);
  StartAttempt(aNow, aWall, entry, aActions);
}

void
CommandLedger::AnswerOrWait(TimePoint aNow,
                            const SubmitCommand& aEvent,
                            GuardActions& aActions)
{
  Entry& entry = m_entries.at(aEvent.m_command.m_key);
  ++m_counters.m_duplicates;
  if (entry.m_fingerprint != FingerprintOf(aEvent.m_command)) {
    AppendAnswer(aEvent.m_request,
                 ErrorOutcome(ErrorKind::IdempotencyKeyReused,
                              Ran::Unknown,
                              "the key was used for another service or body"),
                 m_counters,
                 aActions);
    return;
  }
  if (entry.m_outcome) {
    AppendAnswer(aEvent.m_request, *entry.m_outcome, m_counters, aActions);
    return;
  }
  const TimePoint deadline = aNow + aEvent.m_deadline;
  entry.m_waiters.push_back({ aEvent.m_request, deadline });
  entry.m_deadline = std::max(entry.m_deadline, deadline);
  ScheduleTimer(deadline, aEvent.m_command.m_key);
}

void
CommandLedger::InsertOutcome(const CommandRecord& aRecord)
{
  const auto [iterator, added] = m_entries.try_emplace(aRecord.m_key);
  if (!added) {
    return;
  }
  Entry& entry = iterator->second;
  entry.m_time = TimeOfKey(aRecord.m_key).value_or(0);
  entry.m_range = RangeOfKey(aRecord.m_key);
  entry.m_fingerprint = aRecord.m_fingerprint;
  entry.m_outcome = aRecord.m_outcome;
  m_keysByTime[entry.m_range].emplace(entry.m_time, aRecord.m_key);
}

CommandLedger::Entry*
CommandLedger::CompleteAttempt(CommandAttemptId aAttempt)
{
  const auto attempt = m_attempts.find(aAttempt);
  if (attempt == m_attempts.end()) {
    return nullptr;
  }
  Entry& entry = m_entries.at(attempt->second);
  m_attempts.erase(attempt);
  entry.m_attempt = 0;
  return &entry;
}

void
CommandLedger::Handle(TimePoint aNow,
                      WallTime aWall,
                      const BackendReply& aEvent,
                      GuardActions& aActions)
{
  Entry* entry = CompleteAttempt(aEvent.m_attempt);
  if (entry == nullptr) {
    return;
  }
  entry->m_mayHaveRun = true;
  const bool echoMatches = aEvent.m_echoAttempt == aEvent.m_attempt &&
                           aEvent.m_echoKey == entry->m_command.m_key;
  Finish(aNow,
         aWall,
         *entry,
         echoMatches
           ? CommandOutcome{ std::nullopt, Ran::Yes, aEvent.m_result, {} }
           : ErrorOutcome(ErrorKind::OutcomeUnknown,
                          Ran::Unknown,
                          "the backend server's reply echoes another command"),
         aActions);
}

void
CommandLedger::Handle(TimePoint aNow,
                      WallTime aWall,
                      const BackendFailure& aEvent,
                      GuardActions& aActions)
{
  Entry* entry = CompleteAttempt(aEvent.m_attempt);
  if (entry == nullptr) {
    return;
  }
  if (!ProvesNotRun(aEvent.m_kind)) {
    entry->m_mayHaveRun = true;
    Finish(aNow,
           aWall,
           *entry,
           ErrorOutcome(
             ErrorKind::OutcomeUnknown,
             Ran::Unknown,
             "the backend server's reply was lost; the command may have run"),
           aActions);
    return;
  }
  entry->m_lastError = aEvent.m_kind == SubFailureKind::DeadlinePassed
                         ? ErrorKind::DeadlineTooShort
                         : ErrorKind::CommandRefused;
  entry->m_exclude.push_back(aEvent.m_replica);
  StartAttempt(aNow, aWall, *entry, aActions);
}

void
CommandLedger::Handle(TimePoint aNow,
                      WallTime aWall,
                      const NoReplicaForCommand& aEvent,
                      GuardActions& aActions)
{
  Entry* entry = CompleteAttempt(aEvent.m_attempt);
  if (entry == nullptr) {
    return;
  }
  // Replicas that refused earlier are eligible again after the backoff.
  if (entry->m_exclude.empty()) {
    entry->m_lastError = ErrorKind::NoReplica;
  }
  entry->m_exclude.clear();
  entry->m_backoff = std::min(
    kMaxBackoff, std::max(kMinBackoff, entry->m_backoff + entry->m_backoff));
  entry->m_retryAt = aNow + entry->m_backoff;
  if (entry->m_retryAt >= entry->m_deadline) {
    FinishNotRun(aNow, aWall, *entry, aActions);
    return;
  }
  ScheduleTimer(entry->m_retryAt, entry->m_command.m_key);
}

void
CommandLedger::StartAttempt(TimePoint aNow,
                            WallTime aWall,
                            Entry& aEntry,
                            GuardActions& aActions)
{
  const auto latestStart =
    m_delegate.LatestStart(aNow, aWall, aEntry.m_command.m_key);
  if (!latestStart || aNow >= aEntry.m_deadline ||
      aEntry.m_attempts >= kMaxAttempts) {
    FinishNotRun(aNow, aWall, aEntry, aActions);
    return;
  }
  GK_INVARIANT(aEntry.m_attempt == 0 && !aEntry.m_mayHaveRun,
               InvariantId::AtMostOnce,
               "second attempt without proof that the first did not run: " +
                 aEntry.m_command.m_key);
  const WallTime timeLeft = ToWall(aEntry.m_deadline - aNow);
  aEntry.m_attempt = m_nextAttempt++;
  ++aEntry.m_attempts;
  ++m_counters.m_attempts;
  m_attempts.emplace(aEntry.m_attempt, aEntry.m_command.m_key);
  aActions.emplace_back(SendCommand{ aEntry.m_attempt,
                                     aEntry.m_command,
                                     aEntry.m_exclude,
                                     std::min(*latestStart, aWall + timeLeft),
                                     aEntry.m_deadline,
                                     aEntry.m_deadline + kLateReplyWait });
}

void
CommandLedger::FinishNotRun(TimePoint aNow,
                            WallTime aWall,
                            Entry& aEntry,
                            GuardActions& aActions)
{
  GK_INVARIANT(aEntry.m_attempt == 0 && !aEntry.m_mayHaveRun,
               InvariantId::NotRunIsAccurate,
               "answered \"not run\" without proof: " + aEntry.m_command.m_key);
  Finish(
    aNow,
    aWall,
    aEntry,
    ErrorOutcome(aEntry.m_attempts == 0 ? ErrorKind::DeadlineTooShort
                                        : aEntry.m_lastError,
                 Ran::No,
                 "no backend server has run the command, and none will; use a "
                 "new key to try again"),
    aActions);
}

void
CommandLedger::Finish(TimePoint aNow,
                      WallTime aWall,
                      Entry& aEntry,
                      const CommandOutcome& aOutcome,
                      GuardActions& aActions)
{
  const std::string key = aEntry.m_command.m_key;
  aEntry.m_outcome = aOutcome;
  --m_running[aEntry.m_range];
  --m_runningTotal;
  for (const Waiter& waiter : aEntry.m_waiters) {
    AppendAnswer(waiter.m_request, aOutcome, m_counters, aActions);
  }
  aEntry.m_waiters.clear();
  aEntry.m_command = Command{};
  if (aEntry.m_eraseOnOutcome) {
    Erase(key);
  }
  m_delegate.OnOutcome(aNow, aWall, key, aOutcome, aActions);
}

void
CommandLedger::HandleTimer(TimePoint aNow,
                           WallTime aWall,
                           Entry& aEntry,
                           GuardActions& aActions)
{
  if (aEntry.m_attempt == 0 && aNow >= aEntry.m_deadline) {
    FinishNotRun(aNow, aWall, aEntry, aActions);
    return;
  }
  std::erase_if(aEntry.m_waiters, [&](const Waiter& aWaiter) {
    if (aWaiter.m_deadline > aNow) {
      return false;
    }
    AppendAnswer(
      aWaiter.m_request,
      ErrorOutcome(ErrorKind::DeadlineExceeded,
                   Ran::Unknown,
                   "the command was still running when the deadline passed"),
      m_counters,
      aActions);
    return true;
  });
  if (aEntry.m_attempt == 0 && aNow >= aEntry.m_retryAt) {
    StartAttempt(aNow, aWall, aEntry, aActions);
  }
}

void
CommandLedger::FireTimers(TimePoint aNow,
                          WallTime aWall,
                          GuardActions& aActions)
{
  while (!m_timers.empty() && m_timers.begin()->first <= aNow) {
    const std::string key = m_timers.begin()->second;
    m_timers.erase(m_timers.begin());
    const auto entry = m_entries.find(key);
    if (entry != m_entries.end() && !entry->second.m_outcome) {
      HandleTimer(aNow, aWall, entry->second, aActions);
    }
  }
}

std::optional<TimePoint>
CommandLedger::NextTimer() const
{
  if (m_timers.empty()) {
    return std::nullopt;
  }
  return m_timers.begin()->first;
}

std::size_t
CommandLedger::Running(std::uint32_t aRange) const
{
  const auto count = m_running.find(aRange);
  return count == m_running.end() ? 0 : count->second;
}

std::size_t
CommandLedger::Running() const
{
  return m_runningTotal;
}

std::vector<CommandRecord>
CommandLedger::Records(std::uint32_t aRange) const
{
  std::vector<CommandRecord> records;
  const auto keys = m_keysByTime.find(aRange);
  if (keys == m_keysByTime.end()) {
    return records;
  }
  for (const auto& [time, key] : keys->second) {
    const Entry& entry = m_entries.at(key);
    if (entry.m_outcome) {
      records.push_back({ key, entry.m_fingerprint, *entry.m_outcome });
    }
  }
  return records;
}

void
CommandLedger::EraseRange(std::uint32_t aRange)
{
  EraseUntil(aRange, std::numeric_limits<WallTime>::max());
}

void
CommandLedger::EraseUntil(std::uint32_t aRange, WallTime aLowWatermark)
{
  const auto range = m_keysByTime.find(aRange);
  if (range == m_keysByTime.end()) {
    return;
  }
  std::vector<std::string> finished;
  for (const auto& [time, key] : range->second) {
    if (time > aLowWatermark) {
      break;
    }
    Entry& entry = m_entries.at(key);
    if (entry.m_outcome) {
      finished.push_back(key);
    } else {
      entry.m_eraseOnOutcome = true;
    }
  }
  for (const std::string& key : finished) {
    Erase(key);
  }
}

void
CommandLedger::ScheduleTimer(TimePoint aAt, const std::string& aKey)
{
  m_timers.emplace(aAt, aKey);
}

void
CommandLedger::Erase(const std::string& aKey)
{
  const auto entry = m_entries.find(aKey);
  m_keysByTime[entry->second.m_range].erase({ entry->second.m_time, aKey });
  m_entries.erase(entry);
}

} // namespace goldcrestkeel
