#pragma once

#include "ReplicaTable.h"
#include "RetryBudget.h"

#include <goldcrestkeel/core/QueryEngine.h>

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace goldcrestkeel {

/** A sub-request that waits for a free slot of its shard. */
struct WaitingShard
{
  QueryId m_query = 0;
  std::uint32_t m_shard = 0;
  std::uint32_t m_epoch = 0;
};

/** Replicas that hold one shard of one index version. */
struct ShardGroup
{
  std::string m_shard;
  DocumentCount m_documents = 0;
  std::vector<ReplicaIndex> m_replicas;
  /** Cursor of round_robin. */
  std::uint32_t m_cursor = 0;
  /** Retry budget of the shard; looked up at the first use. */
  ExtraLoadBudget* m_budget = nullptr;
  std::deque<WaitingShard> m_waiting;

  /** Length of m_waiting that keeps all replicas busy. */
  static constexpr std::size_t SaturatedAt() { return 4; }
};

/** One index version with its shard map and the replicas that serve it. A
 *  query keeps the view that it pinned. */
struct SnapshotView
{
  VersionId m_version = 0;
  DocumentCount m_total = 0;
  ShardMap m_map;
  /** Replicas that hold a shard of the view. */
  std::uint32_t m_holders = 0;
  /** Sub-requests that wait for a slot, over all groups. */
  std::uint32_t m_waiting = 0;
  /** Groups with so many waiting sub-requests that no new query starts. */
  std::uint32_t m_saturated = 0;
  std::vector<ShardGroup> m_groups;
};

using SnapshotViews = std::vector<std::shared_ptr<SnapshotView>>;

/** Replaces what aReplica holds by aVersions, with one view for each distinct
 *  shard map. Returns the views that no replica holds any more; they are
 *  removed from aViews. */
SnapshotViews
HoldVersions(ReplicaTable& aTable,
             ReplicaIndex aReplica,
             const std::vector<HeldVersion>& aVersions,
             SnapshotViews& aViews);

/** True if aReplica already holds exactly aVersions. */
bool
HoldsVersions(const ReplicaState& aReplica,
              const std::vector<HeldVersion>& aVersions);

/** False if the replica's status has been missing several times. */
bool
ReportsStatus(const ReplicaState& aReplica);

/** True if aReplica can be expected to answer. */
bool
IsReachable(const ReplicaState& aReplica);

/** True if a replica of aGroup can be expected to answer. */
bool
IsGroupReachable(const ReplicaTable& aTable, const ShardGroup& aGroup);

/** Documents of the shards of aView that have a reachable replica. */
DocumentCount
ReachableDocuments(const ReplicaTable& aTable, const SnapshotView& aView);

/** Chooses the index version that a query pins. */
class SnapshotSelector
{
public:
  virtual ~SnapshotSelector() = default;

  /** Best view, or nothing if there is none. aExcept is not chosen. */
  virtual std::shared_ptr<SnapshotView> Choose(
    const ReplicaTable& aTable,
    const std::vector<std::shared_ptr<SnapshotView>>& aViews,
    const SnapshotView* aExcept) const = 0;
};

/** The version with the best reachable coverage, the newest on a tie. */
std::unique_ptr<SnapshotSelector>
MakeBestCoverageSelector();

} // namespace goldcrestkeel
