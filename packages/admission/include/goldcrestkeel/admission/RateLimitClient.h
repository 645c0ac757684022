#pragma once

#include <goldcrestkeel/admission/RateLimitMessage.h>
#include <goldcrestkeel/admission/RateLimitOwner.h>
#include <goldcrestkeel/admission/TokenBucket.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestkeel {

enum class Admission
{
  Admitted,
  /** Waits for the reply of an owner; the sink is called later. */
  Waiting,
  /** Above the limit. */
  Refused,
};

std::string_view
NameOf(Admission aAdmission);

/** What an admission was decided by. */
enum class AdmissionBasis
{
  /** The tenant has no limit. */
  NoLimit,
  /** A token that was granted before. */
  Token,
  /** The owner is told afterwards, as it has lately had ample tokens. */
  Ahead,
  /** The reply of an owner to this request. */
  Reply,
  /** No owner answered in time: the last granted rate or an equal share. */
  Fallback,
  /** An owner has stated lately that there are no tokens. */
  Exhausted,
};

std::string_view
NameOf(AdmissionBasis aBasis);

struct AdmissionResult
{
  Admission m_admission = Admission::Admitted;
  AdmissionBasis m_basis = AdmissionBasis::NoLimit;
  /** After this time a refused request is expected to be admitted. */
  Duration m_retryAfter{ 0 };
  /** How long the request waited. */
  Duration m_age{ 0 };
};

struct RateLimitClientCounters
{
  std::uint64_t m_admitted = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_waited = 0;
  /** Admitted without a token because no owner answered. */
  std::uint64_t m_fallbacks = 0;
  std::uint64_t m_messages = 0;
  std::uint64_t m_failedMessages = 0;
};

/** Admits the requests that this host receives by tokens that it requests from
 *  the owners of the tenants' limits. */
class RateLimitClient
{
public:
  using RequestId = std::uint64_t;

  /** Must outlive the object. */
  class Sink
  {
  public:
    virtual ~Sink() = default;
    /** Sends aMessage to another host. Exactly one call of OnReply() or
     *  OnFailed() follows, within kPeerTimeout. */
    virtual void Send(const OwnerCandidate& aHost,
                      const TokenMessage& aMessage) = 0;
    /** A request that was waiting is admitted or refused. */
    virtual void OnDecided(RequestId aRequest,
                           const AdmissionResult& aResult) = 0;
  };

  /** aOwner: the grants of this host. */
  RateLimitClient(OwnerCandidate aSelf, RateLimitOwner& aOwner, Sink& aSink);

  /** Validity of tokens from when they are requested, at most
   *  kGrantValidity. */
  void SetGrantValidity(Duration aValidity);
  /** aLive: number of live hosts, at least 1. */
  void SetHosts(std::vector<OwnerCandidate> aHosts, std::size_t aLive);
  void SetLimits(TimePoint aNow,
                 const std::map<std::string, RateLimit>& aLimits);

  /** Decides on a request. If it must wait, it is decided by aWaitUntil.
   *  aRequest is not 0. */
  AdmissionResult Admit(TimePoint aNow,
                        const std::string& aTenant,
                        RequestId aRequest,
                        TimePoint aWaitUntil);
  /** The caller of a waiting request has left. */
  void Cancel(const std::string& aTenant, RequestId aRequest);
  /** A request that was admitted is refused and has not run. */
  void GiveBack(const std::string& aTenant);

  void OnReply(TimePoint aNow,
               const std::string& aHost,
               const TokenReply& aReply);
  void OnFailed(TimePoint aNow, const std::string& aHost, PeerOutcome aOutcome);

  std::optional<TimePoint> NextTimer() const;
  void OnTimer(TimePoint aNow);

  const RateLimitClientCounters& Counters() const { return m_counters; }
  std::size_t WaitingRequests() const;

private:
  struct Tokens
  {
    std::uint32_t m_count = 0;
    TimePoint m_expiresAt;
  };
  struct WaitingRequest
  {
    RequestId m_id = 0;
    TimePoint m_since;
    TimePoint m_until;
    /** A message that is under way asks for its token. */
    bool m_asked = false;
  };
  /** Events a second, averaged over an exponentially decaying time. */
  struct Rate
  {
    double m_perSecond = 0;
    TimePoint m_at;

