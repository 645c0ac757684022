#include "OwnerTimes.h"

#include <goldcrestkeel/admission/RateLimitOwner.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace goldcrestkeel {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
/** A timer that is this late shows that the process was paused; others may have
 *  granted meanwhile. */
constexpr Duration kPauseTime{ 1000000 };
/** A host with a claim that was silent for this time may be continuing without
 *  an owner. Hosts with a claim send a message at least every 0.4 s. */
constexpr Duration kSilence{ 600000 };
/** Smallest capacity of a bucket, as time at the limit. Requests for tokens
 * come in batches, so that some tokens must be kept even without a burst. */
constexpr double kMinCapacitySeconds = 0.1;
/** Longest time in which refused requests are expected to be admitted. */
constexpr Duration kMaxBacklog{ 2000000 };
/** Most hosts that a reply names as granting tokens. */
constexpr std::size_t kMaxGranters = 32;
/** Shortest Retry-After. */
constexpr Duration kMinRetryAfter{ 5000 };

double
SecondsOf(Duration aTime)
{
  return static_cast<double>(aTime.count()) / kMicrosecondsPerSecond;
}

double
CapacityOf(const RateLimit& aLimit)
{
  return std::max({ 1.0, aLimit.m_burst, aLimit.m_rate * kMinCapacitySeconds });
}

} // namespace

RateLimitOwner::RateLimitOwner(TimePoint aNow,
                               OwnerCandidate aSelf,
                               std::uint64_t aInstance,
                               Sink& aSink)
  : m_self(std::move(aSelf))
  , m_instance(aInstance)
  , m_sink(aSink)
  , m_timerAt(aNow + kProbeInterval)
{
}

void
RateLimitOwner::SetHosts(TimePoint aNow, std::vector<OwnerCandidate> aHosts)
{
  std::erase_if(aHosts, [&](const OwnerCandidate& aHost) {
    return aHost.m_id == m_self.m_id || aHost.m_address.empty();
  });
  // A host that others cannot ask owns limits only if there are no others.
  if (!m_self.m_address.empty() || aHosts.empty()) {
    aHosts.push_back(m_self);
  }
  m_hosts = std::move(aHosts);
  m_listed.clear();
  for (const OwnerCandidate& host : m_hosts) {
    m_listed.insert(host.m_id);
  }
  RankAll(aNow);
}

void
RateLimitOwner::SetLimits(TimePoint aNow,
                          const std::map<std::string, RateLimit>& aLimits)
{
  std::erase_if(m_tenants, [&](const auto& aTenant) {
    return !aLimits.contains(aTenant.first);
  });
  for (const auto& [name, limit] : aLimits) {
    TenantState& state = m_tenants[name];
    state.m_limit = limit;
    if (state.m_bucket) {
      state.m_bucket->SetLimits(
        aNow, limit.m_rate * state.m_share, CapacityOf(limit) * state.m_share);
    }
  }
  RankAll(aNow);
}

void
RateLimitOwner::RankAll(TimePoint aNow)
{
  for (auto& [name, state] : m_tenants) {
    state.m_ranked.clear();
    for (const std::size_t index : RankOwners(m_hosts, name)) {
      state.m_ranked.push_back(m_hosts[index]);
    }
    const bool first =
      !state.m_ranked.empty() && state.m_ranked.front().m_id == m_self.m_id;
    // The bucket of an owner fills from when it became the owner, so that the
    // first requests of a tenant find tokens.
    if (first && state.m_outcome != GrantOutcome::Decided) {
      Enter(aNow, name, state, { GrantOutcome::Decided, 0, 1, m_self });
    }
  }
}

TokenReply
RateLimitOwner::OnMessage(TimePoint aNow, const TokenMessage& aMessage)
{
  CheckPause(aNow);
  const std::string& from = aMessage.m_from.m_id;
  if (from != m_self.m_id) {
    OnPeer(aNow, from, PeerOutcome::Answered);
    if (aMessage.m_grants && !aMessage.m_from.m_address.empty() &&
        HasRoomFor(m_granters, from)) {
      m_granters[from] = { aMessage.m_from, aNow, true };
    }
  }
  TokenReply reply;
  reply.m_instance = m_instance;
  if (aMessage.m_requests.empty() && aMessage.m_grants) {
    for (const auto& [id, granter] : m_granters) {
      // Only what the host itself has stated, so that news of a host that is
      // gone do not go round.
      if (id != from && granter.m_direct &&
          aNow - granter.m_at <= kPeerValidity &&
          reply.m_granters.size() < kMaxGranters) {
        reply.m_granters.push_back(granter.m_host);
      }
    }
  }
  for (const TokenRequest& request : aMessage.m_requests) {
    reply.m_grants.push_back(Grant(aNow, aMessage, request));
  }
  return reply;
}

