#include "ForwarderImpl.h"

#include <utility>

namespace goldcrestkeel {

namespace {

ProbeOutcome
ProbeOutcomeOf(CopyFailure aFailure)
{
  switch (aFailure) {
    case CopyFailure::Refused:
      return ProbeOutcome::Down;
    case CopyFailure::Malformed:
      return ProbeOutcome::Answered;
    case CopyFailure::NotSent:
    case CopyFailure::Broken:
    case CopyFailure::NoConnection:
      break;
  }
  return ProbeOutcome::NoAnswer;
}

} // namespace

bool
ForwarderImpl::IsSuccess(const ReplicaAnswer& aAnswer)
{
  return aAnswer.m_status < 500 && !aAnswer.m_stamp.empty() &&
         !aAnswer.m_notRun;
}

void
ForwarderImpl::CopySent(TimePoint aNow,
                        CopyId aCopy,
                        ConnectionState aConnection)
{
  const auto found = m_copies.find(aCopy);
  if (found == m_copies.end()) {
    return;
  }
  ForwardCopy& copy = found->second;
  copy.m_sentAt = aNow;
  copy.m_connection = aConnection;
  copy.m_servedAt = copy.m_group->m_servedAt;
  const auto running = m_running.find(copy.m_request);
  if (running == m_running.end() || copy.m_abandoned) {
    return;
  }
  if (copy.IsRelay()) {
    ++running->second->m_relaysSent;
    return;
  }
  SubRequest& subRequest = running->second->m_subRequests[copy.m_subRequest];
  ++subRequest.m_sent;
}

void
ForwarderImpl::CopyAnswered(TimePoint aNow,
                            CopyId aCopy,
                            ReplicaAnswer&& aAnswer)
{
  if (EndProbe(aNow, aCopy, &aAnswer) ||
      EndHealthCheck(aNow, aCopy, &aAnswer) ||
      m_crashChecks.EndProbe(
        aCopy, ProbeOutcome::Answered, aAnswer.m_instance)) {
    return;
  }
  const auto found = m_copies.find(aCopy);
  if (found == m_copies.end()) {
    return;
  }
  const ForwardCopy copy = found->second;
  EndCopy(aCopy);
  if (copy.IsRelay()) {
    OnRelayAnswered(aNow, copy, std::move(aAnswer));
    return;
  }
  PooledReplica& replica = *copy.m_replica;
  const Duration latency = aNow - copy.m_sentAt.value_or(copy.m_startedAt);
  const bool hasRecovered = replica.IsProbed();
  BackendPool::RecordAnswer(aNow, *copy.m_group, replica, latency, aAnswer);
  m_pool.RecordPace(
    aNow, *copy.m_group, replica, latency, aAnswer, hasRecovered);
  m_contact.OnAnswer(aNow);
  UpdateNotices(aNow, *copy.m_group, replica, aAnswer);
  UpdateRequestLimit(aNow, *copy.m_group, replica, aAnswer);
  RecordLoad(aNow, *copy.m_group, aAnswer);
  const bool success = IsSuccess(aAnswer);
  if (aNow < copy.m_deadline) {
    replica.m_failureRate.Add(aNow, !success);
  }
  if (!aAnswer.m_stamp.empty()) {
    copy.m_group->m_servedAt = aNow;
  }
  if (success) {
    copy.m_profile->Add(latency);
  }
  if (aAnswer.m_wrongInstance) {
    replica.m_replaced = true;
  }
  const auto running = m_running.find(copy.m_request);
  if (running != m_running.end() && !copy.m_abandoned) {
    RunningForward& forward = *running->second;
    SubRequest& subRequest = forward.m_subRequests[copy.m_subRequest];
    if (!aAnswer.m_stamp.empty()) {
      forward.m_replicaAnswered = true;
      RecordAnswered(aNow, forward.m_request.m_fingerprint);
    }
    if (success) {
      OnSubRequestAnswered(
        aNow, forward, copy.m_subRequest, std::move(aAnswer));
    } else {
      if (aAnswer.m_notRun || aAnswer.m_wrongInstance) {
        ++subRequest.m_notRun;
        copy.m_group->m_waiting.CountNotRun(aNow, TenantOf(forward));
        // The replica may have capacity again before others do.
        std::erase(subRequest.m_triedReplicas, replica.m_record.m_id);
      } else {
        subRequest.m_hasFailureAnswer = !aAnswer.m_stamp.empty();
        subRequest.m_answer = std::move(aAnswer);
      }
      Retry(aNow, forward, copy.m_subRequest);
    }
  }
  DispatchWaiting(aNow, *copy.m_group);
}

void
ForwarderImpl::CopyFailed(TimePoint aNow, CopyId aCopy, CopyFailure aFailure)
{
  if (EndProbe(aNow, aCopy, nullptr) || EndHealthCheck(aNow, aCopy, nullptr) ||
      m_crashChecks.EndProbe(aCopy, ProbeOutcomeOf(aFailure))) {
    return;
  }
  const auto found = m_copies.find(aCopy);
  if (found == m_copies.end()) {
    return;
  }
  const ForwardCopy copy = found->second;
  EndCopy(aCopy);
  if (copy.IsRelay()) {
    OnRelayFailed(aNow, copy, aFailure);
    return;
  }
  if (aFailure == CopyFailure::NoConnection) {
    OnNoConnection(aNow, copy);
    return;
  }
  PooledReplica& replica = *copy.m_replica;
  if (aFailure == CopyFailure::Refused || aFailure == CopyFailure::NotSent) {
    BackOff(aNow, *copy.m_group, copy.m_replica, kUnreachableBackoff);
  } else {
    replica.m_failureRate.Add(aNow, true);
    replica.m_slowStart.OnFailed(aNow);
  }
  ReportUnanswered(aNow, copy);
  const auto running = m_running.find(copy.m_request);
  if (running != m_running.end() && copy.m_sentAt) {
    running->second->m_brokenCopies.push_back({ copy.m_replica,
                                                copy.m_connection,
                                                *copy.m_sentAt,
                                                aNow,
                                                copy.m_group->m_servedAt });
  }
  if (running != m_running.end() && !copy.m_abandoned) {
    LogDecision("copy_failed",
                *running->second,
                copy.m_group->m_name,
                replica.m_record.m_id,
                NameOf(aFailure),
                aNow - copy.m_startedAt);
    Retry(aNow, *running->second, copy.m_subRequest);
  }
  DispatchWaiting(aNow, *copy.m_group);
  UpdateContact(aNow);
}

void
ForwarderImpl::OnNoConnection(TimePoint aNow, const ForwardCopy& aCopy)
{
  const auto running = m_running.find(aCopy.m_request);
  if (running != m_running.end() && !aCopy.m_abandoned) {
    LogDecision("copy_failed",
                *running->second,
                aCopy.m_group->m_name,
                aCopy.m_replica->m_record.m_id,
                NameOf(CopyFailure::NoConnection),
                aNow - aCopy.m_startedAt);
    // Waiting requests are not dispatched: they would fail in the same way.
    Retry(aNow, *running->second, aCopy.m_subRequest);
  }
}

void
ForwarderImpl::ReportUnanswered(TimePoint aNow, const ForwardCopy& aCopy)
{
  const std::string& replica = aCopy.m_replica->m_record.m_id;
  if (aCopy.m_sentAt) {
    m_contact.OnSilence(aNow, replica);
  }
  if (!aCopy.IsOnProvenConnection()) {
    m_contact.OnConnectFailed(aNow, replica);
  }
}

void
ForwarderImpl::EndCopy(CopyId aCopy)
{
  const auto found = m_copies.find(aCopy);
  ForwardCopy& copy = found->second;
  --copy.m_replica->m_inFlight;
  if (copy.m_late) {
    --copy.m_replica->m_lateCopies;
  }
  const auto running = m_running.find(copy.m_request);
  if (running != m_running.end()) {
    RunningForward& forward = *running->second;
    std::erase(copy.IsRelay()
                 ? forward.m_relays
                 : forward.m_subRequests[copy.m_subRequest].m_copies,
               aCopy);
  }
  m_copies.erase(found);
}

} // namespace goldcrestkeel
