#pragma once

#include <goldcrestkeel/edge/HttpMessage.h>
#include <goldcrestkeel/forward/RoutingTable.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** Fields between two entry hosts; neither callers nor replicas see them. */

/** Version of the routing table by which the request was routed. */
inline constexpr std::string_view kTableVersionField =
  "Goldcrestkeel-Table-Version";
/** Shards to gather, or those in the answer: positions in the route's list,
 * with commas between them. */
inline constexpr std::string_view kShardsField = "Goldcrestkeel-Shards";
/** Shards that the answer may lack. */
inline constexpr std::string_view kMayMissField = "Goldcrestkeel-May-Miss";
/** Time until what is there of the answer is wanted, in milliseconds. */
inline constexpr std::string_view kTargetMsField = "Goldcrestkeel-Target-Ms";
/** Copies that were sent to replicas for a request that has failed. */
inline constexpr std::string_view kCopiesField = "Goldcrestkeel-Copies";

/** Part of a gathered request that one entry host asks another one for. */
struct RelayTerms
{
  RoutingVersion m_version = 0;
  std::vector<std::uint32_t> m_shards;
  std::uint32_t m_mayMiss = 0;
  Duration m_untilTarget{ 0 };
};

void
AppendRelayTerms(std::string& aOut, const RelayTerms& aTerms);

/** Takes the terms out of the fields of aRequest; nothing if one is missing or
 *  cannot be read. */
std::optional<RelayTerms>
TakeRelayTerms(RequestMessage& aRequest);

std::string
FormatNumbers(const std::vector<std::uint32_t>& aNumbers);
/** Nothing if aText is not a list of whole numbers with commas between them. */
std::optional<std::vector<std::uint32_t>>
ParseNumbers(std::string_view aText);

} // namespace goldcrestkeel
