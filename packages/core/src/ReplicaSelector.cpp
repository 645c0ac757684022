#include "ReplicaSelector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace goldcrestkeel {

namespace {

/** A latency average fades with this time constant, so that a replica that
 *  was slow is tried again after some time. */
constexpr double kLatencyMemory = 10e6;
/** A reported load is worth little after the interval between two reports. */
constexpr double kReportMemory = 1e6;
/** A replica in the near data centre is chosen until its predicted latency
 *  exceeds that of another one by this factor. */
constexpr double kNearPreference = 1.25;
/** Latency assumed before the first sample: below any real one, so that each
 *  replica is sampled early. */
constexpr double kUnknownLatency = 100;

double
Age(TimePoint aNow, TimePoint aThen)
{
  return static_cast<double>((aNow - aThen).count());
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
    if (!aTable[best].m_nearDataCentre) {
      // The near replica takes the place of one of the two choices.
      for (const ReplicaIndex index : aEligible) {
        if (aTable[index].m_nearDataCentre && index != other) {
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
  /** Predicted latency in microseconds. */
  static double Score(TimePoint aNow, const ReplicaState& aReplica)
  {
    double latency = kUnknownLatency;
    if (aReplica.m_latency > 0) {
      // While one request tries a replica that was slow, the others must not
      // follow it.
      const bool fades = aReplica.m_inFlight == 0;
      latency =
        fades ? aReplica.m_latency *
                  std::exp(-Age(aNow, aReplica.m_latencyAt) / kLatencyMemory)
              : aReplica.m_latency;
    }
    const double others =
      aReplica.m_reportedLoad == 0
        ? 0
        : aReplica.m_reportedLoad *
            std::exp(-Age(aNow, aReplica.m_reportedAt) / kReportMemory);
    const double load = aReplica.m_inFlight + others;
    // Requests wait only when all slots are taken.
    const double slots = std::max<std::uint32_t>(aReplica.m_slots, 1);
    const double score = latency * std::max(1.0, (load + 1) / slots);
    return aReplica.m_nearDataCentre ? score / kNearPreference : score;
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
