#pragma once

#include "BackendPool.h"
#include "LatencyProfile.h"
#include "RelayPool.h"

#include <goldcrestkeel/forward/Forwarder.h>

#include <array>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestkeel {

/** First pause after a replica could not be reached. */
inline constexpr Duration kUnreachableBlock{ 150000 };

/** Why another copy of a leg is sent. */
enum class CopyReason
{
  First,
  /** The copies before it are late. */
  Hedge,
  /** The copies before it failed. */
  Retry,
  /** The copy before it had not been sent. */
  Move,
};

std::string_view
NameOf(CopyReason aReason);

/** One copy of one leg, sent to one replica. */
struct ForwardCopy
{
  ForwardId m_request = 0;
  std::uint32_t m_leg = 0;
  BackendGroup* m_group = nullptr;
  std::shared_ptr<PooledReplica> m_replica;
  /** Profile of the route to replicas at this distance; nullptr for a copy to
   *  another entry host. */
  LatencyProfile* m_profile = nullptr;
  TimePoint m_startedAt;
  /** When the replica stops working on it. */
  TimePoint m_deadline;
  std::optional<TimePoint> m_sentAt;
  bool m_late = false;
  /** The result is no longer needed. */
  bool m_abandoned = false;
  /** Shards that another entry host gathers, as positions of legs; m_replica
   *  stands for this host then. Empty for a copy to a replica. */
  std::vector<std::uint32_t> m_relayedLegs;
  TimePoint m_relayTargetAt;

  bool IsRelay() const { return !m_relayedLegs.empty(); }
};

/** The part of a request that one service answers. */
struct ForwardLeg
{
  enum class State
  {
    Running,
    /** Another entry host asks the shard. */
    Relayed,
    Waiting,
    Answered,
    Failed,
    /** Not asked, because the shard is overloaded and others are enough. */
    Skipped,
  };

  BackendGroup* m_group = nullptr;
  /** Position of the shard in the route's list. */
  std::uint32_t m_shard = 0;
  State m_state = State::Running;
  std::vector<CopyId> m_copies;
  /** Replicas that were chosen before. */
  std::vector<std::string> m_tried;
  /** Copies of which a byte was sent. */
  std::uint32_t m_sent = 0;
  /** Of these, copies that the replica proved not to have run. */
  std::uint32_t m_notRun = 0;
  ReplicaAnswer m_answer;
  bool m_hasFailureAnswer = false;
  /** Another entry host has asked the shard, or may have. */
  bool m_wasRelayed = false;
};

/** What is learned about a route; kept over versions of the table. */
struct RouteHistory
{
  /** By distance: legs of one route take equally long but for the way, and a
   *  near replica that pauses must not pass for a far one. */
  std::array<LatencyProfile, 3> m_profiles;
  /** State of the smooth weighted round robin, by service. */
  std::unordered_map<std::string, double> m_credit;

  LatencyProfile& ProfileTo(const PooledReplica& aReplica)
  {
    return m_profiles[static_cast<std::size_t>(aReplica.m_distance)];
  }
};

struct RunningForward
{
  ForwardRequest m_request;
  TimePoint m_startedAt;
  std::vector<ForwardLeg> m_legs;
  std::uint32_t m_answered = 0;
  std::uint32_t m_failed = 0;
  std::uint32_t m_copies = 0;
  /** When what is there is sent, if it is enough. */
  TimePoint m_targetAt;
  /** m_targetAt has passed. */
  bool m_pastTarget = false;
  RouteHistory* m_history = nullptr;
  /** Copies to other entry hosts that are open. */
  std::vector<CopyId> m_relays;
  /** Copies to other entry hosts that may have asked their shards. */
  std::uint32_t m_relaysSent = 0;
};

enum class ForwardTimer
{
  /** The copy is late: hedge it, or move it if it was not sent. */
  Late,
  /** The copy is so late that its replica counts as silent. */
  Silent,
  /** The abandoned copy is closed. */
  Abandon,
  /** The legs of the request that wait for a replica look again. */
  Wait,
  Target,
  Deadline,
};

class ForwarderImpl : public Forwarder
{
public:
  ForwarderImpl(const ForwarderOptions& aOptions,
                RandomSource& aRandom,
                ForwardSink& aSink);

  void SetTable(TimePoint aNow,
                std::shared_ptr<const RoutingTable> aTable) override;
  void SetLiveHosts(std::uint32_t aHosts) override;
  void SetHosts(TimePoint aNow, const std::vector<HostRecord>& aHosts) override;
  void UpdateReplica(TimePoint aNow, const ReplicaRecord& aRecord) override;
  void RemoveReplica(TimePoint aNow, const std::string& aId) override;
  void Start(TimePoint aNow, const ForwardRequest& aRequest) override;
  void Cancel(TimePoint aNow, ForwardId aRequest) override;
  void CopySent(TimePoint aNow, CopyId aCopy) override;
  void CopyAnswered(TimePoint aNow,
                    CopyId aCopy,
                    ReplicaAnswer&& aAnswer) override;
  void CopyFailed(TimePoint aNow, CopyId aCopy, CopyFailure aFailure) override;
  std::optional<TimePoint> NextTimer() const override;
  void OnTimer(TimePoint aNow) override;
  std::size_t Running() const override { return m_running.size(); }
  const ForwarderCounters& Counters() const override { return m_counters; }

private:
  struct Timer
  {
    TimePoint m_at;
    ForwardTimer m_kind = ForwardTimer::Deadline;
    /** Request or copy, depending on the kind. */
    std::uint64_t m_id = 0;

