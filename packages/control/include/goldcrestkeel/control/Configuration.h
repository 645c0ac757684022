#pragma once

#include <goldcrestkeel/core/Topology.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** Number of a configuration; only grows. 0 is the empty configuration. */
using Revision = std::uint64_t;

/** One fault of a document: where and what. */
struct ValidationError
{
  /** Path such as "services[2].policy.min_coverage". */
  std::string m_path;
  /** What is wrong and what is allowed. */
  std::string m_message;
};

/** Entry of the audit trail. */
struct AuditEntry
{
  Revision m_revision = 0;
  std::string m_operator;
  /** Milliseconds since the Unix epoch. */
  WallTime m_changedAt = 0;
  /** Address that the change came from. */
  std::string m_from;
  std::string m_operationId;
  std::string m_change;
  /** "pending" or "accepted". */
  std::string m_outcome;

  bool operator==(const AuditEntry&) const = default;
};

/** The configuration as it stands in the store. */
struct Configuration
{
  Revision m_revision = 0;
  /** True once every required host has confirmed the revision. */
  bool m_accepted = true;
  std::map<std::string, ServiceSpec> m_services;
  /** Newest last, at most kMaxAuditEntries. */
  std::vector<AuditEntry> m_audit;

  bool operator==(const Configuration&) const = default;
};

/** Entries that the audit trail keeps. */
inline constexpr std::size_t kMaxAuditEntries = 500;

/** Reads a service list as operators write it: {"services": [...]}, JSON with
 *  comments. Throws Error (InvalidConfiguration) whose text lists all faults,
 *  each with its path and the allowed range. */
std::map<std::string, ServiceSpec>
ParseServices(std::string_view aText);

/** All faults of one service, in the order of its fields. */
std::vector<ValidationError>
Check(const ServiceSpec& aSpec);

/** Service list as operators write it. */
std::string
FormatServices(const std::map<std::string, ServiceSpec>& aServices);

/** The store's form of a configuration and back. Parsing throws Error
 *  (InvalidConfiguration). */
std::string
SerializeConfiguration(const Configuration& aConfiguration);
Configuration
ParseConfiguration(std::string_view aText);

} // namespace goldcrestkeel
