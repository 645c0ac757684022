#pragma once

#include <goldcrestkeel/core/Time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace goldcrestkeel {

/** Version of a routing table; only grows. 0 stands for no table. */
using RoutingVersion = std::uint64_t;

/** One of the services among which a route divides its requests. */
struct WeightedService
{
  std::string m_service;
  double m_weight = 1;

  bool operator==(const WeightedService&) const = default;
};

/** How a route that asks several shards puts its answer together. */
struct GatherRule
{
  /** Services that each hold one shard. */
  std::vector<std::string> m_shards;
  /** Records in the answer. */
  std::uint32_t m_topRecords = 0;
  /** Smallest share of the shards, in [0, 1], that makes an answer. */
  double m_minShardRatio = 1;

  bool operator==(const GatherRule&) const = default;
};

/** What happens to the requests of one host name and path prefix. */
struct Route
{
  std::string m_name;
  std::string m_host;
  /** Begins and ends with a slash. */
  std::string m_pathPrefix;
  /** Requests may run more than once. */
  bool m_idempotent = false;
  /** Longest time for which a request is kept waiting. */
  Duration m_timeout{ 0 };
  /** Time within which callers want the answer. */
  Duration m_target{ 0 };
  /** Replicas of one service that a request may be sent to. */
  std::uint32_t m_attempts = 1;
  /** Rank under overload; 0 is served first. */
  std::uint32_t m_priority = 0;
  /** Services of a route without m_gather; at least one. */
  std::vector<WeightedService> m_services;
  std::optional<GatherRule> m_gather;

  bool operator==(const Route&) const = default;
};

/** What the routing table says of a service. */
struct RoutedService
{
  std::string m_name;
  /** Connections that a replica accepts from all hosts together. */
  std::uint32_t m_connections = 1;

  bool operator==(const RoutedService&) const = default;
};

/** What callers may send, and how long they may take. */
struct CallerLimits
{
  std::uint32_t m_headerBytes = 16384;
  std::uint32_t m_bodyBytes = 1048576;
  Duration m_headerTimeout{ 5000000 };
  Duration m_idleTimeout{ 30000000 };

  bool operator==(const CallerLimits&) const = default;
};

/** One version of all routes. Does not change after Index(). */
struct RoutingTable
{
  RoutingVersion m_version = 0;
  std::vector<Route> m_routes;
  std::map<std::string, RoutedService> m_services;
  CallerLimits m_limits;

  /** To be called once all routes are there. */
  void Index();

  /** Route of aHost with the longest prefix of aPath; nullptr if there is none.
   *  A port in aHost is ignored, as is the case of its letters. */
  const Route* Find(std::string_view aHost, std::string_view aPath) const;

private:
  /** Positions in m_routes by host, the longest prefix first. */
  std::unordered_map<std::string, std::vector<std::size_t>> m_byHost;
};

} // namespace goldcrestkeel
