#pragma once

#include <goldcrestkeel/core/Time.h>
#include <goldcrestkeel/core/Topology.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace goldcrestkeel {

/** SEARCH service FOR "text" ... */
struct SearchStatement
{
  std::string m_service;
  std::string m_text;
  std::optional<std::uint32_t> m_limit;
  std::optional<std::uint32_t> m_offset;
  std::optional<Duration> m_deadline;
  /** Minimum coverage, in [0, 1]. */
  std::optional<double> m_coverage;
  std::optional<VersionId> m_snapshot;
  std::optional<CallerClass> m_class;

  bool operator==(const SearchStatement&) const = default;
};

/** HOLD service ITEM "id" QUANTITY n MEMBER "m" KEY "k" */
struct HoldStatement
{
  std::string m_service;
  std::string m_item;
  /** At least 1. */
  std::uint32_t m_quantity = 0;
  std::string m_member;
  /** Idempotency key, if the statement has one. */
  std::optional<std::string> m_key;

  bool operator==(const HoldStatement&) const = default;
};

/** INVOICE service NUMBER "n" ACTION name KEY "k" */
struct InvoiceStatement
{
  std::string m_service;
  std::string m_number;
  std::string m_action;
  /** Idempotency key, if the statement has one. */
  std::optional<std::string> m_key;

  bool operator==(const InvoiceStatement&) const = default;
};

/** Policy settings that a statement sets. Settings without a value stay
 *  unchanged. */
struct PolicyChange
{
  std::optional<Duration> m_deadline;
  std::optional<Duration> m_responseTarget;
  std::optional<double> m_minCoverage;
  std::optional<CoveragePreference> m_preference;
  std::optional<double> m_extraLoad;
  std::optional<std::string> m_selector;
  std::optional<std::string> m_hedge;

  bool operator==(const PolicyChange&) const = default;
};

/** CREATE SERVICE name KIND SEARCH|COMMAND SHARDS (...) REPLICAS (...) ... */
struct CreateServiceStatement
{
  std::string m_service;
  ServiceKind m_kind = ServiceKind::Search;
  std::vector<std::string> m_shards;
  std::vector<ReplicaSpec> m_replicas;
  PolicyChange m_policy;

  bool operator==(const CreateServiceStatement&) const = default;
};

struct AddReplica
{
  ReplicaSpec m_replica;

  bool operator==(const AddReplica&) const = default;
};

struct DropReplica
{
  std::string m_replica;

  bool operator==(const DropReplica&) const = default;
};

struct AddShard
{
  std::string m_shard;

  bool operator==(const AddShard&) const = default;
};

struct DropShard
{
  std::string m_shard;

  bool operator==(const DropShard&) const = default;
};

using Alteration =
  std::variant<PolicyChange, AddReplica, DropReplica, AddShard, DropShard>;

/** ALTER SERVICE name alteration, ... */
struct AlterServiceStatement
{
  std::string m_service;
  /** At least one, in the order of the statement. */
  std::vector<Alteration> m_alterations;

  bool operator==(const AlterServiceStatement&) const = default;
};

/** DROP SERVICE name */
struct DropServiceStatement
{
  std::string m_service;

  bool operator==(const DropServiceStatement&) const = default;
};

enum class ShowSubject
{
  Services,
  Service,
  Replicas,
  Members,
  Suspects,
  Audit,
  Configuration,
};

/** SHOW subject */
struct ShowStatement
{
  ShowSubject m_subject = ShowSubject::Services;
  /** Service of SHOW SERVICE or SHOW REPLICAS; empty to show the replicas of
   *  all services. */
  std::string m_service;
  /** Maximum number of audit entries. */
  std::optional<std::uint32_t> m_limit;

  bool operator==(const ShowStatement&) const = default;
};

/** LIFT QUARANTINE fingerprint */
struct LiftQuarantineStatement
{
  /** Fingerprint of the quarantined statement. */
  std::uint64_t m_fingerprint = 0;

  bool operator==(const LiftQuarantineStatement&) const = default;
};

/** EXPLAIN SEARCH ... */
struct ExplainStatement
{
  SearchStatement m_search;

  bool operator==(const ExplainStatement&) const = default;
};

using Statement = std::variant<SearchStatement,
                               HoldStatement,
                               InvoiceStatement,
                               CreateServiceStatement,
                               AlterServiceStatement,
                               DropServiceStatement,
                               ShowStatement,
                               LiftQuarantineStatement,
                               ExplainStatement>;

/** Returns whether the statement changes the configuration: CREATE, ALTER or
 *  DROP SERVICE. */
bool
ChangesConfiguration(const Statement& aStatement);

/** Returns whether the statement is a command, HOLD or INVOICE, which runs at
 *  most once. */
bool
IsCommand(const Statement& aStatement);

/** Returns the canonical form of the statement: one line, keywords in upper
 *  case, no semicolon. ParseStatement() parses it to an equal statement. */
std::string
Format(const Statement& aStatement);

/** Returns the specification of the declared service, with defaults for the
 *  policy settings that the statement does not set. The result is not
 *  validated; use Check() of the control library. */
ServiceSpec
ToServiceSpec(const CreateServiceStatement& aStatement);

/** Returns aPolicy with the settings of aChange applied. */
ServicePolicy
ApplyPolicyChange(const ServicePolicy& aPolicy, const PolicyChange& aChange);

/** Returns aSpec with all alterations applied in the order of the statement.
 *  Throws Error: InvalidConfiguration if an added replica or shard exists
 *  already, NotFound if a dropped one does not exist. The result is not
 *  validated otherwise; Check() of the control library finds, for example, a
 *  replica of a dropped shard. */
ServiceSpec
ApplyAlterations(const ServiceSpec& aSpec,
                 const AlterServiceStatement& aStatement);

} // namespace goldcrestkeel
