#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** A host that may own rate limits. */
struct OwnerCandidate
{
  std::string m_id;
  /** "IP:port" for messages of other hosts. */
  std::string m_address;
  /** CPU quota in processor cores. */
  double m_cores = 1;

  bool operator==(const OwnerCandidate&) const = default;
};

/** Number of hosts that may grant a tenant's tokens: the owner and the hosts
 *  that substitute for it, in order. */
inline constexpr std::size_t kOwnerRanks = 4;

/** Indices of the hosts with the kOwnerRanks highest ranks for aTenant, by
 *  rendezvous hashing over the hosts with the largest CPU share. Every host
 * with the same list computes the same ones. If only few hosts have the largest
 *  share, those of the next share follow. */
std::vector<std::size_t>
RankOwners(const std::vector<OwnerCandidate>& aHosts, std::string_view aTenant);

} // namespace goldcrestkeel
