#pragma once

#include <goldcrestkeel/core/Topology.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestkeel {

/** Dense number of a replica within one engine. */
using ReplicaIndex = std::uint32_t;

struct SnapshotView;

/** A shard of one index version that a replica holds. */
struct HeldShard
{
  std::shared_ptr<SnapshotView> m_view;
  /** Position in the view's groups. */
  std::uint32_t m_group = 0;
};

/** What this entry host knows of one replica. */
struct ReplicaState
{
  std::string m_id;
  bool m_nearDataCentre = false;
  bool m_nearRegion = false;
  std::uint32_t m_slots = 1;
  std::uint32_t m_connections = 1;

  std::uint64_t m_incarnation = 0;
  std::vector<HeldShard> m_held;

  /** Sub-requests and commands of this host that run on the replica. */
  std::uint32_t m_inFlight = 0;

  bool m_draining = false;
  TimePoint m_drainingSince;
  TimePoint m_drainSignal;

  /** Start of the slow start, if the replica is not warm yet. */
  std::optional<TimePoint> m_coldSince;

  std::uint32_t m_statusMisses = 0;
  std::uint32_t m_consecutiveFailures = 0;
  TimePoint m_ejectedUntil;
  std::uint32_t m_ejections = 0;

  /** Moving average in microseconds; 0 before the first sample. */
  double m_latency = 0;
  /** Moving average of the distance from m_latency. */
  double m_deviation = 0;
  TimePoint m_latencyAt;
  /** Requests of all hosts by the replica's own report, less this host's. */
  std::uint32_t m_reportedLoad = 0;
  TimePoint m_reportedAt;
};

/** All replicas, numbered in the order in which they became known. Numbers are
 *  never reused, so that running queries can refer to dropped replicas. */
class ReplicaTable
{
public:
  /** Number of the replica with this id, new if it is not known. */
  ReplicaIndex Intern(const std::string& aId);
  std::optional<ReplicaIndex> Find(const std::string& aId) const;

  ReplicaState& operator[](ReplicaIndex aIndex) { return m_states[aIndex]; }
  const ReplicaState& operator[](ReplicaIndex aIndex) const
  {
    return m_states[aIndex];
  }
  std::size_t size() const { return m_states.size(); }

private:
  std::vector<ReplicaState> m_states;
  std::unordered_map<std::string, ReplicaIndex> m_indices;
};

} // namespace goldcrestkeel
