#pragma once

#include "GuardBase.h"
#include "HostLease.h"

#include <array>
#include <map>
#include <set>
#include <unordered_map>

namespace goldcrestkeel {

/** The host of rank n claims a free range after n times this delay, so that the
 *  preferred host (rank 0) claims it first. */
inline constexpr Duration kClaimDelayPerRank{ 5000000 };
/** Delay before a failed handover is retried. */
inline constexpr Duration kHandoverRetryDelay{ 2000000 };

/** Assigns each of the kCommandRanges key ranges to one owner, which records
 *  the keys that it has admitted. The store key of a range contains its owner
 *  and the owner's session. Each change of owner is a compare-and-swap on that
 *  key, so the owners of a range form a sequence. docs/design-commands.md
 *  explains why this is safe. */
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
  std::optional<WallTime> LatestStart(TimePoint aNow,
                                      WallTime aWall,
                                      const std::string& aKey) const override;
  void OnOutcome(TimePoint aNow,
                 WallTime aWall,
                 const std::string& aKey,
                 const CommandOutcome& aOutcome,
                 GuardActions& aActions) override;

private:
  enum class State
  {
    /** Not owned. If m_hasRecords is set, it was owned until the lease was
     *  lost. */
    None,
    /** A compare-and-swap that makes this host the owner is outstanding or due
     *  for a retry. */
    Claiming,
    /** The result of the claim is uncertain; the store key is read back. */
    Verifying,
    /** Owned; new keys are admitted. */
    Active,
    /** Owned, but no new key is admitted; handed over once no key is
     *  running. */
    Freezing,
    /** The handover was sent and not answered yet. */
    HandingOver,
  };

  /** State of one range on this host. */
  struct Range
  {
    std::uint32_t m_number = 0;
    State m_state = State::None;
    /** Session with which the range was claimed. */
    std::string m_session;
    /** Modification index of the store key: while owned, that of the claim;
     *  while claiming, the one that the compare-and-swap expects. */
    std::uint64_t m_index = 0;
    /** Keys generated at this time, in milliseconds, or earlier may have run
     *  even if the ledger does not contain them. */
    WallTime m_lowWatermark = 0;
    /** The ledger contains all keys generated after m_lowWatermark that owners
     *  admitted up to m_index. */
    bool m_hasRecords = false;
    /** If m_hasRecords is set in State::None: time at which the lease was
     *  lost. */
    TimePoint m_suspendedAt;
    /** Identifies the latest claim when the store key is read back. */
    std::string m_nonce;
    GuardCallId m_call = 0;
    /** An earlier compare-and-swap with m_nonce may have taken effect. */
    bool m_maybeWritten = false;
    TimePoint m_retryAt;
    /** Host to which the range is to be handed over, or empty. */
    std::string m_target;
    /** Time since which m_target is set. */
    TimePoint m_handoverDueSince;
    /** After a failed handover: earliest time of the next one. */
    TimePoint m_earliestHandoverAt;
    /** Handover from another host; answered when the claim has succeeded or
     *  failed. */
    std::optional<ReceiveHandover> m_incomingHandover;

    /** Content of the store key when last observed in a listing, a claim or a
     *  handover. */
    std::uint64_t m_observedIndex = 0;
    std::string m_observedOwner;
    std::string m_observedSession;
    /** The owner's session was alive when last observed. */
    bool m_ownerAlive = false;
    /** The owner's session has provably expired. */
    bool m_free = false;
    TimePoint m_freeSince;
    /** Owner according to a peer, or empty. */
    std::string m_ownerHint;

    /** Preferred owner and the rank of this host, from the member list. */
    std::string m_preferred;
    std::uint32_t m_ownRank = 0;
  };

  enum class WaitReason
  {
    /** For this host to gain or lose the range. */
    Parked,
    /** For m_retryAt. */
    Backoff,
    /** For the reply of a peer. */
    Forwarded,
  };

  /** A request that this host's ledger has not admitted. */
  struct Pending
  {
    SubmitCommand m_event;
    TimePoint m_deadline;
    WaitReason m_waitReason = WaitReason::Backoff;
    GuardCallId m_call = 0;
    std::string m_target;
    /** Host that the latest forward could not reach, or empty. */
    std::string m_unreachable;
    /** Number of replies so far that named another owner. */
    std::uint32_t m_redirects = 0;
    TimePoint m_retryAt;
  };

