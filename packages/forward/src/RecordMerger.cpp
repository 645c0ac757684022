#include "RecordMerger.h"

#include <algorithm>

namespace goldcrestkeel {

std::string
MergeTopRecords(const std::vector<std::string_view>& aShardRecords,
                std::size_t aCount)
{
  std::vector<std::string_view> records;
  for (const std::string_view shardRecords : aShardRecords) {
    for (std::size_t offset = 0; offset + kRecordBytes <= shardRecords.size();
         offset += kRecordBytes) {
      records.push_back(shardRecords.substr(offset, kRecordBytes));
    }
  }
  const std::size_t count = std::min(aCount, records.size());
  // std::string_view compares bytes as unsigned.
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(count),
                    records.end(),
                    std::greater<>());
  std::string merged;
  merged.reserve(count * kRecordBytes);
  for (std::size_t i = 0; i < count; ++i) {
    merged.append(records[i]);
  }
  return merged;
}

} // namespace goldcrestkeel
