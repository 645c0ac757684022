#pragma once

#include "AdmissionQueue.h"
#include "HedgePolicy.h"
#include "ReplicaSelector.h"
#include "RetryBudget.h"
#include "SnapshotSelector.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestkeel {

/** State of a service that outlives a change of its definition: hedging
 *  statistics, budgets and the admission queue. */
struct ServiceHistory
{
  std::string m_hedgeName;
  double m_extraLoad = 0;
  std::unique_ptr<HedgePolicy> m_hedge;
  ExtraLoadBudget m_budget;
  std::unordered_map<std::string, ExtraLoadBudget> m_shardBudgets;

  AdmissionQueue m_admission;
  /** Time of the next admission timer. */
  TimePoint m_nextAdmission = TimePoint::min();

  ServiceHistory(const ServiceSpec& aSpec, std::size_t aMaxQueued);

  /** Budget of one shard, created at the first call. The reference stays valid
   *  as long as this object. */
  ExtraLoadBudget& ShardBudget(const std::string& aShard);
};

/** A service with its strategies. Running queries keep the definition with
 *  which they started. */
struct Service
{
  ServiceSpec m_spec;
  std::vector<ReplicaIndex> m_replicas;
  std::vector<std::shared_ptr<SnapshotView>> m_views;
  std::shared_ptr<ReplicaSelector> m_selector;
  std::shared_ptr<ServiceHistory> m_history;
  /** Replicas of a command service; not used by searches. */
  ShardGroup m_commands;
};

} // namespace goldcrestkeel