    bool operator<(const Timer& aOther) const { return m_at > aOther.m_at; }
  };

  /** Makes the legs of the request: its service, or its shards. */
  void MakeLegs(RunningForward& aForward);

  // ForwarderRelay.cpp: shards that other entry hosts gather.
  /** Marks the legs that other hosts are to gather. */
  std::vector<RelayPool::Part> DivideLegs(TimePoint aNow,
                                          RunningForward& aForward);
  void SendRelay(TimePoint aNow,
                 RunningForward& aForward,
                 const RelayPool::Part& aPart);
  void RelayAnswered(TimePoint aNow,
                     const ForwardCopy& aCopy,
                     ReplicaAnswer&& aAnswer);
  void RelayFailed(TimePoint aNow,
                   const ForwardCopy& aCopy,
                   CopyFailure aFailure);
  /** Asks the shards directly if nothing was sent. */
  void RelayIsLate(TimePoint aNow, CopyId aCopy);
  void AskInstead(TimePoint aNow,
                  RunningForward& aForward,
                  const ForwardCopy& aCopy,
                  std::string_view aReason);
  /** Whether aAnswer is one to aCopy that can be used. */
  static bool FitsRelay(const ForwardCopy& aCopy, const ReplicaAnswer& aAnswer);
  /** Ends the legs of aCopy that are not answered. */
  void FailRelayedLegs(TimePoint aNow,
                       RunningForward& aForward,
                       const ForwardCopy& aCopy);

  // ForwarderDispatch.cpp: which replica gets a copy, and when.
  void Dispatch(TimePoint aNow,
                RunningForward& aForward,
                std::uint32_t aLeg,
                CopyReason aReason);
  void SendTo(TimePoint aNow,
              RunningForward& aForward,
              std::uint32_t aLeg,
              const std::shared_ptr<PooledReplica>& aReplica,
              CopyReason aReason);
  void Wait(TimePoint aNow, RunningForward& aForward, std::uint32_t aLeg);
  void ServeWaiting(TimePoint aNow, BackendGroup& aGroup);
  bool MayRepeat(TimePoint aNow,
                 const RunningForward& aForward,
                 const ForwardLeg& aLeg,
                 CopyReason aReason);
  static Duration LateAfter(const RunningForward& aForward,
                            const ForwardCopy& aCopy);
  /** Takes load off overloaded shards: leaves them out of some of the requests
   *  that the route allows to do without them. */
  void SkipOverloaded(TimePoint aNow, RunningForward& aForward);
  void LookAgain(TimePoint aNow, ForwardId aRequest);
  void CopyIsLate(TimePoint aNow, CopyId aCopy);
  void CopyIsSilent(TimePoint aNow, CopyId aCopy);
  std::string ChooseService(const Route& aRoute);

  // ForwarderFinish.cpp: what the caller gets.
  bool Refuse(TimePoint aNow, RunningForward& aForward);
  void LegAnswered(TimePoint aNow,
                   RunningForward& aForward,
                   std::uint32_t aLeg,
                   ReplicaAnswer&& aAnswer);
  void LegFailed(TimePoint aNow, RunningForward& aForward, std::uint32_t aLeg);
  void CheckGather(TimePoint aNow, RunningForward& aForward);
  void FinishGathered(TimePoint aNow, RunningForward& aForward);
  void FinishFailed(TimePoint aNow, RunningForward& aForward, bool aTimedOut);
  void FinishWith(TimePoint aNow,
                  RunningForward& aForward,
                  ForwardResult&& aResult);
  void AbandonRelays(RunningForward& aForward);
  void AbandonCopies(TimePoint aNow, ForwardLeg& aLeg, Duration aDelay);

  void EndCopy(CopyId aCopy);
  void Retry(TimePoint aNow, RunningForward& aForward, std::uint32_t aLeg);
  void AddTimer(TimePoint aAt, ForwardTimer aKind, std::uint64_t aId);
  void LogDecision(std::string_view aWhat,
                   const RunningForward& aForward,
                   std::string_view aService,
                   std::string_view aReplica,
                   std::string_view aReason,
                   Duration aAge = Duration(0));
  /** Shards that a gathered answer may lack. */
  static std::uint32_t MayMiss(const RunningForward& aForward);
  /** Tells the shards whether the request left with or without them. */
  static void RecordGathered(TimePoint aNow, const RunningForward& aForward);
  static std::uint32_t NeededShards(const RunningForward& aForward);

  ForwarderOptions m_options;
  RandomSource& m_random;
  ForwardSink& m_sink;
  BackendPool m_pool;
  RelayPool m_relays;
  std::unordered_map<std::string, RouteHistory> m_routes;
  std::unordered_map<ForwardId, std::unique_ptr<RunningForward>> m_running;
  std::unordered_map<CopyId, ForwardCopy> m_copies;
  std::priority_queue<Timer> m_timers;
  CopyId m_nextCopy = 1;
  ForwarderCounters m_counters;
};

} // namespace goldcrestkeel