TokenGrant
RateLimitOwner::Grant(TimePoint aNow,
                      const TokenMessage& aMessage,
                      const TokenRequest& aRequest)
{
  TokenGrant grant;
  grant.m_tenant = aRequest.m_tenant;
  const auto found = m_tenants.find(aRequest.m_tenant);
  if (found == m_tenants.end()) {
    grant.m_outcome = GrantOutcome::NotResponsible;
    return grant;
  }
  TenantState& state = found->second;
  const Role role = RoleFor(aNow, found->first, state);
  Enter(aNow, found->first, state, role);
  state.m_askedAt = aNow;
  grant.m_outcome = role.m_outcome;
  if (role.m_outcome == GrantOutcome::Redirected) {
    grant.m_owner = role.m_owner;
  } else if (role.m_outcome == GrantOutcome::Decided) {
    Decide(aNow, state, aMessage, aRequest, grant);
  }
  return grant;
}

void
RateLimitOwner::Decide(TimePoint aNow,
                       TenantState& aState,
                       const TokenMessage& aMessage,
                       const TokenRequest& aRequest,
                       TokenGrant& aGrant)
{
  const std::string& host = aMessage.m_from.m_id;
  ChargeSilentHosts(aNow, aState);
  UpdateClaim(aNow, aState, host, aRequest);
  TokenBucket& bucket = *aState.m_bucket;
  if (aMessage.m_instance == m_instance) {
    bucket.Adjust(aNow, aRequest.m_returned);
    m_counters.m_returned += aRequest.m_returned;
  }
  const std::uint32_t taken = bucket.Take(aNow, aRequest.m_waiting);
  const std::uint32_t refused = aRequest.m_waiting - taken;
  std::uint32_t ahead = 0;
  if (refused == 0 && aRequest.m_ahead > 0) {
    const double level = bucket.Level(aNow);
    double part = 1;
    if (level < CapacityOf(aState.m_limit) * aState.m_share / 2) {
      double claims = 0;
      for (const auto& [id, claim] : aState.m_claims) {
        claims += claim.m_rate;
      }
      part = claims > 0 ? aRequest.m_claim / claims : 0;
    }
    const double allowed = std::max(0.0, level * std::min(1.0, part));
    ahead = bucket.Take(
      aNow,
      static_cast<std::uint32_t>(std::min<double>(aRequest.m_ahead, allowed)));
  }
  aGrant.m_tokens = taken + ahead;
  aGrant.m_nextToken = bucket.TimeTo(aNow, 1);
  aGrant.m_ample = refused == 0 && aState.m_share == 1 &&
                   2 * bucket.Level(aNow) >= CapacityOf(aState.m_limit);
  if (refused > 0) {
    const double rate = aState.m_limit.m_rate * aState.m_share;
    const TimePoint slot =
      std::max(aState.m_nextSlot, aNow + aGrant.m_nextToken);
    aGrant.m_retryAfter = std::max(kMinRetryAfter, slot - aNow);
    const Duration later(static_cast<Duration::rep>(
      std::min(refused / rate, SecondsOf(kMaxBacklog)) *
      kMicrosecondsPerSecond));
    // Callers who have left do not come back: the backlog must not grow
    // forever.
    aState.m_nextSlot =
      std::min(slot + later, aNow + aGrant.m_nextToken + kMaxBacklog);
  }
  m_counters.m_granted += aGrant.m_tokens;
  m_counters.m_denied += refused;
}

