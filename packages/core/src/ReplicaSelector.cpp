#include "ReplicaSelector.h"

namespace goldcrestkeel {

namespace {

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

} // namespace

std::unique_ptr<ReplicaSelector>
MakeReplicaSelector(std::string_view)
{
  return std::make_unique<RoundRobin>();
}

} // namespace goldcrestkeel
