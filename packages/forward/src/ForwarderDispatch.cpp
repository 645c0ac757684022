#include "ForwarderImpl.h"

#include <algorithm>
#include <cmath>

namespace goldcrestkeel {

namespace {

/** Share of the recent copies of a route that are not late. */
constexpr double kLateQuantile = 0.92;
/** Bounds of the time after which a copy is late, as shares of the target. */
constexpr double kLateAtMost = 0.5;
constexpr double kLateBeforeSamples = 0.3;
/** A copy is never late before this time. */
constexpr Duration kLateAtLeast{ 8000 };
/** A replica is silent if a copy takes this long, or this multiple of the time
 *  after which it was late. */
constexpr Duration kSilentAtLeast{ 700000 };
constexpr int kSilentFactor = 6;
/** Part of the budget that only retries may use. */
constexpr double kRetryReserve = 0.25;
/** Copies beyond the attempts of the route, for those that replicas proved not
 *  to have run. */
constexpr std::uint32_t kExtraSends = 2;
/** Waiting requests look for a replica at each answer, and this often. */
constexpr Duration kLookAgain{ 20000 };
/** First pause after a replica was found to be silent. */
constexpr Duration kSilentBlock{ 250000 };

} // namespace

std::string
ForwarderImpl::ChooseService(const Route& aRoute)
{
  if (aRoute.m_services.size() == 1) {
    return aRoute.m_services.front().m_service;
  }
  // Smooth weighted round robin: each service earns its weight, the one with
  // the most credit is chosen and pays the sum of the weights.
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
  return best->m_service;
}

void
ForwarderImpl::Dispatch(TimePoint aNow,
                        RunningForward& aForward,
                        std::uint32_t aLeg,
                        CopyReason aReason)
{
  ForwardLeg& leg = aForward.m_legs[aLeg];
  const auto replica =
    m_pool.Choose(aNow, *leg.m_group, leg.m_tried, ReplicaTier::Leaving);
  if (replica) {
    SendTo(aNow, aForward, aLeg, replica, aReason);
    return;
  }
  if (BackendPool::IsServed(aNow, *leg.m_group, leg.m_tried)) {
    Wait(aNow, aForward, aLeg);
    return;
  }
  if (leg.m_copies.empty()) {
    LegFailed(aNow, aForward, aLeg);
  }
}

void
ForwarderImpl::SendTo(TimePoint aNow,
                      RunningForward& aForward,
                      std::uint32_t aLeg,
                      const std::shared_ptr<PooledReplica>& aReplica,
                      CopyReason aReason)
{
  ForwardLeg& leg = aForward.m_legs[aLeg];
  const CopyId id = m_nextCopy++;
  ForwardCopy copy;
  copy.m_request = aForward.m_request.m_id;
  copy.m_leg = aLeg;
  copy.m_group = leg.m_group;
  copy.m_replica = aReplica;
  copy.m_profile = &aForward.m_history->ProfileTo(*aReplica);
  copy.m_startedAt = aNow;
  copy.m_deadline = aForward.m_request.m_deadline;
  if (aForward.m_request.m_route->m_gather && !aForward.m_pastTarget) {
    // The answer leaves without this shard then, if others are enough; work on
    // it would only delay other requests.
    copy.m_deadline = std::min(copy.m_deadline, aForward.m_targetAt);
  }
  const TimePoint deadline = copy.m_deadline;
  m_copies.emplace(id, copy);
  ++aReplica->m_inFlight;
  leg.m_state = ForwardLeg::State::Running;
  leg.m_copies.push_back(id);
  leg.m_tried.push_back(aReplica->m_record.m_id);
  ++aForward.m_copies;
  ++m_counters.m_copies;
  if (leg.m_sent > 0) {
    // Counted before it is sent, so that no other copy takes its place in the
    // budget meanwhile.
    leg.m_group->m_budget.AddRepeat(aNow);
  }
  if (aReason == CopyReason::Hedge) {
    ++m_counters.m_hedges;
  } else if (aReason == CopyReason::Retry) {
    ++m_counters.m_retries;
  }
  if (aReason != CopyReason::First) {
    LogDecision("send",
                aForward,
                leg.m_group->m_name,
                aReplica->m_record.m_id,
                NameOf(aReason),
                aNow - aForward.m_startedAt);
  }
  AddTimer(aNow + LateAfter(aForward, copy), ForwardTimer::Late, id);
  m_sink.SendCopy(id, aForward.m_request.m_id, aReplica->m_record, deadline);
}

void
ForwarderImpl::Wait(TimePoint aNow,
                    RunningForward& aForward,
                    std::uint32_t aLeg)
{
  ForwardLeg& leg = aForward.m_legs[aLeg];
  if (leg.m_state == ForwardLeg::State::Waiting) {
    return;
  }
  leg.m_state = ForwardLeg::State::Waiting;
  const WaitingLeg entry{ aForward.m_request.m_route->m_priority,
                          aForward.m_request.m_deadline,
                          aForward.m_request.m_id,
                          aLeg };
  auto& waiting = leg.m_group->m_waiting;
  const auto after =
    std::find_if(waiting.begin(), waiting.end(), [&](const WaitingLeg& aOther) {
      return std::pair(aOther.m_priority, aOther.m_deadline) >
             std::pair(entry.m_priority, entry.m_deadline);
    });
  waiting.insert(after, entry);
  AddTimer(aNow + kLookAgain, ForwardTimer::Wait, aForward.m_request.m_id);
}

void
ForwarderImpl::SkipOverloaded(TimePoint aNow, RunningForward& aForward)
{
  std::vector<std::pair<double, std::uint32_t>> overloaded;
  std::uint32_t unserved = 0;
  for (std::uint32_t leg = 0; leg < aForward.m_legs.size(); ++leg) {
    const BackendGroup& group = *aForward.m_legs[leg].m_group;
    const double share = BackendPool::SkipShare(aNow, group);
    if (aForward.m_legs[leg].m_state == ForwardLeg::State::Relayed) {
      continue;
    }
    if (!BackendPool::IsServed(aNow, group, {})) {
      ++unserved;
    } else if (m_random.Unit() < share) {
      overloaded.emplace_back(share, leg);
    }
  }
  std::sort(overloaded.rbegin(), overloaded.rend());
  const std::uint32_t allowed = MayMiss(aForward);
  for (const auto& [share, leg] : overloaded) {
    if (aForward.m_failed + unserved >= allowed) {
      return;
    }
    aForward.m_legs[leg].m_state = ForwardLeg::State::Skipped;
    ++aForward.m_failed;
    LogDecision("skip_shard",
                aForward,
                aForward.m_legs[leg].m_group->m_name,
                {},
                "overloaded");
  }
}

void
ForwarderImpl::LookAgain(TimePoint aNow, ForwardId aRequest)
{
  const auto running = m_running.find(aRequest);
  if (running == m_running.end()) {
    return;
  }
  std::vector<BackendGroup*> groups;
  for (const ForwardLeg& leg : running->second->m_legs) {
    if (leg.m_state == ForwardLeg::State::Waiting) {
      groups.push_back(leg.m_group);
    }
  }
  if (groups.empty()) {
    return;
  }
  AddTimer(aNow + kLookAgain, ForwardTimer::Wait, aRequest);
  for (BackendGroup* group : groups) {
    // May end the request.
    ServeWaiting(aNow, *group);
  }
}

void
ForwarderImpl::ServeWaiting(TimePoint aNow, BackendGroup& aGroup)
{
  auto entry = aGroup.m_waiting.begin();
  while (entry != aGroup.m_waiting.end()) {
    const auto running = m_running.find(entry->m_request);
    if (running == m_running.end() ||
        running->second->m_legs[entry->m_leg].m_state !=
          ForwardLeg::State::Waiting) {
      entry = aGroup.m_waiting.erase(entry);
      continue;
    }
    RunningForward& forward = *running->second;
    ForwardLeg& leg = forward.m_legs[entry->m_leg];
    const auto replica =
      m_pool.Choose(aNow, aGroup, leg.m_tried, ReplicaTier::Leaving);
    if (!replica) {
      // Entries further back may have tried fewer replicas.
      if (leg.m_tried.empty()) {
        return;
      }
      ++entry;
      continue;
    }
    const std::uint32_t position = entry->m_leg;
    entry = aGroup.m_waiting.erase(entry);
    // Others may have used the budget while this one waited.
    if (!MayRepeat(aNow, forward, leg, CopyReason::Retry)) {
      LegFailed(aNow, forward, position);
      continue;
    }
    SendTo(aNow,
           forward,
           position,
           replica,
           leg.m_sent > 0 ? CopyReason::Retry : CopyReason::First);
  }
}

Duration
ForwarderImpl::LateAfter(const RunningForward& aForward,
                         const ForwardCopy& aCopy)
{
  const double target =
    static_cast<double>(aForward.m_request.m_route->m_target.count());
  const auto usual = aCopy.m_profile->Quantile(kLateQuantile);
  const Duration late = usual.value_or(
    Duration(static_cast<Duration::rep>(kLateBeforeSamples * target)));
  const Duration most(static_cast<Duration::rep>(kLateAtMost * target));
  return std::max(kLateAtLeast, std::min(late, most));
}

bool
ForwarderImpl::MayRepeat(TimePoint aNow,
                         const RunningForward& aForward,
                         const ForwardLeg& aLeg,
                         CopyReason aReason)
{
  const Route& route = *aForward.m_request.m_route;
  const std::uint32_t mayHaveRun = aLeg.m_sent - aLeg.m_notRun;
  if (aLeg.m_sent == 0) {
    return true;
  }
  if (mayHaveRun > 0 && !route.m_idempotent) {
    return false;
  }
  if (mayHaveRun >= route.m_attempts ||
      aLeg.m_sent >= route.m_attempts + kExtraSends) {
    return false;
  }
  const double reserve = aReason == CopyReason::Hedge ? kRetryReserve : 0;
  return aLeg.m_group->m_budget.Allows(aNow, reserve);
}

void
ForwarderImpl::Retry(TimePoint aNow,
                     RunningForward& aForward,
                     std::uint32_t aLeg)
{
  ForwardLeg& leg = aForward.m_legs[aLeg];
  if (leg.m_state != ForwardLeg::State::Running || !leg.m_copies.empty()) {
    return;
  }
  if (MayRepeat(aNow, aForward, leg, CopyReason::Retry)) {
    Dispatch(aNow,
             aForward,
             aLeg,
             leg.m_sent > 0 ? CopyReason::Retry : CopyReason::Move);
  } else {
    LegFailed(aNow, aForward, aLeg);
  }
}

void
ForwarderImpl::CopyIsLate(TimePoint aNow, CopyId aCopy)
{
  const auto found = m_copies.find(aCopy);
  if (found == m_copies.end()) {
    return;
  }
  ForwardCopy& copy = found->second;
  const Duration age = aNow - copy.m_startedAt;
  if (copy.IsRelay() && (!copy.m_sentAt || aNow < copy.m_relayTargetAt)) {
    RelayIsLate(aNow, aCopy);
    return;
  }
  if (!copy.m_late) {
    copy.m_late = true;
    ++copy.m_replica->m_late;
    AddTimer(copy.m_startedAt + std::max(kSilentAtLeast, age * kSilentFactor),
             ForwardTimer::Silent,
             aCopy);
  }
  const auto running = m_running.find(copy.m_request);
  if (running == m_running.end() || copy.m_abandoned || copy.IsRelay()) {
    return;
  }
  RunningForward& forward = *running->second;
  const std::uint32_t position = copy.m_leg;
  ForwardLeg& leg = forward.m_legs[position];
  if (leg.m_state != ForwardLeg::State::Running) {
    return;
  }
  const auto other =
    m_pool.Choose(aNow, *leg.m_group, leg.m_tried, ReplicaTier::Doubtful);
  if (!copy.m_sentAt) {
    if (other) {
      BackendPool::Block(aNow, *copy.m_replica, kUnreachableBlock);
      EndCopy(aCopy);
      m_sink.AbortCopy(aCopy);
      SendTo(aNow, forward, position, other, CopyReason::Move);
    }
    return;
  }
  if (leg.m_copies.size() > 1 || !other ||
      !forward.m_request.m_route->m_idempotent) {
    return;
  }
  if (!MayRepeat(aNow, forward, leg, CopyReason::Hedge)) {
    ++m_counters.m_hedgesWithoutBudget;
    LogDecision("no_hedge",
                forward,
                copy.m_group->m_name,
                copy.m_replica->m_record.m_id,
                "attempts or budget used",
                age);
    return;
  }
  SendTo(aNow, forward, position, other, CopyReason::Hedge);
}

void
ForwarderImpl::CopyIsSilent(TimePoint aNow, CopyId aCopy)
{
  const auto found = m_copies.find(aCopy);
  if (found == m_copies.end()) {
    return;
  }
  PooledReplica& replica = *found->second.m_replica;
  if (replica.m_heardAt > found->second.m_startedAt) {
    return;
  }
  if (!replica.m_silent) {
    const auto running = m_running.find(found->second.m_request);
    if (running != m_running.end()) {
      LogDecision("replica_silent",
                  *running->second,
                  found->second.m_group->m_name,
                  replica.m_record.m_id,
                  "no answer",
                  aNow - replica.m_heardAt);
    }
  }
  replica.m_silent = true;
  BackendPool::Block(aNow, replica, kSilentBlock);
}

} // namespace goldcrestkeel
