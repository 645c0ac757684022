#include "RateLimits.h"

#include <algorithm>
#include <utility>

namespace goldcrestkeel {

namespace {

/** Longest time that a request waits for the reply of an owner. It covers a
 *  round trip between regions and a busy host. */
constexpr Duration kMaxWait{ 80000 };
/** Part of the time until its deadline that a request waits at most. */
constexpr int kWaitDivisor = 5;

std::vector<OwnerCandidate>
CandidatesOf(const std::vector<HostRecord>& aHosts)
{
  std::vector<OwnerCandidate> candidates;
  for (const HostRecord& host : aHosts) {
    candidates.push_back({ host.m_id, host.m_relayAddress, host.m_cores });
  }
  return candidates;
}

} // namespace

RateLimits::RateLimits(Loop& aLoop,
                       DecisionLog& aLog,
                       RandomSource& aRandom,
                       OwnerCandidate aSelf,
                       Duration aGrantValidity,
                       OnDecidedFunction aOnDecided)
  : m_loop(aLoop)
  , m_log(aLog)
  , m_onDecided(std::move(aOnDecided))
  , m_owner(aLoop.Now(),
            aSelf,
            std::max<std::uint64_t>(1, aRandom.Next()),
            *this)
  , m_client(std::move(aSelf), m_owner, *this)
  , m_timer(aLoop, [this] {
    m_timerAt.reset();
    if (m_active) {
      m_owner.OnTimer(m_loop.Now());
      m_client.OnTimer(m_loop.Now());
      ArmTimer();
    }
  })
{
  m_client.SetGrantValidity(aGrantValidity);
}

RateLimits::~RateLimits() = default;

void
RateLimits::SetHosts(const std::vector<HostRecord>& aHosts)
{
  const std::vector<OwnerCandidate> candidates = CandidatesOf(aHosts);
  m_owner.SetHosts(m_loop.Now(), candidates);
  m_client.SetHosts(candidates, aHosts.size());
  std::erase_if(m_peers, [&](const auto& aPeer) {
    return aPeer.second->m_openCalls == 0 &&
           std::none_of(candidates.begin(),
                        candidates.end(),
                        [&](const OwnerCandidate& aHost) {
                          return aHost.m_address == aPeer.first;
                        });
  });
  ArmTimer();
}

void
RateLimits::SetTenants(const std::vector<Tenant>& aTenants)
{
  std::map<std::string, RateLimit> limits;
  for (const Tenant& tenant : aTenants) {
    if (tenant.HasRateLimit()) {
      limits[tenant.m_name] = { tenant.m_ratePerSecond, tenant.m_burst };
    }
  }
  if (!m_active && limits.empty()) {
    return;
  }
  // The timer did not run without limits.
  m_owner.OnTimer(m_loop.Now());
  m_active = !limits.empty();
  m_owner.SetLimits(m_loop.Now(), limits);
  m_client.SetLimits(m_loop.Now(), limits);
  ArmTimer();
}

AdmissionResult
RateLimits::Admit(const std::string& aTenant,
                  RateLimitClient::RequestId aRequest,
                  TimePoint aDeadline)
{
  if (!m_active) {
    return {};
  }
  const TimePoint now = m_loop.Now();
  const Duration wait = std::clamp<Duration>(
    (aDeadline - now) / kWaitDivisor, Duration(0), kMaxWait);
  const AdmissionResult result =
    m_client.Admit(now, aTenant, aRequest, now + wait);
  ArmTimer();
  return result;
}

void
RateLimits::Cancel(const std::string& aTenant,
                   RateLimitClient::RequestId aRequest)
{
  m_client.Cancel(aTenant, aRequest);
}

void
RateLimits::GiveBack(const std::string& aTenant)
{
  m_client.GiveBack(aTenant);
}

std::string
RateLimits::OnMessage(std::string_view aBody)
{
  const TokenMessage message = DecodeTokenMessage(aBody);
  const TokenReply reply = m_owner.OnMessage(m_loop.Now(), message);
  for (const TokenGrant& grant : reply.m_grants) {
    if (grant.m_outcome == GrantOutcome::NotResponsible) {
      m_log.Write(LogPriority::Request,
                  "rate_limit_not_responsible",
                  { { "from", std::string_view(message.m_from.m_id) },
                    { "tenant", std::string_view(grant.m_tenant) } });
    }
  }
  ArmTimer();
  return EncodeTokenReply(reply);
}

template<typename Receiver>
RateLimits::OnResult
RateLimits::DeliverTo(Receiver& aReceiver,
                      void (Receiver::*aOnFailure)(TimePoint,
                                                   const std::string&,
                                                   PeerOutcome))
{
  return [this, &aReceiver, aOnFailure](const std::string& aHost,
                                        PeerOutcome aOutcome,
                                        const TokenReply& aReply) {
    if (aOutcome == PeerOutcome::Answered) {
      aReceiver.OnReply(m_loop.Now(), aHost, aReply);
    } else {
      (aReceiver.*aOnFailure)(m_loop.Now(), aHost, aOutcome);
    }
  };
}

void
RateLimits::Probe(const OwnerCandidate& aHost, const TokenMessage& aMessage)
{
  Call(aHost, aMessage, DeliverTo(m_owner, &RateLimitOwner::OnPeer));
}

void
RateLimits::Send(const OwnerCandidate& aHost, const TokenMessage& aMessage)
{
  Call(aHost, aMessage, DeliverTo(m_client, &RateLimitClient::OnFailed));
}

void
RateLimits::OnDecided(RateLimitClient::RequestId aRequest,
                      const AdmissionResult& aResult)
{
  m_onDecided(aRequest, aResult);
}

void
RateLimits::LogOwner(const OwnerDecision& aDecision)
{
  m_log.Write(LogPriority::Request,
              "rate_limit_owner",
              { { "tenant", std::string_view(aDecision.m_tenant) },
                { "outcome", NameOf(aDecision.m_outcome) },
                { "rank", static_cast<std::int64_t>(aDecision.m_rank) },
                { "share", aDecision.m_share },
                { "age_ms", aDecision.m_age.count() / 1000.0 } });
}

void
RateLimits::Call(const OwnerCandidate& aHost,
                 const TokenMessage& aMessage,
                 const OnResult& aOnResult)
{
  Start(aHost,
        EncodeTokenMessage(aMessage),
        m_loop.Now() + kPeerTimeout,
        true,
        aOnResult);
}

void
RateLimits::Start(const OwnerCandidate& aHost,
                  const std::string& aBody,
                  TimePoint aEndsAt,
                  bool aMayRepeat,
                  const OnResult& aOnResult)
{
  std::unique_ptr<Peer>& slot = m_peers[aHost.m_address];
  if (!slot) {
    slot.reset(new Peer{ { m_loop, aHost.m_address } });
  }
  Peer& peer = *slot;
  ++peer.m_openCalls;
  HttpCall call;
  call.m_method = kTokenMessageMethod;
  call.m_target = kTokenMessageTarget;
  call.m_body = aBody;
  call.m_timeout = aEndsAt - m_loop.Now();
  call.m_maxAnswerBytes = kMaxTokenMessageBytes;
  peer.m_caller.Call(
    call,
    [this, &peer, aHost, aBody, aEndsAt, aMayRepeat, aOnResult](
      const HttpCallResult& aResult) {
      --peer.m_openCalls;
      // The other host may have closed the connection as idle at this moment.
      if (aMayRepeat && aResult.m_reason == "broken" &&
          m_loop.Now() < aEndsAt) {
        Start(aHost, aBody, aEndsAt, false, aOnResult);
        return;
      }
      OnCallEnded(aHost, aResult, aOnResult);
      ArmTimer();
    });
}

void
RateLimits::OnCallEnded(const OwnerCandidate& aHost,
                        const HttpCallResult& aResult,
                        const OnResult& aOnResult)
{
  std::string reason(aResult.m_reason);
  if (aResult.m_outcome == CallOutcome::Answered && aResult.m_status == 200) {
    std::optional<TokenReply> reply;
    try {
      reply = DecodeTokenReply(aResult.m_body);
    } catch (const std::exception& error) {
      reason = error.what();
    }
    if (reply) {
      aOnResult(aHost.m_id, PeerOutcome::Answered, *reply);
      return;
    }
  }
  m_log.Write(LogPriority::Request,
              "rate_limit_message_failed",
              { { "to", std::string_view(aHost.m_id) },
                { "outcome", NameOf(aResult.m_outcome) },
                { "reason", std::string_view(reason) },
                { "status", static_cast<std::int64_t>(aResult.m_status) } });
  const bool refused =
    aResult.m_outcome == CallOutcome::NotSent && aResult.m_reason == "refused";
  aOnResult(
    aHost.m_id, refused ? PeerOutcome::Refused : PeerOutcome::TimedOut, {});
}

void
RateLimits::ArmTimer()
{
  if (!m_active) {
    return;
  }
  auto next = m_owner.NextTimer();
  if (const auto client = m_client.NextTimer()) {
    next = std::min(next.value_or(*client), *client);
  }
  if (next && (!m_timerAt || *next < *m_timerAt)) {
    m_timerAt = next;
    m_timer.SetAt(*next);
  }
}

} // namespace goldcrestkeel
