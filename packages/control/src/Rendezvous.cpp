#include "Rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace goldcrestkeel {

namespace {

/** 64-bit FNV-1a with a final mix. It must give the same value on every host
 *  and in every build, which std::hash does not promise. */
std::uint64_t
Score(std::string_view aKey, std::string_view aHost)
{
  std::uint64_t hash = 0xcbf29ce484222325U;
  const auto add = [&](std::string_view aText) {
    for (char c : aText) {
      hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3U;
    }
  };
  add(aKey);
  add("/");
  add(aHost);
  hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccdU;
  hash = (hash ^ (hash >> 33)) * 0xc4ceb9fe1a85ec53U;
  return hash ^ (hash >> 33);
}

} // namespace

void
RankHosts(std::string_view aKey, std::vector<std::string>& aHosts)
{
  std::vector<std::pair<std::uint64_t, std::string>> scored;
  scored.reserve(aHosts.size());
  for (std::string& host : aHosts) {
    const std::uint64_t score = Score(aKey, host);
    scored.emplace_back(score, std::move(host));
  }
  std::sort(scored.begin(), scored.end(), std::greater<>());
  for (std::size_t i = 0; i < scored.size(); ++i) {
    aHosts[i] = std::move(scored[i].second);
  }
}

} // namespace goldcrestkeel
