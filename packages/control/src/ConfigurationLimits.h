#pragma once

#include <goldcrestkeel/core/Time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace goldcrestkeel {

/** Maximum length of a name or id, in characters. */
inline constexpr std::size_t kMaxNameLength = 64;
/** Shards per service: three times the 1,400 of the target scale. */
inline constexpr std::size_t kMaxShards = 4200;
/** Replicas per service. */
inline constexpr std::size_t kMaxReplicas = 20000;
/** Slots and connections per replica. */
inline constexpr std::uint32_t kMaxSlots = 10000;
inline constexpr std::uint32_t kMaxConnections = 100000;
inline constexpr Duration kMaxConnectCost = std::chrono::seconds{ 10 };
/** Range of the deadline and of the response target of a service. */
inline constexpr Duration kMinDeadline = std::chrono::milliseconds{ 1 };
inline constexpr Duration kMaxDeadline = std::chrono::seconds{ 60 };
/** Ratio of the extra load to the load itself. A higher ratio would allow a
 *  retry storm. */
inline constexpr double kMaxExtraLoad = 1.0;

/** Values of policy.selector and of policy.hedge. */
inline constexpr std::array<std::string_view, 2> kSelectorNames{
  "round_robin",
  "least_loaded"
};
inline constexpr std::array<std::string_view, 2> kHedgeNames{ "none",
                                                              "quantile" };

} // namespace goldcrestkeel
