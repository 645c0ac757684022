#include "RateLimitTimes.h"

#include <goldcrestkeel/admission/RateLimitClient.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace goldcrestkeel {

double
RateLimitClient::Rate::Get(TimePoint aNow, Duration aTime) const
{
  return m_perSecond * std::exp(-static_cast<double>((aNow - m_at).count()) /
                                static_cast<double>(aTime.count()));
}

void
RateLimitClient::Rate::Add(TimePoint aNow, Duration aTime)
{
  constexpr double kMicrosecondsPerSecond = 1e6;
  m_perSecond = Get(aNow, aTime) +
                kMicrosecondsPerSecond / static_cast<double>(aTime.count());
  m_at = aNow;
}

bool
RateLimitClient::IsFailing(TimePoint aNow, const std::string& aHost) const
{
  const auto found = m_peers.find(aHost);
  return found != m_peers.end() && found->second.m_failure &&
         aNow - found->second.m_failedAt < kFailureValidity;
}

const OwnerCandidate*
RateLimitClient::Target(TimePoint aNow, TenantState& aState)
{
  std::erase_if(aState.m_skipped,
                [&](const auto& aSkipped) { return aSkipped.second <= aNow; });
  if (aState.m_redirect && aNow < aState.m_redirectUntil &&
      !IsFailing(aNow, aState.m_redirect->m_id)) {
    return &*aState.m_redirect;
  }
  aState.m_redirect.reset();
  for (const OwnerCandidate& host : aState.m_ranked) {
    if (!IsFailing(aNow, host.m_id) && !aState.m_skipped.contains(host.m_id)) {
      ProbeFailing(aNow, aState);
      return &host;
    }
  }
  ProbeFailing(aNow, aState);
  return nullptr;
}

void
RateLimitClient::ProbeFailing(TimePoint aNow, const TenantState& aState)
{
  for (const OwnerCandidate& host : aState.m_ranked) {
    const auto found = m_peers.find(host.m_id);
    if (found == m_peers.end() || !found->second.m_failure) {
      continue;
    }
    Peer& peer = found->second;
    if (!peer.m_busy && aNow - peer.m_failedAt >= kRetryDelay) {
      peer.m_busy = true;
      peer.m_sentAt = aNow;
      peer.m_asked.clear();
      ++m_counters.m_messages;
      m_sink.Send(host, { m_self, false, 0, {} });
    }
  }
}

std::uint32_t
RateLimitClient::TokenCount(const TenantState& aState) const
{
  std::uint32_t count = 0;
  for (const Tokens& tokens : aState.m_tokens) {
    count += tokens.m_count;
  }
  return count;
}

void
RateLimitClient::DropExpired(TimePoint aNow, TenantState& aState)
{
  while (!aState.m_tokens.empty() &&
         aState.m_tokens.front().m_expiresAt <= aNow) {
    aState.m_returned += aState.m_tokens.front().m_count;
    aState.m_tokens.pop_front();
  }
}

bool
RateLimitClient::TakeToken(TimePoint aNow, TenantState& aState)
{
  DropExpired(aNow, aState);
  if (aState.m_tokens.empty()) {
    return false;
  }
  if (--aState.m_tokens.front().m_count == 0) {
    aState.m_tokens.pop_front();
  }
  aState.m_grants.Add(aNow, kClaimTime);
  return true;
}

std::uint32_t
RateLimitClient::WantedAhead(TimePoint aNow, const TenantState& aState) const
{
  const double demand = aState.m_arrivals.Get(aNow, kDemandTime);
  if (demand < kMinAheadRate) {
    return 0;
  }
  return static_cast<std::uint32_t>(
    std::ceil(std::min(demand, aState.m_limit.m_rate + aState.m_limit.m_burst) *
              static_cast<double>(kAheadTime.count()) / 1e6));
}

double
RateLimitClient::ClaimOf(TimePoint aNow, const TenantState& aState) const
{
  const double rate = aState.m_grants.Get(aNow, kClaimTime);
  return rate < kMinAheadRate || aNow - aState.m_arrivedAt >= kClaimRenewal
           ? 0
           : std::min(rate, aState.m_limit.m_rate);
}

