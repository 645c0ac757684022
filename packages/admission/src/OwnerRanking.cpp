#include <goldcrestkeel/admission/OwnerRanking.h>
#include <goldcrestkeel/core/StableHash.h>

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace goldcrestkeel {

std::vector<std::size_t>
RankOwners(const std::vector<OwnerCandidate>& aHosts, std::string_view aTenant)
{
  using Rank = std::tuple<double, std::uint64_t, std::string_view, std::size_t>;
  std::vector<Rank> ranked;
  ranked.reserve(aHosts.size());
  for (std::size_t i = 0; i < aHosts.size(); ++i) {
    ranked.emplace_back(-aHosts[i].m_cores,
                        RendezvousScore(aTenant, aHosts[i].m_id),
                        aHosts[i].m_id,
                        i);
  }
  const std::size_t count = std::min(kOwnerRanks, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end());
  std::vector<std::size_t> indices;
  for (std::size_t i = 0; i < count; ++i) {
    indices.push_back(std::get<3>(ranked[i]));
  }
  return indices;
}

} // namespace goldcrestkeel
