#pragma once

#include <goldcrestkeel/core/Time.h>

#include <cstddef>
#include <cstdint>

namespace goldcrestkeel {

/** Limits of a search of a caller, in a search request and in a statement. The
 *  sum of limit and offset must fit into 32 bits, because each replica is asked
 *  for that many hits. */
inline constexpr std::size_t kMaxQueryBytes = 4096;
inline constexpr std::uint32_t kMaxHits = 1000;
inline constexpr std::uint32_t kMaxOffset = 100000;
inline constexpr Duration kMinSearchDeadline = std::chrono::milliseconds{ 1 };

} // namespace goldcrestkeel
