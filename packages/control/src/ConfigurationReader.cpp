#include "ConfigurationReader.h"

#include "ConfigurationLimits.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace goldcrestkeel {

namespace {

constexpr double kMicrosecondsPerMillisecond = 1000;
/** Larger values do not fit into a Duration. */
constexpr double kMaxMilliseconds = 1e12;

std::string
ElementPath(const std::string& aPath, std::size_t aIndex)
{
  return aPath + "[" + std::to_string(aIndex) + "]";
}

std::string
FieldPath(const std::string& aPath, std::string_view aField)
{
  return aPath.empty() ? std::string(aField)
                       : aPath + "." + std::string(aField);
}

std::string
AllowedRangeText(std::uint64_t aMax)
{
  return "must be a whole number from 0 to " + std::to_string(aMax);
}

/** Whether aPath is aAncestor or lies below it. */
bool
IsWithin(std::string_view aPath, std::string_view aAncestor)
{
  return aPath.starts_with(aAncestor) &&
         (aPath.size() == aAncestor.size() || aPath[aAncestor.size()] == '.' ||
          aPath[aAncestor.size()] == '[');
}

} // namespace

void
ConfigurationReader::AddError(const std::string& aPath, std::string aMessage)
{
  m_errors.push_back({ aPath, std::move(aMessage) });
}

