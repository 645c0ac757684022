#include "HostLease.h"

#include <algorithm>

namespace goldcrestkeel {

namespace {

/** Delay before a failed create, lock or renewal call is retried. */
constexpr Duration kRetryDelay{ 500000 };
/** Time for which an unneeded session is kept, because the member list that
 *  made it unnecessary may change back. */
constexpr Duration kIdleSessionTime{ 30000000 };
/** The session is renewed after its time to live divided by this. */
constexpr int kRenewDivisor = 3;
/** A renewal without a reply is sent again after the time to live divided by
 *  this. */
constexpr int kRenewTimeoutDivisor = 6;

WallTime
ToWall(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace

HostLease::HostLease(std::string aKey,
                     std::string aHost,
                     Duration aTtl,
                     StoreCalls& aCalls)
  : m_key(std::move(aKey))
  , m_host(std::move(aHost))
  , m_ttl(aTtl)
  , m_calls(aCalls)
{
}

void
HostLease::SetNeeded(TimePoint aNow, bool aNeeded)
{
  if (aNeeded && !m_needed) {
    m_createAt = std::max(m_createAt, aNow);
  }
  if (!aNeeded && m_needed) {
    m_unneededSince = aNow;
  }
  m_needed = aNeeded;
}

bool
HostLease::Held(TimePoint aNow, WallTime aWall) const
{
  // The process may have been paused between the reads of the two clocks, so
  // both must be within the lease.
  return m_state == State::Held && aNow < m_end &&
         aWall < m_endWall - kMaxClockSkew;
}

bool
HostLease::StoreReachable(TimePoint aNow) const
{
  return m_state == State::Held && aNow + m_ttl / 2 < m_end;
}

void
HostLease::Create(TimePoint aNow, WallTime aWall, GuardActions& aActions)
{
  StoreCall call;
  call.m_operation = StoreOperation::CreateSession;
  call.m_ttl = m_ttl;
  m_state = State::Creating;
  m_requestTime = aNow;
  m_requestWall = aWall;
  m_createCall = m_calls.Send(std::move(call), aActions);
}

void
HostLease::Lock(TimePoint aNow, GuardActions& aActions)
{
  StoreCall call;
  call.m_operation = StoreOperation::Acquire;
  call.m_key = m_key;
  call.m_value = m_host;
  call.m_session = m_session;
  m_lockAt = aNow + m_ttl;
  m_lockCall = m_calls.Send(std::move(call), aActions);
}

void
HostLease::Renew(TimePoint aNow, WallTime aWall, GuardActions& aActions)
{
  StoreCall call;
  call.m_operation = StoreOperation::RenewSession;
  call.m_session = m_session;
  m_requestTime = aNow;
  m_requestWall = aWall;
  // The next renewal does not wait for a late reply.
  m_renewAt = aNow + m_ttl / kRenewTimeoutDivisor;
  m_renewCall = m_calls.Send(std::move(call), aActions);
}

void
HostLease::Extend()
{
  m_end = m_requestTime + m_ttl;
  m_endWall = m_requestWall + ToWall(m_ttl);
  m_renewAt = m_requestTime + m_ttl / kRenewDivisor;
}

void
HostLease::DiscardSession(TimePoint aNow, GuardActions& aActions)
{
  Destroy(aActions);
  m_createAt = aNow;
}

void
HostLease::Destroy(GuardActions& aActions)
{
  if (!m_session.empty()) {
    // Best effort: the call unlocks the key for the next session at once.
    // Nothing else depends on its result.
    StoreCall call;
    call.m_operation = StoreOperation::DestroySession;
    call.m_session = m_session;
    m_calls.Send(std::move(call), aActions);
  }
  m_session.clear();
  m_state = State::Idle;
  m_createCall = m_lockCall = m_renewCall = 0;
}

bool
HostLease::Handle(TimePoint aNow,
                  WallTime aWall,
                  const StoreReply& aEvent,
                  GuardActions& aActions)
{
  if (aEvent.m_call == m_createCall) {
    m_createCall = 0;
    HandleCreateReply(aNow, aEvent.m_result, aActions);
  } else if (aEvent.m_call == m_lockCall) {
    m_lockCall = 0;
    HandleLockReply(aNow, aEvent.m_result, aActions);
  } else if (aEvent.m_call == m_renewCall) {
    m_renewCall = 0;
    HandleRenewReply(aNow, aEvent.m_result, aActions);
  } else {
    return false;
  }
  FireTimers(aNow, aWall, aActions);
  return true;
}

void
HostLease::HandleCreateReply(TimePoint aNow,
                             const StoreResult& aResult,
                             GuardActions& aActions)
{
  if (aResult.m_status != StoreStatus::Ok) {
    m_state = State::Idle;
    m_createAt = aNow + kRetryDelay;
    return;
  }
  m_session = aResult.m_session;
  m_state = State::Locking;
  Extend();
  Lock(aNow, aActions);
}

void
HostLease::HandleLockReply(TimePoint aNow,
                           const StoreResult& aResult,
                           GuardActions& aActions)
{
  if (aResult.m_status == StoreStatus::Ok) {
    m_state = State::Held;
  } else if (aResult.m_status == StoreStatus::NotFound) {
    DiscardSession(aNow, aActions);
  } else {
    // On a conflict, an earlier session of this host has not expired yet.
    m_lockAt = aNow + kRetryDelay;
  }
}

void
HostLease::HandleRenewReply(TimePoint aNow,
                            const StoreResult& aResult,
                            GuardActions& aActions)
{
  if (aResult.m_status == StoreStatus::Ok) {
    Extend();
  } else if (aResult.m_status == StoreStatus::NotFound) {
    DiscardSession(aNow, aActions);
  } else {
    m_renewAt = aNow + kRetryDelay;
  }
}

void
HostLease::FireTimers(TimePoint aNow, WallTime aWall, GuardActions& aActions)
{
  if (m_state == State::Locking || m_state == State::Held) {
    if (!m_needed && aNow >= m_unneededSince + kIdleSessionTime) {
      Destroy(aActions);
    } else if (aNow >= m_end || aWall >= m_endWall) {
      DiscardSession(aNow, aActions);
    } else if (aNow >= m_renewAt) {
      Renew(aNow, aWall, aActions);
    }
  }
  if (m_state == State::Locking && m_lockCall == 0 && aNow >= m_lockAt) {
    Lock(aNow, aActions);
  }
  if (m_state == State::Idle && m_needed && aNow >= m_createAt) {
    Create(aNow, aWall, aActions);
  }
}

std::optional<TimePoint>
HostLease::NextTimer() const
{
  switch (m_state) {
    case State::Idle:
      return m_needed ? std::optional(m_createAt) : std::nullopt;
    case State::Creating:
      return std::nullopt;
    case State::Locking:
      return m_lockCall == 0 ? std::min({ m_lockAt, m_renewAt, m_end })
                             : std::min(m_renewAt, m_end);
    case State::Held:
      return std::min(m_renewAt, m_end);
  }
  return std::nullopt;
}

} // namespace goldcrestkeel