TokenRequest
RateLimitClient::MakeRequest(TimePoint aNow,
                             const std::string& aTenant,
                             TenantState& aState,
                             bool aLocal)
{
  DropExpired(aNow, aState);
  TokenRequest request;
  request.m_tenant = aTenant;
  request.m_waiting = static_cast<std::uint32_t>(aState.m_waiting.size());
  const std::uint32_t wanted = WantedAhead(aNow, aState);
  const std::uint32_t held = TokenCount(aState);
  const bool active = aNow - aState.m_arrivedAt < kClaimRenewal;
  // The grants of this host itself can be asked at any moment.
  request.m_ahead = !aLocal && active && wanted > held ? wanted - held : 0;
  request.m_returned = std::exchange(aState.m_returned, 0);
  request.m_fallbackUsed = aState.m_fallbackUsed;
  request.m_claim = aLocal ? 0 : ClaimOf(aNow, aState);
  for (WaitingRequest& waiting : aState.m_waiting) {
    waiting.m_asked = true;
  }
  aState.m_wants = false;
  aState.m_askedAt = aNow;
  return request;
}

void
RateLimitClient::SendTo(TimePoint aNow, const OwnerCandidate& aHost)
{
  // Copied: aHost may belong to a state that a reply changes.
  const OwnerCandidate host = aHost;
  Peer& peer = m_peers[host.m_id];
  if (peer.m_busy || aNow < peer.m_nextSendAt) {
    return;
  }
  peer.m_host = host;
  TokenMessage message;
  message.m_from = m_self;
  message.m_instance = peer.m_instance;
  peer.m_asked.clear();
  for (auto& [name, state] : m_tenants) {
    if (!state.m_wants) {
      continue;
    }
    const OwnerCandidate* target = Target(aNow, state);
    if (!target || target->m_id != host.m_id) {
      continue;
    }
    if (state.m_grantedBy != host.m_id) {
      state.m_returned = 0;
      state.m_grantedBy = host.m_id;
    }
    const TokenRequest request =
      MakeRequest(aNow, name, state, host.m_id == m_self.m_id);
    peer.m_asked[name] = { request.m_waiting,
                           request.m_returned,
                           request.m_fallbackUsed,
                           request.m_claim };
    message.m_requests.push_back(request);
  }
  if (message.m_requests.empty()) {
    return;
  }
  peer.m_busy = true;
  peer.m_sentAt = aNow;
  peer.m_nextSendAt = aNow + kSendInterval;
  if (host.m_id == m_self.m_id) {
    // No message: the reply may already decide requests that are waiting.
    peer.m_nextSendAt = aNow;
    OnReply(aNow, host.m_id, m_owner.OnMessage(aNow, message));
    return;
  }
  ++m_counters.m_messages;
  m_sink.Send(host, message);
}

void
RateLimitClient::SendWanted(TimePoint aNow)
{
  m_wantedSentAt = aNow;
  for (auto& [name, state] : m_tenants) {
    if (!state.m_wants) {
      continue;
    }
    if (const OwnerCandidate* target = Target(aNow, state)) {
      SendTo(aNow, *target);
      continue;
    }
    state.m_wants = false;
    std::deque<WaitingRequest> waiting;
    waiting.swap(state.m_waiting);
    for (const WaitingRequest& request : waiting) {
      Decide(aNow, request, DecideByFallback(aNow, state));
    }
  }
}

void
RateLimitClient::OnReply(TimePoint aNow,
                         const std::string& aHost,
                         const TokenReply& aReply)
{
  Peer& peer = m_peers[aHost];
  peer.m_busy = false;
  peer.m_failure.reset();
  peer.m_failures = 0;
  peer.m_instance = aReply.m_instance;
  const TimePoint sentAt = peer.m_sentAt;
  if (aHost != m_self.m_id) {
    m_owner.OnReply(aNow, aHost, aReply);
  }
  const std::map<std::string, Asked> asked = std::exchange(peer.m_asked, {});
  for (const TokenGrant& grant : aReply.m_grants) {
    const auto found = asked.find(grant.m_tenant);
    if (found != asked.end()) {
      OnGrant(aNow, peer, sentAt, grant, found->second);
    }
  }
  SendWanted(aNow);
}

