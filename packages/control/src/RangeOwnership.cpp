// Claims, handovers and assignment of the ranges of LeasedRangeGuard.

#include "LeasedRangeGuard.h"

#include <goldcrestkeel/core/Invariant.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace goldcrestkeel {

namespace {

using Json = nlohmann::json;

/** Hosts that may own ranges, chosen by rendezvous hashing. It bounds the
 *  renewals and reads of the store independently of the size of the fleet. */
constexpr std::size_t kMaxOwners = 32;
/** Time after the start in which no free range is claimed: the other hosts
 *  that start at the same time are not known yet. */
constexpr Duration kSettle{ 2000000 };
/** Time after the start in which no session is created: until the first member
 *  list arrives, every host takes itself for a candidate. */
constexpr Duration kLeaseDelay{ 1000000 };
/** Time after a member change before ranges move to their preferred host. */
constexpr Duration kRebalanceDelay{ 5000000 };
/** A range whose keys never stop running is frozen after this time. */
constexpr Duration kFreezeAfter{ 1000000 };
/** At shutdown: time to find a host that takes the ranges over. */
constexpr Duration kShutdownPatience{ 5000000 };
/** Wait before a store call that failed is made again. */
constexpr Duration kStoreRetry{ 300000 };
/** Interval of the views, and the shortest one while a range has no owner. */
constexpr Duration kViewInterval{ 10000000 };
constexpr Duration kViewRetry{ 500000 };
constexpr Duration kReviewInterval{ 250000 };
/** Bounds on outstanding claims and handovers, which smooth the load on the
 *  store after the loss of a host. */
constexpr std::size_t kMaxClaims = 32;
constexpr std::size_t kMaxOffers = 8;
constexpr std::uint32_t kNoRank = 1000;

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
  if (aRange.m_hasMemory && aIndex != aRange.m_index) {
    DropMemory(aRange);
  }
  ++m_claims;
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
LeasedRangeGuard::ClaimReply(TimePoint aNow,
                             WallTime aWall,
                             Range& aRange,
                             const StoreResult& aResult,
                             GuardActions& aActions)
{
  switch (aResult.m_status) {
    case StoreStatus::Ok:
      if (aResult.m_index != 0) {
        Claimed(aNow, aWall, aRange, aResult.m_index, aActions);
      } else {
        ReadClaim(aRange, aActions);
      }
      return;
    case StoreStatus::Conflict:
      // An earlier write with the same nonce may be the one that won.
      if (aRange.m_maybeWritten) {
        ReadClaim(aRange, aActions);
      } else {
        ClaimLost(aNow, aWall, aRange, aActions);
      }
      return;
    case StoreStatus::NotFound:
      ClaimLost(aNow, aWall, aRange, aActions);
      return;
    case StoreStatus::Failed:
      aRange.m_retryAt = aNow + kStoreRetry;
      return;
    case StoreStatus::Unknown:
      aRange.m_maybeWritten = true;
      ReadClaim(aRange, aActions);
      return;
  }
}

void
LeasedRangeGuard::VerifyReply(TimePoint aNow,
                              WallTime aWall,
                              Range& aRange,
                              const StoreResult& aResult,
                              GuardActions& aActions)
{
  const bool absent = aResult.m_status == StoreStatus::NotFound;
  if (aResult.m_status != StoreStatus::Ok && !absent) {
    aRange.m_retryAt = aNow + kStoreRetry;
    return;
  }
  const Json value = Json::parse(aResult.m_value, nullptr, false);
  if (!absent && value.is_object() &&
      value.value("nonce", "") == aRange.m_nonce) {
    Claimed(aNow, aWall, aRange, aResult.m_index, aActions);
  } else if ((absent ? 0 : aResult.m_index) == aRange.m_index) {
    // The write has not taken effect. It may still do so; the same nonce then
    // stands for both writes, of which only one can succeed.
    aRange.m_maybeWritten = true;
    WriteClaim(aRange, aActions);
  } else {
    ClaimLost(aNow, aWall, aRange, aActions);
  }
}

void
LeasedRangeGuard::Claimed(TimePoint aNow,
                          WallTime aWall,
                          Range& aRange,
                          std::uint64_t aIndex,
                          GuardActions& aActions)
{
  if (aRange.m_received) {
    DropMemory(aRange);
    aRange.m_floor = aRange.m_received->m_lowWatermark;
    for (const CommandRecord& record : aRange.m_received->m_records) {
      m_ledger.Remember(record);
    }
    ++m_counters.m_handoversReceived;
  } else if (!aRange.m_hasMemory) {
    // The previous owner, whose clock may be kMaxClockSkew ahead of this one,
    // accepted keys up to kMaxClockSkew ahead of its own clock.
    aRange.m_floor = aWall + 2 * kMaxClockSkew;
    ++m_counters.m_takeovers;
  }
  aRange.m_hasMemory = true;
  aRange.m_state = State::Active;
  aRange.m_index = aIndex;
  aRange.m_seenIndex = aIndex;
  aRange.m_seenOwner = m_options.m_host;
  aRange.m_seenSession = aRange.m_session;
  aRange.m_ownerAlive = true;
  aRange.m_free = false;
  aRange.m_hint.clear();
  AnswerReceived(aRange, true, aActions);
  RouteAll(aNow, aWall, aRange, aActions);
}

void
LeasedRangeGuard::ClaimLost(TimePoint aNow,
                            WallTime aWall,
                            Range& aRange,
                            GuardActions& aActions)
{
  DropMemory(aRange);
  aRange.m_state = State::None;
  aRange.m_free = false;
  AnswerReceived(aRange, false, aActions);
  RequestView(aNow);
  RouteAll(aNow, aWall, aRange, aActions);
}

void
LeasedRangeGuard::AnswerReceived(Range& aRange,
                                 bool aAccepted,
                                 GuardActions& aActions)
{
  if (aRange.m_received) {
    aActions.emplace_back(
      AnswerHandover{ aRange.m_received->m_request,
                      aAccepted,
                      aAccepted ? "" : "the range could not be claimed" });
    aRange.m_received.reset();
  }
}

void
LeasedRangeGuard::DropMemory(Range& aRange)
{
  m_ledger.Forget(aRange.m_number);
  aRange.m_hasMemory = false;
}

// ---- Lease ----------------------------------------------------------------

void
LeasedRangeGuard::CheckLease(TimePoint aNow,
                             WallTime aWall,
                             GuardActions& aActions)
{
  if (!m_startedAt) {
    m_startedAt = aNow;
    m_reviewAt = aNow;
  }
  m_lease.FireTimers(aNow, aWall, aActions);
  if (m_lease.Session() == m_session) {
    return;
  }
  m_counters.m_leasesLost += m_session.empty() || m_destroyed ? 0 : 1;
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
  // The memory stays valid: if a later compare-and-swap on the same index
  // succeeds, no other host has owned the range in between.
  if (aRange.m_received) {
    DropMemory(aRange);
    AnswerReceived(aRange, false, aActions);
  }
  m_rangeCalls.erase(aRange.m_call);
  aRange.m_state = State::None;
  aRange.m_target.clear();
  aRange.m_suspendedAt = aNow;
  RouteAll(aNow, aWall, aRange, aActions);
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
  } else if (aEvent.m_call == m_viewCall) {
    m_viewCall = 0;
    ViewReply(aNow, aWall, aEvent.m_result, aActions);
  } else if (const auto call = m_rangeCalls.extract(aEvent.m_call)) {
    Range& range = m_ranges.at(call.mapped());
    range.m_call = 0;
    if (range.m_state == State::Claiming) {
      ClaimReply(aNow, aWall, range, aEvent.m_result, aActions);
    } else if (range.m_state == State::Verifying) {
      VerifyReply(aNow, aWall, range, aEvent.m_result, aActions);
    }
    return;
  } else {
    return;
  }
  Review(aNow, aWall, aActions);
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
      aEvent.m_request, false, "this host cannot take the range over" });
    return;
  }
  Range& range = m_ranges.at(aEvent.m_range);
  DropMemory(range);
  range.m_received = aEvent;
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
    range.m_offerAfter = aNow + kOfferRetry;
    Reclaim(aNow, aWall, range, aActions);
    return;
  }
  const std::string owner = range.m_target;
  DropMemory(range);
  range.m_state = State::None;
  range.m_target.clear();
  range.m_hint = owner;
  range.m_seenIndex = 0;
  range.m_seenOwner = owner;
  range.m_seenSession.clear();
  range.m_ownerAlive = true;
  range.m_free = false;
  RouteAll(aNow, aWall, range, aActions);
  Review(aNow, aWall, aActions);
}

