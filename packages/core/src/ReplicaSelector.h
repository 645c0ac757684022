#pragma once

#include "ReplicaTable.h"

#include <goldcrestkeel/core/Random.h>

#include <memory>
#include <span>
#include <string_view>

namespace goldcrestkeel {

/** Selects one of the eligible replicas of a shard. */
class ReplicaSelector
{
public:
  virtual ~ReplicaSelector() = default;

  /** aEligible must not be empty. aCursor belongs to the shard and is kept
   *  between calls. */
  virtual ReplicaIndex Choose(TimePoint aNow,
                              const ReplicaTable& aTable,
                              std::span<const ReplicaIndex> aEligible,
                              std::uint32_t& aCursor,
                              RandomSource& aRandom) const = 0;
};

/** Returns the strategy "round_robin" or "least_loaded"; any other name selects
 *  "least_loaded". */
std::unique_ptr<ReplicaSelector>
MakeReplicaSelector(std::string_view aName);

} // namespace goldcrestkeel
