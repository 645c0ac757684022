#include "BackendPool.h"

#include <algorithm>
#include <vector>

namespace goldcrestkeel {

namespace {

/** Time for a copy to reach a replica, with a new connection; none is sent to a
 *  draining replica later than this before its limit. */
constexpr Duration kDrainMargin{ 500000 };
/** Time within which entries that lapsed in an outage of the store are listed
 *  again, if their replicas live. */
constexpr Duration kLapsedEntryReturn{ 2000000 };
/** How long the notices of a replica that is not listed are kept. */
constexpr Duration kFormerReplicaTime{ 600000000 };

} // namespace

TimePoint
BackendPool::UsableUntil(TimePoint aNow,
                         std::optional<TimePoint> aChangedAfter) const
{
  if (!aChangedAfter) {
    return aNow;
  }
  return *aChangedAfter + m_options.m_drainLimit - kDrainMargin;
}

void
BackendPool::Update(TimePoint aNow,
                    const ReplicaRecord& aRecord,
                    std::optional<TimePoint> aChangedAfter)
{
  EraseExpired(aNow);
  const auto existing = m_byId.find(aRecord.m_id);
  if (existing != m_byId.end()) {
    const ReplicaRecord& before = existing->second->m_record;
    if (before.m_startedAt != aRecord.m_startedAt ||
        before.m_service != aRecord.m_service ||
        before.m_address != aRecord.m_address) {
      existing->second->m_replaced = true;
      EraseReplica(aNow, existing->second);
    }
  }
  std::shared_ptr<PooledReplica>& replica = m_byId[aRecord.m_id];
  if (!replica) {
    replica = std::make_shared<PooledReplica>();
    replica->m_lastAnswerAt = aNow;
    replica->m_openConnectionsOnly = m_openConnectionsOnly;
    const auto former = m_former.find(aRecord.m_id);
    if (former != m_former.end() &&
        former->second.m_startedAt == aRecord.m_startedAt) {
      replica->m_notices = former->second.m_notices;
    }
    Group(aRecord.m_service).m_replicas.push_back(replica);
  }
  const bool wasDraining = replica->m_listed && replica->m_record.m_draining;
  replica->m_record = aRecord;
  replica->m_listed = true;
  replica->m_distance = DistanceBetween(m_options, aRecord.m_dataCentre);
  replica->m_region = RegionOf(m_options, aRecord.m_dataCentre);
  replica->m_warmupEndsAt = aNow + aRecord.m_warmupLeft;
  UpdateShares(Group(aRecord.m_service));
  if (!aRecord.m_draining) {
    replica->m_usableUntil.reset();
  } else if (!wasDraining) {
    replica->m_usableUntil = UsableUntil(aNow, aChangedAfter);
  }
  LimitLeaving(*replica);
}

std::optional<ReplicaNotice>
BackendPool::UpdateNotices(TimePoint aNow,
                           PooledReplica& aReplica,
                           const ReplicaAnswer& aAnswer) const
{
  const auto notice = aReplica.m_notices.Update(aNow, aAnswer);
  LimitLeaving(aReplica);
  return notice;
}

void
BackendPool::LimitLeaving(PooledReplica& aReplica) const
{
  if (const auto since = aReplica.m_notices.LeavingSince()) {
    const TimePoint limit = UsableUntil(*since, since);
    aReplica.m_usableUntil =
      std::min(aReplica.m_usableUntil.value_or(limit), limit);
  }
}

void
BackendPool::Remove(TimePoint aNow,
                    const std::string& aId,
                    std::optional<TimePoint> aChangedAfter)
{
  const auto found = m_byId.find(aId);
  if (found == m_byId.end() || !found->second->m_listed) {
    return;
  }
  PooledReplica& replica = *found->second;
  replica.m_listed = false;
  // After a time without news, the entry may have lapsed in an outage of the
  // store; that of a live replica is then back shortly.
  const bool mayReturn =
    aChangedAfter && aNow - *aChangedAfter >= m_options.m_drainLimit;
  const TimePoint usableUntil =
    mayReturn ? aNow + kLapsedEntryReturn : UsableUntil(aNow, aChangedAfter);
  replica.m_usableUntil =
    std::min(replica.m_usableUntil.value_or(usableUntil), usableUntil);
  EraseExpired(aNow);
}

void
BackendPool::EraseReplica(TimePoint aNow,
                          const std::shared_ptr<PooledReplica>& aReplica)
{
  const std::shared_ptr<PooledReplica> replica = aReplica;
  m_former[replica->m_record.m_id] = { replica->m_record.m_startedAt,
                                       replica->m_notices,
                                       aNow };
  std::erase(Group(replica->m_record.m_service).m_replicas, replica);
  m_byId.erase(replica->m_record.m_id);
}

void
BackendPool::EraseExpired(TimePoint aNow)
{
  std::vector<std::shared_ptr<PooledReplica>> expired;
  for (const auto& [id, replica] : m_byId) {
    if (!replica->m_listed && *replica->m_usableUntil <= aNow) {
      expired.push_back(replica);
    }
  }
  for (const auto& replica : expired) {
    EraseReplica(aNow, replica);
  }
  std::erase_if(m_former, [&](const auto& aFormer) {
    return aNow - aFormer.second.m_erasedAt >= kFormerReplicaTime;
  });
}

} // namespace goldcrestkeel
