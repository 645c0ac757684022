#pragma once

#include "ReplicaTable.h"

#include <goldcrestkeel/core/Random.h>

#include <memory>
#include <span>
#include <string_view>

namespace goldcrestkeel {

/** Chooses one of several replicas that may be used. */
class ReplicaSelector
{
public:
  virtual ~ReplicaSelector() = default;

  /** aEligible is not empty. aCursor belongs to the shard and keeps its value
   *  between calls. */
  virtual ReplicaIndex Choose(TimePoint aNow,
                              const ReplicaTable& aTable,
                              std::span<const ReplicaIndex> aEligible,
                              std::uint32_t& aCursor,
                              RandomSource& aRandom) const = 0;
};

/** Strategy with this name: "round_robin" or "least_loaded"; any other name
 *  gives "least_loaded". */
std::unique_ptr<ReplicaSelector>
MakeReplicaSelector(std::string_view aName);

} // namespace goldcrestkeel
