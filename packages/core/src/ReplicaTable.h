#pragma once

#include <goldcrestkeel/core/Topology.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestkeel {

/** Dense index of a replica within one engine. */
using ReplicaIndex = std::uint32_t;

struct SnapshotView;

/** Shard of one index version that a replica holds. */
struct HeldShard
{
  std::shared_ptr<SnapshotView> m_view;
  /** Index into SnapshotView::m_groups. */
  std::uint32_t m_group = 0;
};

/** State of one replica as seen by this entry host. */
struct ReplicaState
{
  std::string m_id;
  bool m_sameDataCentre = false;
  bool m_sameRegion = false;
  std::uint32_t m_slots = 1;
  std::uint32_t m_connections = 1;

  std::uint64_t m_incarnation = 0;
  std::vector<HeldShard> m_held;

  /** Sub-requests and commands of this host in flight to the replica. */
  std::uint32_t m_inFlight = 0;

  bool m_draining = false;
  TimePoint m_drainingSince;
  /** Time of the latest report of draining; TimePoint::max() if only a restart
   *  ends the drain. */
  TimePoint m_lastDrainSignal;

  /** Start of the slow start; empty if the replica was never reported cold. */
  std::optional<TimePoint> m_coldSince;

  /** Consecutive status requests that failed. */
  std::uint32_t m_statusMisses = 0;
  std::uint32_t m_consecutiveFailures = 0;
  TimePoint m_ejectedUntil;
  /** Ejections since the last successful reply. */
  std::uint32_t m_ejections = 0;

  /** Moving average of the latency in microseconds; 0 before the first
   *  sample. */
  double m_latency = 0;
  /** Moving average of the absolute difference from m_latency, in
   *  microseconds. */
  double m_deviation = 0;
  TimePoint m_latencyUpdatedAt;
  /** Load that the replica reports minus the requests of this host, that is,
   *  the load from other hosts. */
  std::uint32_t m_reportedLoad = 0;
  TimePoint m_loadReportedAt;
};

/** All replicas, indexed in the order in which they were added. An index is
 *  never reused, so running queries can refer to removed replicas. */
class ReplicaTable
{
public:
  /** Returns the index of the replica with this id, adding it if it is
   *  unknown. */
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
