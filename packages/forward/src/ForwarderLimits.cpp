#include "ForwarderImpl.h"

#include <algorithm>

namespace goldcrestkeel {

namespace {

/** Interval of the log lines on a replica that names a request limit. */
constexpr Duration kLimitReportInterval{ 4000000 };
/** Maximum estimated time until a permit, as a percentage of the time left to
 *  the target without the latency of the service. The rest allows for requests
 *  of higher priority and for answers that are slower than usual. */
constexpr int kMaxWaitPercent = 50;
constexpr double kMicrosecondsPerSecond = 1e6;

} // namespace

void
ForwarderImpl::UpdateRequestLimit(TimePoint aNow,
                                  const BackendGroup& aGroup,
                                  PooledReplica& aReplica,
                                  const ReplicaAnswer& aAnswer)
{
  const bool invalid = aAnswer.m_invalidRequestLimit;
  const std::optional<double> before = aReplica.m_requestLimit.PerSecond();
  const std::optional<double> limit = invalid ? before : aAnswer.m_requestLimit;
  const bool begins = limit && !before;
  const bool ends = !limit && before;
  aReplica.m_requestLimit.Set(aNow, limit, m_random);
  const Duration since = aNow - aReplica.m_limitReportedAt;
  const bool due = since >= kLimitReportInterval && (limit || invalid);
  if (!begins && !ends && !due) {
    return;
  }
  m_sink.LogRequestLimit({ aGroup.m_name,
                           aReplica.m_record.m_id,
                           limit,
                           begins ? 0 : aReplica.m_copiesSinceReport,
                           begins ? Duration(0) : since,
                           invalid });
  aReplica.m_copiesSinceReport = 0;
  aReplica.m_limitReportedAt = aNow;
}

void
ForwarderImpl::UpdateNotices(TimePoint aNow,
                             const BackendGroup& aGroup,
                             PooledReplica& aReplica,
                             const ReplicaAnswer& aAnswer)
{
  const auto notice = m_pool.UpdateNotices(aNow, aReplica, aAnswer);
  if (notice) {
    m_sink.LogReplicaNotice({ *notice,
                              aGroup.m_name,
                              aReplica.m_record.m_id,
                              aAnswer.m_restFor.value_or(Duration(0)),
                              aReplica.m_inFlight });
  }
  if (notice == ReplicaNotice::Rest) {
    MoveUnsentCopies(aNow, aReplica);
  }
}

void
ForwarderImpl::MoveUnsentCopies(TimePoint aNow, const PooledReplica& aReplica)
{
  std::vector<CopyId> unsent;
  for (const auto& [id, copy] : m_copies) {
    if (copy.m_replica.get() == &aReplica && !copy.m_sentAt) {
      unsent.push_back(id);
    }
  }
  for (const CopyId id : unsent) {
    const auto found = m_copies.find(id);
    if (found == m_copies.end()) {
      continue;
    }
    const ForwardId request = found->second.m_request;
    const std::uint32_t index = found->second.m_subRequest;
    EndCopy(id);
    m_sink.AbortCopy(id);
    const auto running = m_running.find(request);
    if (running != m_running.end()) {
      Retry(aNow, *running->second, index);
    }
  }
}

std::shared_ptr<PooledReplica>
ForwarderImpl::ChooseReplica(TimePoint aNow,
                             const RunningForward& aForward,
                             const SubRequest& aSubRequest,
                             ReplicaTier aWorst)
{
  return m_pool.Choose(aNow,
                       *aSubRequest.m_group,
                       aSubRequest.m_triedReplicas,
                       aWorst,
                       aForward.m_regions);
}

std::size_t
ForwarderImpl::QueuedAhead(const BackendGroup& aGroup,
                           std::uint32_t aPriority) const
{
  return std::count_if(
    aGroup.m_waiting.begin(),
    aGroup.m_waiting.end(),
    [&](const QueuedSubRequest& aEntry) {
      const auto running = m_running.find(aEntry.m_request);
      return aEntry.m_priority <= aPriority && running != m_running.end() &&
             running->second->m_subRequests[aEntry.m_subRequest].m_state ==
               SubRequest::State::Waiting;
    });
}

bool
ForwarderImpl::IsServedInTime(TimePoint aNow,
                              const RunningForward& aForward,
                              const BackendGroup& aGroup) const
{
  const RegionFilter& regions = aForward.m_regions;
  if (!BackendPool::HasUsableReplica(aNow, aGroup, {}, regions)) {
    return false;
  }
  const auto permits = BackendPool::PermitsOf(aNow, aGroup, regions);
  if (!permits) {
    return true;
  }
  const Route& route = *aForward.m_request.m_route;
  const double queueTimeUs =
    static_cast<double>(QueuedAhead(aGroup, aForward.m_request.Priority())) /
    permits->m_rate * kMicrosecondsPerSecond;
  const Duration wait =
    permits->m_first + Duration(static_cast<Duration::rep>(queueTimeUs));
  const auto& relayed = aForward.m_request.m_relayedShards;
  const TimePoint target =
    relayed ? relayed->m_targetAt : aForward.m_startedAt + route.m_target;
  const Duration latency(static_cast<Duration::rep>(aGroup.m_latency));
  // A service that is slower than the target is late without a limit, too.
  const TimePoint due =
    aNow + latency < target ? target : aForward.m_request.m_deadline;
  return wait <= (due - aNow - latency) * kMaxWaitPercent / 100;
}

void
ForwarderImpl::SkipOverloaded(TimePoint aNow, RunningForward& aForward)
{
  std::vector<std::pair<double, std::uint32_t>> overloaded;
  std::uint32_t withoutReplica = 0;
  for (std::uint32_t index = 0; index < aForward.m_subRequests.size();
       ++index) {
    const BackendGroup& group = *aForward.m_subRequests[index].m_group;
    const double probability = BackendPool::SkipProbability(aNow, group);
    if (aForward.m_subRequests[index].m_state == SubRequest::State::Relayed) {
      continue;
    }
    if (!BackendPool::HasUsableReplica(aNow, group, {}, aForward.m_regions)) {
      ++withoutReplica;
    } else if (!IsServedInTime(aNow, aForward, group)) {
      overloaded.emplace_back(1, index);
    } else if (m_random.Unit() < probability) {
      overloaded.emplace_back(probability, index);
    }
  }
  std::sort(overloaded.rbegin(), overloaded.rend());
  const std::uint32_t allowed = MaxMissingShards(aForward);
  for (const auto& [probability, index] : overloaded) {
    if (aForward.m_failed + withoutReplica >= allowed) {
      return;
    }
    aForward.m_subRequests[index].m_state = SubRequest::State::Skipped;
    ++aForward.m_failed;
    LogDecision("skip_shard",
                aForward,
                aForward.m_subRequests[index].m_group->m_name,
                {},
                "overloaded");
  }
}

} // namespace goldcrestkeel
