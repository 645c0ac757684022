#pragma once

#include "BackendPool.h"
#include "LatencyProfile.h"

#include <goldcrestkeel/forward/Forwarder.h>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestkeel {

/** First backoff after a replica could not be reached. */
inline constexpr Duration kUnreachableBackoff{ 150000 };

/** How long a crash is attributed to the requests that ran, and how long these
 *  stay in quarantine. */
inline constexpr Duration kCrashMemory{ 600000000 };

/** Crashes that are attributed to requests with one fingerprint before they are
 *  quarantined. */
inline constexpr std::uint32_t kCrashesBeforeQuarantine = 3;

/** Why a copy of a sub-request is sent. */
enum class CopyReason
{
  First,
  /** The previous copy is late. */
  Hedge,
  /** The previous copies failed. */
  Retry,
  /** The previous copy had not been sent. */
  Move,
};

std::string_view
NameOf(CopyReason aReason);

/** Why another entry host is asked to serve a part of a request. */
enum class RelayReason
{
  /** It is beside the shards. */
  Nearer,
  /** This host can use no replica. */
  Fallback,
};

/** A copy of a sub-request to a replica, or a relay to another entry host. */
struct ForwardCopy
{
  ForwardId m_request = 0;
  std::uint32_t m_subRequest = 0;
  BackendGroup* m_group = nullptr;
  std::shared_ptr<PooledReplica> m_replica;
  /** Latencies of the route at this distance; nullptr for a relay. */
  LatencyProfile* m_profile = nullptr;
  TimePoint m_startedAt;
  /** Deadline that is sent with the copy. */
  TimePoint m_deadline;
  /** When the first byte was written; not set before. */
  std::optional<TimePoint> m_sentAt;
  /** When the service had last answered a request before that. */
  TimePoint m_servedAt = TimePoint::min();
  /** Valid once the copy was sent. */
  ConnectionState m_connection = ConnectionState::New;
  bool m_late = false;
  /** The result is no longer needed. */
  bool m_abandoned = false;
  /** Indexes of the sub-requests that another entry host gathers; m_replica is
   *  that host. Empty for a copy to a replica. */
  std::vector<std::uint32_t> m_relayedSubRequests;
  TimePoint m_relayTargetAt;
  RelayReason m_relayReason = RelayReason::Nearer;

  bool IsRelay() const { return !m_relayedSubRequests.empty(); }
  /** The replica has answered on the connection of this copy before. */
  bool IsOnProvenConnection() const
  {
    return m_sentAt && m_connection == ConnectionState::Proven;
  }
};

/** The part of a request that one service (one shard, if gathered) answers. */
struct SubRequest
{
  enum class State
  {
    Running,
    /** Another entry host queries the shard. */
    Relayed,
    /** Queued until a replica has capacity. */
    Waiting,
    Answered,
    Failed,
    /** Not queried: the shard is overloaded and the answer may lack it. */
    Skipped,
  };

  BackendGroup* m_group = nullptr;
  /** Index of the shard in the route's list. */
  std::uint32_t m_shard = 0;
  State m_state = State::Running;
  /** Copies in flight. */
  std::vector<CopyId> m_copies;
  /** Ids of replicas that were chosen before. */
  std::vector<std::string> m_triedReplicas;
  /** Number of copies of which at least one byte was sent. */
  std::uint32_t m_sent = 0;
  /** Number of these that a replica confirmed not to have run. */
  std::uint32_t m_notRun = 0;
  ReplicaAnswer m_answer;
  /** m_answer is an error answer with a stamp. */
  bool m_hasFailureAnswer = false;
  /** The shard was assigned to another entry host. */
  bool m_wasRelayed = false;
  /** Another entry host may have used the attempts that were left. */
  bool m_attemptsUsed = false;
};

/** State of a route that persists across versions of the table. */
struct RouteState
{
  /** Latencies by distance: sub-requests of a route differ mainly in network
   *  delay, and a paused nearby replica must not pass for a distant one. */
  std::array<LatencyProfile, 3> m_profiles;
  /** Credit of each service in the smooth weighted round robin. */
  std::unordered_map<std::string, double> m_credit;

  LatencyProfile& ProfileTo(const PooledReplica& aReplica)
  {
    return m_profiles[static_cast<std::size_t>(aReplica.m_distance)];
  }
};

/** A copy whose connection broke after it was sent. */
struct BrokenCopy
{
  std::shared_ptr<PooledReplica> m_replica;
  ConnectionState m_connection = ConnectionState::New;
  TimePoint m_sentAt;
  TimePoint m_brokeAt;
  /** When the service had last answered a request. */
  TimePoint m_servedAt;
};

/** A request in progress. */
struct RunningForward
{
  ForwardRequest m_request;
  /** Regions whose replicas and hosts may serve the request. It refers to lists
   *  in m_request.m_table. */
  RegionFilter m_regions;
  TimePoint m_startedAt;
  std::vector<SubRequest> m_subRequests;
  /** Number of sub-requests in state Answered. */
  std::uint32_t m_answered = 0;
  /** Number of sub-requests in state Failed or Skipped. */
  std::uint32_t m_failed = 0;
  std::uint32_t m_copies = 0;
  /** When a partial answer is sent if it covers enough shards. */
  TimePoint m_targetAt;
  /** m_targetAt has passed. */
  bool m_pastTarget = false;
  RouteState* m_routeState = nullptr;
  /** Relays in flight. */
  std::vector<CopyId> m_relays;
  /** Number of relays whose hosts may have queried their shards. */
  std::uint32_t m_relaysSent = 0;
  /** Ids of the hosts that were asked while contact was lost. */
  std::vector<std::string> m_fallbackHosts;
  std::vector<BrokenCopy> m_brokenCopies;
  /** A replica has run a copy and answered. */
  bool m_replicaAnswered = false;
  /** No host is left to be asked. */
  bool m_fallbackFailed = false;
};

} // namespace goldcrestkeel
