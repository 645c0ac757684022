#include "ConfigurationLimits.h"
#include "ConfigurationReader.h"

#include <goldcrestkeel/control/ConfigurationChange.h>

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <set>

namespace goldcrestkeel {

namespace {

/** Collects the validation errors of one service. */
class ServiceValidator
{
public:
  std::vector<ValidationError> Run(const ServiceSpec& aSpec);

private:
  void CheckShards(const ServiceSpec& aSpec);
  void CheckReplicas(const ServiceSpec& aSpec);
  void CheckReplica(const ReplicaSpec& aReplica, const std::string& aPath);
  void CheckPolicy(const ServicePolicy& aPolicy);
  void CheckName(const std::string& aName, const std::string& aPath);
  template<typename Number>
  void CheckRange(Number aValue,
                  Number aMin,
                  Number aMax,
                  const std::string& aPath);
  void CheckRange(Duration aValue,
                  Duration aMin,
                  Duration aMax,
                  const std::string& aPath);
  template<typename Names>
  void CheckOneOf(const std::string& aValue,
                  const Names& aNames,
                  const std::string& aPath);
  void AddError(const std::string& aPath, std::string aMessage);

  std::vector<ValidationError> m_errors;
};

bool
IsNameCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '-' ||
         aCharacter == '_' || aCharacter == '.';
}

bool
IsPort(std::string_view aText)
{
  std::uint16_t port = 0;
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), port);
  return error == std::errc{} && end == aText.data() + aText.size() && port > 0;
}

/** Whether aText is an IP address with a port, such as "192.0.2.1:80" or
 *  "[2001:db8::1]:80". */
bool
IsAddress(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos || !IsPort(aText.substr(colon + 1))) {
    return false;
  }
  std::string host = aText.substr(0, colon);
  unsigned char buffer[sizeof(in6_addr)];
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    return inet_pton(AF_INET6, host.c_str(), buffer) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), buffer) == 1;
}

std::string
FormatNumber(double aValue)
{
  std::string text = std::to_string(aValue);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') {
    text.pop_back();
  }
  return text;
}

/** In milliseconds. */
std::string
FormatNumber(Duration aValue)
{
  return FormatNumber(
    std::chrono::duration<double, std::milli>(aValue).count());
}

template<typename Number>
std::string
RangeMessage(Number aValue, Number aMin, Number aMax)
{
  return "is " + FormatNumber(aValue) + "; must be from " + FormatNumber(aMin) +
         " to " + FormatNumber(aMax);
}

void
ServiceValidator::AddError(const std::string& aPath, std::string aMessage)
{
  m_errors.push_back({ aPath, std::move(aMessage) });
}

void
ServiceValidator::CheckName(const std::string& aName, const std::string& aPath)
{
  if (aName.empty() || aName.size() > kMaxNameLength ||
      !std::all_of(aName.begin(), aName.end(), IsNameCharacter)) {
    AddError(aPath,
             "must be 1 to " + std::to_string(kMaxNameLength) +
               " letters, digits, '-', '_' or '.'");
  }
}

template<typename Number>
void
ServiceValidator::CheckRange(Number aValue,
                             Number aMin,
                             Number aMax,
                             const std::string& aPath)
{
  // The negated condition also rejects NaN.
  if (!(aValue >= aMin && aValue <= aMax)) {
    AddError(aPath,
             RangeMessage(static_cast<double>(aValue),
                          static_cast<double>(aMin),
                          static_cast<double>(aMax)));
  }
}

void
ServiceValidator::CheckRange(Duration aValue,
                             Duration aMin,
                             Duration aMax,
                             const std::string& aPath)
{
  if (aValue < aMin || aValue > aMax) {
    AddError(aPath, RangeMessage(aValue, aMin, aMax));
  }
}

template<typename Names>
void
ServiceValidator::CheckOneOf(const std::string& aValue,
                             const Names& aNames,
                             const std::string& aPath)
{
  if (std::find(aNames.begin(), aNames.end(), aValue) != aNames.end()) {
    return;
  }
  std::string allowed;
  for (std::string_view name : aNames) {
    allowed += allowed.empty() ? "" : " or ";
    allowed += name;
  }
  AddError(aPath, "must be " + allowed);
}

void
ServiceValidator::CheckShards(const ServiceSpec& aSpec)
{
  const std::size_t maxShards =
    aSpec.m_kind == ServiceKind::Command ? 1 : kMaxShards;
  if (aSpec.m_shards.empty() || aSpec.m_shards.size() > maxShards) {
    AddError("shards",
             "has " + std::to_string(aSpec.m_shards.size()) +
               " entries; must have from 1 to " + std::to_string(maxShards));
  }
  std::set<std::string_view> uniqueShards;
  for (std::size_t i = 0; i < aSpec.m_shards.size(); ++i) {
    const std::string path = "shards[" + std::to_string(i) + "]";
    CheckName(aSpec.m_shards[i], path);
    if (!uniqueShards.insert(aSpec.m_shards[i]).second) {
      AddError(path, "the shard " + aSpec.m_shards[i] + " is listed twice");
    }
  }
}

