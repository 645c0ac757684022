#include "ForwarderImpl.h"

#include <algorithm>

namespace goldcrestkeel {

namespace {

/** Longest time until a replica that has failed is checked again, before a
 *  random part of up to kCheckJitter of it: from 62 hosts on, kCheckTimePerHost
 *  for each, so that a replica gets about a hundred health checks a second. */
constexpr Duration kMinCheckInterval{ 500000 };
constexpr Duration kCheckTimePerHost{ 8000 };
constexpr Duration kMaxCheckInterval{ 2000000 };
constexpr double kCheckJitter = 0.5;
/** A health check without an answer is ended after this time; replicas pause
 * for 250 ms. */
constexpr Duration kCheckExpiry{ 1000000 };
/** Part of its target, in percent, that a request waits for the slow start of a
 *  replica. After it, it is sent if no limit forbids it. */
constexpr int kMaxPaceWaitPercent = 25;

bool
IsHealthy(const HealthCheck& aCheck, const ReplicaAnswer& aAnswer)
{
  const bool another = !aAnswer.m_instance.empty() &&
                       aAnswer.m_instance != aCheck.m_replica->m_record.m_id;
  return !another && aAnswer.m_status >= 200 && aAnswer.m_status <= 299;
}

} // namespace

void
ForwarderImpl::BackOff(TimePoint aNow,
                       BackendGroup& aGroup,
                       const std::shared_ptr<PooledReplica>& aReplica,
                       Duration aFirst)
{
  BackendPool::BackOff(aNow, *aReplica, aFirst);
  if (aGroup.m_warmupTime > Duration(0)) {
    PlanHealthCheck(aNow, aGroup, aReplica);
  }
}

void
ForwarderImpl::PlanHealthCheck(TimePoint aNow,
                               BackendGroup& aGroup,
                               const std::shared_ptr<PooledReplica>& aReplica)
{
  if (aReplica->m_checkPending) {
    return;
  }
  aReplica->m_checkPending = true;
  const Duration longest = std::clamp(kCheckTimePerHost * m_pool.LiveHosts(),
                                      kMinCheckInterval,
                                      kMaxCheckInterval);
  const Duration left = aReplica->m_backoffUntil - aNow;
  const auto interval = static_cast<double>(
    (left > Duration(0) ? std::min(left, longest) : longest).count());
  const CopyId id = m_nextCopy++;
  m_healthChecks.emplace(id, HealthCheck{ &aGroup, aReplica, false });
  AddTimer(aNow + Duration(static_cast<Duration::rep>(
                    interval * (1 + kCheckJitter * m_random.Unit()))),
           ForwardTimer::HealthCheck,
           id);
}

void
ForwarderImpl::OnHealthCheckTimer(TimePoint aNow, CopyId aCheck)
{
  const auto node = m_healthChecks.extract(aCheck);
  if (!node) {
    return;
  }
  HealthCheck& check = node.mapped();
  PooledReplica& replica = *check.m_replica;
  replica.m_checkPending = false;
  if (check.m_sent) {
    m_sink.AbortCopy(aCheck);
  }
  if (!replica.m_listed || replica.m_replaced || !replica.IsProbed()) {
    return;
  }
  // A check opens a connection, so none is sent while the host has one in use
  // there. It does not count as in flight: if there is no other replica, a
  // request must not be refused for it. While this host reaches no replica, its
  // probes of contact are enough.
  if (check.m_sent || replica.m_inFlight > 0 ||
      m_contact.State() >= ContactState::Limited) {
    PlanHealthCheck(aNow, *check.m_group, check.m_replica);
    return;
  }
  const CopyId id = m_nextCopy++;
  replica.m_checkPending = true;
  check.m_sent = true;
  m_healthChecks.emplace(id, check);
  ++m_counters.m_replicaChecks;
  AddTimer(aNow + kCheckExpiry, ForwardTimer::HealthCheck, id);
  m_sink.ProbeReplica(
    id, replica.m_record, m_pool.HealthPathOf(replica.m_record.m_service));
}

bool
ForwarderImpl::EndHealthCheck(TimePoint aNow,
                              CopyId aCheck,
                              const ReplicaAnswer* aAnswer)
{
  const auto node = m_healthChecks.extract(aCheck);
  if (!node) {
    return false;
  }
  const HealthCheck& check = node.mapped();
  PooledReplica& replica = *check.m_replica;
  replica.m_checkPending = false;
  if (!replica.IsProbed()) {
    return true;
  }
  if (aAnswer && IsHealthy(check, *aAnswer)) {
    m_pool.RecordCheck(aNow, *check.m_group, replica, *aAnswer);
    DispatchWaiting(aNow, *check.m_group);
  } else {
    PlanHealthCheck(aNow, *check.m_group, check.m_replica);
  }
  return true;
}

ReplicaTier
ForwarderImpl::WorstTier(TimePoint aNow,
                         const RunningForward& aForward,
                         const SubRequest& aSubRequest)
{
  const Duration target = aForward.m_request.m_route->m_target;
  const bool mayWait =
    aNow < aForward.m_startedAt + target * kMaxPaceWaitPercent / 100;
  return mayWait && BackendPool::HasPacedReplica(aNow,
                                                 *aSubRequest.m_group,
                                                 aSubRequest.m_triedReplicas,
                                                 aForward.m_regions)
           ? ReplicaTier::Degraded
           : ReplicaTier::Draining;
}

void
ForwarderImpl::OnPaceChanged(const ReplicaPaceReport& aReport)
{
  m_counters.m_slowStarts += aReport.m_pace == ReplicaPace::SlowStart ? 1 : 0;
  m_counters.m_coldReplicas += aReport.m_pace == ReplicaPace::Cold ? 1 : 0;
  m_sink.LogReplicaPace(aReport);
}

} // namespace goldcrestkeel
