#pragma once

#include "GuardBase.h"

#include <string>

namespace goldcrestkeel {

/** Session of this host in the store, and the key that it locks, by which
 *  other hosts see whether the session lives. The lease counts from the time
 *  at which the call that created or renewed the session was made, so that it
 *  ends here no later than in the store. */
class HostLease
{
public:
  /** aKey is locked by the session. aCalls must outlive the lease. */
  HostLease(std::string aKey,
            std::string aHost,
            Duration aTtl,
            StoreCalls& aCalls);

  /** Whether this host needs a session. */
  void Want(TimePoint aNow, bool aWanted);

  /** True while no other host can see the session as lapsed. */
  bool Held(TimePoint aNow, WallTime aWall) const;
  /** End of the lease by this host's wall clock. */
  WallTime EndWall() const { return m_endWall; }
  const std::string& Session() const { return m_session; }
  /** The latest renewal is not late: the store can be reached. */
  bool StoreReachable(TimePoint aNow) const;

  /** Returns false if the call is not one of the lease. */
  bool Handle(TimePoint aNow,
              WallTime aWall,
              const StoreReply& aEvent,
              GuardActions& aActions);
  void FireTimers(TimePoint aNow, WallTime aWall, GuardActions& aActions);
  std::optional<TimePoint> NextTimer() const;

  /** Gives the session up. */
  void Destroy(GuardActions& aActions);

private:
  enum class Step
  {
    Idle,
    Creating,
    /** The session lives, its key is not locked yet. */
    Locking,
    Held,
  };

  void Create(TimePoint aNow, WallTime aWall, GuardActions& aActions);
  void Lock(TimePoint aNow, GuardActions& aActions);
  void Renew(TimePoint aNow, WallTime aWall, GuardActions& aActions);
  void Extend();
  void Lose(TimePoint aNow, GuardActions& aActions);
  void Created(TimePoint aNow,
               const StoreResult& aResult,
               GuardActions& aActions);
  void Locked(TimePoint aNow,
              const StoreResult& aResult,
              GuardActions& aActions);
  void Renewed(TimePoint aNow,
               const StoreResult& aResult,
               GuardActions& aActions);

  std::string m_key;
  std::string m_host;
  Duration m_ttl;
  StoreCalls& m_calls;

  bool m_wanted = false;
  TimePoint m_unwantedSince;
  Step m_step = Step::Idle;
  std::string m_session;
  TimePoint m_end;
  WallTime m_endWall = 0;
  /** Times at which the outstanding create or renewal was made. */
  TimePoint m_sentAt;
  WallTime m_sentWall = 0;
  GuardCallId m_createCall = 0;
  GuardCallId m_lockCall = 0;
  GuardCallId m_renewCall = 0;
  TimePoint m_createAt;
  TimePoint m_lockAt;
  TimePoint m_renewAt;
};

} // namespace goldcrestkeel