    double Get(TimePoint aNow, Duration aTime) const;
    void Add(TimePoint aNow, Duration aTime);
  };
  struct TenantState
  {
    RateLimit m_limit;
    std::vector<OwnerCandidate> m_ranked;
    /** Owner named by another host, and how long it is believed. */
    std::optional<OwnerCandidate> m_redirect{};
    TimePoint m_redirectUntil;
    /** Hosts that are not responsible, until when they are not asked. */
    std::map<std::string, TimePoint> m_skipped{};
    std::deque<Tokens> m_tokens{};
    std::deque<WaitingRequest> m_waiting{};
    /** The next message to the owner has a request of this tenant. */
    bool m_wants = false;
    Rate m_arrivals{};
    Rate m_grants{};
    /** Unused tokens and the process that granted them. */
    std::uint32_t m_returned = 0;
    std::string m_grantedBy{};
    /** Requests admitted without a token that no owner has confirmed. */
    std::uint32_t m_fallbackUsed = 0;
    /** The last reply of an owner stated that tokens are short. */
    bool m_short = false;
    /** Claim of the last message that was answered, and when it was sent. */
    double m_claim = 0;
    TimePoint m_claimedAt;
    TimePoint m_arrivedAt;
    /** An owner has no tokens until then. */
    TimePoint m_exhaustedUntil;
    /** When a request that is refused now is expected to be admitted. */
    TimePoint m_retryAt;
    TimePoint m_askedAt;
    std::optional<TokenBucket> m_fallback{};
  };
  struct Asked
  {
    std::uint32_t m_waiting = 0;
    std::uint32_t m_returned = 0;
    std::uint32_t m_fallbackUsed = 0;
    double m_claim = 0;
  };
  struct Peer
  {
    OwnerCandidate m_host;
    bool m_busy = false;
    TimePoint m_sentAt;
    TimePoint m_nextSendAt;
    std::optional<PeerOutcome> m_failure{};
    TimePoint m_failedAt;
    /** Failures since the last reply. */
    unsigned m_failures = 0;
    std::uint64_t m_instance = 0;
    std::map<std::string, Asked> m_asked{};
  };

  /** Host to ask for a tenant's tokens; nullptr if none answers. */
  const OwnerCandidate* Target(TimePoint aNow, TenantState& aState);
  bool IsFailing(TimePoint aNow, const std::string& aHost) const;
  /** Sends what all tenants want from aHost if it may be sent now. */
  void SendTo(TimePoint aNow, const OwnerCandidate& aHost);
  void ProbeFailing(TimePoint aNow, const TenantState& aState);
  TokenRequest MakeRequest(TimePoint aNow,
                           const std::string& aTenant,
                           TenantState& aState,
                           bool aLocal);
  void OnGrant(TimePoint aNow,
               Peer& aPeer,
               TimePoint aSentAt,
               const TokenGrant& aGrant,
               const Asked& aAsked);
  void ServeWaiting(TimePoint aNow, TenantState& aState);
  void RefuseWaiting(TimePoint aNow, TenantState& aState, Duration aRetryAfter);
  bool TakeToken(TimePoint aNow, TenantState& aState);
  void DropExpired(TimePoint aNow, TenantState& aState);
  std::uint32_t TokenCount(const TenantState& aState) const;
  std::uint32_t WantedAhead(TimePoint aNow, const TenantState& aState) const;
  double ClaimOf(TimePoint aNow, const TenantState& aState) const;
  /** Whether a request may be admitted before its token is requested. Each host
   *  has at most one such request that the owner does not know of, so that all
   *  hosts together exceed the limit by at most their number. */
  static bool MayAdmitAhead(const TenantState& aState);
  AdmissionResult DecideByFallback(TimePoint aNow, TenantState& aState);
  void Decide(TimePoint aNow,
              const WaitingRequest& aRequest,
              AdmissionResult aResult);
  void Count(const AdmissionResult& aResult);
  /** Asks for the tenants that want tokens and whose host may be asked. */
  void SendWanted(TimePoint aNow);
  void Rank(const std::string& aTenant, TenantState& aState) const;

  OwnerCandidate m_self;
  RateLimitOwner& m_owner;
  Sink& m_sink;
  std::vector<OwnerCandidate> m_hosts;
  std::size_t m_liveHosts = kAssumedHosts;
  std::map<std::string, TenantState> m_tenants;
  std::map<std::string, Peer> m_peers;
  RateLimitClientCounters m_counters;
  Duration m_grantValidity = kGrantValidity;
  TimePoint m_wantedSentAt;
  /** Request that Admit() is deciding on, and its result if this host's own
   *  grant has decided it. */
  RequestId m_admitting = 0;
  std::optional<AdmissionResult> m_admitted;

  /** Number of hosts that share a limit, until the hosts are known. */
  static constexpr std::size_t kAssumedHosts = 16;
};

} // namespace goldcrestkeel
