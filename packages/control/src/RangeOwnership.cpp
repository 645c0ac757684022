// LeasedRangeGuard: claims, handovers and assignment of ranges.

#include "LeasedRangeGuard.h"

#include <goldcrestkeel/core/Invariant.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace goldcrestkeel {

namespace {

using Json = nlohmann::json;

/** Maximum number of hosts that own ranges, selected by rendezvous hashing. It
 *  bounds the session renewals and store reads independently of the number of
 *  hosts. */
constexpr std::size_t kMaxOwners = 32;
/** Time after the start during which no free range is claimed, because other
 *  hosts that start at the same time are not in the member list yet. */
constexpr Duration kStartupClaimDelay{ 2000000 };
/** Time after the start during which no session is created, because every host
 *  is a candidate until the first member list arrives. */
constexpr Duration kStartupSessionDelay{ 1000000 };
/** Delay after a member list change before ranges are handed over to their
 *  preferred host. */
constexpr Duration kRebalanceDelay{ 5000000 };
/** A range that is due for a handover is frozen if keys are still running after
 *  this time; otherwise overlapping commands could delay the handover without
 *  limit. */
constexpr Duration kFreezeDelay{ 1000000 };
/** At shutdown: a range without a handover target is abandoned after this
 *  time. */
constexpr Duration kShutdownHandoverTimeout{ 5000000 };
/** Delay before a failed store call is retried. */
constexpr Duration kStoreRetryDelay{ 300000 };
/** Interval between listings of the store keys, and the minimum interval while
 *  a range has no owner. */
constexpr Duration kListInterval{ 10000000 };
constexpr Duration kListRetryDelay{ 500000 };
constexpr Duration kReconcileInterval{ 250000 };
/** Bounds on outstanding claims and handovers. They limit the load on the store
 *  after a host failure. */
constexpr std::size_t kMaxClaims = 32;
constexpr std::size_t kMaxHandovers = 8;
/** Rank of a host that is not a candidate. */
constexpr std::uint32_t kUnranked = 1000;

std::string
RangeKey(const std::string& aPrefix, std::uint32_t aRange)
{
  return aPrefix + "ranges/" + std::to_string(aRange);
}

} // namespace

// ---- Claims ---------------------------------------------------------------

void
LeasedRangeGuard::Claim(Range& aRange,
                        std::uint64_t aIndex,
                        GuardActions& aActions)
{
  if (aRange.m_hasRecords && aIndex != aRange.m_index) {
    EraseRecords(aRange);
  }
  ++m_outstandingClaims;
  aRange.m_index = aIndex;
  aRange.m_session = m_lease.Session();
  aRange.m_nonce = std::to_string(m_random.Next());
  aRange.m_maybeWritten = false;
  aRange.m_target.clear();
  WriteClaim(aRange, aActions);
}

void
LeasedRangeGuard::WriteClaim(Range& aRange, GuardActions& aActions)
{
  const Json value{ { "owner", m_options.m_host },
                    { "session", aRange.m_session },
                    { "nonce", aRange.m_nonce } };
  StoreCall call;
  call.m_operation = StoreOperation::CompareAndSwap;
  call.m_key = RangeKey(m_options.m_storePrefix, aRange.m_number);
  call.m_value = value.dump();
  call.m_index = aRange.m_index;
  aRange.m_state = State::Claiming;
  aRange.m_call = m_calls.Send(std::move(call), aActions);
  m_rangeCalls.emplace(aRange.m_call, aRange.m_number);
}

void
LeasedRangeGuard::ReadClaim(Range& aRange, GuardActions& aActions)
{
  StoreCall call;
  call.m_key = RangeKey(m_options.m_storePrefix, aRange.m_number);
  aRange.m_state = State::Verifying;
  aRange.m_call = m_calls.Send(std::move(call), aActions);
  m_rangeCalls.emplace(aRange.m_call, aRange.m_number);
}

