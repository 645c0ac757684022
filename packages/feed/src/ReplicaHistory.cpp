#include <goldcrestkeel/feed/ReplicaHistory.h>

#include <tuple>

namespace goldcrestkeel {

namespace {

/** How long removed replicas are remembered. It is far longer than the age of
 *  the copies from which the store is restored, some seconds. */
constexpr Duration kRemovedReplicaMemory{ 600000000 };

} // namespace

bool
ReplicaHistory::Accept(const ReplicaRecord& aRecord, std::uint64_t aEra)
{
  const auto found = m_known.find(aRecord.m_id);
  if (found != m_known.end() && found->second.m_era < aEra) {
    const Known& known = found->second;
    const auto report = std::tuple(aRecord.m_startedAt, aRecord.m_sequence);
    const auto last = std::tuple(known.m_startedAt, known.m_sequence);
    if (report < last || (report == last && known.m_removedAt)) {
      return false;
    }
  }
  m_known[aRecord.m_id] = {
    aRecord.m_startedAt, aRecord.m_sequence, aEra, std::nullopt
  };
  return true;
}

void
ReplicaHistory::Remove(TimePoint aNow,
                       const std::string& aId,
                       std::uint64_t aEra)
{
  std::erase_if(m_known, [&](const auto& aEntry) {
    const auto& removedAt = aEntry.second.m_removedAt;
    return removedAt && aNow - *removedAt > kRemovedReplicaMemory;
  });
  const auto found = m_known.find(aId);
  if (found != m_known.end()) {
    found->second.m_era = aEra;
    found->second.m_removedAt = aNow;
  }
}

} // namespace goldcrestkeel
