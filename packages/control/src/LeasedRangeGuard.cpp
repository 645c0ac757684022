#include "LeasedRangeGuard.h"

#include <goldcrestkeel/core/Invariant.h>

#include <algorithm>

namespace goldcrestkeel {

namespace {

/** Delay before a request whose owner is unknown or unreachable is routed
 *  again. */
constexpr Duration kRouteBackoff{ 100000 };
/** Every redirect with this ordinal or a multiple of it is followed only after
 *  kRouteBackoff; the others are followed at once. */
constexpr std::uint32_t kRedirectsPerBackoff = 3;
/** Maximum number of keys in the ledger of one host; commands with further keys
 *  are refused. */
constexpr std::size_t kMaxTrackedKeys = 100000;

/** Whether a request may be forwarded to aHost; aUnreachable is the host that
 *  the latest forward could not reach. */
bool
IsForwardTarget(const std::string& aHost,
                const std::string& aSelf,
                const std::string& aUnreachable)
{
  return !aHost.empty() && aHost != aSelf && aHost != aUnreachable;
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
  UpdateRanking();
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
  if (RejectInvalidKey(aWall, aEvent, aActions)) {
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
LeasedRangeGuard::ShouldPark(TimePoint aNow,
                             WallTime aWall,
                             const Range& aRange) const
{
  if (aRange.m_state != State::None) {
    return true;
  }
  if (aRange.m_hasRecords) {
    return aNow < aRange.m_suspendedAt + kClaimDelayPerRank;
  }
  const bool owned =
    aRange.m_ownerAlive && aRange.m_observedOwner != m_options.m_host;
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
  if (m_ledger.Contains(key) || CanAccept(aNow, aWall, range)) {
    SubmitCommand event = aPending.m_event;
    event.m_deadline = aPending.m_deadline - aNow;
    m_pending.erase(request);
    Accept(aNow, aWall, range, event, aActions);
    return;
  }
  if (ShouldPark(aNow, aWall, range)) {
    aPending.m_waitReason = WaitReason::Parked;
    return;
  }
  if (aPending.m_event.m_forwarded) {
    m_pending.erase(request);
    RedirectRequest(range, request, aActions);
    return;
  }
  const std::string host = ChooseForwardHost(range, aPending);
  if (host.empty()) {
    RequestListing(aNow);
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
  if (m_ledger.Contains(key)) {
    m_ledger.AnswerOrWait(aNow, aEvent, aActions);
    return;
  }
  ExpireRecords(aWall, aRange);
  if (RejectInvalidKey(aWall, aEvent, aActions)) {
    return;
  }
  if (TimeOfKey(key).value_or(0) <= aRange.m_lowWatermark) {
    AnswerUnknown(aEvent.m_request,
                  ErrorKind::OutcomeUnknown,
                  "the key is older than the records of its owner, which begin "
                  "at unix milliseconds " +
                    std::to_string(aRange.m_lowWatermark),
                  aActions);
    return;
  }
  if (m_ledger.Size() >= kMaxTrackedKeys) {
    AnswerUnknown(aEvent.m_request,
                  ErrorKind::Overloaded,
                  "the owner of the key tracks the maximum number of keys",
                  aActions);
    return;
  }
  m_ledger.Admit(aNow, aWall, aEvent, aActions);
}

void
LeasedRangeGuard::ExpireRecords(WallTime aWall, Range& aRange)
{
  // The low watermark never decreases, so an expired key stays refused even if
  // the wall clock is set back.
  aRange.m_lowWatermark = std::max(aRange.m_lowWatermark, aWall - Retention());
  m_ledger.EraseUntil(aRange.m_number, aRange.m_lowWatermark);
}

void
LeasedRangeGuard::RedirectRequest(const Range& aRange,
                                  CommandRequestId aRequest,
                                  GuardActions& aActions)
{
  AnswerCommand answer;
  answer.m_request = aRequest;
  answer.m_notOwner = true;
  const std::string& self = m_options.m_host;
  if (IsForwardTarget(aRange.m_ownerHint, self, {})) {
    answer.m_owner = aRange.m_ownerHint;
  } else if (aRange.m_ownerAlive && aRange.m_observedOwner != self) {
    answer.m_owner = aRange.m_observedOwner;
  } else if (aRange.m_preferred != self) {
    answer.m_owner = aRange.m_preferred;
  }
  aActions.emplace_back(std::move(answer));
}

std::string
LeasedRangeGuard::ChooseForwardHost(const Range& aRange,
                                    const Pending& aPending) const
{
  const std::string& self = m_options.m_host;
  const std::string& unreachable = aPending.m_unreachable;
  if (IsForwardTarget(aRange.m_ownerHint, self, unreachable)) {
    return aRange.m_ownerHint;
  }
  if (aRange.m_ownerAlive &&
      IsForwardTarget(aRange.m_observedOwner, self, unreachable)) {
    return aRange.m_observedOwner;
  }
  for (const std::string& host : RankHosts(aRange.m_number, m_candidates)) {
    if (IsForwardTarget(host, self, unreachable)) {
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
  aPending.m_waitReason = WaitReason::Forwarded;
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
  aPending.m_waitReason = WaitReason::Backoff;
  aPending.m_retryAt = aNow + aDelay;
  m_timers.emplace(aPending.m_retryAt, aPending.m_event.m_request);
}

LeasedRangeGuard::Pending*
LeasedRangeGuard::CompleteForward(GuardCallId aCall)
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
  Pending* pending = CompleteForward(aEvent.m_call);
  if (pending == nullptr) {
    return;
  }
  if (!aEvent.m_notOwner) {
    const CommandRequestId request = pending->m_event.m_request;
    m_pending.erase(request);
    AppendAnswer(request, aEvent.m_outcome, m_counters, aActions);
    return;
  }
  Range& range = RangeOf(pending->m_event.m_command.m_key);
  if (range.m_ownerHint == pending->m_target) {
    range.m_ownerHint.clear();
  }
  const bool ownerNamed =
    IsForwardTarget(aEvent.m_owner, m_options.m_host, pending->m_target);
  if (ownerNamed) {
    range.m_ownerHint = aEvent.m_owner;
  }
  pending->m_unreachable.clear();
  if (ownerNamed && ++pending->m_redirects % kRedirectsPerBackoff != 0) {
    Route(aNow, aWall, *pending, aActions);
  } else {
    RequestListing(aNow);
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
    range.m_earliestHandoverAt = aNow + kHandoverRetryDelay;
    if (aEvent.m_neverSent) {
      // The peer did not receive the handover, so this host still owns the
      // range.
      range.m_state = State::Active;
      RouteRange(aNow, aWall, range, aActions);
    } else {
      Reclaim(aNow, aWall, range, aActions);
    }
    return;
  }
  Pending* pending = CompleteForward(aEvent.m_call);
  if (pending == nullptr) {
    return;
  }
  // After a lost reply the request is sent to the same host again: it may have
  // admitted the key, and only its ledger then has the outcome.
  if (aEvent.m_neverSent) {
    pending->m_unreachable = pending->m_target;
    Range& range = RangeOf(pending->m_event.m_command.m_key);
    if (range.m_ownerHint == pending->m_target) {
      range.m_ownerHint.clear();
    }
  }
  RequestListing(aNow);
  BackOff(aNow, *pending, kRouteBackoff);
}

void
LeasedRangeGuard::RouteRange(TimePoint aNow,
                             WallTime aWall,
                             const Range& aRange,
                             GuardActions& aActions)
{
  std::vector<CommandRequestId> parked;
  for (const auto& [request, pending] : m_pending) {
    if (pending.m_waitReason == WaitReason::Parked &&
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
    if (pending.m_waitReason == WaitReason::Parked &&
        !ShouldPark(aNow, aWall, RangeOf(pending.m_event.m_command.m_key))) {
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
LeasedRangeGuard::FirePendingTimers(TimePoint aNow,
                                    WallTime aWall,
                                    GuardActions& aActions)
{
  while (!m_timers.empty() && m_timers.begin()->first <= aNow) {
    const CommandRequestId request = m_timers.begin()->second;
    m_timers.erase(m_timers.begin());
    const auto found = m_pending.find(request);
    if (found == m_pending.end()) {
      continue;
    }
    const Pending& pending = found->second;
    if (pending.m_deadline <= aNow) {
      const std::uint32_t range = RangeOfKey(pending.m_event.m_command.m_key);
      m_forwards.erase(pending.m_call);
      m_pending.erase(found);
      AnswerUnknown(request,
                    ErrorKind::DeadlineExceeded,
                    "the owner of key range " + std::to_string(range) +
                      " did not answer in time",
                    aActions);
    } else if (pending.m_waitReason == WaitReason::Backoff &&
               pending.m_retryAt <= aNow) {
      RoutePending(aNow, aWall, request, aActions);
    } else if (pending.m_waitReason == WaitReason::Parked) {
      RoutePending(aNow, aWall, request, aActions);
    }
  }
}

// ---- Attempts -------------------------------------------------------------

std::optional<WallTime>
LeasedRangeGuard::LatestStart(TimePoint aNow,
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
LeasedRangeGuard::OnOutcome(TimePoint aNow,
                            WallTime,
                            const std::string& aKey,
                            const CommandOutcome&,
                            GuardActions&)
{
  const Range& range = RangeOf(aKey);
  if (range.m_state == State::Freezing ||
      (range.m_state == State::Active && !range.m_target.empty())) {
    m_reconcileAt = aNow;
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
  FirePendingTimers(aNow, aWall, aActions);
  if (aNow >= m_reconcileAt) {
    ReconcileRanges(aNow, aWall, aActions);
  }
}

std::optional<TimePoint>
LeasedRangeGuard::NextTimer() const
{
  TimePoint next = m_reconcileAt;
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
  return GuardBase::Drained() && m_pending.empty() && HoldsNoRange();
}

CommandGuardCounters
LeasedRangeGuard::Counters() const
{
  CommandGuardCounters counters = GuardBase::Counters();
  counters.m_ownedRanges = CountInState(State::Active);
  counters.m_waiting = m_pending.size();
  return counters;
}

std::unique_ptr<CommandGuard>
MakeLeasedRangeGuard(const CommandGuardOptions& aOptions, RandomSource& aRandom)
{
  return std::make_unique<LeasedRangeGuard>(aOptions, aRandom);
}

} // namespace goldcrestkeel
