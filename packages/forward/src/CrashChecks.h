#pragma once

#include "BackendPool.h"

#include <goldcrestkeel/forward/CrashReport.h>
#include <goldcrestkeel/forward/Forwarder.h>

#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** What made a replica look as if it had crashed. */
enum class CrashSign
{
  /** A connection that it had answered on broke while it had a request. */
  Broken,
  /** A new connection broke, after a request was sent on it. The replica may
   *  have been dead already. */
  BrokenNew,
  /** It answers nothing while it has a request. */
  Silent,
};

/** What a health check showed. */
enum class ProbeOutcome
{
  Answered,
  /** Nothing listens at the address, or another instance does. */
  Down,
  /** The network may be at fault, or the replica. */
  NoAnswer,
};

/** A replica that works on a request may answer others until it crashes, for
 *  this time after the request was sent. */
inline constexpr Duration kAnswersBeforeCrash{ 500000 };

/** A request that a replica had when it seemed to crash. */
struct CrashSuspicion
{
  CrashReport m_report;
  /** When the connection broke or, with CrashSign::Silent, when the request was
   *  sent. */
  TimePoint m_crashedAt;
  TimePoint m_sentAt;
  /** When the service had last answered a request before that. */
  TimePoint m_servedAt;
  CrashSign m_sign = CrashSign::Broken;
};

/** The end of a suspicion. */
struct CrashVerdict
{
  CrashSuspicion m_suspicion;
  CrashOutcome m_outcome = CrashOutcome::Counted;
  Duration m_age{ 0 };
};

/** What this host has heard of the other replicas. */
class ReplicaActivity
{
public:
  virtual ~ReplicaActivity() = default;
  /** Whether the host reaches replicas, and one has answered since. */
  virtual bool HasAnswerSince(TimePoint aTime) const = 0;
  /** When any replica has last answered. */
  virtual TimePoint LastAnswerAt() const = 0;
  /** Whether another replica in the data centre of aReplica has answered since.
   */
  virtual bool HasAnswerNear(const PooledReplica& aReplica,
                             TimePoint aTime) const = 0;
  /** The same for another replica of its service. */
  virtual bool HasAnswerOfService(const PooledReplica& aReplica,
                                  TimePoint aTime) const = 0;
};

/** Finds out whether replicas that broke off or fell silent have crashed. A
 *  replica is checked once for all requests that it had. */
class CrashChecks
{
public:
  bool IsEmpty() const { return m_checks.empty(); }

  /** Returns true if aReplica is to be probed, with aProbe as the id. */
  bool Add(TimePoint aNow,
           const std::shared_ptr<const PooledReplica>& aReplica,
           CrashSuspicion aSuspicion,
           CopyId aProbe);
  /** Takes the result of a health check, and the id of the replica that
   *  answered it, if any; returns false if aProbe is none. */
  bool EndProbe(CopyId aProbe,
                ProbeOutcome aOutcome,
                std::string_view aInstance = {});
  /** A replica has answered a request with this fingerprint. */
  void RequestAnswered(std::uint64_t aFingerprint);

  /** Ends the suspicions about which enough is known. */
  std::vector<CrashVerdict> Decide(TimePoint aNow,
                                   const ReplicaActivity& aActivity);
  /** Probes that have got no answer in time; to be called after Decide(). */
  std::vector<CopyId> TakeExpiredProbes();

private:
  struct Check
  {
    std::shared_ptr<const PooledReplica> m_replica;
    TimePoint m_startedAt;
    /** Not set while no probe is under way. */
    std::optional<CopyId> m_probe;
    /** Not set before anything is known. */
    std::optional<ProbeOutcome> m_outcome;
    std::vector<CrashSuspicion> m_suspicions;
  };

  static std::optional<CrashOutcome> Judge(TimePoint aNow,
                                           const Check& aCheck,
                                           const CrashSuspicion& aSuspicion,
                                           const ReplicaActivity& aActivity);

  std::map<const PooledReplica*, Check> m_checks;
  /** Suspicions that ended without a check. */
  std::vector<CrashVerdict> m_ended;
  std::vector<CopyId> m_expiredProbes;
};

} // namespace goldcrestkeel
