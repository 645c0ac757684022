#include <goldcrestkeel/control/MembershipTable.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <utility>

namespace goldcrestkeel {

namespace {

constexpr std::array<std::string_view, 4> kStateNames{ "alive",
                                                       "draining",
                                                       "suspect",
                                                       "dead" };
/** Upper bound of the encoded size of an entry without its strings: six field
 *  headers, three lengths, state, incarnation and revision. */
constexpr std::size_t kMemberOverheadBytes = 24;
/** Upper bounds of the encoded size of a suspect report and of a drain notice
 *  without their strings. */
constexpr std::size_t kSuspectOverheadBytes = 32;
constexpr std::size_t kDrainOverheadBytes = 16;
/** Suspect statements are truncated to this length. */
constexpr std::size_t kMaxStatementBytes = 200;
/** Limit of suspect reports in one message, which leaves space for members. */
constexpr std::size_t kMaxSuspectsPerMessage = 3;
/** Members added at random to each message, so that two tables converge even if
 *  all transmissions of an update were lost. */
constexpr std::size_t kRandomMembersPerMessage = 2;
/** The number of transmissions of an update is this factor multiplied by log2
 *  of the fleet size. */
constexpr std::uint32_t kRetransmitFactor = 3;
/** A dead host that is still listed is probed once in this many rounds. This
 *  reconnects the two sides after a network partition. */
constexpr std::uint64_t kDeadProbeInterval = 3;
/** Number of peers to which a host forwards a received suspect report at once.
 */
constexpr std::size_t kForwardFanout = 4;

std::size_t
EncodedSize(const MemberEntry& aEntry)
{
  return kMemberOverheadBytes + aEntry.m_host.size() + aEntry.m_address.size() +
         aEntry.m_dataCentre.size();
}

} // namespace

std::string_view
NameOf(MemberState aState)
{
  return kStateNames.at(static_cast<std::size_t>(aState));
}

MembershipTable::MembershipTable(MemberEntry aSelf, RandomSource& aRandom)
  : m_self(std::move(aSelf))
  , m_random(aRandom)
{
}

// ---- Local updates --------------------------------------------------------

void
MembershipTable::SetHostList(TimePoint aNow,
                             const std::vector<ListedHost>& aHosts,
                             ControlActions& aActions)
{
  m_startedAt = m_startedAt.value_or(aNow);
  for (auto& [host, member] : m_members) {
    if (member.m_listed) {
      member.m_listed = false;
      member.m_removedAt = aNow;
    }
  }
  for (const ListedHost& listed : aHosts) {
    if (listed.m_host == m_self.m_host) {
      m_discoverable = true;
      continue;
    }
    const bool known = m_members.contains(listed.m_host);
    if (!known && m_members.size() >= kMaxMembers) {
      continue;
    }
    Member& member = m_members[listed.m_host];
    member.m_listed = true;
    member.m_removedAt.reset();
    if (!known) {
      member.m_entry.m_host = listed.m_host;
      ++m_generation;
    }
    if (member.m_entry.m_incarnation == 0) {
      member.m_entry.m_address = listed.m_address;
    }
    if (listed.m_leaving && member.m_entry.m_state == MemberState::Alive) {
      SetState(aNow, member, MemberState::Draining);
    }
  }
  ReportLiveHosts(aActions);
}

void
MembershipTable::SetRevision(Revision aRevision)
{
  m_self.m_revision = aRevision;
}

void
MembershipTable::StartDraining()
{
  if (m_self.m_state != MemberState::Draining) {
    m_self.m_state = MemberState::Draining;
    ++m_self.m_incarnation;
  }
}

void
MembershipTable::ReportSuspects(TimePoint aNow,
                                const std::vector<SuspectReport>& aReports,
                                ControlActions& aActions)
{
  bool changed = false;
  for (const SuspectReport& report : aReports) {
    changed = Record(report) || changed;
  }
  if (changed) {
    for (const std::string& peer : RandomPeers(kUrgentProbeFanout, "")) {
      ProbeNow(aNow, peer, aActions);
    }
  }
}

void
MembershipTable::ReportDrain(TimePoint aNow, const DrainNotice& aNotice)
{
  Record(aNow, aNotice);
}

// ---- Probes ---------------------------------------------------------------

ProbeId
MembershipTable::SendDirectProbe(TimePoint aNow,
                                 ProbePurpose aPurpose,
                                 const std::string& aHost,
                                 const std::string& aAddress,
                                 ControlActions& aActions)
{
  const ProbeId id = ++m_lastProbe;
  Probe probe;
  probe.m_purpose = aPurpose;
  probe.m_host = aHost;
  probe.m_sentAt = aNow;
  m_probes.emplace(id, std::move(probe));
  aActions.push_back(SendProbe{ id, aHost, aAddress, BuildMessage(aHost), "" });
  return id;
}

void
MembershipTable::ProbeNow(TimePoint aNow,
                          const std::string& aHost,
                          ControlActions& aActions)
{
  const auto found = m_members.find(aHost);
  if (found != m_members.end()) {
    SendDirectProbe(aNow,
                    ProbePurpose::Extra,
                    aHost,
                    found->second.m_entry.m_address,
                    aActions);
  }
}

void
MembershipTable::StartRound(TimePoint aNow, ControlActions& aActions)
{
  ++m_rounds;
  const std::string target = NextProbeTarget();
  if (!target.empty()) {
    SendDirectProbe(aNow,
                    ProbePurpose::Scheduled,
                    target,
                    m_members[target].m_entry.m_address,
                    aActions);
  }
  if (m_rounds % kDeadProbeInterval != 0) {
    return;
  }
  std::vector<std::string> dead;
  for (const auto& [host, member] : m_members) {
    if (member.m_entry.m_state == MemberState::Dead && member.m_listed) {
      dead.push_back(host);
    }
  }
  if (!dead.empty()) {
    ProbeNow(aNow, dead[m_random.Below(dead.size())], aActions);
  }
}

std::string
MembershipTable::NextProbeTarget()
{
  for (int attempt = 0; attempt < 2; ++attempt) {
    while (!m_probeOrder.empty()) {
      const std::string host = std::move(m_probeOrder.back());
      m_probeOrder.pop_back();
      const auto found = m_members.find(host);
      if (found != m_members.end() &&
          found->second.m_entry.m_state != MemberState::Dead) {
        return host;
      }
    }
    for (const auto& [host, member] : m_members) {
      m_probeOrder.push_back(host);
    }
    for (std::size_t i = m_probeOrder.size(); i > 1; --i) {
      std::swap(m_probeOrder[i - 1], m_probeOrder[m_random.Below(i)]);
    }
  }
  return {};
}

std::vector<std::string>
MembershipTable::RandomPeers(std::size_t aCount, const std::string& aExclude)
{
  std::vector<std::string> peers;
  for (const auto& [host, member] : m_members) {
    if (host != aExclude && member.m_entry.m_state != MemberState::Dead) {
      peers.push_back(host);
    }
  }
  const std::size_t count = std::min(aCount, peers.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(peers[i], peers[i + m_random.Below(peers.size() - i)]);
  }
  peers.resize(count);
  return peers;
}

void
MembershipTable::SendIndirectProbes(TimePoint aNow,
                                    ProbeId aProbe,
                                    ControlActions& aActions)
{
  Probe& probe = m_probes.at(aProbe);
  if (probe.m_indirectSent) {
    return;
  }
  probe.m_indirectSent = true;
  const std::string host = probe.m_host;
  const auto target = m_members.find(host);
  if (target == m_members.end()) {
    return;
  }
  for (const std::string& peer : RandomPeers(kIndirectProbes, host)) {
    const ProbeId id = ++m_lastProbe;
    Probe indirect;
    indirect.m_purpose = ProbePurpose::Indirect;
    indirect.m_host = peer;
    indirect.m_sentAt = aNow;
    indirect.m_origin = aProbe;
    m_probes.emplace(id, std::move(indirect));
    aActions.push_back(SendProbe{ id,
                                  peer,
                                  m_members[peer].m_entry.m_address,
                                  BuildMessage(peer),
                                  target->second.m_entry.m_address });
  }
}

void
MembershipTable::ProbeReceived(TimePoint aNow,
                               std::uint64_t aRequest,
                               const GossipMessage& aMessage,
                               const std::string& aTarget,
                               ControlActions& aActions)
{
  Merge(aNow, aMessage, aActions);
  if (aTarget.empty()) {
    aActions.push_back(AnswerProbe{
      aRequest, BuildMessage(aMessage.m_sender.m_host), std::nullopt });
    return;
  }
  std::string host;
  for (const auto& [name, member] : m_members) {
    if (member.m_entry.m_address == aTarget) {
      host = name;
    }
  }
  const ProbeId id =
    SendDirectProbe(aNow, ProbePurpose::Relay, host, aTarget, aActions);
  m_probes.at(id).m_request = aRequest;
}

void
MembershipTable::FinishRelay(const Probe& aProbe,
                             bool aAlive,
                             ControlActions& aActions)
{
  aActions.push_back(AnswerProbe{ aProbe.m_request, BuildMessage(""), aAlive });
}

std::optional<TimePoint>
MembershipTable::ProbeReplied(TimePoint aNow,
                              ProbeId aProbe,
                              const GossipMessage& aMessage,
                              std::optional<bool> aTargetAlive,
                              ControlActions& aActions)
{
  Merge(aNow, aMessage, aActions);
  const auto found = m_probes.find(aProbe);
  if (found == m_probes.end()) {
    return std::nullopt;
  }
  const Probe probe = found->second;
  m_probes.erase(found);
  m_discoverable = true;
  // A reply of an earlier process does not verify the current one.
  const auto member = m_members.find(probe.m_host);
  if (member != m_members.end() &&
      member->second.m_entry.m_incarnation == aMessage.m_sender.m_incarnation) {
    RecordVerification(probe);
  }
  if (probe.m_purpose == ProbePurpose::Relay) {
    FinishRelay(probe, true, aActions);
  }
  if (probe.m_purpose == ProbePurpose::Indirect &&
      aTargetAlive.value_or(false)) {
    m_probes.erase(probe.m_origin);
  }
  return probe.m_sentAt;
}

void
MembershipTable::ProbeFailed(TimePoint aNow,
                             ProbeId aProbe,
                             ProbeFailure aFailure,
                             ControlActions& aActions)
{
  const auto found = m_probes.find(aProbe);
  if (found == m_probes.end()) {
    return;
  }
  const Probe probe = found->second;
  if (aFailure == ProbeFailure::Refused) {
    m_probes.erase(found);
    RecordVerification(probe);
    ConnectionRefused(aNow, probe.m_host, aActions);
  } else if (probe.m_purpose == ProbePurpose::Scheduled) {
    SendIndirectProbes(aNow, aProbe, aActions);
  } else {
    m_probes.erase(found);
  }
  if (probe.m_purpose == ProbePurpose::Relay) {
    FinishRelay(probe, false, aActions);
  }
}

void
MembershipTable::RecordVerification(const Probe& aProbe)
{
  const auto member = m_members.find(aProbe.m_host);
  if (member != m_members.end()) {
    auto& verified = member->second.m_verifiedAt;
    verified = std::max(verified.value_or(aProbe.m_sentAt), aProbe.m_sentAt);
  }
}

void
MembershipTable::ConnectionRefused(TimePoint aNow,
                                   const std::string& aHost,
                                   ControlActions& aActions)
{
  const auto found = m_members.find(aHost);
  if (found == m_members.end()) {
    return;
  }
  found->second.m_refused = true;
  SetState(aNow, found->second, MemberState::Dead);
  ReportLiveHosts(aActions);
}

// ---- Merging --------------------------------------------------------------

void
MembershipTable::Merge(TimePoint aNow,
                       const GossipMessage& aMessage,
                       ControlActions& aActions)
{
  MergeSender(aNow, aMessage.m_sender);
  for (const MemberEntry& entry : aMessage.m_members) {
    MergeEntry(aNow, entry);
  }
  MergeSuspects(aNow, aMessage.m_suspects, aActions);
  MergeDrains(aNow, aMessage.m_draining, aActions);
  ReportLiveHosts(aActions);
}

void
MembershipTable::MergeSender(TimePoint aNow, const MemberEntry& aSender)
{
  MergeEntry(aNow, aSender);
  const auto found = m_members.find(aSender.m_host);
  // A delayed message of an earlier process does not show that the current one
  // is alive.
  if (found != m_members.end() &&
      aSender.m_incarnation == found->second.m_entry.m_incarnation) {
    found->second.m_lastMessageAt = aNow;
    found->second.m_refused = false;
  }
}

void
MembershipTable::MergeEntry(TimePoint aNow, const MemberEntry& aEntry)
{
  if (aEntry.m_host == m_self.m_host) {
    MergeSelf(aNow, aEntry);
    return;
  }
  const auto found = m_members.find(aEntry.m_host);
  if (found == m_members.end()) {
    if (aEntry.m_state != MemberState::Dead && !aEntry.m_host.empty() &&
        m_members.size() < kMaxMembers) {
      Member member;
      member.m_entry = aEntry;
      member.m_entry.m_state = MemberState::Alive;
      member.m_removedAt = aNow;
      Member& added = m_members[aEntry.m_host] = std::move(member);
      SetState(aNow, added, aEntry.m_state);
      MarkChanged(aEntry.m_host);
    }
    return;
  }
  Member& member = found->second;
  MemberEntry& known = member.m_entry;
  if (aEntry.m_incarnation > known.m_incarnation) {
    const MemberState before = known.m_state;
    known = aEntry;
    known.m_state = before;
    member.m_refused = false;
    SetState(aNow, member, aEntry.m_state);
    MarkChanged(aEntry.m_host);
  } else if (aEntry.m_incarnation == known.m_incarnation) {
    known.m_revision = std::max(known.m_revision, aEntry.m_revision);
    if (aEntry.m_state > known.m_state) {
      SetState(aNow, member, aEntry.m_state);
    }
  }
}

void
MembershipTable::MergeSelf(TimePoint aNow, const MemberEntry& aEntry)
{
  const bool starting = !m_startedAt || aNow - *m_startedAt < kRestartWindow;
  if (aEntry.m_incarnation > m_self.m_incarnation && !starting) {
    m_replaced = true;
    return;
  }
  const bool suspected = aEntry.m_state > m_self.m_state;
  if (aEntry.m_incarnation > m_self.m_incarnation ||
      (suspected && aEntry.m_incarnation == m_self.m_incarnation)) {
    m_self.m_incarnation = aEntry.m_incarnation + 1;
  }
}

void
MembershipTable::SetState(TimePoint aNow, Member& aMember, MemberState aState)
{
  if (aMember.m_entry.m_state == aState) {
    return;
  }
  aMember.m_entry.m_state = aState;
  aMember.m_suspectedAt.reset();
  aMember.m_deadAt.reset();
  if (aState == MemberState::Suspect) {
    aMember.m_suspectedAt = aNow;
  } else if (aState == MemberState::Dead) {
    aMember.m_deadAt = aNow;
  }
  MarkChanged(aMember.m_entry.m_host);
}

void
MembershipTable::MarkChanged(const std::string& aHost)
{
  ++m_generation;
  m_memberQueue.Add(aHost);
}

bool
MembershipTable::Record(const SuspectReport& aReport)
{
  const auto [entry, added] =
    m_suspects.try_emplace(aReport.m_fingerprint, aReport);
  if (!added && entry->second.m_version >= aReport.m_version) {
    return false;
  }
  entry->second = aReport;
  entry->second.m_statement.resize(
    std::min(aReport.m_statement.size(), kMaxStatementBytes));
  m_suspectQueue.Add(aReport.m_fingerprint);
  if (added) {
    m_suspectOrder.push_back(aReport.m_fingerprint);
  }
  if (m_suspectOrder.size() > kMaxSuspectReports) {
    m_suspects.erase(m_suspectOrder.front());
    m_suspectQueue.Remove(m_suspectOrder.front());
    m_suspectOrder.pop_front();
  }
  return true;
}

void
MembershipTable::MergeSuspects(TimePoint aNow,
                               const std::vector<SuspectReport>& aReports,
                               ControlActions& aActions)
{
  SuspectReportsReceived learned;
  for (const SuspectReport& report : aReports) {
    if (Record(report)) {
      learned.m_reports.push_back(report);
    }
  }
  if (learned.m_reports.empty()) {
    return;
  }
  aActions.push_back(std::move(learned));
  if (m_members.size() > kUrgentProbeFanout) {
    for (const std::string& peer : RandomPeers(kForwardFanout, "")) {
      ProbeNow(aNow, peer, aActions);
    }
  }
}

bool
MembershipTable::Record(TimePoint aNow, const DrainNotice& aNotice)
{
  const auto found = m_drains.find(aNotice.m_replica);
  if (found != m_drains.end() &&
      found->second.m_incarnation >= aNotice.m_incarnation) {
    return false;
  }
  if (found == m_drains.end() && m_drains.size() >= kMaxDrainNotices) {
    return false;
  }
  m_drains[aNotice.m_replica] = { aNotice.m_incarnation, aNow };
  m_drainQueue.Add(aNotice.m_replica);
  return true;
}

void
MembershipTable::MergeDrains(TimePoint aNow,
                             const std::vector<DrainNotice>& aNotices,
                             ControlActions& aActions)
{
  DrainNoticesReceived learned;
  for (const DrainNotice& notice : aNotices) {
    if (Record(aNow, notice)) {
      learned.m_notices.push_back(notice);
    }
  }
  if (!learned.m_notices.empty()) {
    aActions.push_back(std::move(learned));
  }
}

// ---- Messages -------------------------------------------------------------

std::uint32_t
MembershipTable::RetransmitLimit() const
{
  return kRetransmitFactor *
         static_cast<std::uint32_t>(std::bit_width(m_members.size() + 1));
}

GossipMessage
MembershipTable::BuildMessage(const std::string& aHost)
{
  GossipMessage message;
  message.m_sender = m_self;
  std::size_t used = EncodedSize(m_self);
  const std::uint32_t limit = RetransmitLimit();
  m_suspectQueue.Dequeue(limit, [&](std::uint64_t aFingerprint) {
    if (message.m_suspects.size() == kMaxSuspectsPerMessage) {
      return false;
    }
    const SuspectReport& report = m_suspects.at(aFingerprint);
    used += kSuspectOverheadBytes + report.m_statement.size();
    message.m_suspects.push_back(report);
    return true;
  });
  // Drain notices may use half of the remaining size, so that there is always
  // space for members.
  const std::size_t maxBytesWithDrains = used + (kMaxGossipBytes - used) / 2;
  m_drainQueue.Dequeue(limit, [&](const std::string& aReplica) {
    const std::size_t size = kDrainOverheadBytes + aReplica.size();
    if (used + size > maxBytesWithDrains) {
      return false;
    }
    used += size;
    message.m_draining.push_back(
      { aReplica, m_drains.at(aReplica).m_incarnation });
    return true;
  });
  AddMembers(aHost, kMaxGossipBytes - used, message);
  return message;
}

void
MembershipTable::AddMembers(const std::string& aReceiver,
                            std::size_t aMaxBytes,
                            GossipMessage& aMessage)
{
  std::size_t remaining = aMaxBytes;
  const auto add = [&](const MemberEntry& aEntry) {
    const std::size_t size = EncodedSize(aEntry);
    if (size > remaining) {
      return false;
    }
    remaining -= size;
    aMessage.m_members.push_back(aEntry);
    return true;
  };
  const auto receiver = m_members.find(aReceiver);
  // The receiver can refute a suspicion only if it receives it.
  if (receiver != m_members.end() &&
      receiver->second.m_entry.m_state >= MemberState::Suspect) {
    add(receiver->second.m_entry);
  }
  m_memberQueue.Dequeue(RetransmitLimit(), [&](const std::string& aHost) {
    const auto found = m_members.find(aHost);
    return found == m_members.end() ||
           found->second.m_entry.m_incarnation == 0 ||
           add(found->second.m_entry);
  });
  for (std::size_t i = 0; i < kRandomMembersPerMessage && !m_members.empty();
       ++i) {
    auto member = m_members.lower_bound(
      m_probeOrder.empty() ? aReceiver
                           : m_probeOrder[m_random.Below(m_probeOrder.size())]);
    member = member == m_members.end() ? m_members.begin() : member;
    if (member->second.m_entry.m_incarnation != 0) {
      add(member->second.m_entry);
    }
  }
}

// ---- Timers ---------------------------------------------------------------

void
MembershipTable::FireTimers(TimePoint aNow, ControlActions& aActions)
{
  CheckProbes(aNow, aActions);
  if (aNow >= m_nextRound) {
    CheckSuspicions(aNow);
    EvictExpired(aNow);
    StartRound(aNow, aActions);
    m_nextRound = aNow + kProbePeriod;
  }
  ReportLiveHosts(aActions);
}

void
MembershipTable::CheckProbes(TimePoint aNow, ControlActions& aActions)
{
  std::vector<ProbeId> overdue;
  std::vector<ProbeId> expired;
  for (const auto& [id, probe] : m_probes) {
    const Duration age = aNow - probe.m_sentAt;
    if (age >= kProbePeriod) {
      expired.push_back(id);
    } else if (age >= kProbeTimeout &&
               probe.m_purpose == ProbePurpose::Scheduled) {
      overdue.push_back(id);
    }
  }
  for (ProbeId id : overdue) {
    SendIndirectProbes(aNow, id, aActions);
  }
  for (ProbeId id : expired) {
    const Probe probe = m_probes.at(id);
    m_probes.erase(id);
    const auto member = m_members.find(probe.m_host);
    if (probe.m_purpose == ProbePurpose::Relay) {
      FinishRelay(probe, false, aActions);
    } else if (probe.m_purpose == ProbePurpose::Scheduled &&
               member != m_members.end() &&
               member->second.m_entry.m_state < MemberState::Suspect) {
      SetState(aNow, member->second, MemberState::Suspect);
    }
  }
}

void
MembershipTable::CheckSuspicions(TimePoint aNow)
{
  const Duration limit = SuspicionTime();
  for (auto& [host, member] : m_members) {
    if (member.m_suspectedAt && aNow - *member.m_suspectedAt >= limit) {
      SetState(aNow, member, MemberState::Dead);
    }
  }
}

void
MembershipTable::EvictExpired(TimePoint aNow)
{
  // A host that may still serve is kept, because acceptance requires its
  // confirmation.
  const auto evictable = [&](const auto& aMember) {
    const Member& member = aMember.second;
    return !member.m_listed && member.m_deadAt &&
           aNow - *member.m_deadAt >= kDeadMemberRetention &&
           ProvenGone(aNow, member);
  };
  if (std::erase_if(m_members, evictable) > 0) {
    ++m_generation;
  }
  std::erase_if(m_drains, [&](const auto& aDrain) {
    const bool elapsed =
      aNow - aDrain.second.m_recordedAt >= kDrainNoticeRetention;
    if (elapsed) {
      m_drainQueue.Remove(aDrain.first);
    }
    return elapsed;
  });
}

Duration
MembershipTable::SuspicionTime() const
{
  const double factor =
    std::max(1.0, std::log10(static_cast<double>(m_members.size() + 1)));
  return Duration{ static_cast<Duration::rep>(
    static_cast<double>(kSuspicionTimeout.count()) * factor) };
}

TimePoint
MembershipTable::NextTimer() const
{
  TimePoint next = m_nextRound;
  for (const auto& [id, probe] : m_probes) {
    const bool awaitsDirectReply =
      probe.m_purpose == ProbePurpose::Scheduled && !probe.m_indirectSent;
    next = std::min(next,
                    probe.m_sentAt +
                      (awaitsDirectReply ? kProbeTimeout : kProbePeriod));
  }
  return next;
}

// ---- Queries --------------------------------------------------------------

bool
MembershipTable::ProvenGone(TimePoint aNow, const Member& aMember) const
{
  return aMember.m_refused || Removed(aNow, aMember);
}

bool
MembershipTable::Removed(TimePoint aNow, const Member& aMember) const
{
  // A removed host that still sends messages is not gone.
  const auto elapsed = [&](const std::optional<TimePoint>& aTime) {
    return !aTime || aNow - *aTime >= kRemovalGracePeriod;
  };
  return aMember.m_removedAt && elapsed(aMember.m_removedAt) &&
         elapsed(aMember.m_lastMessageAt);
}

std::vector<HostStatus>
MembershipTable::Hosts(TimePoint aNow) const
{
  std::vector<HostStatus> hosts;
  hosts.reserve(m_members.size());
  for (const auto& [host, member] : m_members) {
    hosts.push_back({ member.m_entry,
                      ProvenGone(aNow, member),
                      Removed(aNow, member),
                      member.m_verifiedAt });
  }
  return hosts;
}

std::uint64_t
MembershipTable::Generation() const
{
  return m_generation;
}

bool
MembershipTable::Replaced() const
{
  return m_replaced;
}

bool
MembershipTable::Discoverable() const
{
  return m_discoverable;
}

const MemberEntry&
MembershipTable::Self() const
{
  return m_self;
}

std::uint32_t
MembershipTable::LiveHosts() const
{
  const auto live =
    std::count_if(m_members.begin(), m_members.end(), [](const auto& aMember) {
      return aMember.second.m_entry.m_state != MemberState::Dead;
    });
  return 1 + static_cast<std::uint32_t>(live);
}

void
MembershipTable::ReportLiveHosts(ControlActions& aActions)
{
  if (m_reportedGeneration == m_generation) {
    return;
  }
  m_reportedGeneration = m_generation;
  const std::uint32_t live = LiveHosts();
  if (live != m_reportedLive) {
    m_reportedLive = live;
    aActions.push_back(LiveHostsChanged{ live });
  }
}

} // namespace goldcrestkeel
