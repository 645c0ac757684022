#pragma once

#include <goldcrestkeel/core/Time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** Number of an index version; a larger one is newer. 0 means none. */
using VersionId = std::uint64_t;

/** Number of documents. */
using DocumentCount = std::uint64_t;

/** What a service accepts. */
enum class ServiceKind
{
  /** Repeatable searches over all shards. */
  Search,
  /** Commands that run at most once, on one replica of one shard. */
  Command,
};

/** What a search does when some shards are late. */
enum class CoveragePreference
{
  /** Answers at the service's response target with the coverage it has. */
  AnswerOnTime,
  /** Waits for coverage as long as the deadline allows. */
  WaitForCoverage,
};

/** Priority of a request; the lowest is shed first. */
enum class CallerClass
{
  Interactive,
  Batch,
};

std::string_view
NameOf(ServiceKind aKind);
std::string_view
NameOf(CoveragePreference aPreference);
std::string_view
NameOf(CallerClass aClass);
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
  /** Shard that the replica holds unless its status says otherwise. */
  std::string m_shard;
  /** Requests that the replica runs at once. */
  std::uint32_t m_slots = 1;
  /** Connections that the replica accepts, over all entry hosts. */
  std::uint32_t m_connections = 1;
  /** Cost of a new connection. */
  Duration m_connectCost{ 0 };

  bool operator==(const ReplicaSpec&) const = default;
};

/** How a service answers. */
struct ServicePolicy
{
  /** Deadline of a request that names none. */
  Duration m_deadline{ 1000000 };
  /** Response target of AnswerOnTime: a search that has reached its minimum
   *  coverage answers at this time. */
  Duration m_responseTarget{ 110000 };
  /** Smallest coverage, in [0, 1], that is an answer and not an error. */
  double m_minCoverage = 0.0;
  CoveragePreference m_preference = CoveragePreference::AnswerOnTime;
  /** Hedges and retries allowed, as a share of primary sub-requests. */
  double m_extraLoad = 0.05;
  /** Name of a ReplicaSelector strategy. */
  std::string m_selector = "least_loaded";
  /** Name of a HedgePolicy strategy. */
  std::string m_hedge = "quantile";

  bool operator==(const ServicePolicy&) const = default;
};

/** A service as operators declare it. */
struct ServiceSpec
{
  std::string m_name;
  ServiceKind m_kind = ServiceKind::Search;
  std::vector<std::string> m_shards;
  std::vector<ReplicaSpec> m_replicas;
  ServicePolicy m_policy;

  bool operator==(const ServiceSpec&) const = default;
};

/** Documents of each shard of one index version: the shard map that a query
 *  pins. */
struct ShardMap
{
  VersionId m_version = 0;
  std::map<std::string, DocumentCount> m_documents;

  DocumentCount Total() const;
  bool operator==(const ShardMap&) const = default;
};

/** What a replica says it holds of one index version. */
struct HeldVersion
{
  ShardMap m_map;
  /** Shard of m_map that the replica holds. */
  std::string m_shard;
};

/** A replica's own report; it may lag or mislead. */
struct ReplicaStatus
{
  std::string m_replica;
  /** Changes with each start of the backend server; 0 if unknown. */
  std::uint64_t m_incarnation = 0;
  bool m_draining = false;
  /** The backend server has started lately and is not warm yet. */
  bool m_cold = false;
  std::uint32_t m_slots = 0;
  std::uint32_t m_inFlight = 0;
  std::uint32_t m_queued = 0;
  std::vector<HeldVersion> m_versions;
};

} // namespace goldcrestkeel
