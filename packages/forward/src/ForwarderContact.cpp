#include "ForwarderImpl.h"

#include <algorithm>
#include <string>

namespace goldcrestkeel {

namespace {

/** Number of replicas that are probed at a time; a few of them may be down. */
constexpr std::size_t kProbes = 3;
/** A probe without an answer is ended after this time. */
constexpr Duration kProbeExpiry{ 2000000 };
/** Maximum number of entry hosts that are asked to serve one request. */
constexpr std::size_t kMaxFallbackHosts = 4;
/** While replicas are reached, no host is asked for a service for this time
 *  after none could serve it: its replicas probably want rest from all. */
constexpr Duration kNoFallbackTime{ 250000 };
/** First backoff after a host declined because of its own state: it may have
 *  lost contact as well, or have another version of the routing table. */
constexpr Duration kDeclinedBackoff{ 250000 };

// Other requests may use hosts that those bound to regions may not.
TimePoint&
NoFallbackUntil(BackendGroup& aGroup, const RegionFilter& aRegions)
{
  return aRegions.IsRestricted() ? aGroup.m_noBoundFallbackUntil
                                 : aGroup.m_noFallbackUntil;
}

} // namespace

void
ForwarderImpl::ConnectionProven(const std::string& aId)
{
  // Entry hosts are connected to in the same way.
  if (!m_pool.IsKnown(aId)) {
    return;
  }
  m_pool.CountConnection(aId, true);
  m_contact.OnConnectionProven();
}

bool
ForwarderImpl::EndProbe(TimePoint aNow, CopyId aProbe, bool aAnswered)
{
  if (m_probes.erase(aProbe) == 0) {
    return false;
  }
  if (aAnswered) {
    const ContactReport report = MakeContactReport(aNow);
    m_contact.OnProbeAnswered(aNow);
    OnContactUpdated(aNow, report);
  }
  return true;
}

ContactReport
ForwarderImpl::MakeContactReport(TimePoint aNow) const
{
  ContactReport report;
  report.m_before = m_contact.State();
  report.m_lasted = aNow - m_contact.StateSince();
  report.m_silentReplicas = m_contact.SilentReplicas();
  report.m_unconnectableReplicas = m_contact.UnconnectableReplicas();
  return report;
}

void
ForwarderImpl::UpdateContact(TimePoint aNow)
{
  const ContactReport report = MakeContactReport(aNow);
  if (m_contact.Update(aNow)) {
    ProbeReplicas(aNow);
  }
  const auto next = m_contact.NextUpdate();
  if (next && next != m_contactTimerAt) {
    AddTimer(*next, ForwardTimer::Contact, 0);
  }
  m_contactTimerAt = next;
  OnContactUpdated(aNow, report);
}

void
ForwarderImpl::OnContactUpdated(TimePoint aNow, ContactReport aReport)
{
  aReport.m_state = m_contact.State();
  if (aReport.m_state == aReport.m_before) {
    return;
  }
  m_sink.LogContact(aReport);
  m_pool.SetOpenConnectionsOnly(aReport.m_state == ContactState::Limited);
  switch (aReport.m_state) {
    case ContactState::Lost:
      ++m_counters.m_contactLosses;
      if (UsesFallback({})) {
        RelayRunningRequests(aNow);
      }
      return;
    case ContactState::Limited:
      // Failed connections say nothing about the open ones.
      m_pool.EndBackoffs(aNow);
      return;
    case ContactState::Reached:
      if (aReport.m_before != ContactState::Suspected) {
        m_pool.EndBackoffs(aNow);
      }
      return;
    case ContactState::Suspected:
      return;
  }
}

bool
ForwarderImpl::UsesFallback(const RegionFilter& aRegions) const
{
  return m_contact.State() >= ContactState::Limited &&
         m_relayPool.HasHosts(aRegions);
}

bool
ForwarderImpl::NeedsFallback(TimePoint aNow,
                             const RunningForward& aForward,
                             const SubRequest& aSubRequest)
{
  if (aForward.m_fallbackFailed || aForward.m_request.m_relayedShards) {
    return false;
  }
  if (!UsesFallback(aForward.m_regions)) {
    return aNow >= NoFallbackUntil(*aSubRequest.m_group, aForward.m_regions) &&
           BackendPool::IsHeldByRest(aNow,
                                     *aSubRequest.m_group,
                                     aSubRequest.m_triedReplicas,
                                     aForward.m_regions) &&
           m_relayPool.HasHosts(aForward.m_regions);
  }
  return m_contact.State() == ContactState::Lost ||
         !ChooseReplica(aNow, aForward, aSubRequest, ReplicaTier::Draining);
}

void
ForwarderImpl::ProbeReplicas(TimePoint aNow)
{
  while (!m_probes.empty() && aNow - m_probes.begin()->second >= kProbeExpiry) {
    m_sink.AbortCopy(m_probes.begin()->first);
    m_probes.erase(m_probes.begin());
  }
  for (const ReplicaRecord& replica : m_pool.Sample(aNow, kProbes)) {
    const CopyId id = m_nextCopy++;
    m_probes.emplace(id, aNow);
    m_sink.ProbeReplica(id, replica, m_pool.HealthPathOf(replica.m_service));
  }
}

void
ForwarderImpl::RelayRunningRequests(TimePoint aNow)
{
  for (const ForwardId id : RunningIds()) {
    const auto running = m_running.find(id);
    if (running == m_running.end()) {
      continue;
    }
    RunningForward& forward = *running->second;
    const std::vector<std::uint32_t> indexes = PrepareFallback(aNow, forward);
    if (!indexes.empty()) {
      SendFallback(aNow, forward, indexes);
    }
  }
}

std::vector<std::uint32_t>
ForwarderImpl::PrepareFallback(TimePoint aNow, RunningForward& aForward)
{
  std::vector<std::uint32_t> indexes;
  for (std::uint32_t i = 0; i < aForward.m_subRequests.size(); ++i) {
    SubRequest& subRequest = aForward.m_subRequests[i];
    if ((subRequest.m_state != SubRequest::State::Running &&
         subRequest.m_state != SubRequest::State::Waiting) ||
        !NeedsFallback(aNow, aForward, subRequest)) {
      continue;
    }
    AbortUnsentCopies(subRequest);
    if (MayRepeat(aNow, aForward, subRequest, CopyReason::Hedge)) {
      MarkRelayed(aNow, subRequest);
      indexes.push_back(i);
    }
  }
  return indexes;
}

void
ForwarderImpl::MarkRelayed(TimePoint aNow, SubRequest& aSubRequest)
{
  if (aSubRequest.m_sent > 0) {
    aSubRequest.m_group->m_budget.AddRepeat(aNow);
  }
  aSubRequest.m_state = SubRequest::State::Relayed;
  aSubRequest.m_wasRelayed = true;
}

void
ForwarderImpl::SendFallback(TimePoint aNow,
                            RunningForward& aForward,
                            const std::vector<std::uint32_t>& aIndexes)
{
  RelayPool::Assignment assignment;
  if (aForward.m_fallbackHosts.size() < kMaxFallbackHosts) {
    assignment = m_relayPool.ChooseFallback(
      aNow, aForward.m_fallbackHosts, m_random, aForward.m_regions);
  }
  assignment.m_shards = aIndexes;
  if (!assignment.m_host) {
    LogDecision("relay_failed",
                aForward,
                {},
                {},
                "no other host serves",
                aNow - m_contact.StateSince());
    aForward.m_fallbackFailed = true;
    for (const std::uint32_t index : aIndexes) {
      NoFallbackUntil(*aForward.m_subRequests[index].m_group,
                      aForward.m_regions) = aNow + kNoFallbackTime;
    }
    if (m_contact.State() == ContactState::Lost) {
      FailRelayedSubRequests(aNow, aForward, aIndexes);
    } else {
      DispatchReturned(aNow, aForward, aIndexes);
    }
    return;
  }
  const std::string& host = assignment.m_host->m_record.m_id;
  aForward.m_fallbackHosts.push_back(host);
  ++m_counters.m_fallbackRelays;
  LogDecision("relay",
              aForward,
              assignment.m_group->m_name,
              host,
              UsesFallback({}) ? NameOf(m_contact.State())
                               : std::string_view("replicas rest"),
              aNow - m_contact.StateSince());
  SendRelay(aNow, aForward, assignment, RelayReason::Fallback);
}

void
ForwarderImpl::OnFallbackAnswered(TimePoint aNow,
                                  const ForwardCopy& aCopy,
                                  ReplicaAnswer&& aAnswer)
{
  PooledReplica& host = *aCopy.m_replica;
  // The answer of a single replica names the load of that replica.
  aAnswer.m_load.reset();
  if (aAnswer.m_hostUnavailable) {
    host.m_lastAnswerAt = aNow;
    BackendPool::BackOff(aNow, host, kDeclinedBackoff);
    m_relayPool.HostDeclined(aNow, host.m_record.m_dataCentre);
  } else if (!aAnswer.m_notRun) {
    const Duration latency = aNow - aCopy.m_sentAt.value_or(aCopy.m_startedAt);
    BackendPool::RecordAnswer(aNow, *aCopy.m_group, host, latency, aAnswer);
  }
  const auto running = m_running.find(aCopy.m_request);
  if (running == m_running.end()) {
    return;
  }
  RunningForward& forward = *running->second;
  if (aAnswer.m_notRun) {
    RetryFallback(aNow,
                  forward,
                  aCopy,
                  aAnswer.m_hostUnavailable ? "unavailable" : "refused");
    return;
  }
  if (!forward.m_request.m_route->m_gather) {
    OnSingleRelayAnswered(aNow, forward, aCopy, std::move(aAnswer));
    return;
  }
  OnGatheredRelayAnswered(aNow, forward, aCopy, std::move(aAnswer));
}

void
ForwarderImpl::OnSingleRelayAnswered(TimePoint aNow,
                                     RunningForward& aForward,
                                     const ForwardCopy& aCopy,
                                     ReplicaAnswer&& aAnswer)
{
  if (IsSuccess(aAnswer)) {
    OnSubRequestAnswered(
      aNow, aForward, aCopy.m_relayedSubRequests.front(), std::move(aAnswer));
    return;
  }
  if (!aAnswer.m_stamp.empty()) {
    SubRequest& subRequest = aForward.m_subRequests.front();
    subRequest.m_hasFailureAnswer = true;
    subRequest.m_answer = std::move(aAnswer);
  }
  FailRelayedSubRequests(aNow, aForward, aCopy.m_relayedSubRequests);
}

void
ForwarderImpl::RetryFallback(TimePoint aNow,
                             RunningForward& aForward,
                             const ForwardCopy& aCopy,
                             std::string_view aReason)
{
  OnRelayRefused(aNow, aForward, aCopy, aReason);
  std::vector<std::uint32_t> indexes;
  for (const std::uint32_t index : aCopy.m_relayedSubRequests) {
    if (aForward.m_subRequests[index].m_state == SubRequest::State::Relayed) {
      indexes.push_back(index);
    }
  }
  const bool again =
    std::any_of(indexes.begin(), indexes.end(), [&](std::uint32_t aIndex) {
      return NeedsFallback(aNow, aForward, aForward.m_subRequests[aIndex]);
    });
  if (again) {
    SendFallback(aNow, aForward, indexes);
    return;
  }
  DispatchReturned(aNow, aForward, indexes);
}

void
ForwarderImpl::DispatchReturned(TimePoint aNow,
                                RunningForward& aForward,
                                const std::vector<std::uint32_t>& aIndexes)
{
  const ForwardId request = aForward.m_request.m_id;
  for (const std::uint32_t index : aIndexes) {
    aForward.m_subRequests[index].m_state = SubRequest::State::Running;
    Retry(aNow, aForward, index);
    if (!m_running.contains(request)) {
      return;
    }
  }
}

} // namespace goldcrestkeel
