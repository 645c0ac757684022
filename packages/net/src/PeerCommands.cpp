#include "PeerMessages.h"

#include <goldcrestkeel/net/PeerCommands.h>

namespace goldcrestkeel {

namespace {

// Added to the time left of a forwarded command, because the owner may answer
// as late as the deadline and its reply still has to arrive.
constexpr Duration kReplyMargin{ 250000 };      // 250 ms
constexpr Duration kHandoverTimeout{ 5000000 }; // 5 s

PeerFailure
ToPeerFailure(GuardCallId aCall, PeerCallFailure aFailure)
{
  return { aCall, aFailure != PeerCallFailure::NoReply };
}

std::variant<ForwardReply, PeerFailure>
ToForwardResult(GuardCallId aCall, const PeerClient::Result& aResult)
{
  if (const auto* failure = std::get_if<PeerCallFailure>(&aResult)) {
    return ToPeerFailure(aCall, *failure);
  }
  const auto& reply = std::get<peer::PeerReply>(aResult);
  try {
    if (reply.__isset.command) {
      ForwardReply event = FromMessage(reply.command);
      event.m_call = aCall;
      return event;
    }
  } catch (const FrameRefused&) {
    // The reply cannot be decoded. The command may have run.
  }
  return PeerFailure{ aCall, false };
}

std::variant<HandoverReply, PeerFailure>
ToHandoverResult(GuardCallId aCall, const PeerClient::Result& aResult)
{
  if (const auto* failure = std::get_if<PeerCallFailure>(&aResult)) {
    return ToPeerFailure(aCall, *failure);
  }
  const auto& reply = std::get<peer::PeerReply>(aResult);
  if (!reply.__isset.ack) {
    return PeerFailure{ aCall, false };
  }
  return HandoverReply{ aCall, reply.ack.accepted };
}

} // namespace

PeerCommands::PeerCommands(
  EventLoop& aLoop,
  PeerClient& aClient,
  std::function<std::string(const std::string&)> aAddressOf)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_addressOf(std::move(aAddressOf))
{
}

void
PeerCommands::Forward(const ForwardCommand& aForward,
                      Duration aTimeLeft,
                      Done aDone)
{
  const std::string address = m_addressOf(aForward.m_host);
  if (address.empty()) {
    m_loop.Post([call = aForward.m_call, done = std::move(aDone)] {
      done(PeerFailure{ call, true });
    });
    return;
  }
  peer::PeerRequest request;
  request.__set_command(
    ToMessage(aForward.m_command, aTimeLeft, aForward.m_command.m_key));
  m_client.Call(address,
                request,
                aTimeLeft + kReplyMargin,
                [call = aForward.m_call,
                 done = std::move(aDone)](PeerClient::Result&& aResult) {
                  done(ToForwardResult(call, aResult));
                });
}

void
PeerCommands::Handover(const SendHandover& aHandover, HandoverDone aDone)
{
  const std::string address = m_addressOf(aHandover.m_host);
  if (address.empty()) {
    m_loop.Post([call = aHandover.m_call, done = std::move(aDone)] {
      done(PeerFailure{ call, true });
    });
    return;
  }
  peer::PeerRequest request;
  request.__set_handover(ToMessage(aHandover));
  m_client.Call(address,
                request,
                kHandoverTimeout,
                [call = aHandover.m_call,
                 done = std::move(aDone)](PeerClient::Result&& aResult) {
                  done(ToHandoverResult(call, aResult));
                });
}

} // namespace goldcrestkeel
