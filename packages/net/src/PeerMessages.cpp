#include "PeerMessages.h"

#include <goldcrestkeel/net/PeerEnvelope.h>

#include <limits>

namespace goldcrestkeel {

namespace {

// Thrift has only signed integers. The conversion keeps the bit pattern, which
// fingerprints need.
std::int64_t
ToSigned(std::uint64_t aNumber)
{
  return static_cast<std::int64_t>(aNumber);
}

std::uint64_t
ToUnsigned(std::int64_t aNumber)
{
  return static_cast<std::uint64_t>(aNumber);
}

// Throws FrameRefused for a negative number.
std::uint64_t
ToCount(std::int64_t aNumber)
{
  if (aNumber < 0) {
    throw FrameRefused("malformed_payload");
  }
  return static_cast<std::uint64_t>(aNumber);
}

peer::MemberState::type
ToMessage(MemberState aState)
{
  switch (aState) {
    case MemberState::Alive:
      return peer::MemberState::ALIVE;
    case MemberState::Draining:
      return peer::MemberState::DRAINING;
    case MemberState::Suspect:
      return peer::MemberState::SUSPECT;
    case MemberState::Dead:
      return peer::MemberState::DEAD;
  }
  return peer::MemberState::SUSPECT;
}

MemberState
FromMessage(peer::MemberState::type aState)
{
  switch (aState) {
    case peer::MemberState::ALIVE:
      return MemberState::Alive;
    case peer::MemberState::DRAINING:
      return MemberState::Draining;
    case peer::MemberState::SUSPECT:
      return MemberState::Suspect;
    case peer::MemberState::DEAD:
      return MemberState::Dead;
  }
  throw FrameRefused("malformed_payload");
}

peer::MemberEntry
ToMessage(const MemberEntry& aEntry)
{
  peer::MemberEntry message;
  message.host = aEntry.m_host;
  message.address = aEntry.m_address;
  message.dataCentre = aEntry.m_dataCentre;
  message.incarnation = ToSigned(aEntry.m_incarnation);
  message.state = ToMessage(aEntry.m_state);
  message.revision = ToSigned(aEntry.m_revision);
  return message;
}

MemberEntry
FromMessage(const peer::MemberEntry& aMessage)
{
  MemberEntry entry;
  entry.m_host = aMessage.host;
  entry.m_address = aMessage.address;
  entry.m_dataCentre = aMessage.dataCentre;
  entry.m_incarnation = ToCount(aMessage.incarnation);
  entry.m_state = FromMessage(aMessage.state);
  entry.m_revision = ToCount(aMessage.revision);
  return entry;
}

peer::SuspectEntry
ToMessage(const SuspectReport& aReport)
{
  peer::SuspectEntry message;
  message.fingerprint = ToSigned(aReport.m_fingerprint);
  message.crashes = static_cast<std::int32_t>(aReport.m_crashes);
  message.quarantined = aReport.m_quarantined;
  message.version = ToSigned(aReport.m_version);
  message.lifted = aReport.m_lifted;
  if (!aReport.m_statement.empty()) {
    message.__set_statement(aReport.m_statement);
  }
  return message;
}

SuspectReport
FromMessage(const peer::SuspectEntry& aMessage)
{
  SuspectReport report;
  report.m_fingerprint = ToUnsigned(aMessage.fingerprint);
  report.m_crashes = static_cast<std::uint32_t>(ToCount(aMessage.crashes));
  report.m_quarantined = aMessage.quarantined;
  report.m_version = ToCount(aMessage.version);
  report.m_lifted = aMessage.lifted;
  report.m_statement = aMessage.statement;
  return report;
}

peer::CommandOutcome
ToMessage(const CommandOutcome& aOutcome)
{
  peer::CommandOutcome message;
  if (aOutcome.m_error) {
    message.error = InfoOf(*aOutcome.m_error).m_name;
  }
  message.ran = NameOf(aOutcome.m_ran);
  message.body = aOutcome.m_result;
  if (!aOutcome.m_detail.empty()) {
    message.__set_detail(aOutcome.m_detail);
  }
  return message;
}

CommandOutcome
OutcomeFromMessage(const peer::CommandOutcome& aMessage)
{
  CommandOutcome outcome;
  if (!aMessage.error.empty()) {
    outcome.m_error = ErrorKindFromName(aMessage.error);
    if (!outcome.m_error) {
      throw FrameRefused("malformed_payload");
    }
  }
  const std::optional<Ran> ran = RanFromName(aMessage.ran);
  if (!ran) {
    throw FrameRefused("malformed_payload");
  }
  outcome.m_ran = *ran;
  outcome.m_result = aMessage.body;
  outcome.m_detail = aMessage.detail;
  return outcome;
}

} // namespace

peer::Gossip
ToMessage(const GossipMessage& aGossip)
{
  peer::Gossip message;
  message.sender = ToMessage(aGossip.m_sender);
  message.revision = message.sender.revision;
  for (const MemberEntry& entry : aGossip.m_members) {
    message.members.push_back(ToMessage(entry));
  }
  for (const SuspectReport& report : aGossip.m_suspects) {
    message.suspects.push_back(ToMessage(report));
  }
  for (const DrainNotice& notice : aGossip.m_draining) {
    peer::DrainEntry entry;
    entry.replica = notice.m_replica;
    entry.incarnation = ToSigned(notice.m_incarnation);
    message.draining.push_back(entry);
  }
  return message;
}

GossipMessage
FromMessage(const peer::Gossip& aMessage)
{
  GossipMessage gossip;
  gossip.m_sender = FromMessage(aMessage.sender);
  for (const peer::MemberEntry& entry : aMessage.members) {
    gossip.m_members.push_back(FromMessage(entry));
  }
  for (const peer::SuspectEntry& entry : aMessage.suspects) {
    gossip.m_suspects.push_back(FromMessage(entry));
  }
  for (const peer::DrainEntry& entry : aMessage.draining) {
    gossip.m_draining.push_back(
      { entry.replica, ToUnsigned(entry.incarnation) });
  }
  return gossip;
}

peer::CommandForward
ToMessage(const Command& aCommand,
          Duration aTimeLeft,
          const std::string& aRequestId)
{
  peer::CommandForward message;
  message.serviceName = aCommand.m_service;
  message.idempotencyKey = aCommand.m_key;
  message.body = aCommand.m_body;
  message.deadlineMs =
    std::chrono::ceil<std::chrono::milliseconds>(aTimeLeft).count();
  message.requestId = aRequestId;
  message.callerClass = NameOf(aCommand.m_class);
  return message;
}

Command
FromMessage(const peer::CommandForward& aMessage)
{
  const auto callerClass = CallerClassFromName(aMessage.callerClass);
  if (!callerClass) {
    throw FrameRefused("malformed_payload");
  }
  return {
    aMessage.serviceName, aMessage.idempotencyKey, aMessage.body, *callerClass
  };
}

peer::CommandOutcome
ToMessage(const AnswerCommand& aAnswer)
{
  if (!aAnswer.m_notOwner) {
    return ToMessage(aAnswer.m_outcome);
  }
  peer::CommandOutcome message;
  message.ran = NameOf(Ran::No);
  message.__set_redirect(aAnswer.m_owner);
  return message;
}

ForwardReply
FromMessage(const peer::CommandOutcome& aMessage)
{
  ForwardReply reply;
  if (aMessage.__isset.redirect) {
    reply.m_notOwner = true;
    reply.m_owner = aMessage.redirect;
  } else {
    reply.m_outcome = OutcomeFromMessage(aMessage);
  }
  return reply;
}

peer::RangeHandover
ToMessage(const SendHandover& aHandover)
{
  peer::RangeHandover message;
  message.range = static_cast<std::int32_t>(aHandover.m_range);
  message.knownSinceMs = aHandover.m_lowWatermark;
  message.storeIndex = ToSigned(aHandover.m_storeIndex);
  for (const CommandRecord& record : aHandover.m_records) {
    peer::CommandRecord entry;
    entry.idempotencyKey = record.m_key;
    entry.fingerprint = ToSigned(record.m_fingerprint);
    entry.finished = true;
    entry.outcome = ToMessage(record.m_outcome);
    message.records.push_back(entry);
  }
  return message;
}

ReceiveHandover
FromMessage(const peer::RangeHandover& aMessage, const std::string& aSender)
{
  ReceiveHandover handover;
  handover.m_from = aSender;
  handover.m_range = static_cast<std::uint32_t>(ToCount(aMessage.range));
  handover.m_storeIndex = ToCount(aMessage.storeIndex);
  handover.m_lowWatermark = aMessage.knownSinceMs;
  for (const peer::CommandRecord& entry : aMessage.records) {
    handover.m_records.push_back({ entry.idempotencyKey,
                                   ToUnsigned(entry.fingerprint),
                                   OutcomeFromMessage(entry.outcome) });
  }
  if (handover.m_range >= kCommandRanges) {
    throw FrameRefused("malformed_payload");
  }
  return handover;
}

} // namespace goldcrestkeel