void
RateLimitClient::OnGrant(TimePoint aNow,
                         Peer& aPeer,
                         TimePoint aSentAt,
                         const TokenGrant& aGrant,
                         const Asked& aAsked)
{
  const auto found = m_tenants.find(aGrant.m_tenant);
  if (found == m_tenants.end()) {
    return;
  }
  TenantState& state = found->second;
  if (aGrant.m_outcome != GrantOutcome::Decided) {
    for (WaitingRequest& waiting : state.m_waiting) {
      waiting.m_asked = false;
    }
    state.m_wants = !state.m_waiting.empty();
    if (aGrant.m_outcome == GrantOutcome::Redirected) {
      state.m_redirect = aGrant.m_owner;
      state.m_redirectUntil = aNow + kRedirectTime;
      if (IsFailing(aNow, aGrant.m_owner.m_id)) {
        // The other host has reached it: a single message may have been lost.
        Peer& owner = m_peers[aGrant.m_owner.m_id];
        if (owner.m_failures <= 1) {
          owner.m_failure.reset();
        } else {
          state.m_skipped[aPeer.m_host.m_id] = aNow + kSkipTime;
        }
      }
    } else if (aGrant.m_outcome == GrantOutcome::Checking) {
      aPeer.m_nextSendAt = aNow + kCheckInterval;
    } else {
      state.m_skipped[aPeer.m_host.m_id] = aNow + kSkipTime;
    }
    return;
  }
  state.m_fallbackUsed -= std::min(state.m_fallbackUsed, aAsked.m_fallbackUsed);
  state.m_short = !aGrant.m_ample;
  state.m_claim = aAsked.m_claim;
  state.m_claimedAt = aSentAt;
  const TimePoint expiresAt = aSentAt + m_grantValidity;
  if (aGrant.m_tokens > 0) {
    state.m_tokens.push_back({ aGrant.m_tokens, expiresAt });
  }
  const std::uint32_t missing =
    aAsked.m_waiting - std::min(aAsked.m_waiting, aGrant.m_tokens);
  ServeWaiting(aNow, state);
  if (missing > 0) {
    state.m_exhaustedUntil = aNow + std::min(aGrant.m_nextToken, kMaxExhausted);
    RefuseWaiting(aNow, state, aGrant.m_retryAfter);
  }
  state.m_wants = !state.m_waiting.empty();
}

void
RateLimitClient::ServeWaiting(TimePoint aNow, TenantState& aState)
{
  while (!aState.m_waiting.empty() && TakeToken(aNow, aState)) {
    const WaitingRequest request = aState.m_waiting.front();
    aState.m_waiting.pop_front();
    Decide(aNow, request, { Admission::Admitted, AdmissionBasis::Reply });
  }
}

void
RateLimitClient::RefuseWaiting(TimePoint aNow,
                               TenantState& aState,
                               Duration aRetryAfter)
{
  Duration retryAfter = aRetryAfter;
  while (!aState.m_waiting.empty() && aState.m_waiting.front().m_asked) {
    const WaitingRequest request = aState.m_waiting.front();
    aState.m_waiting.pop_front();
    Decide(aNow,
           request,
           { Admission::Refused,
             AdmissionBasis::Reply,
             std::clamp(retryAfter, kMinRetryAfter, kMaxRetryAfter) });
    retryAfter += IntervalOf(aState.m_limit.m_rate);
  }
  aState.m_retryAt = aNow + retryAfter;
}

void
RateLimitClient::OnFailed(TimePoint aNow,
                          const std::string& aHost,
                          PeerOutcome aOutcome)
{
  ++m_counters.m_failedMessages;
  Peer& peer = m_peers[aHost];
  peer.m_busy = false;
  peer.m_failure = aOutcome;
  peer.m_failedAt = aNow;
  ++peer.m_failures;
  for (const auto& [name, asked] : std::exchange(peer.m_asked, {})) {
    const auto found = m_tenants.find(name);
    if (found != m_tenants.end()) {
      for (WaitingRequest& waiting : found->second.m_waiting) {
        waiting.m_asked = false;
      }
      found->second.m_wants = !found->second.m_waiting.empty();
    }
  }
  m_owner.OnPeer(aNow, aHost, aOutcome);
  SendWanted(aNow);
}

} // namespace goldcrestkeel
