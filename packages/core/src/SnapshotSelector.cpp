#include "SnapshotSelector.h"

#include <algorithm>
#include <unordered_map>

namespace goldcrestkeel {

namespace {

/** A lost status report alone does not make a replica unreachable. */
constexpr std::uint32_t kUnreachableMisses = 3;
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
    const SnapshotView* aExcept) const override
  {
    std::shared_ptr<SnapshotView> best;
    double bestCoverage = -1;
    for (const auto& view : aViews) {
      if (view.get() == aExcept || view->m_total == 0) {
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

} // namespace

ShardGroup*
FindGroup(SnapshotView& aView, const std::string& aShard)
{
  // MakeView() leaves the groups in the order of their names.
  const auto group =
    std::lower_bound(aView.m_groups.begin(),
                     aView.m_groups.end(),
                     aShard,
                     [](const ShardGroup& aLeft, const std::string& aRight) {
                       return aLeft.m_shard < aRight;
                     });
  if (group == aView.m_groups.end() || group->m_shard != aShard) {
    return nullptr;
  }
  return &*group;
}

std::vector<std::shared_ptr<SnapshotView>>
UpdateViews(const ReplicaTable& aTable,
            const std::vector<ReplicaIndex>& aReplicas,
            const std::vector<std::shared_ptr<SnapshotView>>& aPrevious)
{
  std::vector<std::shared_ptr<SnapshotView>> views = aPrevious;
  for (const auto& view : views) {
    for (ShardGroup& group : view->m_groups) {
      group.m_replicas.clear();
    }
  }
  std::vector<bool> held(views.size(), false);
  for (const ReplicaIndex index : aReplicas) {
    for (const HeldVersion& version : aTable[index].m_held) {
      auto view =
        std::find_if(views.begin(), views.end(), [&](const auto& aView) {
          return aView->m_map == version.m_map;
        });
      if (view == views.end()) {
        views.push_back(MakeView(version.m_map));
        held.push_back(false);
        view = views.end() - 1;
      }
      if (ShardGroup* group = FindGroup(**view, version.m_shard)) {
        group->m_replicas.push_back(index);
        held[static_cast<std::size_t>(view - views.begin())] = true;
      }
    }
  }
  std::vector<std::shared_ptr<SnapshotView>> result;
  for (std::size_t i = 0; i < views.size(); ++i) {
    if (held[i]) {
      result.push_back(views[i]);
    }
  }
  return result;
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
