#include "RateLimitTimes.h"

#include <goldcrestkeel/admission/RateLimitClient.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace goldcrestkeel {

namespace {

constexpr std::array<std::string_view, 3> kAdmissions{ "admitted",
                                                       "waiting",
                                                       "refused" };
constexpr std::array<std::string_view, 6> kBases{ "no_limit", "token",
                                                  "ahead",    "reply",
                                                  "fallback", "exhausted" };

} // namespace

std::string_view
NameOf(Admission aAdmission)
{
  return kAdmissions.at(static_cast<std::size_t>(aAdmission));
}

std::string_view
NameOf(AdmissionBasis aBasis)
{
  return kBases.at(static_cast<std::size_t>(aBasis));
}

RateLimitClient::RateLimitClient(OwnerCandidate aSelf,
                                 RateLimitOwner& aOwner,
                                 Sink& aSink)
  : m_self(std::move(aSelf))
  , m_owner(aOwner)
  , m_sink(aSink)
{
}

void
RateLimitClient::SetGrantValidity(Duration aValidity)
{
  m_grantValidity = std::min(aValidity, kGrantValidity);
}

void
RateLimitClient::SetHosts(std::vector<OwnerCandidate> aHosts, std::size_t aLive)
{
  std::erase_if(aHosts, [&](const OwnerCandidate& aHost) {
    return aHost.m_id == m_self.m_id || aHost.m_address.empty();
  });
  if (!m_self.m_address.empty() || aHosts.empty()) {
    aHosts.push_back(m_self);
  }
  m_hosts = std::move(aHosts);
  m_liveHosts = std::max<std::size_t>(1, aLive);
  std::erase_if(m_peers, [&](const auto& aPeer) {
    return !aPeer.second.m_busy &&
           std::none_of(
             m_hosts.begin(), m_hosts.end(), [&](const OwnerCandidate& aHost) {
               return aHost == aPeer.second.m_host;
             });
  });
  for (auto& [name, state] : m_tenants) {
    Rank(name, state);
  }
}

void
RateLimitClient::Rank(const std::string& aTenant, TenantState& aState) const
{
  aState.m_ranked.clear();
  for (const std::size_t index : RankOwners(m_hosts, aTenant)) {
    aState.m_ranked.push_back(m_hosts[index]);
  }
}

void
RateLimitClient::SetLimits(TimePoint aNow,
                           const std::map<std::string, RateLimit>& aLimits)
{
  std::vector<WaitingRequest> unlimited;
  std::erase_if(m_tenants, [&](auto& aTenant) {
    if (aLimits.contains(aTenant.first)) {
      return false;
    }
    const auto& waiting = aTenant.second.m_waiting;
    unlimited.insert(unlimited.end(), waiting.begin(), waiting.end());
    return true;
  });
  for (const auto& [name, limit] : aLimits) {
    TenantState& state = m_tenants[name];
    const double share = limit.m_rate / static_cast<double>(m_liveHosts);
    if (state.m_fallback) {
      state.m_fallback->SetLimits(aNow, share, 1);
    } else {
      state.m_fallback.emplace(aNow, share, 1);
      Rank(name, state);
    }
    state.m_limit = limit;
  }
  for (const WaitingRequest& request : unlimited) {
    Decide(aNow, request, { Admission::Admitted, AdmissionBasis::NoLimit });
  }
}

AdmissionResult
RateLimitClient::Admit(TimePoint aNow,
                       const std::string& aTenant,
                       RequestId aRequest,
                       TimePoint aWaitUntil)
{
  const auto found = m_tenants.find(aTenant);
  if (found == m_tenants.end()) {
    return {};
  }
  TenantState& state = found->second;
  state.m_arrivals.Add(aNow, kDemandTime);
  state.m_arrivedAt = aNow;
  AdmissionResult result;
  if (state.m_waiting.empty() && TakeToken(aNow, state)) {
    result = { Admission::Admitted, AdmissionBasis::Token };
    const OwnerCandidate* target = Target(aNow, state);
    // Half is left for the time until the reply.
    if (target && 2 * TokenCount(state) < WantedAhead(aNow, state)) {
      state.m_wants = true;
      SendTo(aNow, *target);
    }
  } else if (aNow < state.m_exhaustedUntil) {
    state.m_retryAt = std::max(state.m_retryAt, state.m_exhaustedUntil);
    result = { Admission::Refused,
               AdmissionBasis::Exhausted,
               std::max(kMinRetryAfter, state.m_retryAt - aNow) };
    state.m_retryAt =
      std::min(state.m_retryAt + IntervalOf(state.m_limit.m_rate),
               aNow + kMaxRetryAfter);
  } else if (const OwnerCandidate* target = Target(aNow, state);
             target && target->m_id != m_self.m_id && MayAdmitAhead(state)) {
    ++state.m_fallbackUsed;
    state.m_grants.Add(aNow, kClaimTime);
    state.m_wants = true;
    SendTo(aNow, *target);
    result = { Admission::Admitted, AdmissionBasis::Ahead };
  } else if (target) {
    state.m_waiting.push_back({ aRequest, aNow, aWaitUntil });
    state.m_wants = true;
    m_admitting = aRequest;
    m_admitted.reset();
    SendTo(aNow, *target);
    m_admitting = 0;
    if (m_admitted) {
      return *m_admitted;
    }
    ++m_counters.m_waited;
    return { Admission::Waiting, AdmissionBasis::Reply };
  } else {
    result = DecideByFallback(aNow, state);
  }
  Count(result);
  return result;
}

