#pragma once

#include <goldcrestkeel/core/Topology.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** Revision number of a configuration. It increases by one with each change; 0
 *  stands for the empty configuration. */
using Revision = std::uint64_t;

/** One reason why a configuration document is invalid. */
struct ValidationError
{
  /** Path of the field, such as "services[2].policy.min_coverage". */
  std::string m_path;
  /** Describes the violation and the allowed values. */
  std::string m_message;
};

/** Entry of the audit trail: one change of the configuration. */
struct AuditEntry
{
  Revision m_revision = 0;
  /** Name of the operator who made the change. */
  std::string m_operator;
  /** Time of the request, in milliseconds since the Unix epoch. */
  WallTime m_changedAt = 0;
  /** Address of the client that sent the change. */
  std::string m_from;
  /** Chosen by the client of the operator; identifies the change across
   *  retries. */
  std::string m_operationId;
  /** Text of the change, at most kMaxChangeTextBytes long. */
  std::string m_change;
  /** "accepted" once every required host has confirmed the revision, otherwise
   *  "pending". */
  std::string m_outcome;

  bool operator==(const AuditEntry&) const = default;
};

/** The configuration as the store holds it. */
struct Configuration
{
  Revision m_revision = 0;
  /** True once every required host has confirmed the revision. */
  bool m_accepted = true;
  /** Services by name. */
  std::map<std::string, ServiceSpec> m_services;
  /** Audit trail, oldest entry first, at most kMaxAuditEntries long. */
  std::vector<AuditEntry> m_audit;

  bool operator==(const Configuration&) const = default;
};

/** Number of entries that the audit trail retains. */
inline constexpr std::size_t kMaxAuditEntries = 500;

/** Parses a service list in the format that operators write: {"services":
 *  [...]}, JSON with comments. Throws Error (InvalidConfiguration) if the
 *  document is invalid; the error text lists every validation error, one per
 *  line, with the path of the field and the allowed range. */
std::map<std::string, ServiceSpec>
ParseServices(std::string_view aText);

/** Validates one service. Returns all errors in the order of the fields; an
 *  empty list means that the service is valid. */
std::vector<ValidationError>
Check(const ServiceSpec& aSpec);

/** Formats services in the format that ParseServices() reads. */
std::string
FormatServices(const std::map<std::string, ServiceSpec>& aServices);

/** Serializes a configuration to the document that is kept in the store. Text
 *  that is not valid UTF-8 is written with replacement characters. */
std::string
SerializeConfiguration(const Configuration& aConfiguration);
/** Parses the document that SerializeConfiguration() writes. Throws Error
 *  (InvalidConfiguration), as ParseServices() does. */
Configuration
ParseConfiguration(std::string_view aText);

} // namespace goldcrestkeel
