#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** Sorts aHosts by descending rendezvous hash score for aKey. The score of a
 *  host does not depend on the other hosts, so removing a host keeps the order
 *  of the others. */
void
RankHosts(std::string_view aKey, std::vector<std::string>& aHosts);

} // namespace goldcrestkeel
