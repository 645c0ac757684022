#include "ForwarderImpl.h"

#include <algorithm>
#include <functional>

namespace goldcrestkeel {

namespace {

/** Time for the answer of another entry host to arrive and be processed:
 *  one-way delays within a region are about 4 ms. */
constexpr Duration kReturnTime{ 10000 };
/** The same for a host of another region: one-way delays are about 25 ms. */
constexpr Duration kRemoteReturnTime{ 30000 };
/** Timeout for the connection to another entry host of the region: connecting
 *  takes one round trip, about 8 ms. */
constexpr Duration kConnectTimeout{ 40000 };
/** The same for a host of another region; a round trip is about 50 ms. */
constexpr Duration kRemoteConnectTimeout{ 150000 };
/** First backoff after a host refused: hosts refuse while their configuration
 *  has another version, for about half a second, or when they stop. */
constexpr Duration kRefusedBackoff{ 250000 };
constexpr int kHttpOk = 200;

} // namespace

std::uint32_t
ForwarderImpl::MaxMissingShards(const RunningForward& aForward)
{
  return aForward.m_subRequests.size() - RequiredShards(aForward);
}

std::vector<RelayPool::Assignment>
ForwarderImpl::AssignRelays(TimePoint aNow, RunningForward& aForward)
{
  const ForwardRequest& request = aForward.m_request;
  // Relayed shards are not relayed again.
  if (!request.m_route->m_gather || request.m_relayedShards ||
      UsesFallback(aForward.m_regions)) {
    return {};
  }
  auto assignments = m_relayPool.AssignShards(
    aNow, request.m_route->m_gather->m_shards, m_pool, aForward.m_regions);
  for (const RelayPool::Assignment& assignment : assignments) {
    for (const std::uint32_t index : assignment.m_shards) {
      aForward.m_subRequests[index].m_state = SubRequest::State::Relayed;
      aForward.m_subRequests[index].m_wasRelayed = true;
    }
  }
  return assignments;
}

void
ForwarderImpl::SendRelay(TimePoint aNow,
                         RunningForward& aForward,
                         const RelayPool::Assignment& aAssignment,
                         RelayReason aReason)
{
  const bool remote = aAssignment.m_host->m_distance == Distance::OtherRegion;
  const Duration returnTime = remote ? kRemoteReturnTime : kReturnTime;
  const CopyId id = m_nextCopy++;
  ForwardCopy copy;
  copy.m_request = aForward.m_request.m_id;
  copy.m_group = aAssignment.m_group;
  copy.m_replica = aAssignment.m_host;
  copy.m_startedAt = aNow;
  copy.m_deadline = aForward.m_request.m_deadline - returnTime;
  copy.m_relayedSubRequests = aAssignment.m_shards;
  copy.m_relayTargetAt = aForward.m_targetAt;
  copy.m_relayReason = aReason;
  m_copies.emplace(id, copy);
  aForward.m_relays.push_back(id);
  ++aAssignment.m_host->m_inFlight;
  ++m_counters.m_relays;
  AddTimer(aNow + (remote ? kRemoteConnectTimeout : kConnectTimeout),
           ForwardTimer::Late,
           id);

  RelayedShards shards;
  std::uint32_t mayHaveRun = 0;
  for (const std::uint32_t index : aAssignment.m_shards) {
    const SubRequest& subRequest = aForward.m_subRequests[index];
    shards.m_shards.push_back(subRequest.m_shard);
    mayHaveRun = std::max(mayHaveRun, subRequest.m_sent - subRequest.m_notRun);
  }
  if (mayHaveRun > 0) {
    shards.m_attemptsLeft = aForward.m_request.m_route->m_attempts - mayHaveRun;
  }
  // Its proportional share of the shards that the answer may lack, rounded up.
  const std::size_t total = aForward.m_subRequests.size();
  shards.m_maxMissingShards = static_cast<std::uint32_t>(
    (MaxMissingShards(aForward) * shards.m_shards.size() + total - 1) / total);
  shards.m_targetAt = aForward.m_targetAt - returnTime;
  m_sink.SendRelay(id,
                   aForward.m_request.m_id,
                   aAssignment.m_host->m_record,
                   copy.m_deadline,
                   shards);
}

bool
ForwarderImpl::IsValidRelayAnswer(const ForwardCopy& aCopy,
                                  const ReplicaAnswer& aAnswer)
{
  if (aAnswer.m_status != kHttpOk || aAnswer.m_shards.empty() ||
      aAnswer.m_shards.size() != aAnswer.m_shardStamps.size()) {
    return false;
  }
  // The shards must be in ascending order and a subset of the requested ones.
  return std::adjacent_find(aAnswer.m_shards.begin(),
                            aAnswer.m_shards.end(),
                            std::greater_equal<>()) == aAnswer.m_shards.end() &&
         std::includes(aCopy.m_relayedSubRequests.begin(),
                       aCopy.m_relayedSubRequests.end(),
                       aAnswer.m_shards.begin(),
                       aAnswer.m_shards.end());
}

void
ForwarderImpl::OnRelayAnswered(TimePoint aNow,
                               const ForwardCopy& aCopy,
                               ReplicaAnswer&& aAnswer)
{
  const auto asking = m_running.find(aCopy.m_request);
  if (aAnswer.m_quarantined && asking != m_running.end()) {
    OnRelayQuarantined(aNow, *asking->second, aCopy);
    return;
  }
  if (aCopy.m_relayReason == RelayReason::Fallback) {
    OnFallbackAnswered(aNow, aCopy, std::move(aAnswer));
    return;
  }
  PooledReplica& host = *aCopy.m_replica;
  // Any status: a host with an older table may answer that the route is
  // unknown.
  const bool refused = aAnswer.m_notRun;
  if (refused) {
    host.m_lastAnswerAt = aNow;
    BackendPool::BackOff(aNow, host, kRefusedBackoff);
  } else {
    const Duration latency = aNow - aCopy.m_sentAt.value_or(aCopy.m_startedAt);
    BackendPool::RecordAnswer(aNow, *aCopy.m_group, host, latency, aAnswer);
  }
  const auto running = m_running.find(aCopy.m_request);
  if (running == m_running.end()) {
    return;
  }
  RunningForward& forward = *running->second;
  if (refused) {
    DispatchDirectly(aNow, forward, aCopy, "refused");
    return;
  }
  OnGatheredRelayAnswered(aNow, forward, aCopy, std::move(aAnswer));
}

void
ForwarderImpl::OnGatheredRelayAnswered(TimePoint aNow,
                                       RunningForward& aForward,
                                       const ForwardCopy& aCopy,
                                       ReplicaAnswer&& aAnswer)
{
  if (!IsValidRelayAnswer(aCopy, aAnswer)) {
    LogDecision("relay_failed",
                aForward,
                aCopy.m_group->m_name,
                aCopy.m_replica->m_record.m_id,
                "invalid or empty answer",
                aNow - aCopy.m_startedAt);
    FailRelayedSubRequests(aNow, aForward, aCopy.m_relayedSubRequests);
    return;
  }
  for (std::size_t i = 0; i < aAnswer.m_shards.size(); ++i) {
    SubRequest& subRequest = aForward.m_subRequests[aAnswer.m_shards[i]];
    // A replica may have answered this host in the meantime. The body below has
    // the records of the shard once more, so that its answer is dropped.
    if (subRequest.m_state != SubRequest::State::Answered) {
      subRequest.m_state = SubRequest::State::Answered;
      ++aForward.m_answered;
    }
    subRequest.m_answer = ReplicaAnswer();
    subRequest.m_answer.m_stamp = std::move(aAnswer.m_shardStamps[i]);
    AbandonCopies(aNow, subRequest, Duration(0));
  }
  // The body has the merged records of all these shards; the first stands for
  // all of them.
  aForward.m_subRequests[aAnswer.m_shards.front()].m_answer.m_body =
    TopRecordsOf(aForward, aAnswer.m_body);
  FailRelayedSubRequests(aNow, aForward, aCopy.m_relayedSubRequests);
}

void
ForwarderImpl::FailRelayedSubRequests(
  TimePoint aNow,
  RunningForward& aForward,
  const std::vector<std::uint32_t>& aIndexes)
{
  for (const std::uint32_t index : aIndexes) {
    SubRequest& subRequest = aForward.m_subRequests[index];
    if (subRequest.m_state != SubRequest::State::Relayed) {
      continue;
    }
    if (!subRequest.m_copies.empty()) {
      subRequest.m_state = SubRequest::State::Running;
      subRequest.m_attemptsUsed = true;
      continue;
    }
    subRequest.m_state = SubRequest::State::Failed;
    ++aForward.m_failed;
  }
  FinishIfGathered(aNow, aForward);
}

void
ForwarderImpl::OnRelayFailed(TimePoint aNow,
                             const ForwardCopy& aCopy,
                             CopyFailure aFailure)
{
  PooledReplica& host = *aCopy.m_replica;
  if (aFailure != CopyFailure::NoConnection) {
    BackendPool::BackOff(aNow, host, kUnreachableBackoff);
  }
  const auto running = m_running.find(aCopy.m_request);
  if (running == m_running.end()) {
    return;
  }
  RunningForward& forward = *running->second;
  const bool notSent = aFailure == CopyFailure::Refused ||
                       aFailure == CopyFailure::NotSent ||
                       aFailure == CopyFailure::NoConnection;
  if (notSent && aCopy.m_relayReason == RelayReason::Fallback) {
    RetryFallback(aNow, forward, aCopy, NameOf(aFailure));
    return;
  }
  if (notSent) {
    DispatchDirectly(aNow, forward, aCopy, NameOf(aFailure));
    return;
  }
  LogDecision("relay_failed",
              forward,
              aCopy.m_group->m_name,
              host.m_record.m_id,
              NameOf(aFailure),
              aNow - aCopy.m_startedAt);
  // The other host may already have used all attempts of the route for its
  // shards; querying them again could exceed the limit.
  FailRelayedSubRequests(aNow, forward, aCopy.m_relayedSubRequests);
}

void
ForwarderImpl::OnRelayLate(TimePoint aNow, CopyId aCopy)
{
  const ForwardCopy copy = m_copies.at(aCopy);
  if (copy.m_sentAt) {
    AddTimer(copy.m_relayTargetAt, ForwardTimer::Late, aCopy);
    return;
  }
  BackendPool::BackOff(aNow, *copy.m_replica, kUnreachableBackoff);
  EndCopy(aCopy);
  m_sink.AbortCopy(aCopy);
  RunningForward& forward = *m_running.at(copy.m_request);
  if (copy.m_relayReason == RelayReason::Fallback) {
    RetryFallback(aNow, forward, copy, NameOf(CopyFailure::NotSent));
  } else {
    DispatchDirectly(aNow, forward, copy, NameOf(CopyFailure::NotSent));
  }
}

void
ForwarderImpl::OnRelayRefused(TimePoint aNow,
                              RunningForward& aForward,
                              const ForwardCopy& aCopy,
                              std::string_view aReason)
{
  LogDecision("relay_refused",
              aForward,
              aCopy.m_group->m_name,
              aCopy.m_replica->m_record.m_id,
              aReason,
              aNow - aCopy.m_startedAt);
  if (aCopy.m_sentAt) {
    --aForward.m_relaysSent;
  }
}

void
ForwarderImpl::DispatchDirectly(TimePoint aNow,
                                RunningForward& aForward,
                                const ForwardCopy& aCopy,
                                std::string_view aReason)
{
  ++m_counters.m_relaysRefused;
  OnRelayRefused(aNow, aForward, aCopy, aReason);
  for (const std::uint32_t index : aCopy.m_relayedSubRequests) {
    SubRequest& subRequest = aForward.m_subRequests[index];
    subRequest.m_state = SubRequest::State::Running;
    subRequest.m_group->m_budget.AddRequest(aNow);
    Dispatch(aNow, aForward, index, CopyReason::First);
    if (!m_running.contains(aCopy.m_request)) {
      return;
    }
  }
}

} // namespace goldcrestkeel
