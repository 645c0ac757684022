#include "ForwarderImpl.h"
#include "RecordMerger.h"

#include <goldcrestkeel/core/Invariant.h>

#include <algorithm>
#include <cmath>

namespace goldcrestkeel {

namespace {

/** How long a copy whose result is not needed may keep running so that its
 *  connection can be reused; pauses of replicas last 250 ms. */
constexpr Duration kSurplusCopyGrace{ 1000000 };
/** Tolerance for rounding errors of ratio times number of shards. */
constexpr double kRatioTolerance = 1e-9;

std::string
UnansweredServices(const RunningForward& aForward)
{
  std::string names;
  for (const SubRequest& subRequest : aForward.m_subRequests) {
    if (subRequest.m_state != SubRequest::State::Answered) {
      names.append(names.empty() ? "" : ",").append(subRequest.m_group->m_name);
    }
  }
  return names;
}

} // namespace

std::uint32_t
ForwarderImpl::RequiredShards(const RunningForward& aForward)
{
  const auto& gather = aForward.m_request.m_route->m_gather;
  if (!gather) {
    return 1;
  }
  const std::uint32_t shards = aForward.m_subRequests.size();
  if (const auto& relayed = aForward.m_request.m_relayedShards) {
    return std::max(1U, shards - std::min(shards, relayed->m_maxMissingShards));
  }
  const double needed = gather->m_minShardRatio * static_cast<double>(shards);
  return std::max(
    1U, static_cast<std::uint32_t>(std::ceil(needed - kRatioTolerance)));
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

bool
ForwarderImpl::RefuseIfUnserved(TimePoint aNow, RunningForward& aForward)
{
  std::uint32_t served = 0;
  bool unlisted = false;
  std::optional<RejectReason> reason;
  for (std::uint32_t i = 0; i < aForward.m_subRequests.size(); ++i) {
    const SubRequest& subRequest = aForward.m_subRequests[i];
    if (IsServedInTime(aNow, aForward, *subRequest.m_group)) {
      const bool relayed = subRequest.m_state == SubRequest::State::Relayed;
      const auto why = relayed ? std::nullopt : WhyHopeless(aNow, aForward, i);
      served += why ? 0 : 1;
      reason = why ? why : reason;
    }
    unlisted = unlisted || !BackendPool::HasListedReplica(*subRequest.m_group);
  }
  if (unlisted) {
    m_sink.NoReplicaListed();
  }
  if (served >= RequiredShards(aForward)) {
    return false;
  }
  if (reason) {
    Reject(aNow, aForward, *reason);
  } else {
    FinishFailed(aNow, aForward, false);
  }
  return true;
}

std::string
ForwarderImpl::TopRecordsOf(const RunningForward& aForward,
                            std::string_view aBody)
{
  return MergeTopRecords({ aBody },
                         aForward.m_request.m_route->m_gather->m_topRecords);
}

void
ForwarderImpl::OnSubRequestAnswered(TimePoint aNow,
                                    RunningForward& aForward,
                                    std::uint32_t aIndex,
                                    ReplicaAnswer&& aAnswer)
{
  SubRequest& subRequest = aForward.m_subRequests[aIndex];
  if (subRequest.m_state == SubRequest::State::Answered) {
    return;
  }
  if (!aForward.m_request.m_route->m_gather) {
    ForwardResult result;
    result.m_answer = std::move(aAnswer);
    FinishWith(aNow, aForward, std::move(result));
    return;
  }
  if (aAnswer.m_status < 200 || aAnswer.m_status > 299) {
    Retry(aNow, aForward, aIndex);
    return;
  }
  LeaveQueue(aNow, aForward, aIndex);
  subRequest.m_state = SubRequest::State::Answered;
  subRequest.m_answer = ReplicaAnswer();
  subRequest.m_answer.m_stamp = std::move(aAnswer.m_stamp);
  subRequest.m_answer.m_body = TopRecordsOf(aForward, aAnswer.m_body);
  AbandonCopies(aNow, subRequest, kSurplusCopyGrace);
  ++aForward.m_answered;
  FinishIfGathered(aNow, aForward);
}

void
ForwarderImpl::OnSubRequestFailed(TimePoint aNow,
                                  RunningForward& aForward,
                                  std::uint32_t aIndex)
{
  LeaveQueue(aNow, aForward, aIndex);
  SubRequest& subRequest = aForward.m_subRequests[aIndex];
  subRequest.m_state = SubRequest::State::Failed;
  ++aForward.m_failed;
  if (!aForward.m_request.m_route->m_gather) {
    FinishFailed(aNow, aForward, false);
    return;
  }
  FinishIfGathered(aNow, aForward);
}

void
ForwarderImpl::FinishIfGathered(TimePoint aNow, RunningForward& aForward)
{
  const std::uint32_t shards = aForward.m_subRequests.size();
  const std::uint32_t needed = RequiredShards(aForward);
  if (aForward.m_failed > shards - needed) {
    FinishFailed(aNow, aForward, false);
    return;
  }
  const bool allDone = aForward.m_answered + aForward.m_failed == shards;
  const bool enough = aForward.m_answered >= needed;
  if (allDone || (aForward.m_pastTarget && enough)) {
    FinishGathered(aNow, aForward);
  }
}

void
ForwarderImpl::FinishGathered(TimePoint aNow, RunningForward& aForward)
{
  ForwardResult result;
  result.m_gathered = true;
  std::vector<std::string_view> shardRecords;
  for (const SubRequest& subRequest : aForward.m_subRequests) {
    if (subRequest.m_state == SubRequest::State::Answered) {
      result.m_stamps.push_back(subRequest.m_answer.m_stamp);
      result.m_shards.push_back(subRequest.m_shard);
      shardRecords.push_back(subRequest.m_answer.m_body);
    }
  }
  result.m_missingShards = aForward.m_subRequests.size() - shardRecords.size();
  GK_INVARIANT(shardRecords.size() >= RequiredShards(aForward),
               InvariantId::AccurateCoverage,
               "answer covers fewer shards than required");
  if (result.m_missingShards > 0) {
    ++m_counters.m_partialAnswers;
  }
  result.m_answer.m_status = 200;
  result.m_answer.m_body = MergeTopRecords(
    shardRecords, aForward.m_request.m_route->m_gather->m_topRecords);
  FinishWith(aNow, aForward, std::move(result));
}

bool
ForwarderImpl::MayHaveRun(const RunningForward& aForward)
{
  return aForward.m_relaysSent > 0 ||
         std::any_of(aForward.m_subRequests.begin(),
                     aForward.m_subRequests.end(),
                     [](const SubRequest& aSubRequest) {
                       return aSubRequest.m_sent > aSubRequest.m_notRun;
                     });
}

void
ForwarderImpl::FinishFailed(TimePoint aNow,
                            RunningForward& aForward,
                            bool aTimedOut)
{
  const bool gather = aForward.m_request.m_route->m_gather.has_value();
  if (gather && aForward.m_answered >= RequiredShards(aForward)) {
    FinishGathered(aNow, aForward);
    return;
  }
  ForwardResult result;
  SubRequest& first = aForward.m_subRequests.front();
  if (!gather && first.m_hasFailureAnswer && first.m_copies.empty()) {
    result.m_answer = std::move(first.m_answer);
  } else if (!MayHaveRun(aForward)) {
    ++m_counters.m_refused;
    result.m_error = ErrorKind::NoReplica;
    result.m_detail = "no replica of the service can take the request";
    result.m_retryAfter = RetryAfterOf(aNow, aForward);
  } else if (aTimedOut) {
    result.m_error = ErrorKind::DeadlineExceeded;
    result.m_detail = "no answer before the deadline";
  } else {
    result.m_error = ErrorKind::BackendFailed;
    result.m_detail = gather ? "too few shards can answer"
                             : "the backend server gave no answer";
  }
  FinishWith(aNow, aForward, std::move(result));
}

std::vector<ForwardId>
ForwarderImpl::RunningIds() const
{
  std::vector<ForwardId> ids;
  ids.reserve(m_running.size());
  for (const auto& [id, forward] : m_running) {
    ids.push_back(id);
  }
  return ids;
}

void
ForwarderImpl::FinishAll(TimePoint aNow)
{
  for (const ForwardId id : RunningIds()) {
    const auto running = m_running.find(id);
    if (running != m_running.end()) {
      FinishFailed(aNow, *running->second, true);
    }
  }
}

void
ForwarderImpl::RecordMissedShards(TimePoint aNow,
                                  const RunningForward& aForward)
{
  for (const SubRequest& subRequest : aForward.m_subRequests) {
    const bool answered = subRequest.m_state == SubRequest::State::Answered;
    const bool queried = subRequest.m_state != SubRequest::State::Skipped;
    // A request that ended before its target did not wait for all shards, so
    // the others do not count as missed.
    if (subRequest.m_wasRelayed) {
      // The host that gathered the shard records it.
      continue;
    }
    if (answered || (queried && aForward.m_pastTarget)) {
      subRequest.m_group->m_missRate.Add(aNow, !answered);
    }
  }
}

void
ForwarderImpl::FinishWith(TimePoint aNow,
                          RunningForward& aForward,
                          ForwardResult&& aResult)
{
  if (aForward.m_pastTarget || aResult.m_gathered) {
    RecordMissedShards(aNow, aForward);
  }
  SuspectBroken(aNow, aForward);
  aResult.m_copies = aForward.m_copies;
  if (aResult.m_missingShards > 0 || aResult.m_error) {
    aResult.m_missingServices = UnansweredServices(aForward);
  }
  for (SubRequest& subRequest : aForward.m_subRequests) {
    SuspectSilentCopies(aNow, aForward, subRequest);
    AbandonCopies(aNow, subRequest, kSurplusCopyGrace);
  }
  AbandonRelays(aForward);
  LeaveQueues(aNow, aForward);
  const ForwardId id = aForward.m_request.m_id;
  // The request must not be in m_running when the sink is called.
  const auto node = m_running.extract(id);
  m_sink.Finish(id, std::move(aResult));
}

void
ForwarderImpl::AbandonRelays(RunningForward& aForward)
{
  // The other host closes its copies after its own grace period.
  const std::vector<CopyId> relays = aForward.m_relays;
  for (const CopyId id : relays) {
    EndCopy(id);
    m_sink.AbortCopy(id);
  }
}

void
ForwarderImpl::AbortUnsentCopies(const SubRequest& aSubRequest)
{
  const std::vector<CopyId> copies = aSubRequest.m_copies;
  for (const CopyId id : copies) {
    if (!m_copies.at(id).m_sentAt) {
      EndCopy(id);
      m_sink.AbortCopy(id);
    }
  }
}

void
ForwarderImpl::AbandonCopies(TimePoint aNow,
                             SubRequest& aSubRequest,
                             Duration aDelay)
{
  const std::vector<CopyId> copies = aSubRequest.m_copies;
  for (const CopyId id : copies) {
    ForwardCopy& copy = m_copies.at(id);
    copy.m_abandoned = true;
    if (copy.m_sentAt) {
      AddTimer(aNow + aDelay, ForwardTimer::Abandon, id);
    } else {
      EndCopy(id);
      m_sink.AbortCopy(id);
    }
  }
  aSubRequest.m_copies.clear();
}

} // namespace goldcrestkeel
