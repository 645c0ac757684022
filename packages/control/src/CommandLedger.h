#pragma once

#include <goldcrestkeel/Control.h>

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestkeel {

/** What a CommandLedger needs from the strategy that uses it. */
class LedgerOwner
{
public:
  virtual ~LedgerOwner() = default;

  /** Latest time at which a backend server may start the command, or nothing
   *  if this host may not send it now. */
  virtual std::optional<WallTime> SendUntil(TimePoint aNow,
                                            WallTime aWall,
                                            const std::string& aKey) const = 0;

  /** The outcome of a key has become known. */
  virtual void Finished(TimePoint aNow,
                        WallTime aWall,
                        const std::string& aKey,
                        const CommandOutcome& aOutcome,
                        GuardActions& aActions) = 0;
};

/** Keys that this host has taken on: their attempts, their outcomes and the
 *  requests that wait for them. A further attempt starts only after proof that
 *  the one before did not run. */
class CommandLedger
{
public:
  /** Both must outlive the ledger. */
  CommandLedger(LedgerOwner& aOwner, CommandGuardCounters& aCounters);

  bool Knows(const std::string& aKey) const;

  /** Takes a new key on and starts its first attempt. */
  void Admit(TimePoint aNow,
             WallTime aWall,
             const SubmitCommand& aEvent,
             GuardActions& aActions);
  /** Answers from the outcome of a known key, or waits for it. */
  void Join(TimePoint aNow,
            const SubmitCommand& aEvent,
            GuardActions& aActions);
  /** Remembers an outcome that another host has found. */
  void Remember(const CommandRecord& aRecord);

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

  /** Keys without an outcome, of one range or of all. */
  std::size_t Running(std::uint32_t aRange) const;
  std::size_t Running() const;
  /** All outcomes of a range. */
  std::vector<CommandRecord> Records(std::uint32_t aRange) const;
  /** Drops all outcomes of a range; a key that runs is dropped when it has
   *  finished. */
  void Forget(std::uint32_t aRange);
  /** Drops the outcomes of a range whose keys were generated at aFloor or
   *  earlier. */
  void ForgetUntil(std::uint32_t aRange, WallTime aFloor);
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
    WallTime m_time = 0;
    std::uint32_t m_range = 0;
    std::uint64_t m_fingerprint = 0;
    std::optional<CommandOutcome> m_outcome;
    /** Attempt that has not been answered, or 0. */
    CommandAttemptId m_attempt = 0;
    bool m_mayHaveRun = false;
    bool m_dropWhenFinished = false;
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

  Entry* EntryOf(CommandAttemptId aAttempt);
  void Try(TimePoint aNow,
           WallTime aWall,
           Entry& aEntry,
           GuardActions& aActions);
  void NotRun(TimePoint aNow,
              WallTime aWall,
              Entry& aEntry,
              GuardActions& aActions);
  void Finish(TimePoint aNow,
              WallTime aWall,
              Entry& aEntry,
              const CommandOutcome& aOutcome,
              GuardActions& aActions);
  void Expire(TimePoint aNow,
              WallTime aWall,
              Entry& aEntry,
              GuardActions& aActions);
  void Wake(TimePoint aAt, const std::string& aKey);
  void Erase(const std::string& aKey);

  LedgerOwner& m_owner;
  CommandGuardCounters& m_counters;
  Entries m_entries;
  std::unordered_map<CommandAttemptId, std::string> m_attempts;
  std::multimap<TimePoint, std::string> m_timers;
  /** Keys of each range, ordered by their time. */
  std::map<std::uint32_t, std::set<std::pair<WallTime, std::string>>> m_byTime;
  std::map<std::uint32_t, std::size_t> m_running;
  std::size_t m_allRunning = 0;
  CommandAttemptId m_nextAttempt = 1;
};

/** Appends an answer and counts it. */
void
Answer(CommandRequestId aRequest,
       const CommandOutcome& aOutcome,
       CommandGuardCounters& aCounters,
       GuardActions& aActions);

/** Outcome of an error with the given, not the table's, Ran value. */
CommandOutcome
Refusal(ErrorKind aKind, Ran aRan, std::string aDetail);

} // namespace goldcrestkeel
