#pragma once

#include "GuardBase.h"
#include "HostLease.h"

#include <array>
#include <map>
#include <set>
#include <unordered_map>

namespace goldcrestkeel {

/** A free range is claimed by its preferred host at once, by the next one in
 *  rank after this time, and so on. */
inline constexpr Duration kRankDelay{ 5000000 };
/** Wait after a handover that failed. */
inline constexpr Duration kOfferRetry{ 2000000 };

/** Gives each of kCommandRanges ranges of keys one owner, which remembers the
 *  keys that it has taken on. The owner of a range stands in the range's key
 *  in the store, together with the owner's session; every change of owner is a
 *  compare-and-swap on that key, so that the owners form a chain.
 *  docs/design-commands.md holds the argument for safety. */
class LeasedRangeGuard : public GuardBase
{
public:
  LeasedRangeGuard(const CommandGuardOptions& aOptions, RandomSource& aRandom);

  std::string_view Name() const override { return "leased_range"; }

  void Handle(TimePoint aNow,
              WallTime aWall,
              const SubmitCommand& aEvent,
              GuardActions& aActions) override;
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

private:
  enum class State
  {
    /** Not owned. With m_hasMemory, owned until the lease was lost. */
    None,
    /** A compare-and-swap towards this host is outstanding or due again. */
    Claiming,
    /** The range's key is read back, because a reply was lost. */
    Verifying,
    Active,
    /** Takes no new key on; handed over once no key runs. */
    Freezing,
    /** The handover has been sent. */
    Offered,
  };

  /** One range as this host sees it. */
  struct Range
  {
    std::uint32_t m_number = 0;
    State m_state = State::None;
    /** Session under which the range was claimed. */
    std::string m_session;
    /** Index of the range's key: while owned, that of the claim; while
     *  claiming, the one that the compare-and-swap expects. */
    std::uint64_t m_index = 0;
    /** Keys generated at this time or earlier may have run unless the ledger
     *  knows them. */
    WallTime m_floor = 0;
    /** The ledger knows all keys later than m_floor that were taken on up to
     *  m_index. */
    bool m_hasMemory = false;
    /** With m_hasMemory in State::None: when the lease was lost. */
    TimePoint m_suspendedAt;
    std::string m_nonce;
    GuardCallId m_call = 0;
    /** An earlier compare-and-swap with m_nonce may have taken effect. */
    bool m_maybeWritten = false;
    TimePoint m_retryAt;
    /** Handover to another host. */
    std::string m_target;
    TimePoint m_offerSince;
    /** No handover before this time. */
    TimePoint m_offerAfter;
    /** Handover from another host, answered when the claim has ended. */
    std::optional<ReceiveHandover> m_received;

    /** Latest content of the range's key. */
    std::uint64_t m_seenIndex = 0;
    std::string m_seenOwner;
    std::string m_seenSession;
    bool m_ownerAlive = false;
    /** The owner's session has certainly lapsed. */
    bool m_free = false;
    TimePoint m_freeSince;
    /** Host that a peer named as the owner. */
    std::string m_hint;

    /** From the member list. */
    std::string m_preferred;
    std::uint32_t m_ownRank = 0;
  };

  enum class Wait
  {
    /** For the range to become active or lost here. */
    Parked,
    Backoff,
    Forwarded,
  };

  /** A request that no ledger has taken on yet. */
  struct Pending
  {
    SubmitCommand m_event;
    TimePoint m_deadline;
    Wait m_wait = Wait::Backoff;
    GuardCallId m_call = 0;
    std::string m_target;
    /** Host that could not be reached last. */
    std::string m_avoid;
    std::uint32_t m_hops = 0;
    TimePoint m_retryAt;
  };

