#include "LeasedRangeGuard.h"

#include <goldcrestkeel/core/Invariant.h>

#include <algorithm>

namespace goldcrestkeel {

namespace {

/** First wait of a request whose owner is not known or not reached. */
constexpr Duration kRouteBackoff{ 100000 };
/** A redirect is followed at once this many times, then after a wait. */
constexpr std::uint32_t kHops = 3;
/** Keys that one host remembers; further ones are refused. */
constexpr std::size_t kMaxRemembered = 100000;

bool
Reachable(const std::string& aHost,
          const std::string& aSelf,
          const std::string& aAvoid)
{
  return !aHost.empty() && aHost != aSelf && aHost != aAvoid;
}

} // namespace

LeasedRangeGuard::LeasedRangeGuard(const CommandGuardOptions& aOptions,
                                   RandomSource& aRandom)
  : GuardBase(aOptions)
  , m_random(aRandom)
  , m_lease(aOptions.m_storePrefix + "hosts/" + aOptions.m_host,
            aOptions.m_host,
            aOptions.m_sessionTtl,
            m_calls)
{
  for (std::uint32_t i = 0; i < kCommandRanges; ++i) {
    m_ranges.at(i).m_number = i;
  }
  m_alive.push_back(aOptions.m_host);
  RankAll();
}

// ---- Requests -------------------------------------------------------------

LeasedRangeGuard::Range&
LeasedRangeGuard::RangeOf(const std::string& aKey)
{
  return m_ranges.at(RangeOfKey(aKey));
}

const LeasedRangeGuard::Range&
LeasedRangeGuard::RangeOf(const std::string& aKey) const
{
  return m_ranges.at(RangeOfKey(aKey));
}

void
LeasedRangeGuard::Handle(TimePoint aNow,
                         WallTime aWall,
                         const SubmitCommand& aEvent,
                         GuardActions& aActions)
{
  CheckLease(aNow, aWall, aActions);
  ++m_counters.m_commands;
  if (AnswerBadKey(aWall, aEvent, aActions)) {
    return;
  }
  Pending& pending = m_pending[aEvent.m_request];
  pending.m_event = aEvent;
  pending.m_deadline = aNow + aEvent.m_deadline;
  m_timers.emplace(pending.m_deadline, aEvent.m_request);
  Route(aNow, aWall, pending, aActions);
}

bool
LeasedRangeGuard::CanAccept(TimePoint aNow,
                            WallTime aWall,
                            const Range& aRange) const
{
  return aRange.m_state == State::Active &&
         aRange.m_session == m_lease.Session() && m_lease.Held(aNow, aWall);
}

bool
LeasedRangeGuard::Parks(TimePoint aNow,
                        WallTime aWall,
                        const Range& aRange) const
{
  if (aRange.m_state != State::None) {
    return true;
  }
  if (aRange.m_hasMemory) {
    return aNow < aRange.m_suspendedAt + kRankDelay;
  }
  const bool owned =
    aRange.m_ownerAlive && aRange.m_seenOwner != m_options.m_host;
  return !m_shutdown && !owned && aRange.m_ownRank == 0 &&
         m_lease.Held(aNow, aWall);
}

void
LeasedRangeGuard::Route(TimePoint aNow,
                        WallTime aWall,
                        Pending& aPending,
                        GuardActions& aActions)
{
  const std::string& key = aPending.m_event.m_command.m_key;
  const CommandRequestId request = aPending.m_event.m_request;
  Range& range = RangeOf(key);
  if (m_ledger.Knows(key) || CanAccept(aNow, aWall, range)) {
    SubmitCommand event = aPending.m_event;
    event.m_deadline = aPending.m_deadline - aNow;
    m_pending.erase(request);
    Accept(aNow, aWall, range, event, aActions);
    return;
  }
  if (Parks(aNow, aWall, range)) {
    aPending.m_wait = Wait::Parked;
    return;
  }
  if (aPending.m_event.m_forwarded) {
    m_pending.erase(request);
    Redirect(range, request, aActions);
    return;
  }
  const std::string host = Guess(range, aPending);
  if (host.empty()) {
    RequestView(aNow);
    BackOff(aNow, aPending, kRouteBackoff);
  } else {
    Forward(aPending, host, aActions);
  }
}

void
LeasedRangeGuard::Accept(TimePoint aNow,
                         WallTime aWall,
                         Range& aRange,
                         const SubmitCommand& aEvent,
                         GuardActions& aActions)
{
  const std::string& key = aEvent.m_command.m_key;
  if (m_ledger.Knows(key)) {
    m_ledger.Join(aNow, aEvent, aActions);
    return;
  }
  ForgetOld(aWall, aRange);
  if (AnswerBadKey(aWall, aEvent, aActions)) {
    return;
  }
  if (TimeOfKey(key).value_or(0) <= aRange.m_floor) {
    AnswerUnknown(aEvent.m_request,
                  ErrorKind::OutcomeUnknown,
                  "the key is older than the memory of its owner, which begins "
                  "at " +
                    std::to_string(aRange.m_floor),
                  aActions);
    return;
  }
  if (m_ledger.Size() >= kMaxRemembered) {
    AnswerUnknown(aEvent.m_request,
                  ErrorKind::Overloaded,
                  "the owner remembers too many keys",
                  aActions);
    return;
  }
  m_ledger.Admit(aNow, aWall, aEvent, aActions);
}

void
LeasedRangeGuard::ForgetOld(WallTime aWall, Range& aRange)
{
  // The floor only rises, so that a forgotten key stays refused even if the
  // wall clock is set back.
  aRange.m_floor = std::max(aRange.m_floor, aWall - Retention());
  m_ledger.ForgetUntil(aRange.m_number, aRange.m_floor);
}

void
LeasedRangeGuard::Redirect(const Range& aRange,
                           CommandRequestId aRequest,
                           GuardActions& aActions)
{
  AnswerCommand answer;
  answer.m_request = aRequest;
  answer.m_notOwner = true;
  const std::string& self = m_options.m_host;
  if (Reachable(aRange.m_hint, self, {})) {
    answer.m_owner = aRange.m_hint;
  } else if (aRange.m_ownerAlive && aRange.m_seenOwner != self) {
    answer.m_owner = aRange.m_seenOwner;
  } else if (aRange.m_preferred != self) {
    answer.m_owner = aRange.m_preferred;
  }
  aActions.emplace_back(std::move(answer));
}

std::string
LeasedRangeGuard::Guess(const Range& aRange, const Pending& aPending) const
{
  const std::string& self = m_options.m_host;
  const std::string& avoid = aPending.m_avoid;
  if (Reachable(aRange.m_hint, self, avoid)) {
    return aRange.m_hint;
  }
  if (aRange.m_ownerAlive && Reachable(aRange.m_seenOwner, self, avoid)) {
    return aRange.m_seenOwner;
  }
  for (const std::string& host : RankHosts(aRange.m_number, m_candidates)) {
    if (Reachable(host, self, avoid)) {
      return host;
    }
  }
  return {};
}

void
LeasedRangeGuard::Forward(Pending& aPending,
                          const std::string& aHost,
                          GuardActions& aActions)
{
  const GuardCallId call = m_calls.NextId();
  aPending.m_wait = Wait::Forwarded;
  aPending.m_call = call;
  aPending.m_target = aHost;
  m_forwards.emplace(call, aPending.m_event.m_request);
  ++m_counters.m_forwards;
  aActions.emplace_back(ForwardCommand{
    call, aHost, aPending.m_event.m_command, aPending.m_deadline });
}

void
LeasedRangeGuard::BackOff(TimePoint aNow, Pending& aPending, Duration aDelay)
{
  aPending.m_wait = Wait::Backoff;
  aPending.m_retryAt = aNow + aDelay;
  m_timers.emplace(aPending.m_retryAt, aPending.m_event.m_request);
}

LeasedRangeGuard::Pending*
LeasedRangeGuard::PendingOf(GuardCallId aCall)
{
  const auto forward = m_forwards.find(aCall);
  if (forward == m_forwards.end()) {
    return nullptr;
  }
  const auto pending = m_pending.find(forward->second);
  m_forwards.erase(forward);
  return pending == m_pending.end() ? nullptr : &pending->second;
}

void
LeasedRangeGuard::Handle(TimePoint aNow,
                         WallTime aWall,
                         const ForwardReply& aEvent,
                         GuardActions& aActions)
{
  CheckLease(aNow, aWall, aActions);
  Pending* pending = PendingOf(aEvent.m_call);
  if (pending == nullptr) {
    return;
  }
  if (!aEvent.m_notOwner) {
    const CommandRequestId request = pending->m_event.m_request;
    m_pending.erase(request);
    Answer(request, aEvent.m_outcome, m_counters, aActions);
    return;
  }
  Range& range = RangeOf(pending->m_event.m_command.m_key);
  if (range.m_hint == pending->m_target) {
    range.m_hint.clear();
  }
  const bool named =
    Reachable(aEvent.m_owner, m_options.m_host, pending->m_target);
  if (named) {
    range.m_hint = aEvent.m_owner;
  }
  pending->m_avoid.clear();
  if (named && ++pending->m_hops % kHops != 0) {
    Route(aNow, aWall, *pending, aActions);
  } else {
    RequestView(aNow);
    BackOff(aNow, *pending, kRouteBackoff);
  }
}

void
LeasedRangeGuard::Handle(TimePoint aNow,
                         WallTime aWall,
                         const PeerFailure& aEvent,
                         GuardActions& aActions)
{
  CheckLease(aNow, aWall, aActions);
  if (const auto call = m_rangeCalls.extract(aEvent.m_call)) {
    Range& range = m_ranges.at(call.mapped());
    range.m_offerAfter = aNow + kOfferRetry;
    if (aEvent.m_neverSent) {
      // No copy of this handover exists: the range is still this host's.
      range.m_state = State::Active;
      RouteAll(aNow, aWall, range, aActions);
    } else {
      Reclaim(aNow, aWall, range, aActions);
    }
    return;
  }
  Pending* pending = PendingOf(aEvent.m_call);
  if (pending == nullptr) {
    return;
  }
  // A lost reply is no reason to avoid the host: it knows the key, and its
  // answer to the same key is the true one.
  if (aEvent.m_neverSent) {
    pending->m_avoid = pending->m_target;
    Range& range = RangeOf(pending->m_event.m_command.m_key);
    if (range.m_hint == pending->m_target) {
      range.m_hint.clear();
    }
  }
  RequestView(aNow);
  BackOff(aNow, *pending, kRouteBackoff);
}

void
LeasedRangeGuard::RouteAll(TimePoint aNow,
                           WallTime aWall,
                           const Range& aRange,
                           GuardActions& aActions)
{
  std::vector<CommandRequestId> parked;
  for (const auto& [request, pending] : m_pending) {
    if (pending.m_wait == Wait::Parked &&
        RangeOfKey(pending.m_event.m_command.m_key) == aRange.m_number) {
      parked.push_back(request);
    }
  }
  std::sort(parked.begin(), parked.end());
  for (const CommandRequestId request : parked) {
    RoutePending(aNow, aWall, request, aActions);
  }
}

void
LeasedRangeGuard::RouteParked(TimePoint aNow,
                              WallTime aWall,
                              GuardActions& aActions)
{
  std::vector<CommandRequestId> released;
  for (const auto& [request, pending] : m_pending) {
    if (pending.m_wait == Wait::Parked &&
        !Parks(aNow, aWall, RangeOf(pending.m_event.m_command.m_key))) {
      released.push_back(request);
    }
  }
  std::sort(released.begin(), released.end());
  for (const CommandRequestId request : released) {
    RoutePending(aNow, aWall, request, aActions);
  }
}

void
LeasedRangeGuard::RoutePending(TimePoint aNow,
                               WallTime aWall,
                               CommandRequestId aRequest,
                               GuardActions& aActions)
{
  const auto pending = m_pending.find(aRequest);
  if (pending != m_pending.end()) {
    Route(aNow, aWall, pending->second, aActions);
  }
}

void
LeasedRangeGuard::ExpirePending(TimePoint aNow,
                                WallTime aWall,
                                GuardActions& aActions)
{
  while (!m_timers.empty() && m_timers.begin()->first <= aNow) {
    const CommandRequestId request = m_timers.begin()->second;
    m_timers.erase(m_timers.begin());
    const auto place = m_pending.find(request);
    if (place == m_pending.end()) {
      continue;
    }
    const Pending& pending = place->second;
    if (pending.m_deadline <= aNow) {
      const std::uint32_t range = RangeOfKey(pending.m_event.m_command.m_key);
      m_forwards.erase(pending.m_call);
      m_pending.erase(place);
      AnswerUnknown(request,
                    ErrorKind::DeadlineExceeded,
                    "the owner of key range " + std::to_string(range) +
                      " did not answer in time",
                    aActions);
    } else if (pending.m_wait == Wait::Backoff && pending.m_retryAt <= aNow) {
      RoutePending(aNow, aWall, request, aActions);
    } else if (pending.m_wait == Wait::Parked) {
      RoutePending(aNow, aWall, request, aActions);
    }
  }
}

// ---- Attempts -------------------------------------------------------------

std::optional<WallTime>
LeasedRangeGuard::SendUntil(TimePoint aNow,
                            WallTime aWall,
                            const std::string& aKey) const
{
  const Range& range = RangeOf(aKey);
  const bool owner =
    (range.m_state == State::Active || range.m_state == State::Freezing) &&
    range.m_session == m_lease.Session() && m_lease.Held(aNow, aWall);
  if (!owner) {
    return std::nullopt;
  }
  return m_lease.EndWall() - kMaxClockSkew;
}

void
LeasedRangeGuard::Finished(TimePoint aNow,
                           WallTime,
                           const std::string& aKey,
                           const CommandOutcome&,
                           GuardActions&)
{
  const Range& range = RangeOf(aKey);
  if (range.m_state == State::Freezing ||
      (range.m_state == State::Active && !range.m_target.empty())) {
    m_reviewAt = aNow;
  }
}

void
LeasedRangeGuard::Handle(TimePoint aNow,
                         WallTime aWall,
                         const BackendReply& aEvent,
                         GuardActions& aActions)
{
  CheckLease(aNow, aWall, aActions);
  GuardBase::Handle(aNow, aWall, aEvent, aActions);
}

void
LeasedRangeGuard::Handle(TimePoint aNow,
                         WallTime aWall,
                         const BackendFailure& aEvent,
                         GuardActions& aActions)
{
  CheckLease(aNow, aWall, aActions);
  GuardBase::Handle(aNow, aWall, aEvent, aActions);
}

void
LeasedRangeGuard::Handle(TimePoint aNow,
                         WallTime aWall,
                         const NoReplicaForCommand& aEvent,
                         GuardActions& aActions)
{
  CheckLease(aNow, aWall, aActions);
  GuardBase::Handle(aNow, aWall, aEvent, aActions);
}

// ---- Timers ---------------------------------------------------------------

void
LeasedRangeGuard::FireTimers(TimePoint aNow,
                             WallTime aWall,
                             GuardActions& aActions)
{
  CheckLease(aNow, aWall, aActions);
  GuardBase::FireTimers(aNow, aWall, aActions);
  ExpirePending(aNow, aWall, aActions);
  if (aNow >= m_reviewAt) {
    Review(aNow, aWall, aActions);
  }
}

std::optional<TimePoint>
LeasedRangeGuard::NextTimer() const
{
  TimePoint next = m_reviewAt;
  if (const auto ledger = GuardBase::NextTimer()) {
    next = std::min(next, *ledger);
  }
  if (const auto lease = m_lease.NextTimer()) {
    next = std::min(next, *lease);
  }
  if (!m_timers.empty()) {
    next = std::min(next, m_timers.begin()->first);
  }
  return next;
}

bool
LeasedRangeGuard::Drained() const
{
  return GuardBase::Drained() && m_pending.empty() && OwnsNothing();
}

CommandGuardCounters
LeasedRangeGuard::Counters() const
{
  CommandGuardCounters counters = GuardBase::Counters();
  counters.m_ownedRanges = CountIn(State::Active);
  counters.m_waiting = m_pending.size();
  return counters;
}

std::unique_ptr<CommandGuard>
MakeLeasedRangeGuard(const CommandGuardOptions& aOptions, RandomSource& aRandom)
{
  return std::make_unique<LeasedRangeGuard>(aOptions, aRandom);
}

} // namespace goldcrestkeel
