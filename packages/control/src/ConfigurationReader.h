#pragma once

#include <goldcrestkeel/control/Configuration.h>

#include <nlohmann/json.hpp>

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** Returns an error for each replica id that several services use. */
std::vector<ValidationError>
ValidateReplicaIds(const std::map<std::string, ServiceSpec>& aServices);

/** Converts JSON to typed values. A value of the wrong type, a missing field or
 *  an unknown field is recorded as an error and reading continues, so that one
 *  pass finds all errors. */
class ConfigurationReader
{
public:
  using Json = nlohmann::json;

  /** Reads and validates {"services": [...]}. */
  std::map<std::string, ServiceSpec> ReadServices(const Json& aDocument);
  /** Reads and validates the document that is kept in the store. */
  Configuration ReadConfiguration(const Json& aDocument);

  const std::vector<ValidationError>& Errors() const { return m_errors; }

private:
  std::map<std::string, ServiceSpec> ReadServiceArray(const Json& aArray);
  ServiceSpec ReadService(const Json& aObject, const std::string& aPath);
  ReplicaSpec ReadReplica(const Json& aObject, const std::string& aPath);
  ServicePolicy ReadPolicy(const Json& aObject, const std::string& aPath);
  AuditEntry ReadAudit(const Json& aObject, const std::string& aPath);

  /** Returns whether aValue is an object; records an error if it is not, and
   *  one for each field that is not in aFields. */
  bool ExpectObject(const Json& aValue,
                    const std::string& aPath,
                    std::initializer_list<std::string_view> aFields);
  /** Returns the field, or null if it is missing. */
  const Json* Find(const Json& aObject, std::string_view aField);
  /** Like Find(), but records an error if the field is missing. */
  const Json* Require(const Json& aObject,
                      const std::string& aPath,
                      std::string_view aField);
  /** Like Require(), but also records an error and returns null if the field is
   *  not an array. */
  const Json* RequireArray(const Json& aObject,
                           const std::string& aPath,
                           std::string_view aField);
  // The methods below return an empty value or 0 if aValue is null or has the
  // wrong type; they record an error in the second case.
  std::string ReadString(const Json* aValue, const std::string& aPath);
  std::uint64_t ReadUnsigned(const Json* aValue,
                             const std::string& aPath,
                             std::uint64_t aMax);
  double ReadNumber(const Json* aValue, const std::string& aPath);
  Duration ReadMilliseconds(const Json* aValue, const std::string& aPath);
  void AddError(const std::string& aPath, std::string aMessage);

  std::vector<ValidationError> m_errors;
};

} // namespace goldcrestkeel
