#include "HostLease.h"

#include <algorithm>

namespace goldcrestkeel {

namespace {

/** Wait before a failed create, lock or renewal is tried again. */
constexpr Duration kRetry{ 500000 };
/** A session that is not needed is kept for this time: the member list that
 *  makes it unnecessary may be about to change back. */
constexpr Duration kIdleSession{ 30000000 };
/** A renewal is due after this part of the session's time to live. */
constexpr int kRenewParts = 3;
/** A renewal without a reply after this part is made again. */
constexpr int kLateParts = 6;

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
HostLease::Want(TimePoint aNow, bool aWanted)
{
  if (aWanted && !m_wanted) {
    m_createAt = std::max(m_createAt, aNow);
  }
  if (!aWanted && m_wanted) {
    m_unwantedSince = aNow;
  }
  m_wanted = aWanted;
}

bool
HostLease::Held(TimePoint aNow, WallTime aWall) const
{
  // Both clocks have to agree that the lease runs: one of them may have been
  // read before a pause and the other one after it.
  return m_step == Step::Held && aNow < m_end &&
         aWall < m_endWall - kMaxClockSkew;
}

bool
HostLease::StoreReachable(TimePoint aNow) const
{
  return m_step == Step::Held && aNow + m_ttl / 2 < m_end;
}

void
HostLease::Create(TimePoint aNow, WallTime aWall, GuardActions& aActions)
{
  StoreCall call;
  call.m_operation = StoreOperation::CreateSession;
  call.m_ttl = m_ttl;
  m_step = Step::Creating;
  m_sentAt = aNow;
  m_sentWall = aWall;
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
  m_sentAt = aNow;
  m_sentWall = aWall;
  // A reply that is late counts as lost; the next renewal does not wait for it.
  m_renewAt = aNow + m_ttl / kLateParts;
  m_renewCall = m_calls.Send(std::move(call), aActions);
}

void
HostLease::Extend()
{
  m_end = m_sentAt + m_ttl;
  m_endWall = m_sentWall + ToWall(m_ttl);
  m_renewAt = m_sentAt + m_ttl / kRenewParts;
}

void
HostLease::Lose(TimePoint aNow, GuardActions& aActions)
{
  Destroy(aActions);
  m_createAt = aNow;
}

void
HostLease::Destroy(GuardActions& aActions)
{
  if (!m_session.empty()) {
    // Nothing depends on this call: it frees the key for the next session.
    StoreCall call;
    call.m_operation = StoreOperation::DestroySession;
    call.m_session = m_session;
    m_calls.Send(std::move(call), aActions);
  }
  m_session.clear();
  m_step = Step::Idle;
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
    Created(aNow, aEvent.m_result, aActions);
  } else if (aEvent.m_call == m_lockCall) {
    m_lockCall = 0;
    Locked(aNow, aEvent.m_result, aActions);
  } else if (aEvent.m_call == m_renewCall) {
    m_renewCall = 0;
    Renewed(aNow, aEvent.m_result, aActions);
  } else {
    return false;
  }
  FireTimers(aNow, aWall, aActions);
  return true;
}

void
HostLease::Created(TimePoint aNow,
                   const StoreResult& aResult,
                   GuardActions& aActions)
{
  if (aResult.m_status != StoreStatus::Ok) {
    m_step = Step::Idle;
    m_createAt = aNow + kRetry;
    return;
  }
  m_session = aResult.m_session;
  m_step = Step::Locking;
  Extend();
  Lock(aNow, aActions);
}

void
HostLease::Locked(TimePoint aNow,
                  const StoreResult& aResult,
                  GuardActions& aActions)
{
  if (aResult.m_status == StoreStatus::Ok) {
    m_step = Step::Held;
  } else if (aResult.m_status == StoreStatus::NotFound) {
    Lose(aNow, aActions);
  } else {
    // A conflict: an earlier session of this host has not lapsed yet.
    m_lockAt = aNow + kRetry;
  }
}

void
HostLease::Renewed(TimePoint aNow,
                   const StoreResult& aResult,
                   GuardActions& aActions)
{
  if (aResult.m_status == StoreStatus::Ok) {
    Extend();
  } else if (aResult.m_status == StoreStatus::NotFound) {
    Lose(aNow, aActions);
  } else {
    m_renewAt = aNow + kRetry;
  }
}

void
HostLease::FireTimers(TimePoint aNow, WallTime aWall, GuardActions& aActions)
{
  if (m_step == Step::Locking || m_step == Step::Held) {
    if (!m_wanted && aNow >= m_unwantedSince + kIdleSession) {
      Destroy(aActions);
    } else if (aNow >= m_end || aWall >= m_endWall) {
      Lose(aNow, aActions);
    } else if (aNow >= m_renewAt) {
      Renew(aNow, aWall, aActions);
    }
  }
  if (m_step == Step::Locking && m_lockCall == 0 && aNow >= m_lockAt) {
    Lock(aNow, aActions);
  }
  if (m_step == Step::Idle && m_wanted && aNow >= m_createAt) {
    Create(aNow, aWall, aActions);
  }
}

std::optional<TimePoint>
HostLease::NextTimer() const
{
  switch (m_step) {
    case Step::Idle:
      return m_wanted ? std::optional(m_createAt) : std::nullopt;
    case Step::Creating:
      return std::nullopt;
    case Step::Locking:
      return m_lockCall == 0 ? std::min({ m_lockAt, m_renewAt, m_end })
                             : std::min(m_renewAt, m_end);
    case Step::Held:
      return std::min(m_renewAt, m_end);
  }
  return std::nullopt;
}

} // namespace goldcrestkeel