void
LeasedRangeGuard::Reclaim(TimePoint aNow,
                          WallTime aWall,
                          Range& aRange,
                          GuardActions& aActions)
{
  // A copy of the handover may still be on its way. It expects the present
  // index, which this compare-and-swap changes.
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
  RankAll();
  RequestView(aNow);
  Review(aNow, aWall, aActions);
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
  RankAll();
  RequestView(aNow);
  Review(aNow, aWall, aActions);
}

// ---- Assignment -----------------------------------------------------------

void
LeasedRangeGuard::RankAll()
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
                        ? kNoRank
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
LeasedRangeGuard::OwnsNothing() const
{
  return std::all_of(m_ranges.begin(), m_ranges.end(), [](const Range& aRange) {
    return aRange.m_state == State::None && !aRange.m_hasMemory;
  });
}

std::size_t
LeasedRangeGuard::CountIn(State aState) const
{
  return static_cast<std::size_t>(
    std::count_if(m_ranges.begin(), m_ranges.end(), [&](const Range& aRange) {
      return aRange.m_state == aState;
    }));
}

void
LeasedRangeGuard::Review(TimePoint aNow, WallTime aWall, GuardActions& aActions)
{
  m_reviewAt = aNow + kReviewInterval;
  const bool candidate =
    IsCandidate() && !m_shutdown && aNow >= *m_startedAt + kLeaseDelay;
  m_lease.Want(aNow, candidate || !OwnsNothing());
  CheckLease(aNow, aWall, aActions);
  m_claims = CountIn(State::Claiming);
  for (Range& range : m_ranges) {
    switch (range.m_state) {
      case State::None:
        ReviewFree(aNow, aWall, range, aActions);
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
        ForgetOld(aWall, range);
        ReviewActive(aNow, aWall, range, aActions);
        break;
      case State::Offered:
        break;
    }
  }
  if (std::any_of(m_ranges.begin(), m_ranges.end(), [&](const Range& aRange) {
        return NeedsView(aRange);
      })) {
    RequestView(aNow);
  }
  RouteParked(aNow, aWall, aActions);
  if (aNow >= m_viewDue && (IsCandidate() || !OwnsNothing())) {
    SendView(aNow, aActions);
  }
  if (m_shutdown && !m_destroyed && OwnsNothing() && m_ledger.Running() == 0) {
    m_destroyed = true;
    m_lease.Destroy(aActions);
    CheckLease(aNow, aWall, aActions);
  }
}

