#pragma once

#include "CommandLedger.h"

#include <goldcrestkeel/Control.h>

namespace goldcrestkeel {

/** Numbers and counts the store calls of a guard. */
class StoreCalls
{
public:
  explicit StoreCalls(CommandGuardCounters& aCounters);

  GuardCallId Send(StoreCall aCall, GuardActions& aActions);
  /** Number for a call to a peer, from the same sequence. */
  GuardCallId NextId() { return m_next++; }

private:
  CommandGuardCounters& m_counters;
  GuardCallId m_next = 1;
};

/** Parts that all strategies share: the ledger of the keys that this host has
 *  taken on, and the events that go to it. */
class GuardBase
  : public CommandGuard
  , protected LedgerOwner
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
  // The strategies without owners ignore the events of peers.
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
  std::optional<WallTime> SendUntil(TimePoint aNow,
                                    WallTime aWall,
                                    const std::string& aKey) const override;
  void Finished(TimePoint aNow,
                WallTime aWall,
                const std::string& aKey,
                const CommandOutcome& aOutcome,
                GuardActions& aActions) override;

  /** Answers a request with "unknown". */
  void AnswerUnknown(CommandRequestId aRequest,
                     ErrorKind aKind,
                     std::string aDetail,
                     GuardActions& aActions);
  /** Answers a request whose key is malformed or too far ahead of aWall.
   *  Returns false for an acceptable key. */
  bool AnswerBadKey(WallTime aWall,
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

/** The strategies; docs/design.md 4.3 compares them. */
std::unique_ptr<CommandGuard>
MakeHostMemoryGuard(const CommandGuardOptions& aOptions);
std::unique_ptr<CommandGuard>
MakeStoreClaimGuard(const CommandGuardOptions& aOptions, RandomSource& aRandom);
std::unique_ptr<CommandGuard>
MakeLeasedRangeGuard(const CommandGuardOptions& aOptions,
                     RandomSource& aRandom);

} // namespace goldcrestkeel