void
LeasedRangeGuard::HandleClaimReply(TimePoint aNow,
                                   WallTime aWall,
                                   Range& aRange,
                                   const StoreResult& aResult,
                                   GuardActions& aActions)
{
  switch (aResult.m_status) {
    case StoreStatus::Ok:
      if (aResult.m_index != 0) {
        OnClaimed(aNow, aWall, aRange, aResult.m_index, aActions);
      } else {
        ReadClaim(aRange, aActions);
      }
      return;
    case StoreStatus::Conflict:
      // An earlier write with the same nonce may have caused the conflict.
      if (aRange.m_maybeWritten) {
        ReadClaim(aRange, aActions);
      } else {
        OnClaimLost(aNow, aWall, aRange, aActions);
      }
      return;
    case StoreStatus::NotFound:
      OnClaimLost(aNow, aWall, aRange, aActions);
      return;
    case StoreStatus::Failed:
      aRange.m_retryAt = aNow + kStoreRetryDelay;
      return;
    case StoreStatus::Unknown:
      aRange.m_maybeWritten = true;
      ReadClaim(aRange, aActions);
      return;
  }
}

void
LeasedRangeGuard::HandleVerifyReply(TimePoint aNow,
                                    WallTime aWall,
                                    Range& aRange,
                                    const StoreResult& aResult,
                                    GuardActions& aActions)
{
  const bool absent = aResult.m_status == StoreStatus::NotFound;
  if (aResult.m_status != StoreStatus::Ok && !absent) {
    aRange.m_retryAt = aNow + kStoreRetryDelay;
    return;
  }
  const Json value = Json::parse(aResult.m_value, nullptr, false);
  if (!absent && value.is_object() &&
      value.value("nonce", "") == aRange.m_nonce) {
    OnClaimed(aNow, aWall, aRange, aResult.m_index, aActions);
  } else if ((absent ? 0 : aResult.m_index) == aRange.m_index) {
    // The write has not taken effect, but still may. Both writes have the same
    // nonce, and only one of them can succeed.
    aRange.m_maybeWritten = true;
    WriteClaim(aRange, aActions);
  } else {
    OnClaimLost(aNow, aWall, aRange, aActions);
  }
}

void
LeasedRangeGuard::OnClaimed(TimePoint aNow,
                            WallTime aWall,
                            Range& aRange,
                            std::uint64_t aIndex,
                            GuardActions& aActions)
{
  if (aRange.m_incomingHandover) {
    EraseRecords(aRange);
    aRange.m_lowWatermark = aRange.m_incomingHandover->m_lowWatermark;
    for (const CommandRecord& record : aRange.m_incomingHandover->m_records) {
      m_ledger.InsertOutcome(record);
    }
    ++m_counters.m_handoversReceived;
  } else if (!aRange.m_hasRecords) {
    // The clock of the previous owner may be kMaxClockSkew ahead of this
    // host's, and it accepted keys up to kMaxClockSkew ahead of its own clock.
    aRange.m_lowWatermark = aWall + 2 * kMaxClockSkew;
    ++m_counters.m_takeovers;
  }
  aRange.m_hasRecords = true;
  aRange.m_state = State::Active;
  aRange.m_index = aIndex;
  aRange.m_observedIndex = aIndex;
  aRange.m_observedOwner = m_options.m_host;
  aRange.m_observedSession = aRange.m_session;
  aRange.m_ownerAlive = true;
  aRange.m_free = false;
  aRange.m_ownerHint.clear();
  AnswerIncomingHandover(aRange, true, aActions);
  RouteRange(aNow, aWall, aRange, aActions);
}

void
LeasedRangeGuard::OnClaimLost(TimePoint aNow,
                              WallTime aWall,
                              Range& aRange,
                              GuardActions& aActions)
{
  EraseRecords(aRange);
  aRange.m_state = State::None;
  aRange.m_free = false;
  AnswerIncomingHandover(aRange, false, aActions);
  RequestListing(aNow);
  RouteRange(aNow, aWall, aRange, aActions);
}

void
LeasedRangeGuard::AnswerIncomingHandover(Range& aRange,
                                         bool aAccepted,
                                         GuardActions& aActions)
{
  if (aRange.m_incomingHandover) {
    aActions.emplace_back(AnswerHandover{
      aRange.m_incomingHandover->m_request,
      aAccepted,
      aAccepted ? "" : "the range could not be claimed in the store" });
    aRange.m_incomingHandover.reset();
  }
}

void
LeasedRangeGuard::EraseRecords(Range& aRange)
{
  m_ledger.EraseRange(aRange.m_number);
  aRange.m_hasRecords = false;
}

// ---- Lease ----------------------------------------------------------------

