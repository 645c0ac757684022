#pragma once

#include <goldcrestkeel/core/Time.h>
#include <goldcrestkeel/forward/Tenant.h>
#include <goldcrestkeel/forward/TenantKeys.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace goldcrestkeel {

/** Monotonically increasing version of a routing table. 0 means no table. */
using RoutingVersion = std::uint64_t;

/** A service of a route and the weight with which it receives requests. */
struct WeightedService
{
  std::string m_service;
  double m_weight = 1;

  bool operator==(const WeightedService&) const = default;
};

/** How a route sends a request to several shards and merges their answers. */
struct GatherRule
{
  /** One service for each shard. */
  std::vector<std::string> m_shards;
  /** Maximum number of records in the merged answer. */
  std::uint32_t m_topRecords = 0;
  /** Minimum fraction of the shards, in [0, 1], that the answer must cover. */
  double m_minShardRatio = 1;

  bool operator==(const GatherRule&) const = default;
};

/** How requests for a host name and path prefix are forwarded. */
struct Route
{
  std::string m_name;
  std::string m_host;
  /** Begins and ends with a slash. */
  std::string m_pathPrefix;
  /** Whether requests may run more than once. */
  bool m_idempotent = false;
  /** Maximum time until the caller gets an answer or an error. */
  Duration m_timeout{ 0 };
  /** Target response time. */
  Duration m_target{ 0 };
  /** Maximum number of replicas of one service that may run a request. */
  std::uint32_t m_attempts = 1;
  /** Priority under overload; 0 is the highest. */
  std::uint32_t m_priority = 0;
  /** Services of a route without m_gather; not empty for such a route. */
  std::vector<WeightedService> m_services;
  std::optional<GatherRule> m_gather;
  /** Callers need no key. */
  bool m_public = false;
  /** Regions whose replicas may serve the route; empty for all. */
  std::vector<std::string> m_allowedRegions;

  bool operator==(const Route&) const = default;
};

/** Configuration of a service. */
struct RoutedService
{
  std::string m_name;
  /** Connections that a replica accepts, summed over all hosts. */
  std::uint32_t m_connections = 1;
  /** Path at which a replica tells whether it is healthy. */
  std::string m_healthPath{ "/" };
  /** How long a replica is cold after its start; 0 if that is not stated. */
  Duration m_warmupTime{ 0 };
  /** Requests a second that a cold replica takes from all entry hosts together;
   *  0 for no limit. */
  double m_warmupPerSecond = 0;

  bool operator==(const RoutedService&) const = default;
};

/** Size limits and timeouts of callers' requests. */
struct CallerLimits
{
  std::uint32_t m_headerBytes = 16384;
  std::uint32_t m_bodyBytes = 1048576;
  Duration m_headerTimeout{ 5000000 };
  Duration m_idleTimeout{ 30000000 };

  bool operator==(const CallerLimits&) const = default;
};

/** A version of all routes. Immutable after Index(). */
struct RoutingTable
{
  RoutingVersion m_version = 0;
  std::vector<Route> m_routes;
  std::map<std::string, RoutedService> m_services;
  CallerLimits m_limits;
  /** Set if callers have to identify as tenants. */
  bool m_hasTenants = false;
  std::vector<Tenant> m_tenants;
  /** Why tenants or some of their keys were left out, for the log; never with a
   *  key. */
  std::vector<std::string> m_tenantFaults;

  /** Builds the lookup indexes. Call it after the last change of m_routes and
   *  m_tenants and before any of the methods below. */
  void Index();

  /** Returns the route of aHost with the longest prefix of aPath, or nullptr if
   *  none matches. Ignores a port in aHost and compares host names
   *  case-insensitively. The pointer is valid as long as the table. */
  const Route* Find(std::string_view aHost, std::string_view aPath) const;

  /** Returns the tenant that holds aKey, or nullptr if there is none or more
   *  than one. The pointer is valid as long as the table. */
  const Tenant* FindTenantByKey(std::string_view aKey) const;
  /** Returns the tenant named aName, or nullptr if there is none. */
  const Tenant* FindTenant(std::string_view aName) const;

private:
  /** Indexes into m_routes by host name, longest prefix first. */
  std::unordered_map<std::string, std::vector<std::size_t>> m_byHost;
  /** Indexes into m_tenants by name, and by key. */
  std::unordered_map<std::string, std::size_t> m_tenantByName;
  TenantKeys m_tenantKeys;
};

} // namespace goldcrestkeel
