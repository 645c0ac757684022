#pragma once

#include <goldcrestkeel/core/Time.h>

#include <cstddef>
#include <cstdint>

namespace goldcrestkeel {

/** Limits of a caller's search, both for search requests and statements. The
 *  sum of limit and offset must fit into 32 bits, because each replica is asked
 *  for that many hits. */
inline constexpr std::size_t kMaxQueryBytes = 4096;
inline constexpr std::uint32_t kMaxHits = 1000;
inline constexpr std::uint32_t kMaxOffset = 100000;
inline constexpr Duration kMinSearchDeadline = std::chrono::milliseconds{ 1 };

} // namespace goldcrestkeel
