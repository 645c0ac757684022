#pragma once

#include <goldcrestkeel/edge/HttpMessage.h>
#include <goldcrestkeel/forward/RoutingTable.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** Header fields between two entry hosts. They are never sent to callers or
 *  replicas. */

/** Version of the routing table that the sender routed the request by. */
inline constexpr std::string_view kTableVersionField =
  "Goldcrestkeel-Table-Version";
/** Shards to query or, in a response, shards whose results it has: indices into
 *  the shard list of the route, separated by commas. */
inline constexpr std::string_view kShardsField = "Goldcrestkeel-Shards";
/** Number of shards that may be missing from the response. */
inline constexpr std::string_view kMayMissField = "Goldcrestkeel-May-Miss";
/** Time until the target latency, when a partial response is due, in
 *  milliseconds. */
inline constexpr std::string_view kTargetMsField = "Goldcrestkeel-Target-Ms";
/** Number of copies that were sent to replicas for a failed request. */
inline constexpr std::string_view kCopiesField = "Goldcrestkeel-Copies";
/** Number of replicas of a shard that may still run the request; absent if none
 *  may have run it yet. */
inline constexpr std::string_view kAttemptsLeftField =
  "Goldcrestkeel-Attempts-Left";
/** Present in a refusal if the host takes no requests of other hosts now, or
 * not by this version of the table. */
inline constexpr std::string_view kUnavailableField =
  "Goldcrestkeel-Unavailable";

/** Present in a refusal if the request is in quarantine. */
inline constexpr std::string_view kQuarantinedField =
  "Goldcrestkeel-Quarantined";

/** Whether aName is one of the fields above, or of that kind. */
bool
IsHostField(std::string_view aName);

/** The part of a request that one entry host relays to another. */
struct RelayParameters
{
  RoutingVersion m_version = 0;
  std::vector<std::uint32_t> m_shards;
  std::uint32_t m_maxMissingShards = 0;
  Duration m_timeToTarget{ 0 };
  std::optional<std::uint32_t> m_attemptsLeft{};
};

/** Appends aParameters as header fields to aOut. */
void
AppendRelayParameters(std::string& aOut, const RelayParameters& aParameters);

/** Removes the relay fields from aRequest and parses them; std::nullopt if one
 *  is missing or invalid. */
std::optional<RelayParameters>
ExtractRelayParameters(RequestMessage& aRequest);

/** Decimal numbers separated by commas. */
std::string
FormatNumbers(const std::vector<std::uint32_t>& aNumbers);
/** Parses decimal numbers separated by commas, at least one; std::nullopt if
 *  aText is not such a list. */
std::optional<std::vector<std::uint32_t>>
ParseNumbers(std::string_view aText);

} // namespace goldcrestkeel
