#pragma once

#include <goldcrestkeel/Control.h>

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestkeel {

/** Interface through which a CommandLedger calls the strategy that uses it. */
class LedgerDelegate
{
public:
  virtual ~LedgerDelegate() = default;

  /** Latest time, in milliseconds, at which a backend server may start the
   *  command. Returns nothing if this host must not send it now. */
  virtual std::optional<WallTime> LatestStart(
    TimePoint aNow,
    WallTime aWall,
    const std::string& aKey) const = 0;

  /** Called once for each admitted key, when its outcome is final. */
  virtual void OnOutcome(TimePoint aNow,
                         WallTime aWall,
                         const std::string& aKey,
                         const CommandOutcome& aOutcome,
                         GuardActions& aActions) = 0;
};

/** Keys that this host has admitted, with their attempts, their outcomes and
 *  the requests that wait for them. Another attempt starts only after proof
 *  that the previous one did not run. */
class CommandLedger
{
public:
  /** Both arguments must outlive the ledger. */
  CommandLedger(LedgerDelegate& aDelegate, CommandGuardCounters& aCounters);

  bool Contains(const std::string& aKey) const;

  /** Adds a new key and starts its first attempt. */
  void Admit(TimePoint aNow,
             WallTime aWall,
             const SubmitCommand& aEvent,
             GuardActions& aActions);
  /** Answers a request for a key in the ledger with the key's outcome, or adds
   *  the request to those that wait for the outcome. */
  void AnswerOrWait(TimePoint aNow,
                    const SubmitCommand& aEvent,
                    GuardActions& aActions);
  /** Adds an outcome that another host handed over, unless the key is
   *  present. */
  void InsertOutcome(const CommandRecord& aRecord);

  void Handle(TimePoint aNow,
              WallTime aWall,
              const BackendReply& aEvent,
              GuardActions& aActions);
  void Handle(TimePoint aNow,
              WallTime aWall,
              const BackendFailure& aEvent,
              GuardActions& aActions);
  void Handle(TimePoint aNow,
              WallTime aWall,
              const NoReplicaForCommand& aEvent,
              GuardActions& aActions);

  void FireTimers(TimePoint aNow, WallTime aWall, GuardActions& aActions);
  std::optional<TimePoint> NextTimer() const;

  /** Number of keys without an outcome, in one range or in all. */
  std::size_t Running(std::uint32_t aRange) const;
  std::size_t Running() const;
  /** All outcomes in a range, ordered by the timestamp in the key. */
  std::vector<CommandRecord> Records(std::uint32_t aRange) const;
  /** Erases all keys of a range; a key without an outcome is erased once it has
   *  one. */
  void EraseRange(std::uint32_t aRange);
  /** As EraseRange(), but only keys generated at aLowWatermark, in
   *  milliseconds, or earlier. */
  void EraseUntil(std::uint32_t aRange, WallTime aLowWatermark);
  std::size_t Size() const { return m_entries.size(); }

private:
  struct Waiter
  {
    CommandRequestId m_request = 0;
    TimePoint m_deadline;
  };

  struct Entry
  {
    Command m_command;
    /** Timestamp in the key, in milliseconds. */
    WallTime m_time = 0;
    std::uint32_t m_range = 0;
    std::uint64_t m_fingerprint = 0;
    std::optional<CommandOutcome> m_outcome;
    /** Outstanding attempt, or 0. */
    CommandAttemptId m_attempt = 0;
    bool m_mayHaveRun = false;
    bool m_eraseOnOutcome = false;
    std::uint32_t m_attempts = 0;
    std::vector<std::string> m_exclude;
    std::vector<Waiter> m_waiters;
    /** Latest deadline of all requests for the key. */
    TimePoint m_deadline;
    TimePoint m_retryAt;
    Duration m_backoff{ 0 };
    ErrorKind m_lastError = ErrorKind::CommandRefused;
  };

  using Entries = std::unordered_map<std::string, Entry>;

  /** Removes the attempt and returns its entry, or nullptr for an unknown
   *  attempt. */
  Entry* CompleteAttempt(CommandAttemptId aAttempt);
  void StartAttempt(TimePoint aNow,
                    WallTime aWall,
                    Entry& aEntry,
                    GuardActions& aActions);
  void FinishNotRun(TimePoint aNow,
                    WallTime aWall,
                    Entry& aEntry,
                    GuardActions& aActions);
  void Finish(TimePoint aNow,
              WallTime aWall,
              Entry& aEntry,
              const CommandOutcome& aOutcome,
              GuardActions& aActions);
  void HandleTimer(TimePoint aNow,
                   WallTime aWall,
                   Entry& aEntry,
                   GuardActions& aActions);
  void ScheduleTimer(TimePoint aAt, const std::string& aKey);
  void Erase(const std::string& aKey);

  LedgerDelegate& m_delegate;
  CommandGuardCounters& m_counters;
  Entries m_entries;
  std::unordered_map<CommandAttemptId, std::string> m_attempts;
  std::multimap<TimePoint, std::string> m_timers;
  /** Keys of each range, ordered by the timestamp in the key. */
  std::map<std::uint32_t, std::set<std::pair<WallTime, std::string>>>
    m_keysByTime;
  std::map<std::uint32_t, std::size_t> m_running;
  std::size_t m_runningTotal = 0;
  CommandAttemptId m_nextAttempt = 1;
};

/** Appends an AnswerCommand action and counts it. */
void
AppendAnswer(CommandRequestId aRequest,
             const CommandOutcome& aOutcome,
             CommandGuardCounters& aCounters,
             GuardActions& aActions);

/** Outcome with an error and with aRan instead of the default for aKind. */
CommandOutcome
ErrorOutcome(ErrorKind aKind, Ran aRan, std::string aDetail);

} // namespace goldcrestkeel
