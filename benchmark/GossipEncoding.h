#pragma once

#include <goldcrestkeel/control/Membership.h>

#include <peer_types.h>

namespace goldcrestkeel::benchmark {

/** Membership messages as Thrift types and back. Entries with an unknown state
 *  are left out; negative numbers count as 0. */
peer::Gossip
ToThrift(const GossipMessage& aMessage);
GossipMessage
FromThrift(const peer::Gossip& aGossip);

} // namespace goldcrestkeel::benchmark