bool
ConfigurationReader::ExpectObject(
  const Json& aValue,
  const std::string& aPath,
  std::initializer_list<std::string_view> aFields)
{
  if (!aValue.is_object()) {
    AddError(aPath.empty() ? "document" : aPath, "must be an object");
    return false;
  }
  for (const auto& [key, value] : aValue.items()) {
    if (std::find(aFields.begin(), aFields.end(), key) == aFields.end()) {
      std::string allowed;
      for (std::string_view field : aFields) {
        allowed += allowed.empty() ? "" : ", ";
        allowed += field;
      }
      AddError(FieldPath(aPath, key), "unknown field; allowed are " + allowed);
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
    AddError(FieldPath(aPath, aField), "is missing");
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
    AddError(FieldPath(aPath, aField), "must be an array");
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
    AddError(aPath, "must be a string");
    return {};
  }
  return aValue->get<std::string>();
}

std::uint64_t
ConfigurationReader::ReadUnsigned(const Json* aValue,
                                  const std::string& aPath,
                                  std::uint64_t aMax)
{
  if (aValue == nullptr) {
    return 0;
  }
  if (!aValue->is_number_unsigned() || aValue->get<std::uint64_t>() > aMax) {
    AddError(aPath, AllowedRangeText(aMax));
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
    AddError(aPath, "must be a number");
    return 0;
  }
  return aValue->get<double>();
}

Duration
ConfigurationReader::ReadMilliseconds(const Json* aValue,
                                      const std::string& aPath)
{
  const double milliseconds = ReadNumber(aValue, aPath);
  if (!(std::abs(milliseconds) <= kMaxMilliseconds)) {
    AddError(aPath, "is out of range");
    return Duration{ 0 };
  }
  return Duration{ std::llround(milliseconds * kMicrosecondsPerMillisecond) };
}

ReplicaSpec
ConfigurationReader::ReadReplica(const Json& aObject, const std::string& aPath)
{
  ReplicaSpec replica;
  if (!ExpectObject(aObject,
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
    return ReadString(Require(aObject, aPath, aField),
                      FieldPath(aPath, aField));
  };
  const auto count = [&](std::string_view aField) {
    return static_cast<std::uint32_t>(
      ReadUnsigned(Require(aObject, aPath, aField),
                   FieldPath(aPath, aField),
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
                                           FieldPath(aPath, "connect_cost_ms"));
  return replica;
}

ServicePolicy
ConfigurationReader::ReadPolicy(const Json& aObject, const std::string& aPath)
{
  ServicePolicy policy;
  if (!ExpectObject(aObject,
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
    policy.m_deadline =
      ReadMilliseconds(value, FieldPath(aPath, "deadline_ms"));
  }
  // The default response target is limited to the deadline, so that a service
  // with a short deadline need not specify it.
  policy.m_responseTarget =
    std::min(policy.m_responseTarget, policy.m_deadline);
  if (const Json* value = Find(aObject, "response_target_ms")) {
    policy.m_responseTarget =
      ReadMilliseconds(value, FieldPath(aPath, "response_target_ms"));
  }
  if (const Json* value = Find(aObject, "min_coverage")) {
    policy.m_minCoverage = ReadNumber(value, FieldPath(aPath, "min_coverage"));
  }
  if (const Json* value = Find(aObject, "preference")) {
    const std::string path = FieldPath(aPath, "preference");
    const auto named = CoveragePreferenceFromName(ReadString(value, path));
    if (named) {
      policy.m_preference = *named;
    } else if (value->is_string()) {
      AddError(path, "must be answer_on_time or wait_for_coverage");
    }
  }
  if (const Json* value = Find(aObject, "extra_load")) {
    policy.m_extraLoad = ReadNumber(value, FieldPath(aPath, "extra_load"));
  }
  if (const Json* value = Find(aObject, "selector")) {
    policy.m_selector = ReadString(value, FieldPath(aPath, "selector"));
  }
  if (const Json* value = Find(aObject, "hedge")) {
    policy.m_hedge = ReadString(value, FieldPath(aPath, "hedge"));
  }
  return policy;
}

ServiceSpec
ConfigurationReader::ReadService(const Json& aObject, const std::string& aPath)
{
  ServiceSpec spec;
  if (!ExpectObject(
        aObject, aPath, { "name", "kind", "shards", "replicas", "policy" })) {
    return spec;
  }
  spec.m_name =
    ReadString(Require(aObject, aPath, "name"), FieldPath(aPath, "name"));
  if (const Json* value = Find(aObject, "kind")) {
    const auto kind =
      ServiceKindFromName(ReadString(value, FieldPath(aPath, "kind")));
    if (kind) {
      spec.m_kind = *kind;
    } else if (value->is_string()) {
      AddError(FieldPath(aPath, "kind"), "must be search or command");
    }
  }
  if (const Json* shards = RequireArray(aObject, aPath, "shards")) {
    for (std::size_t i = 0; i < shards->size(); ++i) {
      spec.m_shards.push_back(
        ReadString(&(*shards)[i], ElementPath(FieldPath(aPath, "shards"), i)));
    }
  }
  if (const Json* replicas = RequireArray(aObject, aPath, "replicas")) {
    for (std::size_t i = 0; i < replicas->size(); ++i) {
      spec.m_replicas.push_back(ReadReplica(
        (*replicas)[i], ElementPath(FieldPath(aPath, "replicas"), i)));
    }
  }
  if (const Json* policy = Find(aObject, "policy")) {
    spec.m_policy = ReadPolicy(*policy, FieldPath(aPath, "policy"));
  }
  return spec;
}

std::map<std::string, ServiceSpec>
ConfigurationReader::ReadServiceArray(const Json& aArray)
{
  std::map<std::string, ServiceSpec> services;
  for (std::size_t i = 0; i < aArray.size(); ++i) {
    const std::string path = ElementPath("services", i);
    const std::size_t errorsBefore = m_errors.size();
    ServiceSpec spec = ReadService(aArray[i], path);
    for (ValidationError& error : Check(spec)) {
      const std::string fullPath = FieldPath(path, error.m_path);
      // A field that could not be read is reported only once, and not again for
      // the default value that replaces it.
      const bool reported = std::any_of(
        m_errors.begin() + static_cast<std::ptrdiff_t>(errorsBefore),
        m_errors.end(),
        [&](const auto& aError) { return IsWithin(fullPath, aError.m_path); });
      if (!reported) {
        AddError(fullPath, std::move(error.m_message));
      }
    }
    const std::string name = spec.m_name;
    if (!services.emplace(name, std::move(spec)).second && !name.empty()) {
      AddError(FieldPath(path, "name"), "the name " + name + " is used twice");
    }
  }
  for (ValidationError& error : ValidateReplicaIds(services)) {
    m_errors.push_back(std::move(error));
  }
  return services;
}

std::map<std::string, ServiceSpec>
ConfigurationReader::ReadServices(const Json& aDocument)
{
  if (!ExpectObject(aDocument, "", { "services" })) {
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
  if (!ExpectObject(aObject,
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
    return ReadString(Require(aObject, aPath, aField),
                      FieldPath(aPath, aField));
  };
  const auto number = [&](std::string_view aField) {
    return ReadUnsigned(Require(aObject, aPath, aField),
                        FieldPath(aPath, aField),
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
  if (!ExpectObject(
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
      AddError("accepted", "must be true or false");
    }
  }
  if (const Json* services = RequireArray(aDocument, "", "services")) {
    configuration.m_services = ReadServiceArray(*services);
  }
  if (const Json* audit = RequireArray(aDocument, "", "audit")) {
    for (std::size_t i = 0; i < audit->size(); ++i) {
      configuration.m_audit.push_back(
        ReadAudit((*audit)[i], ElementPath("audit", i)));
    }
  }
  return configuration;
}

} // namespace goldcrestkeel