void
LeasedRangeGuard::ReviewFree(TimePoint aNow,
                             WallTime aWall,
                             Range& aRange,
                             GuardActions& aActions)
{
  if (m_shutdown) {
    if (aRange.m_hasMemory && m_ledger.Running(aRange.m_number) == 0) {
      GiveUp(aNow, aWall, aRange, aActions);
    }
    return;
  }
  if (!m_lease.Held(aNow, aWall) || m_claims >= kMaxClaims) {
    return;
  }
  if (aRange.m_hasMemory) {
    Claim(aRange, aRange.m_index, aActions);
    return;
  }
  if (m_viewKnown && aRange.m_free && aNow >= *m_startedAt + kSettle &&
      aRange.m_ownRank != kNoRank &&
      aNow >= aRange.m_freeSince + aRange.m_ownRank * kRankDelay) {
    Claim(aRange, aRange.m_seenIndex, aActions);
  }
}

std::string
LeasedRangeGuard::Target(TimePoint aNow, const Range& aRange) const
{
  const bool settled = aNow >= m_membersChangedAt + kRebalanceDelay;
  if (aRange.m_preferred == m_options.m_host || !(settled || m_shutdown) ||
      !m_lease.StoreReachable(aNow) || aNow < aRange.m_offerAfter) {
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
LeasedRangeGuard::ReviewActive(TimePoint aNow,
                               WallTime aWall,
                               Range& aRange,
                               GuardActions& aActions)
{
  const std::string target = Target(aNow, aRange);
  const bool running = m_ledger.Running(aRange.m_number) != 0;
  if (target.empty()) {
    aRange.m_target.clear();
    if (aRange.m_state == State::Freezing) {
      aRange.m_state = State::Active;
      RouteAll(aNow, aWall, aRange, aActions);
    }
    if (m_shutdown && !running && aNow >= m_shutdownAt + kShutdownPatience) {
      GiveUp(aNow, aWall, aRange, aActions);
    }
    return;
  }
  if (aRange.m_target.empty()) {
    aRange.m_offerSince = aNow;
  }
  aRange.m_target = target;
  if (running) {
    if (aNow >= aRange.m_offerSince + kFreezeAfter) {
      aRange.m_state = State::Freezing;
    }
    return;
  }
  if (CountIn(State::Offered) < kMaxOffers) {
    Offer(aRange, aActions);
  }
}

void
LeasedRangeGuard::Offer(Range& aRange, GuardActions& aActions)
{
  GK_INVARIANT(m_ledger.Running(aRange.m_number) == 0,
               InvariantId::AtMostOnce,
               "handover of a range in which a key runs");
  ++m_counters.m_handoversSent;
  aRange.m_state = State::Offered;
  aRange.m_call = m_calls.NextId();
  m_rangeCalls.emplace(aRange.m_call, aRange.m_number);
  aActions.emplace_back(SendHandover{ aRange.m_call,
                                      aRange.m_target,
                                      aRange.m_number,
                                      aRange.m_index,
                                      aRange.m_floor,
                                      m_ledger.Records(aRange.m_number) });
}

void
LeasedRangeGuard::GiveUp(TimePoint aNow,
                         WallTime aWall,
                         Range& aRange,
                         GuardActions& aActions)
{
  DropMemory(aRange);
  aRange.m_state = State::None;
  aRange.m_ownerAlive = false;
  RouteAll(aNow, aWall, aRange, aActions);
}

// ---- View of the store ----------------------------------------------------

bool
LeasedRangeGuard::NeedsView(const Range& aRange) const
{
  if (aRange.m_state != State::None || aRange.m_hasMemory || aRange.m_free ||
      m_shutdown) {
    return false;
  }
  if (!aRange.m_ownerAlive) {
    return aRange.m_ownRank <= 1;
  }
  return aRange.m_ownRank == 0 &&
         std::find(m_alive.begin(), m_alive.end(), aRange.m_seenOwner) ==
           m_alive.end();
}

void
LeasedRangeGuard::RequestView(TimePoint aNow)
{
  m_viewDue = std::min(m_viewDue, std::max(aNow, m_viewSentAt + kViewRetry));
  if (m_viewCall == 0 && (IsCandidate() || !OwnsNothing())) {
    m_reviewAt = std::min(m_reviewAt, m_viewDue);
  }
}

void
LeasedRangeGuard::SendView(TimePoint aNow, GuardActions& aActions)
{
  if (m_viewCall != 0) {
    return;
  }
  StoreCall call;
  call.m_operation = StoreOperation::List;
  call.m_key = m_options.m_storePrefix;
  m_viewSentAt = aNow;
  m_viewDue = aNow + kViewInterval;
  m_viewCall = m_calls.Send(std::move(call), aActions);
}

void
LeasedRangeGuard::ViewReply(TimePoint aNow,
                            WallTime aWall,
                            const StoreResult& aResult,
                            GuardActions& aActions)
{
  const Json list = aResult.m_status == StoreStatus::Ok
                      ? Json::parse(aResult.m_value, nullptr, false)
                      : Json();
  if (aResult.m_status != StoreStatus::NotFound && !list.is_array()) {
    m_viewDue = aNow + kViewRetry;
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
  m_viewKnown = true;
  for (Range& range : m_ranges) {
    const auto item =
      ranges.find(RangeKey(m_options.m_storePrefix, range.m_number));
    if (item == ranges.end()) {
      SeeRange(aNow, range, 0, {}, {}, false);
      continue;
    }
    const Json value =
      Json::parse(item->second->value("value", ""), nullptr, false);
    const std::string owner =
      value.is_object() ? value.value("owner", "") : std::string();
    const std::string session =
      value.is_object() ? value.value("session", "") : std::string();
    const auto lease = sessions.find(owner);
    SeeRange(aNow,
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
LeasedRangeGuard::SeeRange(TimePoint aNow,
                           Range& aRange,
                           std::uint64_t aIndex,
                           const std::string& aOwner,
                           const std::string& aSession,
                           bool aAlive)
{
  if (aRange.m_state != State::None) {
    return;
  }
  // A list is not one moment in time: the owner's session may have been created
  // between the reads of the two keys. Only a list that was requested after the
  // range's content had been seen proves that the session has lapsed.
  const bool seenBefore = aIndex == aRange.m_seenIndex;
  const bool own = aOwner == m_options.m_host && aSession == m_session;
  if (!seenBefore) {
    aRange.m_seenIndex = aIndex;
    aRange.m_free = false;
    aRange.m_hint.clear();
  }
  aRange.m_seenOwner = aOwner;
  aRange.m_seenSession = aSession;
  aRange.m_ownerAlive = aAlive && !own;
  if (aRange.m_ownerAlive) {
    aRange.m_free = false;
  } else if (!aRange.m_free && (seenBefore || own)) {
    aRange.m_free = true;
    aRange.m_freeSince = aNow;
  }
}

} // namespace goldcrestkeel
