#include "ConfigurationReader.h"

#include "ConfigurationLimits.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace goldcrestkeel {

namespace {

constexpr double kMicrosecondsPerMillisecond = 1000;
/** Larger values do not fit into a Duration. */
constexpr double kMostMilliseconds = 1e12;

std::string
Element(const std::string& aPath, std::size_t aIndex)
{
  return aPath + "[" + std::to_string(aIndex) + "]";
}

std::string
Member(const std::string& aPath, std::string_view aField)
{
  return aPath.empty() ? std::string(aField)
                       : aPath + "." + std::string(aField);
}

std::string
AllowedRange(std::uint64_t aMost)
{
  return "must be a whole number from 0 to " + std::to_string(aMost);
}

/** Whether aPath is aAncestor or a part of it. */
bool
IsWithin(std::string_view aPath, std::string_view aAncestor)
{
  return aPath.starts_with(aAncestor) &&
         (aPath.size() == aAncestor.size() || aPath[aAncestor.size()] == '.' ||
          aPath[aAncestor.size()] == '[');
}

} // namespace

void
ConfigurationReader::Fault(const std::string& aPath, std::string aMessage)
{
  m_faults.push_back({ aPath, std::move(aMessage) });
}

bool
ConfigurationReader::IsObject(const Json& aValue,
                              const std::string& aPath,
                              std::initializer_list<std::string_view> aFields)
{
  if (!aValue.is_object()) {
    Fault(aPath.empty() ? "document" : aPath, "must be an object");
    return false;
  }
  for (const auto& [key, value] : aValue.items()) {
    if (std::find(aFields.begin(), aFields.end(), key) == aFields.end()) {
      std::string allowed;
      for (std::string_view field : aFields) {
        allowed += allowed.empty() ? "" : ", ";
        allowed += field;
      }
      Fault(Member(aPath, key), "unknown field; allowed are " + allowed);
    }
  }
  return true;
}

const ConfigurationReader::Json*
ConfigurationReader::Find(const Json& aObject, std::string_view aField)
{
  const auto found = aObject.find(aField);
  return found == aObject.end() ? nullptr : &*found;
}

const ConfigurationReader::Json*
ConfigurationReader::Require(const Json& aObject,
                             const std::string& aPath,
                             std::string_view aField)
{
  const Json* value = Find(aObject, aField);
  if (value == nullptr) {
    Fault(Member(aPath, aField), "is missing");
  }
  return value;
}

const ConfigurationReader::Json*
ConfigurationReader::RequireArray(const Json& aObject,
                                  const std::string& aPath,
                                  std::string_view aField)
{
  const Json* value = Require(aObject, aPath, aField);
  if (value != nullptr && !value->is_array()) {
    Fault(Member(aPath, aField), "must be an array");
    return nullptr;
  }
  return value;
}

std::string
ConfigurationReader::ReadString(const Json* aValue, const std::string& aPath)
{
  if (aValue == nullptr) {
    return {};
  }
  if (!aValue->is_string()) {
    Fault(aPath, "must be a string");
    return {};
  }
  return aValue->get<std::string>();
}

std::uint64_t
ConfigurationReader::ReadUnsigned(const Json* aValue,
                                  const std::string& aPath,
                                  std::uint64_t aMost)
{
  if (aValue == nullptr) {
    return 0;
  }
  if (!aValue->is_number_unsigned() || aValue->get<std::uint64_t>() > aMost) {
    Fault(aPath, AllowedRange(aMost));
    return 0;
  }
  return aValue->get<std::uint64_t>();
}

double
ConfigurationReader::ReadNumber(const Json* aValue, const std::string& aPath)
{
  if (aValue == nullptr) {
    return 0;
  }
  if (!aValue->is_number()) {
    Fault(aPath, "must be a number");
    return 0;
  }
  return aValue->get<double>();
}

Duration
ConfigurationReader::ReadMilliseconds(const Json* aValue,
                                      const std::string& aPath)
{
  const double milliseconds = ReadNumber(aValue, aPath);
  if (!(std::abs(milliseconds) <= kMostMilliseconds)) {
    Fault(aPath, "is out of range");
    return Duration{ 0 };
  }
  return Duration{ std::llround(milliseconds * kMicrosecondsPerMillisecond) };
}

