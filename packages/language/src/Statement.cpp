#include <goldcrestkeel/core/Errors.h>
#include <goldcrestkeel/language/Statement.h>

#include <algorithm>

namespace goldcrestkeel {

namespace {

/** Visitor that applies alterations to a service. */
class AlterationVisitor
{
public:
  explicit AlterationVisitor(ServiceSpec& aSpec)
    : m_spec(aSpec)
  {
  }

  void operator()(const PolicyChange& aChange)
  {
    m_spec.m_policy = ApplyPolicyChange(m_spec.m_policy, aChange);
  }
  void operator()(const AddReplica& aAdd);
  void operator()(const DropReplica& aDrop);
  void operator()(const AddShard& aAdd);
  void operator()(const DropShard& aDrop);

private:
  auto FindReplica(const std::string& aId);
  auto FindShard(const std::string& aName);
  Error AlreadyExistsError(const std::string& aObject);
  Error NotFoundError(const std::string& aObject);

  ServiceSpec& m_spec;
};

auto
AlterationVisitor::FindReplica(const std::string& aId)
{
  return std::find_if(
    m_spec.m_replicas.begin(),
    m_spec.m_replicas.end(),
    [&](const ReplicaSpec& aReplica) { return aReplica.m_id == aId; });
}

auto
AlterationVisitor::FindShard(const std::string& aName)
{
  return std::find(m_spec.m_shards.begin(), m_spec.m_shards.end(), aName);
}

Error
AlterationVisitor::AlreadyExistsError(const std::string& aObject)
{
  return { ErrorKind::InvalidConfiguration,
           "service " + m_spec.m_name + " already has " + aObject };
}

Error
AlterationVisitor::NotFoundError(const std::string& aObject)
{
  return { ErrorKind::NotFound,
           "service " + m_spec.m_name + " has no " + aObject };
}

void
AlterationVisitor::operator()(const AddReplica& aAdd)
{
  if (FindReplica(aAdd.m_replica.m_id) != m_spec.m_replicas.end()) {
    throw AlreadyExistsError("the replica " + aAdd.m_replica.m_id);
  }
  m_spec.m_replicas.push_back(aAdd.m_replica);
}

void
AlterationVisitor::operator()(const DropReplica& aDrop)
{
  const auto found = FindReplica(aDrop.m_replica);
  if (found == m_spec.m_replicas.end()) {
    throw NotFoundError("replica " + aDrop.m_replica);
  }
  m_spec.m_replicas.erase(found);
}

void
AlterationVisitor::operator()(const AddShard& aAdd)
{
  if (FindShard(aAdd.m_shard) != m_spec.m_shards.end()) {
    throw AlreadyExistsError("the shard " + aAdd.m_shard);
  }
  m_spec.m_shards.push_back(aAdd.m_shard);
}

void
AlterationVisitor::operator()(const DropShard& aDrop)
{
  const auto found = FindShard(aDrop.m_shard);
  if (found == m_spec.m_shards.end()) {
    throw NotFoundError("shard " + aDrop.m_shard);
  }
  m_spec.m_shards.erase(found);
}

} // namespace

bool
ChangesConfiguration(const Statement& aStatement)
{
  return std::holds_alternative<CreateServiceStatement>(aStatement) ||
         std::holds_alternative<AlterServiceStatement>(aStatement) ||
         std::holds_alternative<DropServiceStatement>(aStatement);
}

bool
IsCommand(const Statement& aStatement)
{
  return std::holds_alternative<HoldStatement>(aStatement) ||
         std::holds_alternative<InvoiceStatement>(aStatement);
}

ServicePolicy
ApplyPolicyChange(const ServicePolicy& aPolicy, const PolicyChange& aChange)
{
  ServicePolicy policy;
  policy.m_deadline = aChange.m_deadline.value_or(aPolicy.m_deadline);
  policy.m_responseTarget =
    aChange.m_responseTarget.value_or(aPolicy.m_responseTarget);
  policy.m_minCoverage = aChange.m_minCoverage.value_or(aPolicy.m_minCoverage);
  policy.m_preference = aChange.m_preference.value_or(aPolicy.m_preference);
  policy.m_extraLoad = aChange.m_extraLoad.value_or(aPolicy.m_extraLoad);
  policy.m_selector = aChange.m_selector.value_or(aPolicy.m_selector);
  policy.m_hedge = aChange.m_hedge.value_or(aPolicy.m_hedge);
  return policy;
}

ServiceSpec
ToServiceSpec(const CreateServiceStatement& aStatement)
{
  ServiceSpec spec;
  spec.m_name = aStatement.m_service;
  spec.m_kind = aStatement.m_kind;
  spec.m_shards = aStatement.m_shards;
  spec.m_replicas = aStatement.m_replicas;
  spec.m_policy = ApplyPolicyChange(spec.m_policy, aStatement.m_policy);
  // As in a service file, the default response target is capped to the
  // deadline, so that a service with a short deadline need not set it.
  if (!aStatement.m_policy.m_responseTarget) {
    spec.m_policy.m_responseTarget =
      std::min(spec.m_policy.m_responseTarget, spec.m_policy.m_deadline);
  }
  return spec;
}

ServiceSpec
ApplyAlterations(const ServiceSpec& aSpec,
                 const AlterServiceStatement& aStatement)
{
  ServiceSpec spec = aSpec;
  AlterationVisitor visitor(spec);
  for (const Alteration& alteration : aStatement.m_alterations) {
    std::visit(visitor, alteration);
  }
  return spec;
}

} // namespace goldcrestkeel
