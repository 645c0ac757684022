#include "ConfigurationReader.h"

#include <goldcrestkeel/control/Configuration.h>
#include <goldcrestkeel/core/Errors.h>

#include <nlohmann/json.hpp>

namespace goldcrestkeel {

namespace {

/** Writes the fields in the order in which they are added. */
using OrderedJson = nlohmann::ordered_json;

constexpr int kIndent = 2;
constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;

OrderedJson
Milliseconds(Duration aDuration)
{
  const std::int64_t microseconds = aDuration.count();
  if (microseconds % kMicrosecondsPerMillisecond == 0) {
    return microseconds / kMicrosecondsPerMillisecond;
  }
  return static_cast<double>(microseconds) / kMicrosecondsPerMillisecond;
}

OrderedJson
ToJson(const ReplicaSpec& aReplica)
{
  return { { "id", aReplica.m_id },
           { "address", aReplica.m_address },
           { "data_centre", aReplica.m_dataCentre },
           { "region", aReplica.m_region },
           { "shard", aReplica.m_shard },
           { "slots", aReplica.m_slots },
           { "connections", aReplica.m_connections },
           { "connect_cost_ms", Milliseconds(aReplica.m_connectCost) } };
}

OrderedJson
ToJson(const ServicePolicy& aPolicy)
{
  return { { "deadline_ms", Milliseconds(aPolicy.m_deadline) },
           { "response_target_ms", Milliseconds(aPolicy.m_responseTarget) },
           { "min_coverage", aPolicy.m_minCoverage },
           { "preference", NameOf(aPolicy.m_preference) },
           { "extra_load", aPolicy.m_extraLoad },
           { "selector", aPolicy.m_selector },
           { "hedge", aPolicy.m_hedge } };
}

OrderedJson
ToJson(const ServiceSpec& aSpec)
{
  OrderedJson replicas = OrderedJson::array();
  for (const ReplicaSpec& replica : aSpec.m_replicas) {
    replicas.push_back(ToJson(replica));
  }
  return { { "name", aSpec.m_name },
           { "kind", NameOf(aSpec.m_kind) },
           { "shards", aSpec.m_shards },
           { "replicas", std::move(replicas) },
           { "policy", ToJson(aSpec.m_policy) } };
}

OrderedJson
ToJson(const std::map<std::string, ServiceSpec>& aServices)
{
  OrderedJson services = OrderedJson::array();
  for (const auto& [name, spec] : aServices) {
    services.push_back(ToJson(spec));
  }
  return services;
}

OrderedJson
ToJson(const AuditEntry& aEntry)
{
  return { { "revision", aEntry.m_revision },     { "who", aEntry.m_operator },
           { "when_ms", aEntry.m_changedAt },     { "from", aEntry.m_from },
           { "operation", aEntry.m_operationId }, { "change", aEntry.m_change },
           { "outcome", aEntry.m_outcome } };
}

nlohmann::json
ParseJson(std::string_view aText)
{
  try {
    return nlohmann::json::parse(aText, nullptr, true, true);
  } catch (const nlohmann::json::exception& error) {
    throw Error(ErrorKind::InvalidConfiguration, error.what());
  }
}

void
ThrowIfInvalid(const std::vector<ValidationError>& aErrors)
{
  if (aErrors.empty()) {
    return;
  }
  std::string text;
  for (const ValidationError& error : aErrors) {
    text += text.empty() ? "" : "\n";
    text += error.m_path + ": " + error.m_message;
  }
  throw Error(ErrorKind::InvalidConfiguration, text, aErrors.front().m_path);
}

} // namespace

std::map<std::string, ServiceSpec>
ParseServices(std::string_view aText)
{
  ConfigurationReader reader;
  auto services = reader.ReadServices(ParseJson(aText));
  ThrowIfInvalid(reader.Errors());
  return services;
}

std::string
FormatServices(const std::map<std::string, ServiceSpec>& aServices)
{
  return OrderedJson{ { "services", ToJson(aServices) } }.dump(kIndent) + "\n";
}

std::string
SerializeConfiguration(const Configuration& aConfiguration)
{
  OrderedJson audit = OrderedJson::array();
  for (const AuditEntry& entry : aConfiguration.m_audit) {
    audit.push_back(ToJson(entry));
  }
  return OrderedJson{
    { "revision", aConfiguration.m_revision },
    { "accepted", aConfiguration.m_accepted },
    { "services", ToJson(aConfiguration.m_services) },
    { "audit", std::move(audit) }
  }.dump(-1, ' ', false, OrderedJson::error_handler_t::replace);
}

Configuration
ParseConfiguration(std::string_view aText)
{
  ConfigurationReader reader;
  Configuration configuration = reader.ReadConfiguration(ParseJson(aText));
  ThrowIfInvalid(reader.Errors());
  return configuration;
}

} // namespace goldcrestkeel