  // Requests.
  Range& RangeOf(const std::string& aKey);
  const Range& RangeOf(const std::string& aKey) const;
  bool CanAccept(TimePoint aNow, WallTime aWall, const Range& aRange) const;
  bool Parks(TimePoint aNow, WallTime aWall, const Range& aRange) const;
  void Route(TimePoint aNow,
             WallTime aWall,
             Pending& aPending,
             GuardActions& aActions);
  void Accept(TimePoint aNow,
              WallTime aWall,
              Range& aRange,
              const SubmitCommand& aEvent,
              GuardActions& aActions);
  /** Drops the keys that are older than the retention. */
  void ForgetOld(WallTime aWall, Range& aRange);
  void Redirect(const Range& aRange,
                CommandRequestId aRequest,
                GuardActions& aActions);
  std::string Guess(const Range& aRange, const Pending& aPending) const;
  void Forward(Pending& aPending,
               const std::string& aHost,
               GuardActions& aActions);
  void BackOff(TimePoint aNow, Pending& aPending, Duration aDelay);
  void RouteAll(TimePoint aNow,
                WallTime aWall,
                const Range& aRange,
                GuardActions& aActions);
  /** Routes the parked requests that need not wait any longer. */
  void RouteParked(TimePoint aNow, WallTime aWall, GuardActions& aActions);
  void RoutePending(TimePoint aNow,
                    WallTime aWall,
                    CommandRequestId aRequest,
                    GuardActions& aActions);
  void ExpirePending(TimePoint aNow, WallTime aWall, GuardActions& aActions);
  Pending* PendingOf(GuardCallId aCall);

  // Ownership.
  void Claim(Range& aRange, std::uint64_t aIndex, GuardActions& aActions);
  void Reclaim(TimePoint aNow,
               WallTime aWall,
               Range& aRange,
               GuardActions& aActions);
  void WriteClaim(Range& aRange, GuardActions& aActions);
  void ReadClaim(Range& aRange, GuardActions& aActions);
  void ClaimReply(TimePoint aNow,
                  WallTime aWall,
                  Range& aRange,
                  const StoreResult& aResult,
                  GuardActions& aActions);
  void VerifyReply(TimePoint aNow,
                   WallTime aWall,
                   Range& aRange,
                   const StoreResult& aResult,
                   GuardActions& aActions);
  void Claimed(TimePoint aNow,
               WallTime aWall,
               Range& aRange,
               std::uint64_t aIndex,
               GuardActions& aActions);
  void ClaimLost(TimePoint aNow,
                 WallTime aWall,
                 Range& aRange,
                 GuardActions& aActions);
  void AnswerReceived(Range& aRange, bool aAccepted, GuardActions& aActions);
  void DropMemory(Range& aRange);
  void CheckLease(TimePoint aNow, WallTime aWall, GuardActions& aActions);
  void Suspend(TimePoint aNow,
               WallTime aWall,
               Range& aRange,
               GuardActions& aActions);

  // Assignment.
  void RankAll();
  bool IsCandidate() const;
  void Review(TimePoint aNow, WallTime aWall, GuardActions& aActions);
  void ReviewFree(TimePoint aNow,
                  WallTime aWall,
                  Range& aRange,
                  GuardActions& aActions);
  void ReviewActive(TimePoint aNow,
                    WallTime aWall,
                    Range& aRange,
                    GuardActions& aActions);
  std::string Target(TimePoint aNow, const Range& aRange) const;
  void Offer(Range& aRange, GuardActions& aActions);
  void GiveUp(TimePoint aNow,
              WallTime aWall,
              Range& aRange,
              GuardActions& aActions);
  std::size_t CountIn(State aState) const;
  bool NeedsView(const Range& aRange) const;
  bool OwnsNothing() const;
  void RequestView(TimePoint aNow);
  void SendView(TimePoint aNow, GuardActions& aActions);
  void ViewReply(TimePoint aNow,
                 WallTime aWall,
                 const StoreResult& aResult,
                 GuardActions& aActions);
  void SeeRange(TimePoint aNow,
                Range& aRange,
                std::uint64_t aIndex,
                const std::string& aOwner,
                const std::string& aSession,
                bool aAlive);

  RandomSource& m_random;
  HostLease m_lease;
  std::string m_session;
  std::array<Range, kCommandRanges> m_ranges;
  std::unordered_map<CommandRequestId, Pending> m_pending;
  std::unordered_map<GuardCallId, CommandRequestId> m_forwards;
  std::unordered_map<GuardCallId, std::uint32_t> m_rangeCalls;
  std::multimap<TimePoint, CommandRequestId> m_timers;

  std::vector<std::string> m_alive;
  std::vector<std::string> m_candidates;
  /** Hosts whose session lived in the latest view. */
  std::set<std::string> m_leaseHolders;
  std::optional<TimePoint> m_startedAt;
  TimePoint m_membersChangedAt;
  TimePoint m_shutdownAt;
  bool m_destroyed = false;
  /** Claims outstanding, as of the latest review. */
  std::size_t m_claims = 0;

  bool m_viewKnown = false;
  GuardCallId m_viewCall = 0;
  TimePoint m_viewSentAt;
  TimePoint m_viewDue;
  TimePoint m_reviewAt;
};

} // namespace goldcrestkeel
