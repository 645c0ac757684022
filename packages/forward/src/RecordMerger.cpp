#include "RecordMerger.h"

#include <algorithm>

namespace goldcrestkeel {

std::string
MergeTopRecords(const std::vector<std::string_view>& aParts, std::size_t aCount)
{
  std::vector<std::string_view> records;
  for (const std::string_view part : aParts) {
    for (std::size_t at = 0; at + kRecordBytes <= part.size();
         at += kRecordBytes) {
      records.push_back(part.substr(at, kRecordBytes));
    }
  }
  const std::size_t count = std::min(aCount, records.size());
  // std::string_view compares as unsigned bytes.
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
