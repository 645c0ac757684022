#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** Size of one record in a shard's part, in bytes. */
inline constexpr std::size_t kRecordBytes = 16;

/** The greatest aCount records of all parts, greatest first, compared byte by
 *  byte. Equal records all count. A remainder of a part that is shorter than a
 *  record is left out. */
std::string
MergeTopRecords(const std::vector<std::string_view>& aParts,
                std::size_t aCount);

} // namespace goldcrestkeel
