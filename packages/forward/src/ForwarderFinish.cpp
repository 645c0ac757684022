#include "ForwarderImpl.h"
#include "RecordMerger.h"

#include <goldcrestkeel/core/Invariant.h>

#include <algorithm>
#include <cmath>

namespace goldcrestkeel {

namespace {

/** Time that a copy whose result is not needed may run on, so that its
 *  connection can be used again; pauses of replicas last 250 ms. */
constexpr Duration kLoserRun{ 1000000 };
/** Retry-After of a request that no replica can take now: replicas that crash
 *  are back after some seconds, but most troubles pass sooner. */
constexpr Duration kRetryAfterLeast{ 150000 };
constexpr Duration kRetryAfterSpread{ 250000 };
/** Tolerance for the product of a share and a number of shards. */
constexpr double kShareTolerance = 1e-9;

std::string
UnansweredNames(const RunningForward& aForward)
{
  std::string names;
  for (const ForwardLeg& leg : aForward.m_legs) {
    if (leg.m_state != ForwardLeg::State::Answered) {
      names.append(names.empty() ? "" : ",").append(leg.m_group->m_name);
    }
  }
  return names;
}

} // namespace

std::uint32_t
ForwarderImpl::NeededShards(const RunningForward& aForward)
{
  const auto& gather = aForward.m_request.m_route->m_gather;
  if (!gather) {
    return 1;
  }
  const std::uint32_t shards = aForward.m_legs.size();
  if (const auto& part = aForward.m_request.m_relayedShards) {
    return std::max(1U, shards - std::min(shards, part->m_maxMissingShards));
  }
  const double needed = gather->m_minShardRatio * static_cast<double>(shards);
  return std::max(
    1U, static_cast<std::uint32_t>(std::ceil(needed - kShareTolerance)));
}

bool
ForwarderImpl::Refuse(TimePoint aNow, RunningForward& aForward)
{
  std::uint32_t served = 0;
  bool unlisted = false;
  for (const ForwardLeg& leg : aForward.m_legs) {
    if (BackendPool::IsServed(aNow, *leg.m_group, {})) {
      ++served;
    }
    unlisted = unlisted || !BackendPool::IsListed(*leg.m_group);
  }
  if (unlisted) {
    m_sink.NoReplicaListed();
  }
  if (served >= NeededShards(aForward)) {
    return false;
  }
  FinishFailed(aNow, aForward, false);
  return true;
}

void
ForwarderImpl::LegAnswered(TimePoint aNow,
                           RunningForward& aForward,
                           std::uint32_t aLeg,
                           ReplicaAnswer&& aAnswer)
{
  ForwardLeg& leg = aForward.m_legs[aLeg];
  if (leg.m_state == ForwardLeg::State::Answered) {
    return;
  }
  if (!aForward.m_request.m_route->m_gather) {
    ForwardResult result;
    result.m_answer = std::move(aAnswer);
    FinishWith(aNow, aForward, std::move(result));
    return;
  }
  if (aAnswer.m_status < 200 || aAnswer.m_status > 299) {
    Retry(aNow, aForward, aLeg);
    return;
  }
  leg.m_state = ForwardLeg::State::Answered;
  leg.m_answer = std::move(aAnswer);
  AbandonCopies(aNow, leg, kLoserRun);
  ++aForward.m_answered;
  CheckGather(aNow, aForward);
}

void
ForwarderImpl::LegFailed(TimePoint aNow,
                         RunningForward& aForward,
                         std::uint32_t aLeg)
{
  ForwardLeg& leg = aForward.m_legs[aLeg];
  leg.m_state = ForwardLeg::State::Failed;
  ++aForward.m_failed;
  if (!aForward.m_request.m_route->m_gather) {
    FinishFailed(aNow, aForward, false);
    return;
  }
  CheckGather(aNow, aForward);
}

void
ForwarderImpl::CheckGather(TimePoint aNow, RunningForward& aForward)
{
  const std::uint32_t shards = aForward.m_legs.size();
  const std::uint32_t needed = NeededShards(aForward);
  if (aForward.m_failed > shards - needed) {
    FinishFailed(aNow, aForward, false);
    return;
  }
  const bool allEnded = aForward.m_answered + aForward.m_failed == shards;
  const bool enough = aForward.m_answered >= needed;
  if (allEnded || (aForward.m_pastTarget && enough)) {
    FinishGathered(aNow, aForward);
  }
}

void
ForwarderImpl::FinishGathered(TimePoint aNow, RunningForward& aForward)
{
  ForwardResult result;
  result.m_gathered = true;
  std::vector<std::string_view> parts;
  for (const ForwardLeg& leg : aForward.m_legs) {
    if (leg.m_state == ForwardLeg::State::Answered) {
      result.m_stamps.push_back(leg.m_answer.m_stamp);
      result.m_shards.push_back(leg.m_shard);
      parts.push_back(leg.m_answer.m_body);
    }
  }
  result.m_missingShards = aForward.m_legs.size() - parts.size();
  GK_INVARIANT(parts.size() >= NeededShards(aForward),
               InvariantId::TrueCoverage,
               "answer with too few shards");
  if (result.m_missingShards > 0) {
    ++m_counters.m_partialAnswers;
  }
  result.m_answer.m_status = 200;
  result.m_answer.m_body =
    MergeTopRecords(parts, aForward.m_request.m_route->m_gather->m_topRecords);
  FinishWith(aNow, aForward, std::move(result));
}

void
ForwarderImpl::FinishFailed(TimePoint aNow,
                            RunningForward& aForward,
                            bool aTimedOut)
{
  const bool gather = aForward.m_request.m_route->m_gather.has_value();
  if (gather && aForward.m_answered >= NeededShards(aForward)) {
    FinishGathered(aNow, aForward);
    return;
  }
  ForwardResult result;
  const bool mayHaveRun = aForward.m_relaysSent > 0 ||
                          std::any_of(aForward.m_legs.begin(),
                                      aForward.m_legs.end(),
                                      [](const ForwardLeg& aLeg) {
                                        return aLeg.m_sent > aLeg.m_notRun;
                                      });
  ForwardLeg& first = aForward.m_legs.front();
  if (!gather && first.m_hasFailureAnswer && first.m_copies.empty()) {
    result.m_answer = std::move(first.m_answer);
  } else if (!mayHaveRun) {
    ++m_counters.m_refused;
    result.m_error = ErrorKind::NoReplica;
    result.m_detail = "no replica of the service can take the request";
    result.m_retryAfter =
      kRetryAfterLeast + Duration(m_random.Below(kRetryAfterSpread.count()));
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

void
ForwarderImpl::RecordGathered(TimePoint aNow, const RunningForward& aForward)
{
  for (const ForwardLeg& leg : aForward.m_legs) {
    const bool answered = leg.m_state == ForwardLeg::State::Answered;
    const bool asked = leg.m_state != ForwardLeg::State::Skipped;
    // A request that ended before its target says nothing of the shards that
    // it did not wait for.
    if (leg.m_wasRelayed) {
      // The host that gathers them knows how its shards do.
      continue;
    }
    if (answered || (asked && aForward.m_pastTarget)) {
      leg.m_group->m_missed.Add(aNow, !answered);
    }
  }
}

void
ForwarderImpl::FinishWith(TimePoint aNow,
                          RunningForward& aForward,
                          ForwardResult&& aResult)
{
  if (aForward.m_pastTarget || aResult.m_gathered) {
    RecordGathered(aNow, aForward);
  }
  aResult.m_copies = aForward.m_copies;
  if (aResult.m_missingShards > 0 || aResult.m_error) {
    aResult.m_missingServices = UnansweredNames(aForward);
  }
  for (ForwardLeg& leg : aForward.m_legs) {
    AbandonCopies(aNow, leg, kLoserRun);
  }
  AbandonRelays(aForward);
  const ForwardId id = aForward.m_request.m_id;
  // The request must not be found any more when the sink is called.
  const auto node = m_running.extract(id);
  m_sink.Finish(id, std::move(aResult));
}

void
ForwarderImpl::AbandonRelays(RunningForward& aForward)
{
  // The other host lets its copies end in its own time.
  const std::vector<CopyId> relays = aForward.m_relays;
  for (const CopyId id : relays) {
    EndCopy(id);
    m_sink.AbortCopy(id);
  }
}

void
ForwarderImpl::AbandonCopies(TimePoint aNow, ForwardLeg& aLeg, Duration aDelay)
{
  const std::vector<CopyId> copies = aLeg.m_copies;
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
  aLeg.m_copies.clear();
}

} // namespace goldcrestkeel