void
RateLimitClient::Cancel(const std::string& aTenant, RequestId aRequest)
{
  const auto found = m_tenants.find(aTenant);
  if (found != m_tenants.end()) {
    std::erase_if(found->second.m_waiting, [&](const WaitingRequest& aWaiting) {
      return aWaiting.m_id == aRequest;
    });
  }
}

void
RateLimitClient::GiveBack(const std::string& aTenant)
{
  const auto found = m_tenants.find(aTenant);
  if (found != m_tenants.end()) {
    ++found->second.m_returned;
  }
}

bool
RateLimitClient::MayAdmitAhead(const TenantState& aState)
{
  return !aState.m_short && aState.m_fallbackUsed == 0 &&
         aState.m_waiting.empty();
}

AdmissionResult
RateLimitClient::DecideByFallback(TimePoint aNow, TenantState& aState)
{
  const double share = aState.m_limit.m_rate / static_cast<double>(m_liveHosts);
  const bool claims = aNow - aState.m_claimedAt < kClaimValidity;
  const double rate = std::max(share, claims ? aState.m_claim : 0.0);
  TokenBucket& bucket = *aState.m_fallback;
  bucket.SetLimits(aNow, rate, std::max(1.0, rate * kFallbackSeconds));
  if (bucket.Take(aNow, 1) > 0) {
    ++aState.m_fallbackUsed;
    return { Admission::Admitted, AdmissionBasis::Fallback };
  }
  return { Admission::Refused,
           AdmissionBasis::Fallback,
           std::clamp(bucket.TimeTo(aNow, 1), kMinRetryAfter, kMaxRetryAfter) };
}

void
RateLimitClient::Count(const AdmissionResult& aResult)
{
  if (aResult.m_admission == Admission::Refused) {
    ++m_counters.m_refused;
    return;
  }
  ++m_counters.m_admitted;
  if (aResult.m_basis == AdmissionBasis::Fallback) {
    ++m_counters.m_fallbacks;
  }
}

void
RateLimitClient::Decide(TimePoint aNow,
                        const WaitingRequest& aRequest,
                        AdmissionResult aResult)
{
  aResult.m_age = aNow - aRequest.m_since;
  Count(aResult);
  if (aRequest.m_id == m_admitting) {
    m_admitted = aResult;
    return;
  }
  m_sink.OnDecided(aRequest.m_id, aResult);
}

std::size_t
RateLimitClient::WaitingRequests() const
{
  std::size_t count = 0;
  for (const auto& [name, state] : m_tenants) {
    count += state.m_waiting.size();
  }
  return count;
}

std::optional<TimePoint>
RateLimitClient::NextTimer() const
{
  std::optional<TimePoint> next;
  const auto add = [&](TimePoint aAt) {
    next = std::min(next.value_or(aAt), aAt);
  };
  bool wants = false;
  for (const auto& [name, state] : m_tenants) {
    for (const WaitingRequest& request : state.m_waiting) {
      add(request.m_until);
    }
    wants = wants || state.m_wants;
    if (state.m_claim > 0) {
      add(std::max(state.m_askedAt, state.m_claimedAt) + kClaimRenewal);
    }
  }
  if (wants) {
    for (const auto& [id, peer] : m_peers) {
      if (!peer.m_busy && peer.m_nextSendAt > m_wantedSentAt) {
        add(peer.m_nextSendAt);
      }
    }
  }
  return next;
}

void
RateLimitClient::OnTimer(TimePoint aNow)
{
  for (auto& [name, state] : m_tenants) {
    // A claim is renewed while it holds, or withdrawn.
    if (state.m_claim > 0 &&
        aNow - std::max(state.m_askedAt, state.m_claimedAt) >= kClaimRenewal) {
      state.m_askedAt = aNow;
      state.m_wants = true;
      if (aNow - state.m_claimedAt >= kClaimValidity) {
        state.m_claim = 0;
      }
    }
    std::vector<WaitingRequest> late;
    std::erase_if(state.m_waiting, [&](const WaitingRequest& aRequest) {
      if (aRequest.m_until > aNow) {
        return false;
      }
      late.push_back(aRequest);
      return true;
    });
    for (const WaitingRequest& request : late) {
      Decide(aNow, request, DecideByFallback(aNow, state));
    }
  }
  SendWanted(aNow);
}

} // namespace goldcrestkeel
