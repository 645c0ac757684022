#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** Size of a record in the answer of a shard, in bytes. */
inline constexpr std::size_t kRecordBytes = 16;

/** Merges the records of several shards. Returns the aCount greatest records,
 *  in descending order of their unsigned bytes. Keeps duplicates. Ignores a
 *  trailing fragment that is shorter than a record. */
std::string
MergeTopRecords(const std::vector<std::string_view>& aShardRecords,
                std::size_t aCount);

} // namespace goldcrestkeel
