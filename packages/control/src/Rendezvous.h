#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** Orders aHosts by rendezvous hashing for aKey: each host has its own score,
 *  so that the loss of one host moves only its own place. */
void
RankHosts(std::string_view aKey, std::vector<std::string>& aHosts);

} // namespace goldcrestkeel