void
LeasedRangeGuard::CheckLease(TimePoint aNow,
                             WallTime aWall,
                             GuardActions& aActions)
{
  if (!m_startedAt) {
    m_startedAt = aNow;
    m_reconcileAt = aNow;
  }
  m_lease.FireTimers(aNow, aWall, aActions);
  if (m_lease.Session() == m_session) {
    return;
  }
  m_counters.m_leasesLost += m_session.empty() || m_sessionDestroyed ? 0 : 1;
  m_session = m_lease.Session();
  for (Range& range : m_ranges) {
    Suspend(aNow, aWall, range, aActions);
  }
}

void
LeasedRangeGuard::Suspend(TimePoint aNow,
                          WallTime aWall,
                          Range& aRange,
                          GuardActions& aActions)
{
  if (aRange.m_state == State::None) {
    return;
  }
  // The records stay valid: if a later compare-and-swap at the same index
  // succeeds, no other host has owned the range in between.
  if (aRange.m_incomingHandover) {
    EraseRecords(aRange);
    AnswerIncomingHandover(aRange, false, aActions);
  }
  m_rangeCalls.erase(aRange.m_call);
  aRange.m_state = State::None;
  aRange.m_target.clear();
  aRange.m_suspendedAt = aNow;
  RouteRange(aNow, aWall, aRange, aActions);
}

// ---- Store and peer events ------------------------------------------------

void
LeasedRangeGuard::Handle(TimePoint aNow,
                         WallTime aWall,
                         const StoreReply& aEvent,
                         GuardActions& aActions)
{
  CheckLease(aNow, aWall, aActions);
  if (m_lease.Handle(aNow, aWall, aEvent, aActions)) {
    CheckLease(aNow, aWall, aActions);
  } else if (aEvent.m_call == m_listCall) {
    m_listCall = 0;
    HandleListReply(aNow, aWall, aEvent.m_result, aActions);
  } else if (const auto call = m_rangeCalls.extract(aEvent.m_call)) {
    Range& range = m_ranges.at(call.mapped());
    range.m_call = 0;
    if (range.m_state == State::Claiming) {
      HandleClaimReply(aNow, aWall, range, aEvent.m_result, aActions);
    } else if (range.m_state == State::Verifying) {
      HandleVerifyReply(aNow, aWall, range, aEvent.m_result, aActions);
    }
    return;
  } else {
    return;
  }
  ReconcileRanges(aNow, aWall, aActions);
}

void
LeasedRangeGuard::Handle(TimePoint aNow,
                         WallTime aWall,
                         const ReceiveHandover& aEvent,
                         GuardActions& aActions)
{
  CheckLease(aNow, aWall, aActions);
  if (aEvent.m_range >= kCommandRanges || m_shutdown ||
      !m_lease.Held(aNow, aWall) ||
      m_ranges.at(aEvent.m_range).m_state != State::None) {
    aActions.emplace_back(AnswerHandover{
      aEvent.m_request, false, "this host cannot accept the range" });
    return;
  }
  Range& range = m_ranges.at(aEvent.m_range);
  EraseRecords(range);
  range.m_incomingHandover = aEvent;
  Claim(range, aEvent.m_storeIndex, aActions);
}

void
LeasedRangeGuard::Handle(TimePoint aNow,
                         WallTime aWall,
                         const HandoverReply& aEvent,
                         GuardActions& aActions)
{
  CheckLease(aNow, aWall, aActions);
  const auto call = m_rangeCalls.extract(aEvent.m_call);
  if (!call) {
    return;
  }
  Range& range = m_ranges.at(call.mapped());
  if (!aEvent.m_accepted) {
    range.m_earliestHandoverAt = aNow + kHandoverRetryDelay;
    Reclaim(aNow, aWall, range, aActions);
    return;
  }
  const std::string owner = range.m_target;
  EraseRecords(range);
  range.m_state = State::None;
  range.m_target.clear();
  range.m_ownerHint = owner;
  range.m_observedIndex = 0;
  range.m_observedOwner = owner;
  range.m_observedSession.clear();
  range.m_ownerAlive = true;
  range.m_free = false;
  RouteRange(aNow, aWall, range, aActions);
  ReconcileRanges(aNow, aWall, aActions);
}

void
LeasedRangeGuard::Reclaim(TimePoint aNow,
                          WallTime aWall,
                          Range& aRange,
                          GuardActions& aActions)
{
  // The handover may still arrive at the peer. Its claim would expect the
  // current index, which this compare-and-swap changes.
  if (m_lease.Held(aNow, aWall)) {
    Claim(aRange, aRange.m_index, aActions);
  } else {
    Suspend(aNow, aWall, aRange, aActions);
  }
}

