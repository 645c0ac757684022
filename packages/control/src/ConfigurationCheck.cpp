#include "ConfigurationLimits.h"
#include "ConfigurationReader.h"

#include <goldcrestkeel/control/ConfigurationChange.h>

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <set>

namespace goldcrestkeel {

namespace {

/** Collects the faults of one service. */
class ServiceChecker
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
                  Number aLeast,
                  Number aMost,
                  const std::string& aPath);
  void CheckRange(Duration aValue,
                  Duration aLeast,
                  Duration aMost,
                  const std::string& aPath);
  template<typename Names>
  void CheckOneOf(const std::string& aValue,
                  const Names& aNames,
                  const std::string& aPath);
  void Fault(const std::string& aPath, std::string aMessage);

  std::vector<ValidationError> m_faults;
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

/** "192.0.2.1:80" or "[2001:db8::1]:80". */
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
Text(double aValue)
{
  std::string text = std::to_string(aValue);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') {
    text.pop_back();
  }
  return text;
}

std::string
Text(Duration aValue)
{
  return Text(std::chrono::duration<double, std::milli>(aValue).count());
}

template<typename Number>
std::string
RangeMessage(Number aValue, Number aLeast, Number aMost)
{
  return "is " + Text(aValue) + "; must be from " + Text(aLeast) + " to " +
         Text(aMost);
}

void
ServiceChecker::Fault(const std::string& aPath, std::string aMessage)
{
  m_faults.push_back({ aPath, std::move(aMessage) });
}

void
ServiceChecker::CheckName(const std::string& aName, const std::string& aPath)
{
  if (aName.empty() || aName.size() > kMaxNameLength ||
      !std::all_of(aName.begin(), aName.end(), IsNameCharacter)) {
    Fault(aPath,
          "must be 1 to " + std::to_string(kMaxNameLength) +
            " letters, digits, '-', '_' or '.'");
  }
}

template<typename Number>
void
ServiceChecker::CheckRange(Number aValue,
                           Number aLeast,
                           Number aMost,
                           const std::string& aPath)
{
  // The negation also catches a value that is not a number.
  if (!(aValue >= aLeast && aValue <= aMost)) {
    Fault(aPath,
          RangeMessage(static_cast<double>(aValue),
                       static_cast<double>(aLeast),
                       static_cast<double>(aMost)));
  }
}

void
ServiceChecker::CheckRange(Duration aValue,
                           Duration aLeast,
                           Duration aMost,
                           const std::string& aPath)
{
  if (aValue < aLeast || aValue > aMost) {
    Fault(aPath, RangeMessage(aValue, aLeast, aMost));
  }
}

template<typename Names>
void
ServiceChecker::CheckOneOf(const std::string& aValue,
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
  Fault(aPath, "must be " + allowed);
}

void
ServiceChecker::CheckShards(const ServiceSpec& aSpec)
{
  const std::size_t most =
    aSpec.m_kind == ServiceKind::Command ? 1 : kMaxShards;
  if (aSpec.m_shards.empty() || aSpec.m_shards.size() > most) {
    Fault("shards",
          "has " + std::to_string(aSpec.m_shards.size()) +
            " entries; must have from 1 to " + std::to_string(most));
  }
  std::set<std::string_view> seen;
  for (std::size_t i = 0; i < aSpec.m_shards.size(); ++i) {
    const std::string path = "shards[" + std::to_string(i) + "]";
    CheckName(aSpec.m_shards[i], path);
    if (!seen.insert(aSpec.m_shards[i]).second) {
      Fault(path, "the shard " + aSpec.m_shards[i] + " is listed twice");
    }
  }
}

void
ServiceChecker::CheckReplica(const ReplicaSpec& aReplica,
                             const std::string& aPath)
{
  CheckName(aReplica.m_id, aPath + ".id");
  if (!IsAddress(aReplica.m_address)) {
    Fault(aPath + ".address", "must be IP:port, port from 1 to 65535");
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
ServiceChecker::CheckReplicas(const ServiceSpec& aSpec)
{
  if (aSpec.m_replicas.empty() || aSpec.m_replicas.size() > kMaxReplicas) {
    Fault("replicas",
          "has " + std::to_string(aSpec.m_replicas.size()) +
            " entries; must have from 1 to " + std::to_string(kMaxReplicas));
  }
  const std::set<std::string_view> shards(aSpec.m_shards.begin(),
                                          aSpec.m_shards.end());
  std::set<std::string_view> held;
  std::set<std::string_view> ids;
  for (std::size_t i = 0; i < aSpec.m_replicas.size(); ++i) {
    const ReplicaSpec& replica = aSpec.m_replicas[i];
    const std::string path = "replicas[" + std::to_string(i) + "]";
    CheckReplica(replica, path);
    if (!ids.insert(replica.m_id).second) {
      Fault(path + ".id", "the replica id " + replica.m_id + " is used twice");
    }
    if (!shards.contains(replica.m_shard)) {
      Fault(path + ".shard", "must be one of the service's shards");
    }
    held.insert(replica.m_shard);
  }
  for (std::size_t i = 0; i < aSpec.m_shards.size(); ++i) {
    if (!held.contains(aSpec.m_shards[i])) {
      Fault("shards[" + std::to_string(i) + "]",
            "the shard " + aSpec.m_shards[i] + " has no replica");
    }
  }
}

void
ServiceChecker::CheckPolicy(const ServicePolicy& aPolicy)
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
ServiceChecker::Run(const ServiceSpec& aSpec)
{
  CheckName(aSpec.m_name, "name");
  CheckShards(aSpec);
  CheckReplicas(aSpec);
  CheckPolicy(aSpec.m_policy);
  return std::move(m_faults);
}

} // namespace

std::vector<ValidationError>
Check(const ServiceSpec& aSpec)
{
  return ServiceChecker().Run(aSpec);
}

std::vector<ValidationError>
ValidateReplicaIds(const std::map<std::string, ServiceSpec>& aServices)
{
  std::vector<ValidationError> faults;
  std::map<std::string_view, std::string_view> owners;
  for (const auto& [name, spec] : aServices) {
    for (const ReplicaSpec& replica : spec.m_replicas) {
      const auto [owner, added] = owners.emplace(replica.m_id, name);
      if (!added && owner->second != name) {
        faults.push_back({ "services",
                           "the replica id " + replica.m_id + " is used by " +
                             std::string(owner->second) + " and " + name +
                             "; it must be unique in the configuration" });
      }
    }
  }
  return faults;
}

std::vector<ValidationError>
ValidateServices(const std::map<std::string, ServiceSpec>& aServices)
{
  std::vector<ValidationError> faults;
  for (const auto& [name, spec] : aServices) {
    for (ValidationError& fault : Check(spec)) {
      faults.push_back({ "services." + name + "." + fault.m_path,
                         std::move(fault.m_message) });
    }
  }
  for (ValidationError& fault : ValidateReplicaIds(aServices)) {
    faults.push_back(std::move(fault));
  }
  return faults;
}

} // namespace goldcrestkeel
