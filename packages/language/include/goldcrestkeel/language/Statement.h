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
  /** Smallest coverage, in [0, 1]. */
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
  /** Idempotency key; nothing if the statement names none. */
  std::optional<std::string> m_key;

  bool operator==(const HoldStatement&) const = default;
};

/** INVOICE service NUMBER "n" ACTION name KEY "k" */
struct InvoiceStatement
{
  std::string m_service;
  std::string m_number;
  std::string m_action;
  /** Idempotency key; nothing if the statement names none. */
  std::optional<std::string> m_key;

  bool operator==(const InvoiceStatement&) const = default;
};

/** Policy settings that a statement names; the others keep their value. */
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
  /** In the order of the statement, at least one. */
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
  /** Service of SHOW SERVICE; of SHOW REPLICAS, empty for all services. */
  std::string m_service;
  /** Most audit entries to show. */
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

/** Whether the statement changes the configuration. */
bool
ChangesConfiguration(const Statement& aStatement);

/** Whether the statement is a command, which runs at most once. */
bool
IsCommand(const Statement& aStatement);

/** The statement in the canonical form of the language: one line, keywords in
 *  upper case, no semicolon. ParseStatement() reads it back to an equal
 *  statement. */
std::string
Format(const Statement& aStatement);

/** The declared service, with the default of each policy setting that the
 *  statement does not name. Check() of the control library finds faults in the
 *  result. */
ServiceSpec
ToServiceSpec(const CreateServiceStatement& aStatement);

/** aPolicy with the settings of aChange. */
ServicePolicy
ApplyPolicyChange(const ServicePolicy& aPolicy, const PolicyChange& aChange);

/** aSpec with all alterations in the order of the statement. Throws Error:
 *  InvalidConfiguration if an added replica or shard exists, NotFound if a
 *  dropped one doesn't. Check() of the control library finds all other faults
 *  in the result, such as a replica of a dropped shard. */
ServiceSpec
ApplyAlterations(const ServiceSpec& aSpec,
                 const AlterServiceStatement& aStatement);

} // namespace goldcrestkeel
