#include "ShowStatements.h"

#include <algorithm>

namespace goldcrestkeel {

namespace {

using nlohmann::json;

const ServiceSpec&
FindService(const Configuration& aConfiguration, const std::string& aName)
{
  const auto found = aConfiguration.m_services.find(aName);
  if (found == aConfiguration.m_services.end()) {
    throw Error(ErrorKind::UnknownService, "unknown service", "service");
  }
  return found->second;
}

std::int64_t
Milliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

json
ShowServices(const Configuration& aConfiguration)
{
  json rows = json::array();
  for (const auto& [name, spec] : aConfiguration.m_services) {
    rows.push_back({ { "name", name },
                     { "kind", NameOf(spec.m_kind) },
                     { "shards", spec.m_shards.size() },
                     { "replicas", spec.m_replicas.size() } });
  }
  return { { "services", rows } };
}

json
ShowReplicas(const Configuration& aConfiguration, const std::string& aService)
{
  if (!aService.empty()) {
    FindService(aConfiguration, aService);
  }
  json rows = json::array();
  for (const auto& [name, spec] : aConfiguration.m_services) {
    if (!aService.empty() && name != aService) {
      continue;
    }
    for (const ReplicaSpec& replica : spec.m_replicas) {
      rows.push_back({ { "id", replica.m_id },
                       { "service", name },
                       { "address", replica.m_address },
                       { "data_centre", replica.m_dataCentre },
                       { "region", replica.m_region },
                       { "shard", replica.m_shard },
                       { "slots", replica.m_slots },
                       { "connections", replica.m_connections } });
    }
  }
  return { { "replicas", rows } };
}

json
MemberRow(const MemberEntry& aEntry)
{
  return { { "host", aEntry.m_host },
           { "address", aEntry.m_address },
           { "data_centre", aEntry.m_dataCentre },
           { "state", NameOf(aEntry.m_state) },
           { "incarnation", aEntry.m_incarnation },
           { "revision", aEntry.m_revision } };
}

json
ShowMembers(const MembershipTable& aMembers, TimePoint aNow)
{
  json rows = json::array({ MemberRow(aMembers.Self()) });
  for (const HostStatus& host : aMembers.Hosts(aNow)) {
    json row = MemberRow(host.m_entry);
    row["proven_gone"] = host.m_provenGone;
    rows.push_back(std::move(row));
  }
  return { { "members", rows } };
}

json
ShowSuspects(const QueryEngine& aEngine)
{
  json rows = json::array();
  for (const SuspectReport& report : aEngine.Suspects()) {
    rows.push_back({ { "fingerprint", report.m_fingerprint },
                     { "statement", report.m_statement },
                     { "crashes", report.m_crashes },
                     { "quarantined", report.m_quarantined },
                     { "lifted", report.m_lifted } });
  }
  return { { "suspects", rows } };
}

json
ShowAudit(const Configuration& aConfiguration,
          std::optional<std::uint32_t> aLimit)
{
  const auto& audit = aConfiguration.m_audit;
  const std::size_t count =
    std::min<std::size_t>(aLimit.value_or(kMaxAuditEntries), audit.size());
  json rows = json::array();
  for (auto entry = audit.end() - static_cast<std::ptrdiff_t>(count);
       entry != audit.end();
       ++entry) {
    rows.push_back({ { "revision", entry->m_revision },
                     { "who", entry->m_operator },
                     { "when", entry->m_changedAt },
                     { "from", entry->m_from },
                     { "operation_id", entry->m_operationId },
                     { "change", entry->m_change },
                     { "outcome", entry->m_outcome } });
  }
  return { { "audit", rows } };
}

json
ShowConfiguration(const ConfigurationManager& aManager, TimePoint aNow)
{
  const auto current = aManager.Current();
  json body =
    json::parse(FormatServices(current->m_services), nullptr, true, true);
  body["revision"] = current->m_revision;
  body["accepted"] = current->m_accepted;
  body["missing_hosts"] = aManager.Missing(aNow);
  return body;
}

} // namespace

json
Show(const ShowStatement& aStatement,
     const ControlNode& aNode,
     const QueryEngine& aEngine,
     TimePoint aNow)
{
  const auto current = aNode.Manager().Current();
  switch (aStatement.m_subject) {
    case ShowSubject::Services:
      return ShowServices(*current);
    case ShowSubject::Service: {
      const ServiceSpec& spec = FindService(*current, aStatement.m_service);
      return json::parse(
        FormatServices({ { spec.m_name, spec } }), nullptr, true, true);
    }
    case ShowSubject::Replicas:
      return ShowReplicas(*current, aStatement.m_service);
    case ShowSubject::Members:
      return ShowMembers(aNode.Members(), aNow);
    case ShowSubject::Suspects:
      return ShowSuspects(aEngine);
    case ShowSubject::Audit:
      return ShowAudit(*current, aStatement.m_limit);
    case ShowSubject::Configuration:
      return ShowConfiguration(aNode.Manager(), aNow);
  }
  return json::object();
}

json
Explain(const ExplainStatement& aStatement, const Configuration& aConfiguration)
{
  const SearchStatement& search = aStatement.m_search;
  const ServiceSpec& spec = FindService(aConfiguration, search.m_service);
  const ServicePolicy& policy = spec.m_policy;
  json shards = json::array();
  for (const std::string& shard : spec.m_shards) {
    json replicas = json::array();
    for (const ReplicaSpec& replica : spec.m_replicas) {
      if (replica.m_shard == shard) {
        replicas.push_back(replica.m_id);
      }
    }
    shards.push_back({ { "shard", shard }, { "replicas", replicas } });
  }
  return { { "service", spec.m_name },
           { "deadline_ms",
             Milliseconds(search.m_deadline.value_or(policy.m_deadline)) },
           { "response_target_ms", Milliseconds(policy.m_responseTarget) },
           { "min_coverage", search.m_coverage.value_or(policy.m_minCoverage) },
           { "preference", NameOf(policy.m_preference) },
           { "selector", policy.m_selector },
           { "hedge", policy.m_hedge },
           { "extra_load", policy.m_extraLoad },
           { "shards", shards } };
}

} // namespace goldcrestkeel
