#pragma once

#include <goldcrestkeel/control/CommandGuard.h>
#include <goldcrestkeel/control/Membership.h>

#include <peer_types.h>

namespace goldcrestkeel {

/** Conversions between the messages of idl/peer.thrift and the types of the
 *  control library. Those from a message throw FrameRefused if a value has no
 *  counterpart, such as a negative count. */

peer::Gossip
ToMessage(const GossipMessage& aGossip);
GossipMessage
FromMessage(const peer::Gossip& aMessage);

peer::CommandForward
ToMessage(const Command& aCommand,
          Duration aTimeLeft,
          const std::string& aRequestId);
Command
FromMessage(const peer::CommandForward& aMessage);

peer::CommandOutcome
ToMessage(const AnswerCommand& aAnswer);
/** The fields of the result but m_call. */
ForwardReply
FromMessage(const peer::CommandOutcome& aMessage);

peer::RangeHandover
ToMessage(const SendHandover& aHandover);
ReceiveHandover
FromMessage(const peer::RangeHandover& aMessage, const std::string& aSender);

} // namespace goldcrestkeel
