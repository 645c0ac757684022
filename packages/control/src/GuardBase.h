#pragma once

#include "CommandLedger.h"

#include <goldcrestkeel/Control.h>

namespace goldcrestkeel {

/** Assigns call ids and counts the store calls of a guard. */
class StoreCalls
{
public:
  explicit StoreCalls(CommandGuardCounters& aCounters);

  /** Appends a CallStore action and returns its id. */
  GuardCallId Send(StoreCall aCall, GuardActions& aActions);
  /** Id for a call to a peer, from the same sequence. */
  GuardCallId NextId() { return m_nextId++; }

private:
  CommandGuardCounters& m_counters;
  GuardCallId m_nextId = 1;
};

/** Base class of all strategies: owns the ledger of the keys that this host has
 *  admitted and dispatches backend events to it. */
class GuardBase
  : public CommandGuard
  , protected LedgerDelegate
{
public:
  explicit GuardBase(const CommandGuardOptions& aOptions);

  void Handle(TimePoint aNow,
              WallTime aWall,
              const BackendReply& aEvent,
              GuardActions& aActions) override;
  void Handle(TimePoint aNow,
              WallTime aWall,
              const BackendFailure& aEvent,
              GuardActions& aActions) override;
  void Handle(TimePoint aNow,
              WallTime aWall,
              const NoReplicaForCommand& aEvent,
              GuardActions& aActions) override;
  // The defaults below ignore peer events and refuse handovers; only strategies
  // in which hosts own ranges override them.
  void Handle(TimePoint aNow,
              WallTime aWall,
              const StoreReply& aEvent,
              GuardActions& aActions) override;
  void Handle(TimePoint aNow,
              WallTime aWall,
              const ForwardReply& aEvent,
              GuardActions& aActions) override;
  void Handle(TimePoint aNow,
              WallTime aWall,
              const PeerFailure& aEvent,
              GuardActions& aActions) override;
  void Handle(TimePoint aNow,
              WallTime aWall,
              const MemberListChanged& aEvent,
              GuardActions& aActions) override;
  void Handle(TimePoint aNow,
              WallTime aWall,
              const ReceiveHandover& aEvent,
              GuardActions& aActions) override;
  void Handle(TimePoint aNow,
              WallTime aWall,
              const HandoverReply& aEvent,
              GuardActions& aActions) override;
  void Handle(TimePoint aNow,
              WallTime aWall,
              const BeginShutdown& aEvent,
              GuardActions& aActions) override;

  void FireTimers(TimePoint aNow,
                  WallTime aWall,
                  GuardActions& aActions) override;
  std::optional<TimePoint> NextTimer() const override;
  bool Drained() const override;
  CommandGuardCounters Counters() const override;

protected:
  std::optional<WallTime> LatestStart(TimePoint aNow,
                                      WallTime aWall,
                                      const std::string& aKey) const override;
  void OnOutcome(TimePoint aNow,
                 WallTime aWall,
                 const std::string& aKey,
                 const CommandOutcome& aOutcome,
                 GuardActions& aActions) override;

  /** Answers a request with Ran::Unknown. */
  void AnswerUnknown(CommandRequestId aRequest,
                     ErrorKind aKind,
                     std::string aDetail,
                     GuardActions& aActions);
  /** If the key is malformed or its timestamp is too far ahead of aWall,
   *  answers the request and returns true. */
  bool RejectInvalidKey(WallTime aWall,
                        const SubmitCommand& aEvent,
                        GuardActions& aActions);
  /** Retention in milliseconds. */
  WallTime Retention() const;

  CommandGuardOptions m_options;
  CommandGuardCounters m_counters;
  StoreCalls m_calls;
  CommandLedger m_ledger;
  bool m_shutdown = false;
};

// The strategies; docs/design.md 4.3 compares them.
std::unique_ptr<CommandGuard>
MakeHostMemoryGuard(const CommandGuardOptions& aOptions);
std::unique_ptr<CommandGuard>
MakeStoreClaimGuard(const CommandGuardOptions& aOptions, RandomSource& aRandom);
std::unique_ptr<CommandGuard>
MakeLeasedRangeGuard(const CommandGuardOptions& aOptions,
                     RandomSource& aRandom);

} // namespace goldcrestkeel
