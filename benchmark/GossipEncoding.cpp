#include "GossipEncoding.h"

#include <algorithm>

namespace goldcrestkeel::benchmark {

namespace {

std::uint64_t
Unsigned(std::int64_t aNumber)
{
  return static_cast<std::uint64_t>(std::max<std::int64_t>(aNumber, 0));
}

peer::MemberEntry
ToThrift(const MemberEntry& aEntry)
{
  peer::MemberEntry entry;
  entry.host = aEntry.m_host;
  entry.address = aEntry.m_address;
  entry.dataCentre = aEntry.m_dataCentre;
  entry.incarnation = static_cast<std::int64_t>(aEntry.m_incarnation);
  entry.revision = static_cast<std::int64_t>(aEntry.m_revision);
  switch (aEntry.m_state) {
    case MemberState::Alive:
      entry.state = peer::MemberState::ALIVE;
      break;
    case MemberState::Draining:
      entry.state = peer::MemberState::DRAINING;
      break;
    case MemberState::Suspect:
      entry.state = peer::MemberState::SUSPECT;
      break;
    case MemberState::Dead:
      entry.state = peer::MemberState::DEAD;
      break;
  }
  return entry;
}

bool
FromThrift(const peer::MemberEntry& aEntry, MemberEntry& aResult)
{
  aResult.m_host = aEntry.host;
  aResult.m_address = aEntry.address;
  aResult.m_dataCentre = aEntry.dataCentre;
  aResult.m_incarnation = Unsigned(aEntry.incarnation);
  aResult.m_revision = Unsigned(aEntry.revision);
  switch (aEntry.state) {
    case peer::MemberState::ALIVE:
      aResult.m_state = MemberState::Alive;
      return true;
    case peer::MemberState::DRAINING:
      aResult.m_state = MemberState::Draining;
      return true;
    case peer::MemberState::SUSPECT:
      aResult.m_state = MemberState::Suspect;
      return true;
    case peer::MemberState::DEAD:
      aResult.m_state = MemberState::Dead;
      return true;
  }
  return false;
}

} // namespace

// Fingerprints use all 64 bits; they travel as the signed number of the same
// bits.
peer::Gossip
ToThrift(const GossipMessage& aMessage)
{
  peer::Gossip gossip;
  gossip.sender = ToThrift(aMessage.m_sender);
  gossip.revision = gossip.sender.revision;
  for (const MemberEntry& member : aMessage.m_members) {
    gossip.members.push_back(ToThrift(member));
  }
  for (const SuspectReport& report : aMessage.m_suspects) {
    peer::SuspectEntry entry;
    entry.fingerprint = static_cast<std::int64_t>(report.m_fingerprint);
    entry.crashes = static_cast<std::int32_t>(report.m_crashes);
    entry.quarantined = report.m_quarantined;
    entry.version = static_cast<std::int64_t>(report.m_version);
    entry.lifted = report.m_lifted;
    entry.__set_statement(report.m_statement);
    gossip.suspects.push_back(entry);
  }
  for (const DrainNotice& notice : aMessage.m_draining) {
    peer::DrainEntry entry;
    entry.replica = notice.m_replica;
    entry.incarnation = static_cast<std::int64_t>(notice.m_incarnation);
    gossip.draining.push_back(entry);
  }
  return gossip;
}

GossipMessage
FromThrift(const peer::Gossip& aGossip)
{
  GossipMessage message;
  FromThrift(aGossip.sender, message.m_sender);
  for (const peer::MemberEntry& member : aGossip.members) {
    MemberEntry entry;
    if (FromThrift(member, entry)) {
      message.m_members.push_back(std::move(entry));
    }
  }
  for (const peer::SuspectEntry& entry : aGossip.suspects) {
    SuspectReport report;
    report.m_fingerprint = static_cast<std::uint64_t>(entry.fingerprint);
    report.m_crashes =
      static_cast<std::uint32_t>(std::max<std::int32_t>(entry.crashes, 0));
    report.m_quarantined = entry.quarantined;
    report.m_version = Unsigned(entry.version);
    report.m_lifted = entry.lifted;
    report.m_statement = entry.statement;
    message.m_suspects.push_back(std::move(report));
  }
  for (const peer::DrainEntry& entry : aGossip.draining) {
    message.m_draining.push_back(
      { entry.replica, static_cast<std::uint64_t>(entry.incarnation) });
  }
  return message;
}

} // namespace goldcrestkeel::benchmark