void
LeasedRangeGuard::Handle(TimePoint aNow,
                         WallTime aWall,
                         const MemberListChanged& aEvent,
                         GuardActions& aActions)
{
  CheckLease(aNow, aWall, aActions);
  std::vector<std::string> alive = aEvent.m_alive;
  std::sort(alive.begin(), alive.end());
  if (alive == m_alive) {
    return;
  }
  m_alive = std::move(alive);
  m_membersChangedAt = aNow;
  UpdateRanking();
  RequestListing(aNow);
  ReconcileRanges(aNow, aWall, aActions);
}

void
LeasedRangeGuard::Handle(TimePoint aNow,
                         WallTime aWall,
                         const BeginShutdown& aEvent,
                         GuardActions& aActions)
{
  CheckLease(aNow, aWall, aActions);
  GuardBase::Handle(aNow, aWall, aEvent, aActions);
  m_shutdownAt = aNow;
  std::erase(m_alive, m_options.m_host);
  UpdateRanking();
  RequestListing(aNow);
  ReconcileRanges(aNow, aWall, aActions);
}

// ---- Assignment -----------------------------------------------------------

void
LeasedRangeGuard::UpdateRanking()
{
  m_candidates = RankHosts(kCommandRanges, m_alive);
  if (m_candidates.size() > kMaxOwners) {
    m_candidates.resize(kMaxOwners);
  }
  for (Range& range : m_ranges) {
    const auto ranked = RankHosts(range.m_number, m_candidates);
    const auto own = std::find(ranked.begin(), ranked.end(), m_options.m_host);
    range.m_preferred = ranked.empty() ? std::string() : ranked.front();
    range.m_ownRank = own == ranked.end()
                        ? kUnranked
                        : static_cast<std::uint32_t>(own - ranked.begin());
  }
}

bool
LeasedRangeGuard::IsCandidate() const
{
  return std::find(m_candidates.begin(),
                   m_candidates.end(),
                   m_options.m_host) != m_candidates.end();
}

bool
LeasedRangeGuard::HoldsNoRange() const
{
  return std::all_of(m_ranges.begin(), m_ranges.end(), [](const Range& aRange) {
    return aRange.m_state == State::None && !aRange.m_hasRecords;
  });
}

std::size_t
LeasedRangeGuard::CountInState(State aState) const
{
  return static_cast<std::size_t>(
    std::count_if(m_ranges.begin(), m_ranges.end(), [&](const Range& aRange) {
      return aRange.m_state == aState;
    }));
}

void
LeasedRangeGuard::ReconcileRanges(TimePoint aNow,
                                  WallTime aWall,
                                  GuardActions& aActions)
{
  m_reconcileAt = aNow + kReconcileInterval;
  const bool candidate =
    IsCandidate() && !m_shutdown && aNow >= *m_startedAt + kStartupSessionDelay;
  m_lease.SetNeeded(aNow, candidate || !HoldsNoRange());
  CheckLease(aNow, aWall, aActions);
  m_outstandingClaims = CountInState(State::Claiming);
  for (Range& range : m_ranges) {
    switch (range.m_state) {
      case State::None:
        ReconcileUnowned(aNow, aWall, range, aActions);
        break;
      case State::Claiming:
        if (range.m_call == 0 && aNow >= range.m_retryAt) {
          WriteClaim(range, aActions);
        }
        break;
      case State::Verifying:
        if (range.m_call == 0 && aNow >= range.m_retryAt) {
          ReadClaim(range, aActions);
        }
        break;
      case State::Active:
      case State::Freezing:
        ExpireRecords(aWall, range);
        ReconcileOwned(aNow, aWall, range, aActions);
        break;
      case State::HandingOver:
        break;
    }
  }
  if (std::any_of(m_ranges.begin(), m_ranges.end(), [&](const Range& aRange) {
        return NeedsListing(aRange);
      })) {
    RequestListing(aNow);
  }
  RouteParked(aNow, aWall, aActions);
  if (aNow >= m_listDueAt && (IsCandidate() || !HoldsNoRange())) {
    SendListCall(aNow, aActions);
  }
  if (m_shutdown && !m_sessionDestroyed && HoldsNoRange() &&
      m_ledger.Running() == 0) {
    m_sessionDestroyed = true;
    m_lease.Destroy(aActions);
    CheckLease(aNow, aWall, aActions);
  }
}

