#include "BackendPool.h"

#include <algorithm>
#include <array>

namespace goldcrestkeel {

namespace {

/** A slow start is over once all hosts together may give a replica this many
 *  concurrent requests for each slot, and it still answers in the usual time.
 */
constexpr double kLastPerSlot = 2;
/** Lowest status of an answer that counts as failed. */
constexpr int kServerError = 500;

constexpr std::array<std::string_view, 3> kReplicaPaces{ "usual",
                                                         "slow_start",
                                                         "cold" };

} // namespace

std::string_view
NameOf(ReplicaPace aPace)
{
  return kReplicaPaces.at(static_cast<std::size_t>(aPace));
}

SlowStartPlan
BackendPool::SlowStartPlanOf(const BackendGroup& aGroup,
                             const PooledReplica& aReplica) const
{
  // Concurrent requests of this host if all hosts together fill the slots.
  const double shareOfSlots =
    ShareOf(aReplica) * std::max(1U, aReplica.m_record.m_slots);
  const double usual =
    aReplica.m_latency > 0 ? aReplica.m_latency : aGroup.m_latency;
  SlowStartPlan plan;
  plan.m_first = std::min(1.0, shareOfSlots);
  plan.m_last = std::min<double>(aReplica.m_maxInFlight,
                                 std::max(1.0, kLastPerSlot * shareOfSlots));
  plan.m_usualLatency = Duration(static_cast<Duration::rep>(usual));
  return plan;
}

void
BackendPool::BeginSlowStart(TimePoint aNow,
                            const BackendGroup& aGroup,
                            PooledReplica& aReplica,
                            std::string_view aReason)
{
  if (aGroup.m_warmupTime <= Duration(0)) {
    return;
  }
  aReplica.m_slowStart.Begin(aNow, SlowStartPlanOf(aGroup, aReplica), m_random);
  ReportPace(aNow, aGroup, aReplica, ReplicaPace::SlowStart, aReason);
}

void
BackendPool::SetColdUntil(TimePoint aNow,
                          const BackendGroup& aGroup,
                          PooledReplica& aReplica,
                          TimePoint aUntil,
                          std::string_view aReason)
{
  const bool wasCold = aReplica.m_warmup.IsCold(aNow);
  aReplica.m_warmup.SetColdUntil(aNow, aUntil, m_random);
  const bool isCold = aReplica.m_warmup.IsCold(aNow);
  if (!wasCold && !isCold) {
    return;
  }
  if (aGroup.m_warmupTime > Duration(0)) {
    aReplica.m_slowStart.BeginAt(
      std::max(aNow, aUntil), SlowStartPlanOf(aGroup, aReplica), m_random);
  }
  if (wasCold != isCold) {
    ReportPace(aNow,
               aGroup,
               aReplica,
               isCold ? ReplicaPace::Cold : ReplicaPace::SlowStart,
               aReason);
  }
}

void
BackendPool::UpdateWarmup(TimePoint aNow,
                          const BackendGroup& aGroup,
                          PooledReplica& aReplica,
                          bool aStarted)
{
  const auto service = m_services.find(aGroup.m_name);
  if (service != m_services.end()) {
    aReplica.m_warmup.SetRate(
      aNow, service->second.m_warmupPerSecond, m_random);
  }
  const bool paced = aStarted && aGroup.m_warmupTime > Duration(0);
  // The first entry of an instance may have been written before its warm-up
  // began.
  const Duration left =
    paced ? std::max(aReplica.m_record.m_warmupLeft, aGroup.m_warmupTime)
          : aReplica.m_record.m_warmupLeft;
  if (paced) {
    BeginSlowStart(aNow, aGroup, aReplica, "started");
  }
  SetColdUntil(
    aNow, aGroup, aReplica, aNow + left, paced ? "started" : "entry");
}

void
BackendPool::RecordPace(TimePoint aNow,
                        BackendGroup& aGroup,
                        PooledReplica& aReplica,
                        Duration aLatency,
                        const ReplicaAnswer& aAnswer,
                        bool aHasRecovered)
{
  if (aAnswer.m_warmupLeft) {
    SetColdUntil(
      aNow, aGroup, aReplica, aNow + *aAnswer.m_warmupLeft, "answer");
  }
  if (aHasRecovered) {
    BeginSlowStart(aNow, aGroup, aReplica, "recovered");
    return;
  }
  if (aAnswer.m_notRun || aAnswer.m_status >= kServerError) {
    aReplica.m_slowStart.OnFailed(aNow);
  } else {
    aReplica.m_slowStart.OnAnswered(aNow, aLatency);
  }
  const bool slow = aReplica.m_slowStart.IsOn(aNow);
  const ReplicaPace pace = aReplica.m_warmup.IsCold(aNow) ? ReplicaPace::Cold
                           : slow ? ReplicaPace::SlowStart
                                  : ReplicaPace::Usual;
  if (pace != aReplica.m_loggedPace) {
    ReportPace(aNow,
               aGroup,
               aReplica,
               pace,
               pace == ReplicaPace::Usual ? "answers in time" : "warm-up over");
  }
}

void
BackendPool::RecordCheck(TimePoint aNow,
                         BackendGroup& aGroup,
                         PooledReplica& aReplica,
                         const ReplicaAnswer& aAnswer)
{
  aReplica.m_checkAnswered = true;
  aReplica.m_backoffUntil = std::min(aReplica.m_backoffUntil, aNow);
  BeginSlowStart(aNow, aGroup, aReplica, "check answered");
  if (aAnswer.m_warmupLeft) {
    SetColdUntil(
      aNow, aGroup, aReplica, aNow + *aAnswer.m_warmupLeft, "check answered");
  }
}

void
BackendPool::RecordWarmup(TimePoint aNow,
                          const std::string& aId,
                          Duration aLeft)
{
  const auto found = m_byId.find(aId);
  if (found != m_byId.end()) {
    PooledReplica& replica = *found->second;
    SetColdUntil(aNow,
                 Group(replica.m_record.m_service),
                 replica,
                 aNow + aLeft,
                 "probe answered");
  }
}

bool
BackendPool::HasPacedReplica(TimePoint aNow,
                             const BackendGroup& aGroup,
                             const std::vector<std::string>& aExclude,
                             const RegionFilter& aRegions)
{
  return aGroup.m_warmupTime > Duration(0) &&
         std::any_of(aGroup.m_replicas.begin(),
                     aGroup.m_replicas.end(),
                     [&](const std::shared_ptr<PooledReplica>& aReplica) {
                       return TierOf(aNow, *aReplica) == ReplicaTier::Paced &&
                              aRegions.Allows(aReplica->m_region) &&
                              std::find(aExclude.begin(),
                                        aExclude.end(),
                                        aReplica->m_record.m_id) ==
                                aExclude.end();
                     });
}

void
BackendPool::ReportPace(TimePoint aNow,
                        const BackendGroup& aGroup,
                        PooledReplica& aReplica,
                        ReplicaPace aPace,
                        std::string_view aReason) const
{
  aReplica.m_loggedPace = aPace;
  if (!m_paceObserver) {
    return;
  }
  ReplicaPaceReport report;
  report.m_pace = aPace;
  report.m_service = aGroup.m_name;
  report.m_replica = aReplica.m_record.m_id;
  report.m_reason = aReason;
  report.m_age = aNow - aReplica.m_lastAnswerAt;
  if (aPace == ReplicaPace::Cold) {
    const auto service = m_services.find(aGroup.m_name);
    if (service != m_services.end() && service->second.m_warmupPerSecond > 0) {
      report.m_limit = service->second.m_warmupPerSecond;
    }
    report.m_left = aReplica.m_warmup.ColdUntil() - aNow;
  } else if (aReplica.m_slowStart.IsOn(aNow)) {
    report.m_limit = aReplica.m_slowStart.Limit(aNow);
  }
  m_paceObserver(report);
}

} // namespace goldcrestkeel
