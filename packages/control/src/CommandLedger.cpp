#include "CommandLedger.h"

#include "CommandKey.h"

#include <goldcrestkeel/core/Invariant.h>

#include <algorithm>

namespace goldcrestkeel {

namespace {

/** Time for which a reply is awaited after the deadline: it can still tell a
 *  later request with the same key what happened. */
constexpr Duration kLateReply{ 5000000 };
constexpr Duration kFirstBackoff{ 20000 };
constexpr Duration kMaxBackoff{ 320000 };
/** Attempts on replicas that refuse, after which the command is refused. */
constexpr std::uint32_t kMaxAttempts = 8;

WallTime
ToWall(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace

void
Answer(CommandRequestId aRequest,
       const CommandOutcome& aOutcome,
       CommandGuardCounters& aCounters,
       GuardActions& aActions)
{
  aCounters.m_answeredUnknown += aOutcome.m_ran == Ran::Unknown ? 1 : 0;
  aCounters.m_answeredNotRun += aOutcome.m_ran == Ran::No ? 1 : 0;
  aActions.emplace_back(AnswerCommand{ aRequest, false, {}, aOutcome });
}

CommandOutcome
Refusal(ErrorKind aKind, Ran aRan, std::string aDetail)
{
  return CommandOutcome{ aKind, aRan, {}, std::move(aDetail) };
}

CommandLedger::CommandLedger(LedgerOwner& aOwner,
                             CommandGuardCounters& aCounters)
  : m_owner(aOwner)
  , m_counters(aCounters)
{
}

bool
CommandLedger::Knows(const std::string& aKey) const
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
  GK_INVARIANT(!Knows(key), InvariantId::AtMostOnce, "admitted twice: " + key);
  Entry& entry = m_entries[key];
  entry.m_command = aEvent.m_command;
  entry.m_time = TimeOfKey(key).value_or(0);
  entry.m_range = RangeOfKey(key);
  entry.m_fingerprint = FingerprintOf(aEvent.m_command);
  entry.m_deadline = aNow + aEvent.m_deadline;
  entry.m_waiters.push_back({ aEvent.m_request, entry.m_deadline });
  m_byTime[entry.m_range].emplace(entry.m_time, key);
  ++m_running[entry.m_range];
  ++m_allRunning;
  Wake(entry.m_deadline, key);
  Try(aNow, aWall, entry, aActions);
}

void
CommandLedger::Join(TimePoint aNow,
                    const SubmitCommand& aEvent,
                    GuardActions& aActions)
{
  Entry& entry = m_entries.at(aEvent.m_command.m_key);
  ++m_counters.m_duplicates;
  if (entry.m_fingerprint != FingerprintOf(aEvent.m_command)) {
    Answer(aEvent.m_request,
           Refusal(ErrorKind::IdempotencyKeyReused,
                   Ran::Unknown,
                   "the key was used for another service or body"),
           m_counters,
           aActions);
    return;
  }
  if (entry.m_outcome) {
    Answer(aEvent.m_request, *entry.m_outcome, m_counters, aActions);
    return;
  }
  const TimePoint deadline = aNow + aEvent.m_deadline;
  entry.m_waiters.push_back({ aEvent.m_request, deadline });
  entry.m_deadline = std::max(entry.m_deadline, deadline);
  Wake(deadline, aEvent.m_command.m_key);
}

void
CommandLedger::Remember(const CommandRecord& aRecord)
{
  const auto [place, added] = m_entries.try_emplace(aRecord.m_key);
  if (!added) {
    return;
  }
  Entry& entry = place->second;
  entry.m_time = TimeOfKey(aRecord.m_key).value_or(0);
  entry.m_range = RangeOfKey(aRecord.m_key);
  entry.m_fingerprint = aRecord.m_fingerprint;
  entry.m_outcome = aRecord.m_outcome;
  m_byTime[entry.m_range].emplace(entry.m_time, aRecord.m_key);
}

CommandLedger::Entry*
CommandLedger::EntryOf(CommandAttemptId aAttempt)
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
  Entry* entry = EntryOf(aEvent.m_attempt);
  if (entry == nullptr) {
    return;
  }
  entry->m_mayHaveRun = true;
  const bool own = aEvent.m_echoAttempt == aEvent.m_attempt &&
                   aEvent.m_echoKey == entry->m_command.m_key;
  Finish(aNow,
         aWall,
         *entry,
         own ? CommandOutcome{ std::nullopt, Ran::Yes, aEvent.m_result, {} }
             : Refusal(ErrorKind::OutcomeUnknown,
                       Ran::Unknown,
                       "the reply belongs to another command"),
         aActions);
}

void
CommandLedger::Handle(TimePoint aNow,
                      WallTime aWall,
                      const BackendFailure& aEvent,
                      GuardActions& aActions)
{
  Entry* entry = EntryOf(aEvent.m_attempt);
  if (entry == nullptr) {
    return;
  }
  if (!ProvesNotRun(aEvent.m_kind)) {
    entry->m_mayHaveRun = true;
    Finish(aNow,
           aWall,
           *entry,
           Refusal(ErrorKind::OutcomeUnknown,
                   Ran::Unknown,
                   "the backend server's reply was lost"),
           aActions);
    return;
  }
  entry->m_lastError = aEvent.m_kind == SubFailureKind::DeadlinePassed
                         ? ErrorKind::DeadlineTooShort
                         : ErrorKind::CommandRefused;
  entry->m_exclude.push_back(aEvent.m_replica);
  Try(aNow, aWall, *entry, aActions);
}

void
CommandLedger::Handle(TimePoint aNow,
                      WallTime aWall,
                      const NoReplicaForCommand& aEvent,
                      GuardActions& aActions)
{
  Entry* entry = EntryOf(aEvent.m_attempt);
  if (entry == nullptr) {
    return;
  }
  // A replica that refused before may accept later.
  if (entry->m_exclude.empty()) {
    entry->m_lastError = ErrorKind::NoReplica;
  }
  entry->m_exclude.clear();
  entry->m_backoff = std::min(
    kMaxBackoff, std::max(kFirstBackoff, entry->m_backoff + entry->m_backoff));
  entry->m_retryAt = aNow + entry->m_backoff;
  if (entry->m_retryAt >= entry->m_deadline) {
    NotRun(aNow, aWall, *entry, aActions);
    return;
  }
  Wake(entry->m_retryAt, entry->m_command.m_key);
}

void
CommandLedger::Try(TimePoint aNow,
                   WallTime aWall,
                   Entry& aEntry,
                   GuardActions& aActions)
{
  const auto until = m_owner.SendUntil(aNow, aWall, aEntry.m_command.m_key);
  if (!until || aNow >= aEntry.m_deadline ||
      aEntry.m_attempts >= kMaxAttempts) {
    NotRun(aNow, aWall, aEntry, aActions);
    return;
  }
  GK_INVARIANT(aEntry.m_attempt == 0 && !aEntry.m_mayHaveRun,
               InvariantId::AtMostOnce,
               "second attempt without proof: " + aEntry.m_command.m_key);
  const WallTime left = ToWall(aEntry.m_deadline - aNow);
  aEntry.m_attempt = m_nextAttempt++;
  ++aEntry.m_attempts;
  ++m_counters.m_attempts;
  m_attempts.emplace(aEntry.m_attempt, aEntry.m_command.m_key);
  aActions.emplace_back(SendCommand{ aEntry.m_attempt,
                                     aEntry.m_command,
                                     aEntry.m_exclude,
                                     std::min(*until, aWall + left),
                                     aEntry.m_deadline,
                                     aEntry.m_deadline + kLateReply });
}

void
CommandLedger::NotRun(TimePoint aNow,
                      WallTime aWall,
                      Entry& aEntry,
                      GuardActions& aActions)
{
  GK_INVARIANT(aEntry.m_attempt == 0 && !aEntry.m_mayHaveRun,
               InvariantId::NotRunIsAccurate,
               "not run without proof: " + aEntry.m_command.m_key);
  Finish(aNow,
         aWall,
         aEntry,
         Refusal(aEntry.m_attempts == 0 ? ErrorKind::DeadlineTooShort
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
  --m_allRunning;
  for (const Waiter& waiter : aEntry.m_waiters) {
    Answer(waiter.m_request, aOutcome, m_counters, aActions);
  }
  aEntry.m_waiters.clear();
  aEntry.m_command = Command{};
  if (aEntry.m_dropWhenFinished) {
    Erase(key);
  }
  m_owner.Finished(aNow, aWall, key, aOutcome, aActions);
}

void
CommandLedger::Expire(TimePoint aNow,
                      WallTime aWall,
                      Entry& aEntry,
                      GuardActions& aActions)
{
  if (aEntry.m_attempt == 0 && aNow >= aEntry.m_deadline) {
    NotRun(aNow, aWall, aEntry, aActions);
    return;
  }
  std::erase_if(aEntry.m_waiters, [&](const Waiter& aWaiter) {
    if (aWaiter.m_deadline > aNow) {
      return false;
    }
    Answer(aWaiter.m_request,
           Refusal(ErrorKind::DeadlineExceeded,
                   Ran::Unknown,
                   "the command was still running at the deadline"),
           m_counters,
           aActions);
    return true;
  });
  if (aEntry.m_attempt == 0 && aNow >= aEntry.m_retryAt) {
    Try(aNow, aWall, aEntry, aActions);
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
      Expire(aNow, aWall, entry->second, aActions);
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
  return m_allRunning;
}

std::vector<CommandRecord>
CommandLedger::Records(std::uint32_t aRange) const
{
  std::vector<CommandRecord> records;
  const auto keys = m_byTime.find(aRange);
  if (keys == m_byTime.end()) {
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
CommandLedger::Forget(std::uint32_t aRange)
{
  ForgetUntil(aRange, std::numeric_limits<WallTime>::max());
}

void
CommandLedger::ForgetUntil(std::uint32_t aRange, WallTime aFloor)
{
  const auto range = m_byTime.find(aRange);
  if (range == m_byTime.end()) {
    return;
  }
  std::vector<std::string> finished;
  for (const auto& [time, key] : range->second) {
    if (time > aFloor) {
      break;
    }
    Entry& entry = m_entries.at(key);
    if (entry.m_outcome) {
      finished.push_back(key);
    } else {
      entry.m_dropWhenFinished = true;
    }
  }
  for (const std::string& key : finished) {
    Erase(key);
  }
}

void
CommandLedger::Wake(TimePoint aAt, const std::string& aKey)
{
  m_timers.emplace(aAt, aKey);
}

void
CommandLedger::Erase(const std::string& aKey)
{
  const auto entry = m_entries.find(aKey);
  m_byTime[entry->second.m_range].erase({ entry->second.m_time, aKey });
  m_entries.erase(entry);
}

} // namespace goldcrestkeel
