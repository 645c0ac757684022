#include "BackendPool.h"

#include <algorithm>
#include <cmath>

namespace goldcrestkeel {

namespace {

/** Weight of one sample in the average latency of a replica. */
constexpr double kLatencyWeight = 0.2;
/** Samples are capped at this multiple of the average: a pause of a replica is
 *  over when its answer arrives and does not predict the next latency. */
constexpr double kMaxSampleRatio = 3;
/** Time constants of the decay of a replica's latency and load; a replica that
 *  was slow is tried again after it. */
constexpr double kLatencyTimeConstantUs = 5e6;
constexpr double kLoadTimeConstantUs = 300e3;
/** A replica that reports more waiting requests per slot than this counts as
 *  full while the report is valid. */
constexpr std::uint32_t kLongQueuePerSlot = 3;
constexpr Duration kLoadReportValid{ 60000 };
/** Backoff after a replica refused a request. */
constexpr Duration kFullBackoff{ 20000 };
/** Pauses of single replicas make about 5 % of the requests miss a shard; above
 *  this miss rate the shard counts as overloaded. */
constexpr double kOverloadMissRate = 0.15;
/** Skip probability per unit of miss rate, and its maximum. */
constexpr double kSkipFactor = 1.2;
constexpr double kMaxSkipProbability = 0.85;
/** Failure rate above which other replicas are preferred. */
constexpr double kDegradedFailureRate = 0.3;
/** Score penalty per unit of failure rate. */
constexpr double kFailurePenalty = 6;
/** Score factor of a replica that is warming up. */
constexpr double kWarmupFactor = 1.6;
/** Score factors of replicas in other data centres: traffic to them costs more,
 *  and most between regions. */
constexpr double kSameRegionFactor = 1.5;
constexpr double kOtherRegionFactor = 2.4;
/** Slowdown of a request by each concurrent request per slot, as a fraction of
 *  the latency. */
constexpr double kConcurrencyFactor = 0.3;
/** Random part of a score, so that hosts do not all select the same replica. */
constexpr double kScoreNoise = 0.1;
/** Latency that is assumed before the first answer, in microseconds. */
constexpr double kInitialLatencyUs = 20000;
/** Additional latency that is assumed for a replica of another data centre
 *  before its first answer, in microseconds. */
constexpr double kRemoteLatencyUs = 10000;
/** Maximum backoff until an unresponsive replica is probed again. */
constexpr Duration kMaxBackoff{ 2000000 };

double
DistanceFactor(Distance aDistance)
{
  switch (aDistance) {
    case Distance::SameDataCentre:
      return 1;
    case Distance::SameRegion:
      return kSameRegionFactor;
    case Distance::OtherRegion:
      return kOtherRegionFactor;
  }
  return 1;
}

// Waiting here instead of at the replica keeps requests free to go to another
// replica or to be skipped.
bool
HasLongQueue(TimePoint aNow, const PooledReplica& aReplica)
{
  if (aNow < aReplica.m_fullUntil) {
    return true;
  }
  return aNow - aReplica.m_loadReportedAt < kLoadReportValid &&
         aReplica.m_load.m_waiting >
           kLongQueuePerSlot * std::max(1U, aReplica.m_load.m_slots);
}

bool
Contains(const std::vector<std::string>& aIds, const std::string& aId)
{
  return std::find(aIds.begin(), aIds.end(), aId) != aIds.end();
}

} // namespace

BackendPool::BackendPool(const ForwarderOptions& aOptions,
                         RandomSource& aRandom)
  : m_options(aOptions)
  , m_random(aRandom)
{
}

void
BackendPool::SetTable(TimePoint aNow, const RoutingTable& aTable)
{
  for (const auto& [name, service] : aTable.m_services) {
    m_services[name] = service;
    BackendGroup& group = Group(name);
    UpdateShares(group);
    for (const auto& replica : group.m_replicas) {
      replica->m_warmup.SetRate(aNow, service.m_warmupPerSecond, m_random);
    }
  }
  m_hasTenants = aTable.m_hasTenants;
  for (const auto& [name, group] : m_groups) {
    group->m_waiting.SetSharing(m_hasTenants);
  }
}

BackendGroup&
BackendPool::Group(const std::string& aService)
{
  std::unique_ptr<BackendGroup>& group = m_groups[aService];
  if (!group) {
    group = std::make_unique<BackendGroup>(aService, m_options);
    UpdateShares(*group);
    group->m_waiting.SetSharing(m_hasTenants);
  }
  return *group;
}

ReplicaTier
BackendPool::TierOf(TimePoint aNow, const PooledReplica& aReplica)
{
  return aReplica.m_notices.IsResting(aNow) ? ReplicaTier::Unavailable
                                            : TierWithoutRest(aNow, aReplica);
}

ReplicaTier
BackendPool::TierWithoutRest(TimePoint aNow, const PooledReplica& aReplica)
{
  const bool probing = aReplica.IsProbed();
  if (aReplica.m_evacuated || aReplica.m_replaced ||
      aNow < aReplica.m_backoffUntil ||
      (probing && aReplica.m_inFlight > aReplica.m_lateCopies)) {
    return ReplicaTier::Unavailable;
  }
  if (aReplica.m_usableUntil && aNow >= *aReplica.m_usableUntil) {
    return ReplicaTier::Unavailable;
  }
  if (aReplica.m_openConnectionsOnly &&
      aReplica.m_inFlight >= aReplica.m_openConnections) {
    return aReplica.m_openConnections == 0 ? ReplicaTier::Unavailable
                                           : ReplicaTier::Full;
  }
  if (aReplica.m_inFlight >= aReplica.m_maxInFlight ||
      HasLongQueue(aNow, aReplica) || !aReplica.m_requestLimit.Allows(aNow) ||
      !aReplica.m_warmup.Allows(aNow)) {
    return probing ? ReplicaTier::Unavailable : ReplicaTier::Full;
  }
  if (aReplica.m_usableUntil) {
    return ReplicaTier::Draining;
  }
  if (!aReplica.m_slowStart.Allows(aNow, aReplica.m_inFlight)) {
    return ReplicaTier::Paced;
  }
  const double failures = aReplica.m_failureRate.At(aNow);
  if (aReplica.m_lateCopies > 0 || probing || failures > kDegradedFailureRate) {
    return ReplicaTier::Degraded;
  }
  return ReplicaTier::Healthy;
}

std::shared_ptr<PooledReplica>
BackendPool::Choose(TimePoint aNow,
                    const BackendGroup& aGroup,
                    const std::vector<std::string>& aExclude,
                    ReplicaTier aWorst,
                    const RegionFilter& aRegions)
{
  std::shared_ptr<PooledReplica> best;
  ReplicaTier bestTier = aWorst;
  double bestScore = 0;
  for (const auto& replica : aGroup.m_replicas) {
    const ReplicaTier tier = TierOf(aNow, *replica);
    if (tier > bestTier || Contains(aExclude, replica->m_record.m_id) ||
        !aRegions.Allows(replica->m_region)) {
      continue;
    }
    const double score = Score(aNow, aGroup, *replica);
    if (!best || tier < bestTier || score < bestScore) {
      best = replica;
      bestTier = tier;
      bestScore = score;
    }
  }
  return best;
}

bool
BackendPool::HasUsableReplica(TimePoint aNow,
                              const BackendGroup& aGroup,
                              const std::vector<std::string>& aExclude,
                              const RegionFilter& aRegions)
{
  return std::any_of(aGroup.m_replicas.begin(),
                     aGroup.m_replicas.end(),
                     [&](const std::shared_ptr<PooledReplica>& aReplica) {
                       return TierOf(aNow, *aReplica) !=
                                ReplicaTier::Unavailable &&
                              !Contains(aExclude, aReplica->m_record.m_id) &&
                              aRegions.Allows(aReplica->m_region);
                     });
}

bool
BackendPool::IsHeldByRest(TimePoint aNow,
                          const BackendGroup& aGroup,
                          const std::vector<std::string>& aExclude,
                          const RegionFilter& aRegions)
{
  bool held = false;
  for (const auto& replica : aGroup.m_replicas) {
    if (Contains(aExclude, replica->m_record.m_id) ||
        !aRegions.Allows(replica->m_region) ||
        TierWithoutRest(aNow, *replica) == ReplicaTier::Unavailable) {
      continue;
    }
    if (!replica->m_notices.IsResting(aNow)) {
      return false;
    }
    held = true;
  }
  return held;
}

bool
BackendPool::HasListedReplica(const BackendGroup& aGroup)
{
  return std::any_of(aGroup.m_replicas.begin(),
                     aGroup.m_replicas.end(),
                     [](const std::shared_ptr<PooledReplica>& aReplica) {
                       return !aReplica->m_usableUntil && !aReplica->m_replaced;
                     });
}

Duration
BackendPool::ExpectedLatency(TimePoint aNow,
                             const BackendGroup& aGroup,
                             const PooledReplica& aReplica) const
{
  const double average =
    aGroup.m_latency > 0 ? aGroup.m_latency : kInitialLatencyUs;
  double latency = average;
  if (aReplica.m_latency > 0) {
    latency += Decayed(aReplica.m_latency - average,
                       aNow - aReplica.m_latencyAt,
                       kLatencyTimeConstantUs);
  } else if (aReplica.m_distance != Distance::SameDataCentre) {
    latency += kRemoteLatencyUs;
  }
  const double reported = static_cast<double>(aReplica.m_load.m_running) +
                          static_cast<double>(aReplica.m_load.m_waiting) -
                          static_cast<double>(aReplica.m_inFlightAtReport);
  const double otherLoad = Decayed(std::max(0.0, reported),
                                   aNow - aReplica.m_loadReportedAt,
                                   kLoadTimeConstantUs);
  const double slots = std::max(1U, aReplica.m_record.m_slots);
  // A request queues once all slots are busy. Below that, replicas still slow
  // down as their load grows.
  const double load = aReplica.m_inFlight + otherLoad;
  const double queued = std::max(0.0, load + 1 - slots);
  const double expected =
    latency * (1 + queued / slots + kConcurrencyFactor * load / slots);
  return Duration(static_cast<Duration::rep>(expected));
}

double
BackendPool::Score(TimePoint aNow,
                   const BackendGroup& aGroup,
                   const PooledReplica& aReplica)
{
  const double expected =
    static_cast<double>(ExpectedLatency(aNow, aGroup, aReplica).count());
  const double failures = aReplica.m_failureRate.At(aNow);
  const double warmup = aReplica.m_warmup.IsCold(aNow) ? kWarmupFactor : 1;
  // Unused permits of a request limit expire, and replicas without a limit have
  // to take the rest.
  const double distance = aReplica.m_requestLimit.PerSecond()
                            ? 1
                            : DistanceFactor(aReplica.m_distance);
  return expected * distance * (1 + kFailurePenalty * failures) * warmup *
         (1 + kScoreNoise * m_random.Unit());
}

void
BackendPool::RecordAnswer(TimePoint aNow,
                          BackendGroup& aGroup,
                          PooledReplica& aReplica,
                          Duration aLatency,
                          const ReplicaAnswer& aAnswer)
{
  aReplica.m_lastAnswerAt = aNow;
  aReplica.m_hasAnswered = true;
  aReplica.m_unresponsive = false;
  aReplica.m_backoffs = 0;
  aReplica.m_backoffUntil = aNow;
  if (aAnswer.m_load) {
    aReplica.m_load = *aAnswer.m_load;
    aReplica.m_inFlightAtReport = aReplica.m_inFlight;
    aReplica.m_loadReportedAt = aNow;
  }
  if (aAnswer.m_notRun) {
    aReplica.m_fullUntil = aNow + kFullBackoff;
    return;
  }
  double sample = static_cast<double>(aLatency.count());
  if (aAnswer.m_load && aAnswer.m_load->m_slots > 0) {
    // Removes the queueing time: assumes that the queue was as long when the
    // request arrived as it is now.
    sample /= 1 + static_cast<double>(aAnswer.m_load->m_waiting) /
                    aAnswer.m_load->m_slots;
  }
  if (aReplica.m_latency > 0) {
    sample = std::min(sample, kMaxSampleRatio * aReplica.m_latency);
    aReplica.m_latency += kLatencyWeight * (sample - aReplica.m_latency);
  } else {
    aReplica.m_latency = sample;
  }
  aReplica.m_latencyAt = aNow;
  if (aGroup.m_latency > 0) {
    aGroup.m_latency += kLatencyWeight / 3 * (sample - aGroup.m_latency);
  } else {
    aGroup.m_latency = sample;
  }
}

double
BackendPool::SkipProbability(TimePoint aNow, const BackendGroup& aGroup)
{
  const double missed = aGroup.m_missRate.At(aNow);
  return missed < kOverloadMissRate
           ? 0
           : std::min(kMaxSkipProbability, kSkipFactor * missed);
}

void
BackendPool::BackOff(TimePoint aNow, PooledReplica& aReplica, Duration aFirst)
{
  const Duration backoff =
    std::min(kMaxBackoff, aFirst * (1U << std::min(aReplica.m_backoffs, 4U)));
  ++aReplica.m_backoffs;
  aReplica.m_checkAnswered = false;
  aReplica.m_backoffUntil = aNow + backoff;
}

} // namespace goldcrestkeel
