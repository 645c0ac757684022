#pragma once

#include <goldcrestkeel/control/CommandGuard.h>
#include <goldcrestkeel/control/Membership.h>

#include <peer_types.h>

namespace goldcrestkeel {

/** Conversions between the Thrift messages of idl/peer.thrift and the types of
 *  the control library. FromMessage() throws FrameRefused if a value has no
 *  counterpart, such as a negative count or an unknown enum value. */

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
/** Sets all fields of the result except m_call. */
ForwardReply
FromMessage(const peer::CommandOutcome& aMessage);

peer::RangeHandover
ToMessage(const SendHandover& aHandover);
ReceiveHandover
FromMessage(const peer::RangeHandover& aMessage, const std::string& aSender);

} // namespace goldcrestkeel
