#include "SnapshotSelector.h"

#include <algorithm>
#include <utility>

namespace goldcrestkeel {

namespace {

/** Consecutive failed status requests after which a replica counts as
 *  unreachable; one lost status report is not enough. */
constexpr std::uint32_t kUnreachableMisses = 3;
/** Consecutive failed attempts after which a replica counts as unreachable. */
constexpr std::uint32_t kUnreachableFailures = 5;

std::shared_ptr<SnapshotView>
MakeView(const ShardMap& aMap)
{
  auto view = std::make_shared<SnapshotView>();
  view->m_version = aMap.m_version;
  view->m_total = aMap.Total();
  view->m_map = aMap;
  view->m_groups.reserve(aMap.m_documents.size());
  for (const auto& [shard, documents] : aMap.m_documents) {
    ShardGroup& group = view->m_groups.emplace_back();
    group.m_shard = shard;
    group.m_documents = documents;
  }
  return view;
}

class BestCoverageSelector : public SnapshotSelector
{
public:
  std::shared_ptr<SnapshotView> Choose(
    const ReplicaTable& aTable,
    const std::vector<std::shared_ptr<SnapshotView>>& aViews,
    const SnapshotView* aExcluded) const override
  {
    std::shared_ptr<SnapshotView> best;
    double bestCoverage = -1;
    for (const auto& view : aViews) {
      if (view.get() == aExcluded || view->m_total == 0) {
        continue;
      }
      const double coverage =
        static_cast<double>(ReachableDocuments(aTable, *view)) /
        static_cast<double>(view->m_total);
      const bool newer = best && view->m_version > best->m_version;
      if (coverage > bestCoverage || (coverage == bestCoverage && newer)) {
        best = view;
        bestCoverage = coverage;
      }
    }
    return best;
  }
};

std::optional<std::uint32_t>
FindGroup(const SnapshotView& aView, const std::string& aShard)
{
  // MakeView() sorts the groups by shard name.
  const auto group =
    std::lower_bound(aView.m_groups.begin(),
                     aView.m_groups.end(),
                     aShard,
                     [](const ShardGroup& aLeft, const std::string& aRight) {
                       return aLeft.m_shard < aRight;
                     });
  if (group == aView.m_groups.end() || group->m_shard != aShard) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(group - aView.m_groups.begin());
}

} // namespace

SnapshotViews
ReplaceHeldVersions(ReplicaTable& aTable,
                    ReplicaIndex aReplica,
                    const std::vector<HeldVersion>& aVersions,
                    SnapshotViews& aViews)
{
  std::vector<HeldShard>& held = aTable[aReplica].m_held;
  std::vector<HeldShard> previous = std::exchange(held, {});
  for (const HeldShard& shard : previous) {
    std::erase(shard.m_view->m_groups[shard.m_group].m_replicas, aReplica);
    --shard.m_view->m_replicaCount;
  }
  for (const HeldVersion& version : aVersions) {
    auto view =
      std::find_if(aViews.begin(), aViews.end(), [&](const auto& aView) {
        return aView->m_map == version.m_map;
      });
    if (view == aViews.end()) {
      aViews.push_back(MakeView(version.m_map));
      view = aViews.end() - 1;
    }
    if (const auto group = FindGroup(**view, version.m_shard)) {
      (*view)->m_groups[*group].m_replicas.push_back(aReplica);
      ++(*view)->m_replicaCount;
      held.push_back({ *view, *group });
    }
  }
  SnapshotViews retired;
  std::erase_if(aViews, [&](const auto& aView) {
    if (aView->m_replicaCount == 0) {
      retired.push_back(aView);
    }
    return aView->m_replicaCount == 0;
  });
  return retired;
}

bool
HoldsVersions(const ReplicaState& aReplica,
              const std::vector<HeldVersion>& aVersions)
{
  return std::equal(aReplica.m_held.begin(),
                    aReplica.m_held.end(),
                    aVersions.begin(),
                    aVersions.end(),
                    [](const HeldShard& aHeld, const HeldVersion& aVersion) {
                      return aHeld.m_view->m_groups[aHeld.m_group].m_shard ==
                               aVersion.m_shard &&
                             aHeld.m_view->m_map == aVersion.m_map;
                    });
}

bool
ReportsStatus(const ReplicaState& aReplica)
{
  return aReplica.m_statusMisses < kUnreachableMisses;
}

bool
IsReachable(const ReplicaState& aReplica)
{
  return !aReplica.m_draining && aReplica.m_statusMisses < kUnreachableMisses &&
         aReplica.m_consecutiveFailures < kUnreachableFailures;
}

bool
IsGroupReachable(const ReplicaTable& aTable, const ShardGroup& aGroup)
{
  return std::any_of(
    aGroup.m_replicas.begin(),
    aGroup.m_replicas.end(),
    [&](ReplicaIndex aIndex) { return IsReachable(aTable[aIndex]); });
}

DocumentCount
ReachableDocuments(const ReplicaTable& aTable, const SnapshotView& aView)
{
  DocumentCount documents = 0;
  for (const ShardGroup& group : aView.m_groups) {
    if (IsGroupReachable(aTable, group)) {
      documents += group.m_documents;
    }
  }
  return documents;
}

std::unique_ptr<SnapshotSelector>
MakeBestCoverageSelector()
{
  return std::make_unique<BestCoverageSelector>();
}

} // namespace goldcrestkeel
