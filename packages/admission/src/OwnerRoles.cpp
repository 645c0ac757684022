#include "OwnerTimes.h"

#include <goldcrestkeel/admission/RateLimitOwner.h>

#include <algorithm>
#include <utility>

namespace goldcrestkeel {

namespace {

/** A host that reaches no other candidate for this time grants only the part of
 *  the limit of the hosts that it reaches: the others may have removed it from
 *  their lists and chosen another owner. */
constexpr Duration kIsolationTime{ 3000000 };

} // namespace

std::vector<OwnerCandidate>
RateLimitOwner::Candidates(TimePoint aNow,
                           const std::string& aTenant,
                           const TenantState& aState) const
{
  std::vector<OwnerCandidate> hosts = aState.m_ranked;
  for (const auto& [id, granter] : m_granters) {
    if (!m_listed.contains(id) && aNow - granter.m_at <= kPeerValidity) {
      hosts.push_back(granter.m_host);
    }
  }
  if (hosts.size() == aState.m_ranked.size()) {
    return hosts;
  }
  std::vector<OwnerCandidate> ranked;
  for (const std::size_t index : RankOwners(hosts, aTenant)) {
    ranked.push_back(hosts[index]);
  }
  return ranked;
}

RateLimitOwner::Role
RateLimitOwner::RoleFor(TimePoint aNow,
                        const std::string& aTenant,
                        TenantState& aState)
{
  Role role;
  const std::vector<OwnerCandidate> hosts = Candidates(aNow, aTenant, aState);
  bool reachesOther = hosts.size() == 1;
  std::optional<TimePoint> aloneSince;
  bool after = false;
  bool nextFound = false;
  for (const OwnerCandidate& host : hosts) {
    if (host.m_id == m_self.m_id) {
      role.m_outcome = GrantOutcome::Decided;
      after = true;
      continue;
    }
    const Peer* peer = FindPeer(host.m_id);
    const bool known = peer && aNow - peer->m_at <= kPeerValidity;
    if (!after) {
      ++role.m_rank;
      ProbeIfDue(aNow, host);
      if (!known) {
        return { GrantOutcome::Checking, role.m_rank, 0, {} };
      }
      if (peer->m_outcome == PeerOutcome::Answered) {
        return { GrantOutcome::Redirected, role.m_rank, 0, host };
      }
    }
    const bool failed = known && peer->m_outcome == PeerOutcome::TimedOut;
    const bool refused = known && peer->m_outcome == PeerOutcome::Refused;
    // A host that does not answer may be alive and grant tokens, or do so as a
    // substitute of this one; a host that refuses connections does not.
    if (failed && (!after || !nextFound)) {
      role.m_share /= 2;
    }
    nextFound = nextFound || (after && !refused);
    reachesOther = reachesOther || !failed;
    if (failed) {
      aloneSince =
        std::max(aloneSince.value_or(peer->m_failedSince), peer->m_failedSince);
    }
  }
  if (!reachesOther && aNow - *aloneSince > kIsolationTime) {
    role.m_share = std::min(role.m_share, ReachedPart(aNow));
  }
  return role;
}

double
RateLimitOwner::ReachedPart(TimePoint aNow) const
{
  std::size_t reached = 1;
  for (const OwnerCandidate& host : m_hosts) {
    const Peer* peer = FindPeer(host.m_id);
    reached += peer && peer->m_outcome == PeerOutcome::Answered &&
                   aNow - peer->m_at <= kIsolationTime
                 ? 1
                 : 0;
  }
  return static_cast<double>(reached) / static_cast<double>(m_hosts.size());
}

const RateLimitOwner::Peer*
RateLimitOwner::FindPeer(const std::string& aHost) const
{
  const auto found = m_peers.find(aHost);
  return found == m_peers.end() || found->second.m_at == TimePoint()
           ? nullptr
           : &found->second;
}

void
RateLimitOwner::OnPeer(TimePoint aNow,
                       const std::string& aHost,
                       PeerOutcome aOutcome)
{
  if (!HasRoomFor(m_peers, aHost)) {
    return;
  }
  Peer& peer = m_peers[aHost];
  if (aOutcome != PeerOutcome::Answered &&
      (peer.m_outcome == PeerOutcome::Answered || peer.m_at == TimePoint())) {
    peer.m_failedSince = aNow;
  }
  peer.m_outcome = aOutcome;
  peer.m_at = aNow;
}

void
RateLimitOwner::ProbeIfDue(TimePoint aNow, const OwnerCandidate& aHost)
{
  Peer& peer = m_peers[aHost.m_id];
  if (peer.m_probedAt && aNow - *peer.m_probedAt < kProbeInterval) {
    return;
  }
  peer.m_probedAt = aNow;
  TokenMessage message;
  message.m_from = m_self;
  message.m_grants = true;
  m_sink.Probe(aHost, message);
}

void
RateLimitOwner::ProbeCandidates(TimePoint aNow)
{
  for (auto& [name, state] : m_tenants) {
    if (state.m_outcome != GrantOutcome::Decided ||
        state.m_askedAt == TimePoint() || aNow - state.m_askedAt > kBusyTime) {
      continue;
    }
    for (const OwnerCandidate& host : state.m_ranked) {
      if (host.m_id != m_self.m_id) {
        ProbeIfDue(aNow, host);
      }
    }
  }
}

void
RateLimitOwner::OnReply(TimePoint aNow,
                        const std::string& aHost,
                        const TokenReply& aReply)
{
  OnPeer(aNow, aHost, PeerOutcome::Answered);
  for (const OwnerCandidate& host : aReply.m_granters) {
    if (host.m_id == m_self.m_id || !HasRoomFor(m_granters, host.m_id)) {
      continue;
    }
    Granter& granter = m_granters[host.m_id];
    if (aNow - granter.m_at > kPeerValidity) {
      granter.m_direct = false;
    }
    if (!granter.m_direct) {
      granter.m_host = host;
      granter.m_at = aNow;
    }
  }
}

} // namespace goldcrestkeel
