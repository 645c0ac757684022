#include "ForwarderImpl.h"

#include <algorithm>
#include <cmath>

namespace goldcrestkeel {

namespace {

/** Quantile of the recent latencies of a route above which a copy is late. */
constexpr double kLateQuantile = 0.92;
/** Upper bound of the late threshold, and its value while there are too few
 *  samples, as fractions of the target. */
constexpr double kMaxLateRatio = 0.5;
constexpr double kInitialLateRatio = 0.3;
/** Lower bound of the late threshold. */
constexpr Duration kMinLateTime{ 8000 };
/** A replica is unresponsive if a copy takes this long and this multiple of its
 *  late threshold, while the replica answers nothing else. */
constexpr Duration kMinUnresponsiveTime{ 700000 };
constexpr int kUnresponsiveFactor = 6;
/** A replica that has answered nothing for this time after a copy that is late
 *  may have crashed; replicas pause for 250 ms. */
constexpr Duration kMinSilentTime{ 700000 };
/** Fraction of the repeat budget that is reserved for retries. */
constexpr double kRetryReserve = 0.25;
/** Additional copies beyond the attempts of the route, in place of copies that
 *  replicas confirmed not to have run. */
constexpr std::uint32_t kMaxNotRunRetries = 2;
/** Waiting sub-requests are dispatched at each answer, and at this interval. */
constexpr Duration kWaitPollInterval{ 20000 };
/** First backoff after a replica became unresponsive. */
constexpr Duration kUnresponsiveBackoff{ 250000 };

} // namespace

std::uint32_t
ForwarderImpl::ChooseService(const Route& aRoute)
{
  if (aRoute.m_services.size() == 1) {
    return 0;
  }
  // Smooth weighted round robin: each service gains its weight as credit; the
  // one with the most credit is chosen and loses the sum of the weights.
  auto& credit = m_routes[aRoute.m_name].m_credit;
  double sum = 0;
  const WeightedService* best = nullptr;
  for (const WeightedService& service : aRoute.m_services) {
    sum += service.m_weight;
    credit[service.m_service] += service.m_weight;
    if (!best || credit[service.m_service] > credit[best->m_service]) {
      best = &service;
    }
  }
  credit[best->m_service] -= sum;
  return static_cast<std::uint32_t>(best - aRoute.m_services.data());
}

std::uint32_t
ForwarderImpl::AttemptsOf(const RunningForward& aForward)
{
  const std::uint32_t attempts = aForward.m_request.m_route->m_attempts;
  const auto& relayed = aForward.m_request.m_relayedShards;
  return relayed
           ? std::min(attempts, relayed->m_attemptsLeft.value_or(attempts))
           : attempts;
}

void
ForwarderImpl::Dispatch(TimePoint aNow,
                        RunningForward& aForward,
                        std::uint32_t aIndex,
                        CopyReason aReason)
{
  SubRequest& subRequest = aForward.m_subRequests[aIndex];
  const auto replica =
    ChooseReplica(aNow, aForward, subRequest, ReplicaTier::Draining);
  if (replica) {
    SendTo(aNow, aForward, aIndex, replica, aReason);
    return;
  }
  if (subRequest.m_copies.empty() &&
      NeedsFallback(aNow, aForward, subRequest)) {
    MarkRelayed(aNow, subRequest);
    SendFallback(aNow, aForward, { aIndex });
    return;
  }
  if (BackendPool::HasUsableReplica(aNow,
                                    *subRequest.m_group,
                                    subRequest.m_triedReplicas,
                                    aForward.m_regions)) {
    Enqueue(aNow, aForward, aIndex);
    return;
  }
  if (subRequest.m_copies.empty()) {
    OnSubRequestFailed(aNow, aForward, aIndex);
  }
}

void
ForwarderImpl::SendTo(TimePoint aNow,
                      RunningForward& aForward,
                      std::uint32_t aIndex,
                      const std::shared_ptr<PooledReplica>& aReplica,
                      CopyReason aReason)
{
  SubRequest& subRequest = aForward.m_subRequests[aIndex];
  const CopyId id = m_nextCopy++;
  ForwardCopy copy;
  copy.m_request = aForward.m_request.m_id;
  copy.m_subRequest = aIndex;
  copy.m_group = subRequest.m_group;
  copy.m_replica = aReplica;
  copy.m_profile = &aForward.m_routeState->ProfileTo(*aReplica);
  copy.m_startedAt = aNow;
  copy.m_deadline = aForward.m_request.m_deadline;
  if (aForward.m_request.m_route->m_gather && !aForward.m_pastTarget) {
    // A partial answer may be sent at the target; later work on this shard
    // would only delay other requests.
    copy.m_deadline = std::min(copy.m_deadline, aForward.m_targetAt);
  }
  const TimePoint deadline = copy.m_deadline;
  m_copies.emplace(id, copy);
  ++aReplica->m_inFlight;
  ++aReplica->m_copiesSinceReport;
  aReplica->m_requestLimit.Use(aNow);
  subRequest.m_state = SubRequest::State::Running;
  subRequest.m_copies.push_back(id);
  subRequest.m_triedReplicas.push_back(aReplica->m_record.m_id);
  ++aForward.m_copies;
  ++m_counters.m_copies;
  if (subRequest.m_sent > 0) {
    // Counts the repeat before it is sent, so that no other copy uses its
    // budget in the meantime.
    subRequest.m_group->m_budget.AddRepeat(aNow);
  }
  if (aReason == CopyReason::Hedge) {
    ++m_counters.m_hedges;
  } else if (aReason == CopyReason::Retry) {
    ++m_counters.m_retries;
  }
  if (aReason != CopyReason::First) {
    LogDecision("send",
                aForward,
                subRequest.m_group->m_name,
                aReplica->m_record.m_id,
                NameOf(aReason),
                aNow - aForward.m_startedAt);
  }
  AddTimer(aNow + LateThreshold(aForward, copy), ForwardTimer::Late, id);
  m_sink.SendCopy(id, aForward.m_request.m_id, aReplica->m_record, deadline);
}

void
ForwarderImpl::Enqueue(TimePoint aNow,
                       RunningForward& aForward,
                       std::uint32_t aIndex)
{
  SubRequest& subRequest = aForward.m_subRequests[aIndex];
  if (subRequest.m_state == SubRequest::State::Waiting) {
    return;
  }
  subRequest.m_state = SubRequest::State::Waiting;
  const QueuedSubRequest entry{ aForward.m_request.Priority(),
                                aForward.m_request.m_deadline,
                                aForward.m_request.m_id,
                                aIndex };
  auto& waiting = subRequest.m_group->m_waiting;
  const auto after = std::find_if(
    waiting.begin(), waiting.end(), [&](const QueuedSubRequest& aOther) {
      return std::pair(aOther.m_priority, aOther.m_deadline) >
             std::pair(entry.m_priority, entry.m_deadline);
    });
  waiting.insert(after, entry);
  AddTimer(aNow + kWaitPollInterval,
           ForwardTimer::PollWaiting,
           aForward.m_request.m_id);
}

void
ForwarderImpl::OnWaitTimer(TimePoint aNow, ForwardId aRequest)
{
  const auto running = m_running.find(aRequest);
  if (running == m_running.end()) {
    return;
  }
  std::vector<BackendGroup*> groups;
  for (const SubRequest& subRequest : running->second->m_subRequests) {
    if (subRequest.m_state == SubRequest::State::Waiting) {
      groups.push_back(subRequest.m_group);
    }
  }
  if (groups.empty()) {
    return;
  }
  AddTimer(aNow + kWaitPollInterval, ForwardTimer::PollWaiting, aRequest);
  for (BackendGroup* group : groups) {
    // This may end the request and invalidate `running`.
    DispatchWaiting(aNow, *group);
  }
}

void
ForwarderImpl::DispatchWaiting(TimePoint aNow, BackendGroup& aGroup)
{
  auto entry = aGroup.m_waiting.begin();
  while (entry != aGroup.m_waiting.end()) {
    const auto running = m_running.find(entry->m_request);
    if (running == m_running.end() ||
        running->second->m_subRequests[entry->m_subRequest].m_state !=
          SubRequest::State::Waiting) {
      entry = aGroup.m_waiting.erase(entry);
      continue;
    }
    RunningForward& forward = *running->second;
    SubRequest& subRequest = forward.m_subRequests[entry->m_subRequest];
    const auto replica =
      ChooseReplica(aNow, forward, subRequest, ReplicaTier::Draining);
    if (!replica) {
      // Later entries may have tried fewer replicas, or may use other regions.
      if (subRequest.m_triedReplicas.empty() &&
          !forward.m_regions.IsRestricted()) {
        return;
      }
      ++entry;
      continue;
    }
    const std::uint32_t index = entry->m_subRequest;
    entry = aGroup.m_waiting.erase(entry);
    // Other requests may have used the budget in the meantime.
    if (!MayRepeat(aNow, forward, subRequest, CopyReason::Retry)) {
      OnSubRequestFailed(aNow, forward, index);
      continue;
    }
    SendTo(aNow,
           forward,
           index,
           replica,
           subRequest.m_sent > 0 ? CopyReason::Retry : CopyReason::First);
  }
}

Duration
ForwarderImpl::LateThreshold(const RunningForward& aForward,
                             const ForwardCopy& aCopy)
{
  const double target =
    static_cast<double>(aForward.m_request.m_route->m_target.count());
  const auto quantile = aCopy.m_profile->Quantile(kLateQuantile);
  const Duration late = quantile.value_or(
    Duration(static_cast<Duration::rep>(kInitialLateRatio * target)));
  const Duration upperBound(static_cast<Duration::rep>(kMaxLateRatio * target));
  return std::max(kMinLateTime, std::min(late, upperBound));
}

bool
ForwarderImpl::MayRepeat(TimePoint aNow,
                         const RunningForward& aForward,
                         const SubRequest& aSubRequest,
                         CopyReason aReason)
{
  const Route& route = *aForward.m_request.m_route;
  const std::uint32_t mayHaveRun = aSubRequest.m_sent - aSubRequest.m_notRun;
  if (aSubRequest.m_sent == 0) {
    return true;
  }
  if (mayHaveRun > 0 && (!route.m_idempotent || MayCrashReplicas(aForward))) {
    return false;
  }
  const std::uint32_t attempts = AttemptsOf(aForward);
  if (aSubRequest.m_attemptsUsed || mayHaveRun >= attempts ||
      aSubRequest.m_sent >= attempts + kMaxNotRunRetries) {
    return false;
  }
  const double reserve = aReason == CopyReason::Hedge ? kRetryReserve : 0;
  return aSubRequest.m_group->m_budget.Allows(aNow, reserve);
}

void
ForwarderImpl::Retry(TimePoint aNow,
                     RunningForward& aForward,
                     std::uint32_t aIndex)
{
  SubRequest& subRequest = aForward.m_subRequests[aIndex];
  if (subRequest.m_state != SubRequest::State::Running ||
      !subRequest.m_copies.empty()) {
    return;
  }
  if (MayRepeat(aNow, aForward, subRequest, CopyReason::Retry)) {
    Dispatch(aNow,
             aForward,
             aIndex,
             subRequest.m_sent > 0 ? CopyReason::Retry : CopyReason::Move);
  } else {
    OnSubRequestFailed(aNow, aForward, aIndex);
  }
}

void
ForwarderImpl::OnCopyLate(TimePoint aNow, CopyId aCopy)
{
  const auto found = m_copies.find(aCopy);
  if (found == m_copies.end()) {
    return;
  }
  ForwardCopy& copy = found->second;
  const Duration age = aNow - copy.m_startedAt;
  if (copy.IsRelay() && (!copy.m_sentAt || aNow < copy.m_relayTargetAt)) {
    OnRelayLate(aNow, aCopy);
    return;
  }
  if (!copy.IsRelay()) {
    ReportUnanswered(aNow, copy);
  }
  if (!copy.m_late) {
    copy.m_late = true;
    ++copy.m_replica->m_lateCopies;
    AddTimer(copy.m_startedAt +
               std::max(kMinUnresponsiveTime, age * kUnresponsiveFactor),
             ForwardTimer::Unresponsive,
             aCopy);
    if (!copy.IsRelay()) {
      AddTimer(std::max(aNow, copy.m_startedAt + kMinSilentTime),
               ForwardTimer::Silent,
               aCopy);
    }
  }
  const auto running = m_running.find(copy.m_request);
  if (running == m_running.end() || copy.m_abandoned || copy.IsRelay()) {
    return;
  }
  RunningForward& forward = *running->second;
  const std::uint32_t index = copy.m_subRequest;
  SubRequest& subRequest = forward.m_subRequests[index];
  if (subRequest.m_state != SubRequest::State::Running) {
    return;
  }
  const auto other =
    ChooseReplica(aNow, forward, subRequest, ReplicaTier::Degraded);
  if (!copy.m_sentAt) {
    if (other) {
      BackendPool::BackOff(aNow, *copy.m_replica, kUnreachableBackoff);
      EndCopy(aCopy);
      m_sink.AbortCopy(aCopy);
      SendTo(aNow, forward, index, other, CopyReason::Move);
    }
    return;
  }
  if (subRequest.m_copies.size() > 1 || !other ||
      !forward.m_request.m_route->m_idempotent) {
    return;
  }
  if (!MayRepeat(aNow, forward, subRequest, CopyReason::Hedge)) {
    ++m_counters.m_hedgesWithoutBudget;
    LogDecision("no_hedge",
                forward,
                copy.m_group->m_name,
                copy.m_replica->m_record.m_id,
                "attempts or repeat budget exhausted",
                age);
    return;
  }
  SendTo(aNow, forward, index, other, CopyReason::Hedge);
}

void
ForwarderImpl::OnUnresponsiveTimer(TimePoint aNow, CopyId aCopy)
{
  const auto found = m_copies.find(aCopy);
  if (found == m_copies.end()) {
    return;
  }
  PooledReplica& replica = *found->second.m_replica;
  if (replica.m_lastAnswerAt > found->second.m_startedAt) {
    return;
  }
  if (!replica.m_unresponsive) {
    const auto running = m_running.find(found->second.m_request);
    if (running != m_running.end()) {
      LogDecision("replica_silent",
                  *running->second,
                  found->second.m_group->m_name,
                  replica.m_record.m_id,
                  "no answer",
                  aNow - replica.m_lastAnswerAt);
    }
  }
  replica.m_unresponsive = true;
  BackendPool::BackOff(aNow, replica, kUnresponsiveBackoff);
}

} // namespace goldcrestkeel
