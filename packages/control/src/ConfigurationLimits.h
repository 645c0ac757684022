#pragma once

#include <goldcrestkeel/core/Time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace goldcrestkeel {

/** Longest name, id or address, in characters. */
inline constexpr std::size_t kMaxNameLength = 64;
/** Shards of one service: three times the 1,400 of the target scale. */
inline constexpr std::size_t kMaxShards = 4200;
/** Replicas of one service. */
inline constexpr std::size_t kMaxReplicas = 20000;
inline constexpr std::uint32_t kMaxSlots = 10000;
inline constexpr std::uint32_t kMaxConnections = 100000;
inline constexpr Duration kMaxConnectCost = std::chrono::seconds{ 10 };
inline constexpr Duration kMinDeadline = std::chrono::milliseconds{ 1 };
inline constexpr Duration kMaxDeadline = std::chrono::seconds{ 60 };
/** More extra load than the load itself would be a retry storm. */
inline constexpr double kMaxExtraLoad = 1.0;

inline constexpr std::array<std::string_view, 2> kSelectorNames{
  "round_robin",
  "least_loaded"
};
inline constexpr std::array<std::string_view, 2> kHedgeNames{ "none",
                                                              "quantile" };

} // namespace goldcrestkeel
