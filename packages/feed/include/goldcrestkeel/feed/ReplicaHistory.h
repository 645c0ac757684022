#pragma once

#include <goldcrestkeel/core/Time.h>
#include <goldcrestkeel/forward/ReplicaRecord.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace goldcrestkeel {

/** What replicas last reported of themselves. After a restore of the store from
 *  a copy, it identifies entries that are older than what the host knows: those
 *  of replicas that have begun to drain, or have left, since the copy. */
class ReplicaHistory
{
public:
  /** Records an entry that was read in an era of the store; false, without
   *  effect, if it is older than what is known from an era before. */
  bool Accept(const ReplicaRecord& aRecord, std::uint64_t aEra);
  /** The replica is no longer listed. */
  void Remove(TimePoint aNow, const std::string& aId, std::uint64_t aEra);

private:
  struct Known
  {
    WallTime m_startedAt = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_era = 0;
    std::optional<TimePoint> m_removedAt;
  };

  std::map<std::string, Known> m_known;
};

} // namespace goldcrestkeel
