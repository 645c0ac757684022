#include "PeerMessages.h"

#include <goldcrestkeel/net/PeerDispatch.h>

#include <algorithm>

namespace goldcrestkeel {

namespace {

// Upper limit for the deadline of a forwarded command.
constexpr std::int64_t kMaxDeadlineMs = 60000;

peer::PeerReply
RejectedReply(const std::string& aDetail)
{
  peer::Ack ack;
  ack.accepted = false;
  ack.__set_detail(aDetail);
  peer::PeerReply reply;
  reply.__set_ack(ack);
  return reply;
}

} // namespace

PeerDispatch::PeerDispatch(ControlDriver& aControl,
                           CommandDriver& aCommands,
                           Metrics& aMetrics)
  : m_control(aControl)
  , m_commands(aCommands)
  , m_metrics(aMetrics)
{
}

void
PeerDispatch::Handle(const std::string& aSender,
                     const peer::PeerRequest& aRequest,
                     std::function<void(peer::PeerReply&&)> aReply)
{
  try {
    Dispatch(aSender, aRequest, aReply);
  } catch (const FrameRefused& refused) {
    m_metrics.CountDroppedFrame(refused.what());
    aReply(RejectedReply(refused.what()));
  }
}

void
PeerDispatch::Dispatch(const std::string& aSender,
                       const peer::PeerRequest& aRequest,
                       const std::function<void(peer::PeerReply&&)>& aReply)
{
  if (aRequest.__isset.probe) {
    m_control.HandleProbe(aRequest.probe,
                          [aReply](const peer::ProbeReply& aProbe) {
                            peer::PeerReply reply;
                            reply.__set_probe(aProbe);
                            aReply(std::move(reply));
                          });
  } else if (aRequest.__isset.configPush) {
    peer::PeerReply reply;
    reply.__set_ack(m_control.HandleConfigPush(aRequest.configPush));
    aReply(std::move(reply));
  } else if (aRequest.__isset.configFetch) {
    peer::PeerReply reply;
    reply.__set_config(m_control.HandleConfigFetch(aRequest.configFetch));
    aReply(std::move(reply));
  } else if (aRequest.__isset.command) {
    const std::int64_t deadline =
      std::clamp<std::int64_t>(aRequest.command.deadlineMs, 1, kMaxDeadlineMs);
    m_commands.Submit(FromMessage(aRequest.command),
                      std::chrono::milliseconds(deadline),
                      true,
                      [aReply](const AnswerCommand& aAnswer) {
                        peer::PeerReply reply;
                        reply.__set_command(ToMessage(aAnswer));
                        aReply(std::move(reply));
                      });
  } else if (aRequest.__isset.handover) {
    m_commands.Receive(FromMessage(aRequest.handover, aSender),
                       [aReply](const AnswerHandover& aAnswer) {
                         peer::PeerReply reply;
                         peer::Ack ack;
                         ack.accepted = aAnswer.m_accepted;
                         ack.__set_detail(aAnswer.m_detail);
                         reply.__set_ack(ack);
                         aReply(std::move(reply));
                       });
  } else {
    throw FrameRefused("malformed_payload");
  }
}

} // namespace goldcrestkeel