void
ServiceValidator::CheckReplica(const ReplicaSpec& aReplica,
                               const std::string& aPath)
{
  CheckName(aReplica.m_id, aPath + ".id");
  if (!IsAddress(aReplica.m_address)) {
    AddError(aPath + ".address", "must be IP:port, port from 1 to 65535");
  }
  CheckName(aReplica.m_dataCentre, aPath + ".data_centre");
  CheckName(aReplica.m_region, aPath + ".region");
  CheckRange<std::uint32_t>(aReplica.m_slots, 1, kMaxSlots, aPath + ".slots");
  CheckRange<std::uint32_t>(
    aReplica.m_connections, 1, kMaxConnections, aPath + ".connections");
  CheckRange(aReplica.m_connectCost,
             Duration{ 0 },
             kMaxConnectCost,
             aPath + ".connect_cost_ms");
}

void
ServiceValidator::CheckReplicas(const ServiceSpec& aSpec)
{
  if (aSpec.m_replicas.empty() || aSpec.m_replicas.size() > kMaxReplicas) {
    AddError("replicas",
             "has " + std::to_string(aSpec.m_replicas.size()) +
               " entries; must have from 1 to " + std::to_string(kMaxReplicas));
  }
  const std::set<std::string_view> shards(aSpec.m_shards.begin(),
                                          aSpec.m_shards.end());
  std::set<std::string_view> shardsWithReplicas;
  std::set<std::string_view> ids;
  for (std::size_t i = 0; i < aSpec.m_replicas.size(); ++i) {
    const ReplicaSpec& replica = aSpec.m_replicas[i];
    const std::string path = "replicas[" + std::to_string(i) + "]";
    CheckReplica(replica, path);
    if (!ids.insert(replica.m_id).second) {
      AddError(path + ".id",
               "the replica id " + replica.m_id + " is used twice");
    }
    if (!shards.contains(replica.m_shard)) {
      AddError(path + ".shard", "must be one of the service's shards");
    }
    shardsWithReplicas.insert(replica.m_shard);
  }
  for (std::size_t i = 0; i < aSpec.m_shards.size(); ++i) {
    if (!shardsWithReplicas.contains(aSpec.m_shards[i])) {
      AddError("shards[" + std::to_string(i) + "]",
               "the shard " + aSpec.m_shards[i] + " has no replica");
    }
  }
}

void
ServiceValidator::CheckPolicy(const ServicePolicy& aPolicy)
{
  CheckRange(
    aPolicy.m_deadline, kMinDeadline, kMaxDeadline, "policy.deadline_ms");
  CheckRange(aPolicy.m_responseTarget,
             kMinDeadline,
             std::clamp(aPolicy.m_deadline, kMinDeadline, kMaxDeadline),
             "policy.response_target_ms");
  CheckRange(aPolicy.m_minCoverage, 0.0, 1.0, "policy.min_coverage");
  CheckRange(aPolicy.m_extraLoad, 0.0, kMaxExtraLoad, "policy.extra_load");
  CheckOneOf(aPolicy.m_selector, kSelectorNames, "policy.selector");
  CheckOneOf(aPolicy.m_hedge, kHedgeNames, "policy.hedge");
}

std::vector<ValidationError>
ServiceValidator::Run(const ServiceSpec& aSpec)
{
  CheckName(aSpec.m_name, "name");
  CheckShards(aSpec);
  CheckReplicas(aSpec);
  CheckPolicy(aSpec.m_policy);
  return std::move(m_errors);
}

} // namespace

std::vector<ValidationError>
Check(const ServiceSpec& aSpec)
{
  return ServiceValidator().Run(aSpec);
}

std::vector<ValidationError>
ValidateReplicaIds(const std::map<std::string, ServiceSpec>& aServices)
{
  std::vector<ValidationError> errors;
  std::map<std::string_view, std::string_view> servicesById;
  for (const auto& [name, spec] : aServices) {
    for (const ReplicaSpec& replica : spec.m_replicas) {
      const auto [entry, added] = servicesById.emplace(replica.m_id, name);
      if (!added && entry->second != name) {
        errors.push_back({ "services",
                           "the replica id " + replica.m_id + " is used by " +
                             std::string(entry->second) + " and " + name +
                             "; it must be unique in the configuration" });
      }
    }
  }
  return errors;
}

std::vector<ValidationError>
ValidateServices(const std::map<std::string, ServiceSpec>& aServices)
{
  std::vector<ValidationError> errors;
  for (const auto& [name, spec] : aServices) {
    for (ValidationError& error : Check(spec)) {
      errors.push_back({ "services." + name + "." + error.m_path,
                         std::move(error.m_message) });
    }
  }
  for (ValidationError& error : ValidateReplicaIds(aServices)) {
    errors.push_back(std::move(error));
  }
  return errors;
}

} // namespace goldcrestkeel
