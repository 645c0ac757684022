#pragma once

#include "GuardBase.h"

#include <string>

namespace goldcrestkeel {

/** Store session of this host, and the store key that it locks so that other
 *  hosts can see whether the session is alive. The lease runs from the time at
 *  which the call that created or renewed the session was sent, so it ends on
 *  this host no later than in the store. */
class HostLease
{
public:
  /** aKey is the store key to lock, with aHost as its value; aTtl is the time
   *  to live of the session in microseconds. aCalls must outlive the lease. */
  HostLease(std::string aKey,
            std::string aHost,
            Duration aTtl,
            StoreCalls& aCalls);

  /** Sets whether this host needs a session. */
  void SetNeeded(TimePoint aNow, bool aNeeded);

  /** True if the key is locked and no other host can see the session as expired
   *  yet. */
  bool Held(TimePoint aNow, WallTime aWall) const;
  /** End of the lease by this host's wall clock, in milliseconds. */
  WallTime EndWall() const { return m_endWall; }
  const std::string& Session() const { return m_session; }
  /** True while more than half of the lease remains: the store answers
   *  renewals. */
  bool StoreReachable(TimePoint aNow) const;

  /** Returns false if the reply is not for a call of the lease. */
  bool Handle(TimePoint aNow,
              WallTime aWall,
              const StoreReply& aEvent,
              GuardActions& aActions);
  void FireTimers(TimePoint aNow, WallTime aWall, GuardActions& aActions);
  std::optional<TimePoint> NextTimer() const;

  /** Destroys the session, if any. */
  void Destroy(GuardActions& aActions);

private:
  enum class State
  {
    Idle,
    Creating,
    /** The session exists; its key is not locked yet. */
    Locking,
    Held,
  };

  void Create(TimePoint aNow, WallTime aWall, GuardActions& aActions);
  void Lock(TimePoint aNow, GuardActions& aActions);
  void Renew(TimePoint aNow, WallTime aWall, GuardActions& aActions);
  /** Extends the lease from the time at which the call was sent. */
  void Extend();
  /** Destroys the session; a new one is created when needed. */
  void DiscardSession(TimePoint aNow, GuardActions& aActions);
  void HandleCreateReply(TimePoint aNow,
                         const StoreResult& aResult,
                         GuardActions& aActions);
  void HandleLockReply(TimePoint aNow,
                       const StoreResult& aResult,
                       GuardActions& aActions);
  void HandleRenewReply(TimePoint aNow,
                        const StoreResult& aResult,
                        GuardActions& aActions);

  std::string m_key;
  std::string m_host;
  Duration m_ttl;
  StoreCalls& m_calls;

  bool m_needed = false;
  TimePoint m_unneededSince;
  State m_state = State::Idle;
  std::string m_session;
  /** End of the lease by the monotonic clock. */
  TimePoint m_end;
  WallTime m_endWall = 0;
  /** Times at which the outstanding create or renewal call was sent. */
  TimePoint m_requestTime;
  WallTime m_requestWall = 0;
  GuardCallId m_createCall = 0;
  GuardCallId m_lockCall = 0;
  GuardCallId m_renewCall = 0;
  TimePoint m_createAt;
  TimePoint m_lockAt;
  TimePoint m_renewAt;
};

} // namespace goldcrestkeel