void
LeasedRangeGuard::ReconcileUnowned(TimePoint aNow,
                                   WallTime aWall,
                                   Range& aRange,
                                   GuardActions& aActions)
{
  if (m_shutdown) {
    if (aRange.m_hasRecords && m_ledger.Running(aRange.m_number) == 0) {
      AbandonRange(aNow, aWall, aRange, aActions);
    }
    return;
  }
  if (!m_lease.Held(aNow, aWall) || m_outstandingClaims >= kMaxClaims) {
    return;
  }
  if (aRange.m_hasRecords) {
    Claim(aRange, aRange.m_index, aActions);
    return;
  }
  if (m_listingReceived && aRange.m_free &&
      aNow >= *m_startedAt + kStartupClaimDelay &&
      aRange.m_ownRank != kUnranked &&
      aNow >= aRange.m_freeSince + aRange.m_ownRank * kClaimDelayPerRank) {
    Claim(aRange, aRange.m_observedIndex, aActions);
  }
}

std::string
LeasedRangeGuard::ChooseHandoverTarget(TimePoint aNow,
                                       const Range& aRange) const
{
  const bool membersStable = aNow >= m_membersChangedAt + kRebalanceDelay;
  if (aRange.m_preferred == m_options.m_host ||
      !(membersStable || m_shutdown) || !m_lease.StoreReachable(aNow) ||
      aNow < aRange.m_earliestHandoverAt) {
    return {};
  }
  if (!m_shutdown) {
    return m_leaseHolders.contains(aRange.m_preferred) ? aRange.m_preferred
                                                       : std::string();
  }
  for (const std::string& host : RankHosts(aRange.m_number, m_candidates)) {
    if (m_leaseHolders.contains(host)) {
      return host;
    }
  }
  return {};
}

void
LeasedRangeGuard::ReconcileOwned(TimePoint aNow,
                                 WallTime aWall,
                                 Range& aRange,
                                 GuardActions& aActions)
{
  const std::string target = ChooseHandoverTarget(aNow, aRange);
  const bool running = m_ledger.Running(aRange.m_number) != 0;
  if (target.empty()) {
    aRange.m_target.clear();
    if (aRange.m_state == State::Freezing) {
      aRange.m_state = State::Active;
      RouteRange(aNow, aWall, aRange, aActions);
    }
    if (m_shutdown && !running &&
        aNow >= m_shutdownAt + kShutdownHandoverTimeout) {
      AbandonRange(aNow, aWall, aRange, aActions);
    }
    return;
  }
  if (aRange.m_target.empty()) {
    aRange.m_handoverDueSince = aNow;
  }
  aRange.m_target = target;
  if (running) {
    if (aNow >= aRange.m_handoverDueSince + kFreezeDelay) {
      aRange.m_state = State::Freezing;
    }
    return;
  }
  if (CountInState(State::HandingOver) < kMaxHandovers) {
    StartHandover(aRange, aActions);
  }
}

void
LeasedRangeGuard::StartHandover(Range& aRange, GuardActions& aActions)
{
  GK_INVARIANT(m_ledger.Running(aRange.m_number) == 0,
               InvariantId::AtMostOnce,
               "handover of a range with a running key");
  ++m_counters.m_handoversSent;
  aRange.m_state = State::HandingOver;
  aRange.m_call = m_calls.NextId();
  m_rangeCalls.emplace(aRange.m_call, aRange.m_number);
  aActions.emplace_back(SendHandover{ aRange.m_call,
                                      aRange.m_target,
                                      aRange.m_number,
                                      aRange.m_index,
                                      aRange.m_lowWatermark,
                                      m_ledger.Records(aRange.m_number) });
}

void
LeasedRangeGuard::AbandonRange(TimePoint aNow,
                               WallTime aWall,
                               Range& aRange,
                               GuardActions& aActions)
{
  EraseRecords(aRange);
  aRange.m_state = State::None;
  aRange.m_ownerAlive = false;
  RouteRange(aNow, aWall, aRange, aActions);
}

// ---- Listings of the store ------------------------------------------------