  // Requests.
  Range& RangeOf(const std::string& aKey);
  const Range& RangeOf(const std::string& aKey) const;
  bool CanAccept(TimePoint aNow, WallTime aWall, const Range& aRange) const;
  bool ShouldPark(TimePoint aNow, WallTime aWall, const Range& aRange) const;
  void Route(TimePoint aNow,
             WallTime aWall,
             Pending& aPending,
             GuardActions& aActions);
  void Accept(TimePoint aNow,
              WallTime aWall,
              Range& aRange,
              const SubmitCommand& aEvent,
              GuardActions& aActions);
  /** Erases the keys that are older than the retention time. */
  void ExpireRecords(WallTime aWall, Range& aRange);
  /** Answers a forwarded request with the presumed owner. */
  void RedirectRequest(const Range& aRange,
                       CommandRequestId aRequest,
                       GuardActions& aActions);
  /** Presumed owner to forward the request to, or empty. */
  std::string ChooseForwardHost(const Range& aRange,
                                const Pending& aPending) const;
  void Forward(Pending& aPending,
               const std::string& aHost,
               GuardActions& aActions);
  void BackOff(TimePoint aNow, Pending& aPending, Duration aDelay);
  /** Routes the parked requests of a range again. */
  void RouteRange(TimePoint aNow,
                  WallTime aWall,
                  const Range& aRange,
                  GuardActions& aActions);
  /** Routes the parked requests that no longer have to wait. */
  void RouteParked(TimePoint aNow, WallTime aWall, GuardActions& aActions);
  void RoutePending(TimePoint aNow,
                    WallTime aWall,
                    CommandRequestId aRequest,
                    GuardActions& aActions);
  void FirePendingTimers(TimePoint aNow,
                         WallTime aWall,
                         GuardActions& aActions);
  /** Removes the forward and returns its request, or nullptr if it has
   *  ended. */
  Pending* CompleteForward(GuardCallId aCall);

  // Ownership.
  void Claim(Range& aRange, std::uint64_t aIndex, GuardActions& aActions);
  /** Claims the range again at the current index after an uncertain
   *  handover. */
  void Reclaim(TimePoint aNow,
               WallTime aWall,
               Range& aRange,
               GuardActions& aActions);
  void WriteClaim(Range& aRange, GuardActions& aActions);
  void ReadClaim(Range& aRange, GuardActions& aActions);
  void HandleClaimReply(TimePoint aNow,
                        WallTime aWall,
                        Range& aRange,
                        const StoreResult& aResult,
                        GuardActions& aActions);
  void HandleVerifyReply(TimePoint aNow,
                         WallTime aWall,
                         Range& aRange,
                         const StoreResult& aResult,
                         GuardActions& aActions);
  void OnClaimed(TimePoint aNow,
                 WallTime aWall,
                 Range& aRange,
                 std::uint64_t aIndex,
                 GuardActions& aActions);
  void OnClaimLost(TimePoint aNow,
                   WallTime aWall,
                   Range& aRange,
                   GuardActions& aActions);
  void AnswerIncomingHandover(Range& aRange,
                              bool aAccepted,
                              GuardActions& aActions);
  void EraseRecords(Range& aRange);
  void CheckLease(TimePoint aNow, WallTime aWall, GuardActions& aActions);
  /** Ends the ownership of a range because the lease was lost. */
  void Suspend(TimePoint aNow,
               WallTime aWall,
               Range& aRange,
               GuardActions& aActions);

  // Assignment.
  void UpdateRanking();
  bool IsCandidate() const;
  void ReconcileRanges(TimePoint aNow, WallTime aWall, GuardActions& aActions);
  void ReconcileUnowned(TimePoint aNow,
                        WallTime aWall,
                        Range& aRange,
                        GuardActions& aActions);
  void ReconcileOwned(TimePoint aNow,
                      WallTime aWall,
                      Range& aRange,
                      GuardActions& aActions);
  /** Host that should own the range instead of this one, or empty. */
  std::string ChooseHandoverTarget(TimePoint aNow, const Range& aRange) const;
  void StartHandover(Range& aRange, GuardActions& aActions);
  /** Stops owning a range without a handover. */
  void AbandonRange(TimePoint aNow,
                    WallTime aWall,
                    Range& aRange,
                    GuardActions& aActions);
  std::size_t CountInState(State aState) const;
  bool NeedsListing(const Range& aRange) const;
  bool HoldsNoRange() const;
  void RequestListing(TimePoint aNow);
  void SendListCall(TimePoint aNow, GuardActions& aActions);
  void HandleListReply(TimePoint aNow,
                       WallTime aWall,
                       const StoreResult& aResult,
                       GuardActions& aActions);
  void ObserveRange(TimePoint aNow,
                    Range& aRange,
                    std::uint64_t aIndex,
                    const std::string& aOwner,
                    const std::string& aSession,
                    bool aAlive);

  RandomSource& m_random;
  HostLease m_lease;
  /** Session at the latest CheckLease(). */
  std::string m_session;
  std::array<Range, kCommandRanges> m_ranges;
  std::unordered_map<CommandRequestId, Pending> m_pending;
  std::unordered_map<GuardCallId, CommandRequestId> m_forwards;
  std::unordered_map<GuardCallId, std::uint32_t> m_rangeCalls;
  std::multimap<TimePoint, CommandRequestId> m_timers;

  std::vector<std::string> m_alive;
  std::vector<std::string> m_candidates;
  /** Hosts whose session was alive in the latest listing. */
  std::set<std::string> m_leaseHolders;
  std::optional<TimePoint> m_startedAt;
  TimePoint m_membersChangedAt;
  TimePoint m_shutdownAt;
  bool m_sessionDestroyed = false;
  /** Number of ranges in State::Claiming, counted by ReconcileRanges() and
   *  incremented by Claim(). */
  std::size_t m_outstandingClaims = 0;

  bool m_listingReceived = false;
  GuardCallId m_listCall = 0;
  TimePoint m_listSentAt;
  TimePoint m_listDueAt;
  TimePoint m_reconcileAt;
};

} // namespace goldcrestkeel
