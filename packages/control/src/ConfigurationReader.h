#pragma once

#include <goldcrestkeel/control/Configuration.h>

#include <nlohmann/json.hpp>

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** Replica ids that several services use. */
std::vector<ValidationError>
ValidateReplicaIds(const std::map<std::string, ServiceSpec>& aServices);

/** Turns JSON into typed values. A value of the wrong type, a missing field or
 *  an unknown field becomes a fault, and reading goes on, so that one pass
 *  finds all faults. */
class ConfigurationReader
{
public:
  using Json = nlohmann::json;

  /** Reads {"services": [...]} and checks it. */
  std::map<std::string, ServiceSpec> ReadServices(const Json& aDocument);
  /** Reads the store's form. */
  Configuration ReadConfiguration(const Json& aDocument);

  const std::vector<ValidationError>& Faults() const { return m_faults; }

private:
  std::map<std::string, ServiceSpec> ReadServiceArray(const Json& aArray);
  ServiceSpec ReadService(const Json& aObject, const std::string& aPath);
  ReplicaSpec ReadReplica(const Json& aObject, const std::string& aPath);
  ServicePolicy ReadPolicy(const Json& aObject, const std::string& aPath);
  AuditEntry ReadAudit(const Json& aObject, const std::string& aPath);

  bool IsObject(const Json& aValue,
                const std::string& aPath,
                std::initializer_list<std::string_view> aFields);
  const Json* Find(const Json& aObject, std::string_view aField);
  const Json* Require(const Json& aObject,
                      const std::string& aPath,
                      std::string_view aField);
  const Json* RequireArray(const Json& aObject,
                           const std::string& aPath,
                           std::string_view aField);
  std::string ReadString(const Json* aValue, const std::string& aPath);
  std::uint64_t ReadUnsigned(const Json* aValue,
                             const std::string& aPath,
                             std::uint64_t aMost);
  double ReadNumber(const Json* aValue, const std::string& aPath);
  Duration ReadMilliseconds(const Json* aValue, const std::string& aPath);
  void Fault(const std::string& aPath, std::string aMessage);

  std::vector<ValidationError> m_faults;
};

} // namespace goldcrestkeel
