#include "ReplicaSelector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace goldcrestkeel {

namespace {

/** Time constant, in microseconds, with which a latency average decays, so that
 *  a replica that was slow is eventually tried again. */
constexpr double kLatencyTimeConstantUs = 10e6;
/** Time constant, in microseconds, with which a reported load decays. It is
 *  about the interval between two reports, after which a report says little. */
constexpr double kReportTimeConstantUs = 1e6;
/** Factor by which the predicted latency of a replica in the same data centre
 *  may exceed that of another replica before the other one is preferred. */
constexpr double kSameDataCentreFactor = 1.25;
/** Latency assumed before the first sample, in microseconds. It is below any
 *  real latency so that each replica is sampled early. */
constexpr double kUnsampledLatencyUs = 100;

double
ElapsedUs(TimePoint aNow, TimePoint aSince)
{
  return static_cast<double>((aNow - aSince).count());
}

class RoundRobin : public ReplicaSelector
{
public:
  ReplicaIndex Choose(TimePoint,
                      const ReplicaTable&,
                      std::span<const ReplicaIndex> aEligible,
                      std::uint32_t& aCursor,
                      RandomSource&) const override
  {
    return aEligible[aCursor++ % aEligible.size()];
  }
};

class LeastLoaded : public ReplicaSelector
{
public:
  ReplicaIndex Choose(TimePoint aNow,
                      const ReplicaTable& aTable,
                      std::span<const ReplicaIndex> aEligible,
                      std::uint32_t&,
                      RandomSource& aRandom) const override
  {
    const std::size_t count = aEligible.size();
    if (count == 1) {
      return aEligible.front();
    }
    const std::size_t first = aRandom.Below(count);
    const std::size_t second = (first + 1 + aRandom.Below(count - 1)) % count;
    ReplicaIndex best = aEligible[first];
    ReplicaIndex other = aEligible[second];
    if (!aTable[best].m_sameDataCentre) {
      // A replica in the same data centre replaces the first of the two random
      // choices.
      for (const ReplicaIndex index : aEligible) {
        if (aTable[index].m_sameDataCentre && index != other) {
          best = index;
          break;
        }
      }
    }
    if (Score(aNow, aTable[other]) < Score(aNow, aTable[best])) {
      std::swap(best, other);
    }
    return best;
  }

private:
  /** Predicted latency in microseconds, reduced for a replica in the same data
   *  centre. */
  static double Score(TimePoint aNow, const ReplicaState& aReplica)
  {
    double latency = kUnsampledLatencyUs;
    if (aReplica.m_latency > 0) {
      // Does not decay while a request is in flight, so that other requests do
      // not follow one that probes a slow replica.
      const bool decays = aReplica.m_inFlight == 0;
      latency = decays
                  ? aReplica.m_latency *
                      std::exp(-ElapsedUs(aNow, aReplica.m_latencyUpdatedAt) /
                               kLatencyTimeConstantUs)
                  : aReplica.m_latency;
    }
    const double otherLoad =
      aReplica.m_reportedLoad == 0
        ? 0
        : aReplica.m_reportedLoad *
            std::exp(-ElapsedUs(aNow, aReplica.m_loadReportedAt) /
                     kReportTimeConstantUs);
    const double load = aReplica.m_inFlight + otherLoad;
    // Requests queue only when all slots are occupied.
    const double slots = std::max<std::uint32_t>(aReplica.m_slots, 1);
    const double score = latency * std::max(1.0, (load + 1) / slots);
    return aReplica.m_sameDataCentre ? score / kSameDataCentreFactor : score;
  }
};

} // namespace

std::unique_ptr<ReplicaSelector>
MakeReplicaSelector(std::string_view aName)
{
  if (aName == "round_robin") {
    return std::make_unique<RoundRobin>();
  }
  return std::make_unique<LeastLoaded>();
}

} // namespace goldcrestkeel