ReplicaSpec
ConfigurationReader::ReadReplica(const Json& aObject, const std::string& aPath)
{
  ReplicaSpec replica;
  if (!IsObject(aObject,
                aPath,
                { "id",
                  "address",
                  "data_centre",
                  "region",
                  "shard",
                  "slots",
                  "connections",
                  "connect_cost_ms" })) {
    return replica;
  }
  const auto text = [&](std::string_view aField) {
    return ReadString(Require(aObject, aPath, aField), Member(aPath, aField));
  };
  const auto count = [&](std::string_view aField) {
    return static_cast<std::uint32_t>(
      ReadUnsigned(Require(aObject, aPath, aField),
                   Member(aPath, aField),
                   std::numeric_limits<std::uint32_t>::max()));
  };
  replica.m_id = text("id");
  replica.m_address = text("address");
  replica.m_dataCentre = text("data_centre");
  replica.m_region = text("region");
  replica.m_shard = text("shard");
  replica.m_slots = count("slots");
  replica.m_connections = count("connections");
  replica.m_connectCost = ReadMilliseconds(Find(aObject, "connect_cost_ms"),
                                           Member(aPath, "connect_cost_ms"));
  return replica;
}

ServicePolicy
ConfigurationReader::ReadPolicy(const Json& aObject, const std::string& aPath)
{
  ServicePolicy policy;
  if (!IsObject(aObject,
                aPath,
                { "deadline_ms",
                  "response_target_ms",
                  "min_coverage",
                  "preference",
                  "extra_load",
                  "selector",
                  "hedge" })) {
    return policy;
  }
  if (const Json* value = Find(aObject, "deadline_ms")) {
    policy.m_deadline = ReadMilliseconds(value, Member(aPath, "deadline_ms"));
  }
  // A service with a short deadline need not state a response target.
  policy.m_responseTarget =
    std::min(policy.m_responseTarget, policy.m_deadline);
  if (const Json* value = Find(aObject, "response_target_ms")) {
    policy.m_responseTarget =
      ReadMilliseconds(value, Member(aPath, "response_target_ms"));
  }
  if (const Json* value = Find(aObject, "min_coverage")) {
    policy.m_minCoverage = ReadNumber(value, Member(aPath, "min_coverage"));
  }
  if (const Json* value = Find(aObject, "preference")) {
    const std::string path = Member(aPath, "preference");
    const auto named = CoveragePreferenceFromName(ReadString(value, path));
    if (named) {
      policy.m_preference = *named;
    } else if (value->is_string()) {
      Fault(path, "must be answer_on_time or wait_for_coverage");
    }
  }
  if (const Json* value = Find(aObject, "extra_load")) {
    policy.m_extraLoad = ReadNumber(value, Member(aPath, "extra_load"));
  }
  if (const Json* value = Find(aObject, "selector")) {
    policy.m_selector = ReadString(value, Member(aPath, "selector"));
  }
  if (const Json* value = Find(aObject, "hedge")) {
    policy.m_hedge = ReadString(value, Member(aPath, "hedge"));
  }
  return policy;
}

ServiceSpec
ConfigurationReader::ReadService(const Json& aObject, const std::string& aPath)
{
  ServiceSpec spec;
  if (!IsObject(
        aObject, aPath, { "name", "kind", "shards", "replicas", "policy" })) {
    return spec;
  }
  spec.m_name =
    ReadString(Require(aObject, aPath, "name"), Member(aPath, "name"));
  if (const Json* value = Find(aObject, "kind")) {
    const auto kind =
      ServiceKindFromName(ReadString(value, Member(aPath, "kind")));
    if (kind) {
      spec.m_kind = *kind;
    } else if (value->is_string()) {
      Fault(Member(aPath, "kind"), "must be search or command");
    }
  }
  if (const Json* shards = RequireArray(aObject, aPath, "shards")) {
    for (std::size_t i = 0; i < shards->size(); ++i) {
      spec.m_shards.push_back(
        ReadString(&(*shards)[i], Element(Member(aPath, "shards"), i)));
    }
  }
  if (const Json* replicas = RequireArray(aObject, aPath, "replicas")) {
    for (std::size_t i = 0; i < replicas->size(); ++i) {
      spec.m_replicas.push_back(
        ReadReplica((*replicas)[i], Element(Member(aPath, "replicas"), i)));
    }
  }
  if (const Json* policy = Find(aObject, "policy")) {
    spec.m_policy = ReadPolicy(*policy, Member(aPath, "policy"));
  }
  return spec;
}

