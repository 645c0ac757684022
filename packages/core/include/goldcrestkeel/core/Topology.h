#pragma once

#include <goldcrestkeel/core/Time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** Number of an index version; a larger number is newer. 0 means none. */
using VersionId = std::uint64_t;

/** Count of documents. */
using DocumentCount = std::uint64_t;

/** Kind of request that a service accepts. */
enum class ServiceKind
{
  /** Repeatable searches over all shards. */
  Search,
  /** Commands that run at most once, on one replica of one shard. */
  Command,
};

/** When a search with late shards answers. */
enum class CoveragePreference
{
  /** Answers at the response target of the service if the minimum coverage has
   *  been reached. */
  AnswerOnTime,
  /** Waits for all shards until the deadline. */
  WaitForCoverage,
};

/** Priority of a request; the lowest class is refused first under load. */
enum class CallerClass
{
  Interactive,
  Batch,
};

/** Names used in the configuration and in requests. */
std::string_view
NameOf(ServiceKind aKind);
std::string_view
NameOf(CoveragePreference aPreference);
std::string_view
NameOf(CallerClass aClass);
/** Inverse of NameOf(); nothing for an unknown name. */
std::optional<ServiceKind>
ServiceKindFromName(std::string_view aName);
std::optional<CoveragePreference>
CoveragePreferenceFromName(std::string_view aName);
std::optional<CallerClass>
CallerClassFromName(std::string_view aName);

/** One copy of a shard on a backend server. */
struct ReplicaSpec
{
  /** Unique in the whole configuration, for example "tender-03-b". */
  std::string m_id;
  /** "IP:port". */
  std::string m_address;
  std::string m_dataCentre;
  std::string m_region;
  /** Shard that the replica holds unless its status reports another one. */
  std::string m_shard;
  /** Requests that the replica executes concurrently. */
  std::uint32_t m_slots = 1;
  /** Connections that the replica accepts from all entry hosts together. */
  std::uint32_t m_connections = 1;
  /** Cost of opening a connection. */
  Duration m_connectCost{ 0 };

  bool operator==(const ReplicaSpec&) const = default;
};

/** Deadline, coverage and load policy of a service. */
struct ServicePolicy
{
  /** Deadline of a request that specifies none. */
  Duration m_deadline{ 1000000 };
  /** Response target of AnswerOnTime: a search that has reached its minimum
   *  coverage answers at this time. */
  Duration m_responseTarget{ 110000 };
  /** Minimum coverage of an answer, in [0, 1]. A search that stays below it
   *  ends with an error. */
  double m_minCoverage = 0.0;
  CoveragePreference m_preference = CoveragePreference::AnswerOnTime;
  /** Budget of hedges and retries, as a fraction of the primary
   *  sub-requests. */
  double m_extraLoad = 0.05;
  /** Name of a ReplicaSelector strategy. */
  std::string m_selector = "least_loaded";
  /** Name of a HedgePolicy strategy. */
  std::string m_hedge = "quantile";

  bool operator==(const ServicePolicy&) const = default;
};

/** A service as declared in the configuration. */
struct ServiceSpec
{
  std::string m_name;
  ServiceKind m_kind = ServiceKind::Search;
  std::vector<std::string> m_shards;
  std::vector<ReplicaSpec> m_replicas;
  ServicePolicy m_policy;

  bool operator==(const ServiceSpec&) const = default;
};

/** Document count of each shard of one index version. A query pins one such
 *  map. */
struct ShardMap
{
  VersionId m_version = 0;
  std::map<std::string, DocumentCount> m_documents;

  /** Sum over all shards. */
  DocumentCount Total() const;
  bool operator==(const ShardMap&) const = default;
};

/** Shard of one index version that a replica reports to hold. */
struct HeldVersion
{
  ShardMap m_map;
  /** Shard of m_map that the replica holds. */
  std::string m_shard;
};

/** Status that a replica reports about itself; it may be outdated or wrong. */
struct ReplicaStatus
{
  std::string m_replica;
  /** Identifies one start of the backend server: it changes with each restart.
   *  0 if unknown. */
  std::uint64_t m_incarnation = 0;
  bool m_draining = false;
  /** The backend server has started recently and is not warm yet. */
  bool m_cold = false;
  std::uint32_t m_slots = 0;
  std::uint32_t m_inFlight = 0;
  std::uint32_t m_queued = 0;
  std::vector<HeldVersion> m_versions;
};

} // namespace goldcrestkeel