void
RateLimitOwner::Enter(TimePoint aNow,
                      const std::string& aTenant,
                      TenantState& aState,
                      const Role& aRole)
{
  const bool grants = aRole.m_outcome == GrantOutcome::Decided;
  const double rate = aState.m_limit.m_rate * aRole.m_share;
  const double capacity = CapacityOf(aState.m_limit) * aRole.m_share;
  if (grants &&
      (!aState.m_bucket || aState.m_outcome != GrantOutcome::Decided)) {
    aState.m_bucket.emplace(aNow, rate, capacity);
    aState.m_claims.clear();
  } else if (grants && aRole.m_share != aState.m_share) {
    aState.m_bucket->SetLimits(aNow, rate, capacity);
  }
  if (aRole.m_outcome != aState.m_outcome || aRole.m_share != aState.m_share) {
    m_sink.LogOwner({ aTenant,
                      aRole.m_outcome,
                      aRole.m_rank,
                      aRole.m_share,
                      aState.m_outcomeSince == TimePoint()
                        ? Duration(0)
                        : aNow - aState.m_outcomeSince });
    aState.m_outcomeSince = aNow;
  }
  aState.m_outcome = aRole.m_outcome;
  aState.m_share = aRole.m_share;
}

void
RateLimitOwner::ChargeSilentHosts(TimePoint aNow, TenantState& aState)
{
  for (auto& [id, claim] : aState.m_claims) {
    const TimePoint from =
      std::max(claim.m_heardAt + kSilence, claim.m_chargedUntil);
    const TimePoint until = std::min(aNow, claim.m_heardAt + kClaimValidity);
    if (until > from) {
      const double tokens = claim.m_rate * SecondsOf(until - from);
      aState.m_bucket->Adjust(aNow, -tokens);
      claim.m_reserved += tokens;
      claim.m_chargedUntil = until;
    }
  }
}

void
RateLimitOwner::UpdateClaim(TimePoint aNow,
                            TenantState& aState,
                            const std::string& aHost,
                            const TokenRequest& aRequest)
{
  const auto found = aState.m_claims.find(aHost);
  double reserved = 0;
  if (found != aState.m_claims.end()) {
    reserved = found->second.m_reserved;
    aState.m_claims.erase(found);
  }
  aState.m_bucket->Adjust(aNow, reserved - aRequest.m_fallbackUsed);
  if (aRequest.m_claim > 0 && aHost != m_self.m_id &&
      HasRoomFor(aState.m_claims, aHost)) {
    aState.m_claims[aHost] = {
      std::min(aRequest.m_claim, aState.m_limit.m_rate), aNow, aNow
    };
  }
}

void
RateLimitOwner::CheckPause(TimePoint aNow)
{
  if (aNow <= *m_timerAt + kPauseTime) {
    return;
  }
  m_timerAt = aNow + kProbeInterval;
  m_granters.clear();
  for (auto& [name, state] : m_tenants) {
    state.m_bucket.reset();
    state.m_claims.clear();
    if (state.m_outcome == GrantOutcome::Decided) {
      state.m_bucket.emplace(aNow,
                             state.m_limit.m_rate * state.m_share,
                             CapacityOf(state.m_limit) * state.m_share);
    }
  }
}

void
RateLimitOwner::OnTimer(TimePoint aNow)
{
  if (aNow < *m_timerAt) {
    return;
  }
  CheckPause(aNow);
  m_timerAt = aNow + kProbeInterval;
  std::erase_if(m_granters, [&](const auto& aGranter) {
    return aNow - aGranter.second.m_at > kPeerValidity;
  });
  std::erase_if(m_peers, [&](const auto& aPeer) {
    return aNow - std::max(aPeer.second.m_at,
                           aPeer.second.m_probedAt.value_or(TimePoint())) >
           10 * kPeerValidity;
  });
  for (auto& [name, state] : m_tenants) {
    if (state.m_outcome != GrantOutcome::Decided) {
      continue;
    }
    if (state.m_ranked.empty() || state.m_ranked.front().m_id != m_self.m_id) {
      // A substitute keeps its bucket only while it knows without a gap that
      // the owner does not answer: the owner may grant afterwards.
      const bool busy = aNow - state.m_askedAt <= kBusyTime;
      Enter(aNow, name, state, busy ? RoleFor(aNow, name, state) : Role());
      if (state.m_outcome != GrantOutcome::Decided) {
        continue;
      }
    }
    ChargeSilentHosts(aNow, state);
    std::erase_if(state.m_claims, [&](const auto& aClaim) {
      return aNow - aClaim.second.m_heardAt > 2 * kClaimValidity;
    });
  }
  ProbeCandidates(aNow);
}

} // namespace goldcrestkeel