bool
LeasedRangeGuard::NeedsListing(const Range& aRange) const
{
  if (aRange.m_state != State::None || aRange.m_hasRecords || aRange.m_free ||
      m_shutdown) {
    return false;
  }
  if (!aRange.m_ownerAlive) {
    return aRange.m_ownRank <= 1;
  }
  return aRange.m_ownRank == 0 &&
         std::find(m_alive.begin(), m_alive.end(), aRange.m_observedOwner) ==
           m_alive.end();
}

void
LeasedRangeGuard::RequestListing(TimePoint aNow)
{
  m_listDueAt =
    std::min(m_listDueAt, std::max(aNow, m_listSentAt + kListRetryDelay));
  if (m_listCall == 0 && (IsCandidate() || !HoldsNoRange())) {
    m_reconcileAt = std::min(m_reconcileAt, m_listDueAt);
  }
}

void
LeasedRangeGuard::SendListCall(TimePoint aNow, GuardActions& aActions)
{
  if (m_listCall != 0) {
    return;
  }
  StoreCall call;
  call.m_operation = StoreOperation::List;
  call.m_key = m_options.m_storePrefix;
  m_listSentAt = aNow;
  m_listDueAt = aNow + kListInterval;
  m_listCall = m_calls.Send(std::move(call), aActions);
}

void
LeasedRangeGuard::HandleListReply(TimePoint aNow,
                                  WallTime aWall,
                                  const StoreResult& aResult,
                                  GuardActions& aActions)
{
  const Json list = aResult.m_status == StoreStatus::Ok
                      ? Json::parse(aResult.m_value, nullptr, false)
                      : Json();
  if (aResult.m_status != StoreStatus::NotFound && !list.is_array()) {
    m_listDueAt = aNow + kListRetryDelay;
    return;
  }
  std::map<std::string, std::string> sessions;
  std::map<std::string, const Json*> ranges;
  for (const Json& item : list) {
    const std::string key = item.value("key", "");
    const std::string hosts = m_options.m_storePrefix + "hosts/";
    if (key.starts_with(hosts)) {
      sessions[key.substr(hosts.size())] = item.value("session", "");
    } else {
      ranges[key] = &item;
    }
  }
  m_leaseHolders.clear();
  for (const auto& [host, session] : sessions) {
    if (!session.empty()) {
      m_leaseHolders.insert(host);
    }
  }
  m_listingReceived = true;
  for (Range& range : m_ranges) {
    const auto item =
      ranges.find(RangeKey(m_options.m_storePrefix, range.m_number));
    if (item == ranges.end()) {
      ObserveRange(aNow, range, 0, {}, {}, false);
      continue;
    }
    const Json value =
      Json::parse(item->second->value("value", ""), nullptr, false);
    const std::string owner =
      value.is_object() ? value.value("owner", "") : std::string();
    const std::string session =
      value.is_object() ? value.value("session", "") : std::string();
    const auto lease = sessions.find(owner);
    ObserveRange(aNow,
                 range,
                 item->second->value("index", std::uint64_t{ 0 }),
                 owner,
                 session,
                 lease != sessions.end() && !session.empty() &&
                   lease->second == session);
  }
  RouteParked(aNow, aWall, aActions);
}

void
LeasedRangeGuard::ObserveRange(TimePoint aNow,
                               Range& aRange,
                               std::uint64_t aIndex,
                               const std::string& aOwner,
                               const std::string& aSession,
                               bool aAlive)
{
  if (aRange.m_state != State::None) {
    return;
  }
  // A listing is not an atomic snapshot: the owner's session may have been
  // created between the reads of the two keys. Only a listing that was
  // requested after this content of the range's key had been observed proves
  // that the session has expired.
  const bool observedBefore = aIndex == aRange.m_observedIndex;
  const bool own = aOwner == m_options.m_host && aSession == m_session;
  if (!observedBefore) {
    aRange.m_observedIndex = aIndex;
    aRange.m_free = false;
    aRange.m_ownerHint.clear();
  }
  aRange.m_observedOwner = aOwner;
  aRange.m_observedSession = aSession;
  aRange.m_ownerAlive = aAlive && !own;
  if (aRange.m_ownerAlive) {
    aRange.m_free = false;
  } else if (!aRange.m_free && (observedBefore || own)) {
    aRange.m_free = true;
    aRange.m_freeSince = aNow;
  }
}

} // namespace goldcrestkeel
