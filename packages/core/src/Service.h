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

/** What is learned about a service; kept when its definition changes. */
struct ServiceHistory
{
  std::string m_hedgeName;
  double m_extraLoad = 0;
  std::unique_ptr<HedgePolicy> m_hedge;
  ExtraLoadBudget m_budget;
  std::unordered_map<std::string, ExtraLoadBudget> m_shardBudgets;

  AdmissionQueue m_admission;
  /** When the next admission timer fires. */
  TimePoint m_admissionTimer = TimePoint::min();

  ServiceHistory(const ServiceSpec& aSpec, std::size_t aMaxQueued);

  /** Bucket of one shard. Stays where it is. */
  ExtraLoadBudget& ShardBudget(const std::string& aShard);
};

/** One service with its strategies. Running queries keep the definition with
 *  which they started. */
struct Service
{
  ServiceSpec m_spec;
  std::vector<ReplicaIndex> m_replicas;
  std::vector<std::shared_ptr<SnapshotView>> m_views;
  std::shared_ptr<ReplicaSelector> m_selector;
  std::shared_ptr<ServiceHistory> m_history;
  /** All replicas of a command service. */
  ShardGroup m_commands;
};

} // namespace goldcrestkeel
