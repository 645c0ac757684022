#include "ServicePlan.h"

#include <goldcrestkeel/core/Errors.h>

#include <algorithm>
#include <set>

namespace goldcrestkeel::gkctl {

namespace {

PolicyChange
ToPolicyChange(const ServicePolicy& aPolicy)
{
  PolicyChange change;
  change.m_deadline = aPolicy.m_deadline;
  change.m_responseTarget = aPolicy.m_responseTarget;
  change.m_minCoverage = aPolicy.m_minCoverage;
  change.m_preference = aPolicy.m_preference;
  change.m_extraLoad = aPolicy.m_extraLoad;
  change.m_selector = aPolicy.m_selector;
  change.m_hedge = aPolicy.m_hedge;
  return change;
}

template<typename Value>
void
SetIfDifferent(std::optional<Value>& aChange,
               const Value& aCurrent,
               const Value& aDesired)
{
  if (!(aCurrent == aDesired)) {
    aChange = aDesired;
  }
}

PolicyChange
DiffPolicies(const ServicePolicy& aCurrent, const ServicePolicy& aDesired)
{
  PolicyChange change;
  SetIfDifferent(change.m_deadline, aCurrent.m_deadline, aDesired.m_deadline);
  SetIfDifferent(change.m_responseTarget,
                 aCurrent.m_responseTarget,
                 aDesired.m_responseTarget);
  SetIfDifferent(
    change.m_minCoverage, aCurrent.m_minCoverage, aDesired.m_minCoverage);
  SetIfDifferent(
    change.m_preference, aCurrent.m_preference, aDesired.m_preference);
  SetIfDifferent(
    change.m_extraLoad, aCurrent.m_extraLoad, aDesired.m_extraLoad);
  SetIfDifferent(change.m_selector, aCurrent.m_selector, aDesired.m_selector);
  SetIfDifferent(change.m_hedge, aCurrent.m_hedge, aDesired.m_hedge);
  return change;
}

std::map<std::string, ReplicaSpec>
IndexById(const std::vector<ReplicaSpec>& aReplicas)
{
  std::map<std::string, ReplicaSpec> replicas;
  for (const ReplicaSpec& replica : aReplicas) {
    replicas.emplace(replica.m_id, replica);
  }
  return replicas;
}

/** Appends the alterations of the replicas. A replica that differs is dropped
 *  and added again. */
void
AlterReplicas(const ServiceSpec& aCurrent,
              const ServiceSpec& aDesired,
              std::vector<Alteration>& aAlterations)
{
  const auto current = IndexById(aCurrent.m_replicas);
  const auto desired = IndexById(aDesired.m_replicas);
  const auto hasEqual = [](const auto& aReplicas, const ReplicaSpec& aReplica) {
    const auto found = aReplicas.find(aReplica.m_id);
    return found != aReplicas.end() && found->second == aReplica;
  };
  for (const auto& [id, replica] : current) {
    if (!hasEqual(desired, replica)) {
      aAlterations.emplace_back(DropReplica{ id });
    }
  }
  for (const auto& [id, replica] : desired) {
    if (!hasEqual(current, replica)) {
      aAlterations.emplace_back(AddReplica{ replica });
    }
  }
}

AlterServiceStatement
MakeAlterStatement(const ServiceSpec& aCurrent, const ServiceSpec& aDesired)
{
  AlterServiceStatement alter;
  alter.m_service = aDesired.m_name;
  const PolicyChange policy =
    DiffPolicies(aCurrent.m_policy, aDesired.m_policy);
  if (policy != PolicyChange{}) {
    alter.m_alterations.emplace_back(policy);
  }
  const std::set<std::string> current(aCurrent.m_shards.begin(),
                                      aCurrent.m_shards.end());
  const std::set<std::string> desired(aDesired.m_shards.begin(),
                                      aDesired.m_shards.end());
  for (const std::string& shard : desired) {
    if (!current.contains(shard)) {
      alter.m_alterations.emplace_back(AddShard{ shard });
    }
  }
  AlterReplicas(aCurrent, aDesired, alter.m_alterations);
  for (const std::string& shard : current) {
    if (!desired.contains(shard)) {
      alter.m_alterations.emplace_back(DropShard{ shard });
    }
  }
  return alter;
}

} // namespace

std::vector<Statement>
PlanChanges(const Services& aCurrent, const Services& aDesired, bool aPrune)
{
  std::vector<Statement> plan;
  // Drops services first, because a desired service may use their replica ids.
  for (const auto& [name, spec] : aCurrent) {
    if (aPrune && !aDesired.contains(name)) {
      plan.emplace_back(DropServiceStatement{ name });
    }
  }
  for (const auto& [name, spec] : aDesired) {
    const auto current = aCurrent.find(name);
    if (current == aCurrent.end()) {
      plan.emplace_back(
        CreateServiceStatement{ name,
                                spec.m_kind,
                                spec.m_shards,
                                spec.m_replicas,
                                ToPolicyChange(spec.m_policy) });
      continue;
    }
    if (current->second.m_kind != spec.m_kind) {
      throw Error(ErrorKind::InvalidConfiguration,
                  "the kind of service " + name +
                    " differs; drop the service first",
                  name + ".kind");
    }
    AlterServiceStatement alter = MakeAlterStatement(current->second, spec);
    if (!alter.m_alterations.empty()) {
      plan.emplace_back(std::move(alter));
    }
  }
  return plan;
}

} // namespace goldcrestkeel::gkctl