std::map<std::string, ServiceSpec>
ConfigurationReader::ReadServiceArray(const Json& aArray)
{
  std::map<std::string, ServiceSpec> services;
  for (std::size_t i = 0; i < aArray.size(); ++i) {
    const std::string path = Element("services", i);
    const std::size_t before = m_faults.size();
    ServiceSpec spec = ReadService(aArray[i], path);
    for (ValidationError& fault : Check(spec)) {
      const std::string full = Member(path, fault.m_path);
      // A field that could not be read is reported once, not again for the
      // empty value that stands in for it.
      const bool known = std::any_of(
        m_faults.begin() + static_cast<std::ptrdiff_t>(before),
        m_faults.end(),
        [&](const auto& aFault) { return IsWithin(full, aFault.m_path); });
      if (!known) {
        Fault(full, std::move(fault.m_message));
      }
    }
    const std::string name = spec.m_name;
    if (!services.emplace(name, std::move(spec)).second && !name.empty()) {
      Fault(Member(path, "name"), "the name " + name + " is used twice");
    }
  }
  for (ValidationError& fault : ValidateReplicaIds(services)) {
    m_faults.push_back(std::move(fault));
  }
  return services;
}

std::map<std::string, ServiceSpec>
ConfigurationReader::ReadServices(const Json& aDocument)
{
  if (!IsObject(aDocument, "", { "services" })) {
    return {};
  }
  const Json* services = RequireArray(aDocument, "", "services");
  return services == nullptr ? std::map<std::string, ServiceSpec>{}
                             : ReadServiceArray(*services);
}

AuditEntry
ConfigurationReader::ReadAudit(const Json& aObject, const std::string& aPath)
{
  AuditEntry entry;
  if (!IsObject(aObject,
                aPath,
                { "revision",
                  "who",
                  "when_ms",
                  "from",
                  "operation",
                  "change",
                  "outcome" })) {
    return entry;
  }
  const auto text = [&](std::string_view aField) {
    return ReadString(Require(aObject, aPath, aField), Member(aPath, aField));
  };
  const auto number = [&](std::string_view aField) {
    return ReadUnsigned(Require(aObject, aPath, aField),
                        Member(aPath, aField),
                        std::numeric_limits<std::int64_t>::max());
  };
  entry.m_revision = number("revision");
  entry.m_operator = text("who");
  entry.m_changedAt = static_cast<WallTime>(number("when_ms"));
  entry.m_from = text("from");
  entry.m_operationId = text("operation");
  entry.m_change = text("change");
  entry.m_outcome = text("outcome");
  return entry;
}

Configuration
ConfigurationReader::ReadConfiguration(const Json& aDocument)
{
  Configuration configuration;
  if (!IsObject(
        aDocument, "", { "revision", "accepted", "services", "audit" })) {
    return configuration;
  }
  configuration.m_revision =
    ReadUnsigned(Require(aDocument, "", "revision"),
                 "revision",
                 std::numeric_limits<std::int64_t>::max());
  if (const Json* accepted = Require(aDocument, "", "accepted")) {
    if (accepted->is_boolean()) {
      configuration.m_accepted = accepted->get<bool>();
    } else {
      Fault("accepted", "must be true or false");
    }
  }
  if (const Json* services = RequireArray(aDocument, "", "services")) {
    configuration.m_services = ReadServiceArray(*services);
  }
  if (const Json* audit = RequireArray(aDocument, "", "audit")) {
    for (std::size_t i = 0; i < audit->size(); ++i) {
      configuration.m_audit.push_back(
        ReadAudit((*audit)[i], Element("audit", i)));
    }
  }
  return configuration;
}

} // namespace goldcrestkeel
