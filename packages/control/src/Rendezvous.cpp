#include "Rendezvous.h"

#include <goldcrestkeel/core/StableHash.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

namespace goldcrestkeel {

void
RankHosts(std::string_view aKey, std::vector<std::string>& aHosts)
{
  std::vector<std::pair<std::uint64_t, std::string>> scored;
  scored.reserve(aHosts.size());
  for (std::string& host : aHosts) {
    const std::uint64_t score = RendezvousScore(aKey, host);
    scored.emplace_back(score, std::move(host));
  }
  std::sort(scored.begin(), scored.end(), std::greater<>());
  for (std::size_t i = 0; i < scored.size(); ++i) {
    aHosts[i] = std::move(scored[i].second);
  }
}

} // namespace goldcrestkeel
