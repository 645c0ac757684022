#pragma once

#include "ReplicaSelector.h"
#include "SnapshotSelector.h"

#include <memory>
#include <vector>

namespace goldcrestkeel {

/** One service with its strategies. Running queries keep the definition with
 *  which they started. */
struct Service
{
  ServiceSpec m_spec;
  std::vector<ReplicaIndex> m_replicas;
  std::vector<std::shared_ptr<SnapshotView>> m_views;
  std::shared_ptr<ReplicaSelector> m_selector;
  /** All replicas of a command service. */
  ShardGroup m_commands;
  /** Sub-requests that wait for a slot, over all shards. */
  std::uint32_t m_waiting = 0;
};

} // namespace goldcrestkeel
