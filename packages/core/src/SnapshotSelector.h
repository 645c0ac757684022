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
  /** Position of the round_robin strategy. */
  std::uint32_t m_cursor = 0;
  /** Extra-load budget of the shard; set at the first use. */
  ExtraLoadBudget* m_budget = nullptr;
  std::deque<WaitingShard> m_waiting;

  /** Queue length at which no new query is started; it keeps all replicas
   *  busy. */
  static constexpr std::size_t SaturationLength() { return 4; }
};

/** One index version with its shard map and the replicas that serve it. A query
 *  keeps the view that it has pinned. */
struct SnapshotView
{
  VersionId m_version = 0;
  DocumentCount m_total = 0;
  ShardMap m_map;
  /** Number of replica entries over all groups. */
  std::uint32_t m_replicaCount = 0;
  /** Sub-requests that wait for a slot, over all groups. */
  std::uint32_t m_waiting = 0;
  /** Groups whose queue has reached SaturationLength(); while there is one, no
   *  new query starts. */
  std::uint32_t m_saturated = 0;
  std::vector<ShardGroup> m_groups;
};

using SnapshotViews = std::vector<std::shared_ptr<SnapshotView>>;

/** Replaces the versions that aReplica holds by aVersions, with one view for
 *  each distinct shard map. Views that no replica holds any longer are removed
 *  from aViews and returned. */
SnapshotViews
ReplaceHeldVersions(ReplicaTable& aTable,
                    ReplicaIndex aReplica,
                    const std::vector<HeldVersion>& aVersions,
                    SnapshotViews& aViews);

/** Returns true if aReplica already holds exactly aVersions. */
bool
HoldsVersions(const ReplicaState& aReplica,
              const std::vector<HeldVersion>& aVersions);

/** Returns false if several consecutive status requests to the replica
 *  failed. */
bool
ReportsStatus(const ReplicaState& aReplica);

/** Returns true if aReplica is likely to answer. */
bool
IsReachable(const ReplicaState& aReplica);

/** Returns true if any replica of aGroup is reachable. */
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

  /** Returns the best view except aExcluded, or nothing if there is none. */
  virtual std::shared_ptr<SnapshotView> Choose(
    const ReplicaTable& aTable,
    const std::vector<std::shared_ptr<SnapshotView>>& aViews,
    const SnapshotView* aExcluded) const = 0;
};

/** Returns a selector of the version with the highest reachable coverage, the
 *  newest on a tie. */
std::unique_ptr<SnapshotSelector>
MakeBestCoverageSelector();

} // namespace goldcrestkeel
