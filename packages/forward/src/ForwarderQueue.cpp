#include "ForwarderImpl.h"

#include <algorithm>

namespace goldcrestkeel {

namespace {

/** Waiting sub-requests are dispatched at each answer, and at this interval. */
constexpr Duration kWaitPollInterval{ 20000 };
/** How long a waiting request must count as one that cannot be answered in time
 *  before it is rejected; single answers change the estimate. */
constexpr Duration kHopelessTime{ 40000 };
/** With fewer other requests in the queue, one that misses its target makes no
 *  other late. */
constexpr std::size_t kMinOthers = 2;
/** Minimum and random part of the Retry-After of a request that no replica ran
 *  and for which there is no estimate. Crashed replicas return after some
 *  seconds, most other faults end sooner. */
constexpr Duration kRetryAfterMin{ 150000 };
constexpr Duration kRetryAfterJitter{ 250000 };

} // namespace

const std::string&
ForwarderImpl::TenantOf(const RunningForward& aForward)
{
  static const std::string kNone;
  const Tenant* const tenant = aForward.m_request.m_tenant;
  return tenant ? tenant->m_name : kNone;
}

bool
ForwarderImpl::MustQueue(TimePoint aNow,
                         const BackendGroup& aGroup,
                         CopyReason aReason) const
{
  return m_pool.HasTenants() &&
         (!aGroup.m_pacer.Allows(aNow) ||
          (aReason == CopyReason::First && !aGroup.m_waiting.empty()));
}

void
ForwarderImpl::CountDemand(TimePoint aNow, const RunningForward& aForward)
{
  const Tenant* const tenant = aForward.m_request.m_tenant;
  for (const SubRequest& subRequest : aForward.m_subRequests) {
    subRequest.m_group->m_waiting.CountDemand(
      aNow, TenantOf(aForward), tenant ? tenant->m_ratePerSecond : 0);
  }
}

void
ForwarderImpl::RecordLoad(TimePoint aNow,
                          BackendGroup& aGroup,
                          const ReplicaAnswer& aAnswer) const
{
  if (!m_pool.HasTenants()) {
    return;
  }
  if (!aAnswer.m_notRun && !aAnswer.m_stamp.empty()) {
    aGroup.m_shedder.OnServed(aNow);
  }
  if (aAnswer.m_notRun || aAnswer.m_load) {
    const LoadReport load = aAnswer.m_load.value_or(LoadReport());
    const ServiceCapacity capacity = m_pool.CapacityOf(aNow, aGroup);
    aGroup.m_pacer.OnAnswer(
      aNow,
      { static_cast<double>(load.m_waiting) / std::max(1U, load.m_slots),
        aAnswer.m_notRun,
        capacity.m_perSecond / std::max(1U, capacity.m_hosts) });
  }
}

WaitingRequest
ForwarderImpl::MakeWaiting(TimePoint aNow,
                           const RunningForward& aForward,
                           std::uint32_t aIndex)
{
  return { aForward.m_request.m_id,       aIndex, aForward.m_request.Priority(),
           aForward.m_request.m_deadline, aNow,   TenantOf(aForward) };
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
  if (WorstTier(aNow, aForward, subRequest) == ReplicaTier::Degraded) {
    ++m_counters.m_pacedWaits;
  }
  subRequest.m_group->m_waiting.Add(MakeWaiting(aNow, aForward, aIndex));
  subRequest.m_group->m_shedder.OnQueueChanged(aNow, true);
  AddTimer(aNow + kWaitPollInterval,
           ForwardTimer::PollWaiting,
           aForward.m_request.m_id);
}

void
ForwarderImpl::LeaveQueue(TimePoint aNow,
                          const RunningForward& aForward,
                          std::uint32_t aIndex)
{
  BackendGroup& group = *aForward.m_subRequests[aIndex].m_group;
  if (group.m_waiting.Remove(aForward.m_request.m_id, aIndex)) {
    group.m_shedder.OnQueueChanged(aNow, !group.m_waiting.empty());
  }
}

void
ForwarderImpl::LeaveQueues(TimePoint aNow, const RunningForward& aForward)
{
  for (std::uint32_t i = 0; i < aForward.m_subRequests.size(); ++i) {
    LeaveQueue(aNow, aForward, i);
  }
}

void
ForwarderImpl::OnWaitTimer(TimePoint aNow, ForwardId aRequest)
{
  const auto running = m_running.find(aRequest);
  if (running == m_running.end() || RejectIfHopeless(aNow, *running->second)) {
    return;
  }
  const std::vector<BackendGroup*> groups = GroupsWaitedFor(*running->second);
  if (groups.empty()) {
    return;
  }
  AddTimer(aNow + kWaitPollInterval, ForwardTimer::PollWaiting, aRequest);
  for (BackendGroup* group : groups) {
    // This may end the request and invalidate `running`.
    DispatchWaiting(aNow, *group);
  }
}

std::vector<BackendGroup*>
ForwarderImpl::GroupsWaitedFor(const RunningForward& aForward)
{
  std::vector<BackendGroup*> groups;
  for (const SubRequest& subRequest : aForward.m_subRequests) {
    if (subRequest.m_state == SubRequest::State::Waiting) {
      groups.push_back(subRequest.m_group);
    }
  }
  return groups;
}

void
ForwarderImpl::DispatchWaiting(TimePoint aNow, BackendGroup& aGroup)
{
  FairQueue& queue = aGroup.m_waiting;
  queue.BeginPass();
  while (const WaitingRequest* const next = queue.Next(aNow)) {
    const WaitingRequest waiting = *next;
    const auto running = m_running.find(waiting.m_request);
    if (running == m_running.end() ||
        running->second->m_subRequests[waiting.m_part].m_state !=
          SubRequest::State::Waiting) {
      queue.Remove(waiting.m_request, waiting.m_part);
      continue;
    }
    if (m_pool.HasTenants() && !aGroup.m_pacer.Allows(aNow)) {
      return;
    }
    RunningForward& forward = *running->second;
    SubRequest& subRequest = forward.m_subRequests[waiting.m_part];
    const auto replica = ChooseReplica(
      aNow, forward, subRequest, WorstTier(aNow, forward, subRequest));
    if (!replica) {
      // Later entries may have tried fewer replicas, or may use other regions.
      if (subRequest.m_triedReplicas.empty() &&
          !forward.m_regions.IsRestricted()) {
        return;
      }
      queue.Skip(waiting);
      continue;
    }
    // Other requests may have used the budget in the meantime.
    if (!MayRepeat(aNow, forward, subRequest, CopyReason::Retry)) {
      OnSubRequestFailed(aNow, forward, waiting.m_part);
      continue;
    }
    queue.Serve(aNow, waiting);
    aGroup.m_shedder.OnQueueChanged(aNow, !queue.empty());
    ++m_counters.m_queued;
    m_counters.m_queueTime += aNow - waiting.m_since;
    SendTo(aNow,
           forward,
           waiting.m_part,
           replica,
           subRequest.m_sent > 0 ? CopyReason::Retry : CopyReason::First);
  }
}

std::optional<AnswerEstimate>
ForwarderImpl::EstimateAnswer(TimePoint aNow,
                              const RunningForward& aForward,
                              std::uint32_t aIndex) const
{
  const BackendGroup& group = *aForward.m_subRequests[aIndex].m_group;
  if (!m_pool.HasTenants() || group.m_waiting.empty()) {
    return std::nullopt;
  }
  const double ahead =
    group.m_waiting.Ahead(aNow, MakeWaiting(aNow, aForward, aIndex));
  return group.m_shedder.Estimate(aNow, ahead, m_pool.CapacityOf(aNow, group));
}

std::optional<RejectReason>
ForwarderImpl::WhyHopeless(TimePoint aNow,
                           const RunningForward& aForward,
                           std::uint32_t aIndex) const
{
  const FairQueue& queue = aForward.m_subRequests[aIndex].m_group->m_waiting;
  const auto estimate = EstimateAnswer(aNow, aForward, aIndex);
  const Duration left = aForward.m_request.m_deadline - aNow;
  const bool queued = queue.Contains(aForward.m_request.m_id, aIndex);
  if (queue.size() < kMinOthers + (queued ? 1 : 0)) {
    return LoadShedder::Judge(estimate, left);
  }
  const auto& relayed = aForward.m_request.m_relayedShards;
  const Duration target = aForward.m_request.m_route->m_target;
  const TimePoint targetAt =
    relayed ? relayed->m_targetAt : aForward.m_startedAt + target;
  return LoadShedder::JudgeByTarget(estimate, target, targetAt - aNow, left);
}

bool
ForwarderImpl::RejectIfHopeless(TimePoint aNow, RunningForward& aForward)
{
  if (!m_pool.HasTenants() || MayHaveRun(aForward)) {
    return false;
  }
  std::optional<RejectReason> reason;
  std::uint32_t hopeless = 0;
  for (std::uint32_t i = 0; i < aForward.m_subRequests.size(); ++i) {
    if (aForward.m_subRequests[i].m_state == SubRequest::State::Waiting) {
      const auto why = WhyHopeless(aNow, aForward, i);
      hopeless += why ? 1 : 0;
      reason = why ? why : reason;
    }
  }
  const auto shards = static_cast<std::uint32_t>(aForward.m_subRequests.size());
  if (aForward.m_failed + hopeless <= shards - RequiredShards(aForward)) {
    aForward.m_hopelessSince.reset();
    return false;
  }
  aForward.m_hopelessSince = aForward.m_hopelessSince.value_or(aNow);
  if (!reason || aNow - *aForward.m_hopelessSince < kHopelessTime) {
    return false;
  }
  Reject(aNow, aForward, *reason);
  return true;
}

void
ForwarderImpl::Reject(TimePoint aNow,
                      RunningForward& aForward,
                      RejectReason aReason)
{
  ++m_counters.m_rejected.at(static_cast<std::size_t>(aReason));
  LogDecision("reject",
              aForward,
              aForward.m_subRequests.front().m_group->m_name,
              TenantOf(aForward),
              NameOf(aReason),
              aNow - aForward.m_startedAt);
  FinishFailed(aNow, aForward, false);
}

Duration
ForwarderImpl::RetryAfterOf(TimePoint aNow, const RunningForward& aForward)
{
  std::optional<AnswerEstimate> longest;
  for (std::uint32_t i = 0; i < aForward.m_subRequests.size(); ++i) {
    const auto estimate = EstimateAnswer(aNow, aForward, i);
    if (estimate && (!longest || estimate->m_wait > longest->m_wait)) {
      longest = estimate;
    }
  }
  return longest ? LoadShedder::RetryAfter(
                     *longest, aForward.m_request.m_deadline - aNow, m_random)
                 : kRetryAfterMin +
                     Duration(m_random.Below(kRetryAfterJitter.count()));
}

} // namespace goldcrestkeel
