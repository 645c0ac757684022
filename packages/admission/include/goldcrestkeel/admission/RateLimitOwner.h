#pragma once

#include <goldcrestkeel/admission/RateLimitMessage.h>
#include <goldcrestkeel/admission/TokenBucket.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace goldcrestkeel {

/** Whether this host grants a tenant's tokens, for the log. */
struct OwnerDecision
{
  std::string m_tenant;
  GrantOutcome m_outcome = GrantOutcome::Decided;
  /** 0: owner; above: substitute of the hosts that rank before it. */
  std::size_t m_rank = 0;
  /** Part of the limit that is granted. */
  double m_share = 0;
  /** How long the state before lasted. */
  Duration m_age{ 0 };
};

struct RateLimitOwnerCounters
{
  std::uint64_t m_granted = 0;
  std::uint64_t m_denied = 0;
  std::uint64_t m_returned = 0;
};

/** Grants tokens of the tenants that this host owns, and of those whose owner
 *  does not answer it. */
class RateLimitOwner
{
public:
  /** Hosts that are not listed, such as those that have just joined, of which
   *  more are ignored. */
  static constexpr std::size_t kMaxUnlistedHosts = 256;

  /** Must outlive the object. */
  class Sink
  {
  public:
    virtual ~Sink() = default;
    /** Sends aMessage, which has no requests, to find out whether aHost answers
     *  within kPeerTimeout; OnReply() or OnPeer() takes the result. */
    virtual void Probe(const OwnerCandidate& aHost,
                       const TokenMessage& aMessage) = 0;
    virtual void LogOwner(const OwnerDecision& aDecision) = 0;
  };

  /** aInstance differs between processes and is not 0. */
  RateLimitOwner(TimePoint aNow,
                 OwnerCandidate aSelf,
                 std::uint64_t aInstance,
                 Sink& aSink);

  /** The hosts that may own limits. This host takes part even if it is not
   *  listed. */
  void SetHosts(TimePoint aNow, std::vector<OwnerCandidate> aHosts);
  /** Rate limits by tenant. */
  void SetLimits(TimePoint aNow,
                 const std::map<std::string, RateLimit>& aLimits);

  TokenReply OnMessage(TimePoint aNow, const TokenMessage& aMessage);
  /** Reply of another host, whatever it was asked for. */
  void OnReply(TimePoint aNow,
               const std::string& aHost,
               const TokenReply& aReply);
  /** How a call of another host ended, whatever it was for. */
  void OnPeer(TimePoint aNow, const std::string& aHost, PeerOutcome aOutcome);

  std::optional<TimePoint> NextTimer() const { return m_timerAt; }
  void OnTimer(TimePoint aNow);

  const RateLimitOwnerCounters& Counters() const { return m_counters; }

private:
  /** What is known of another host. */
  struct Peer
  {
    PeerOutcome m_outcome = PeerOutcome::Answered;
    TimePoint m_at;
    /** Since when it has not answered. */
    TimePoint m_failedSince;
    std::optional<TimePoint> m_probedAt;
  };
  /** A host that states that it grants tokens. */
  struct Granter
  {
    OwnerCandidate m_host;
    TimePoint m_at;
    /** Stated by the host itself. */
    bool m_direct = false;
  };
  /** Rate at which a host continues if it cannot reach an owner. */
  struct Claim
  {
    double m_rate = 0;
    TimePoint m_heardAt;
    TimePoint m_chargedUntil;
    /** Tokens set aside while the host was silent. */
    double m_reserved = 0;
  };
  struct TenantState
  {
    RateLimit m_limit;
    std::vector<OwnerCandidate> m_ranked;
    GrantOutcome m_outcome = GrantOutcome::NotResponsible;
    double m_share = 0;
    TimePoint m_outcomeSince;
    /** Last request of a host. */
    TimePoint m_askedAt;
    std::optional<TokenBucket> m_bucket{};
    std::map<std::string, Claim> m_claims{};
    /** When the next refused request is expected to be admitted. */
    TimePoint m_nextSlot;
  };
  struct Role
  {
    GrantOutcome m_outcome = GrantOutcome::NotResponsible;
    std::size_t m_rank = 0;
    double m_share = 1;
    OwnerCandidate m_owner{};
  };

  TokenGrant Grant(TimePoint aNow,
                   const TokenMessage& aMessage,
                   const TokenRequest& aRequest);
  void Decide(TimePoint aNow,
              TenantState& aState,
              const TokenMessage& aMessage,
              const TokenRequest& aRequest,
              TokenGrant& aGrant);
  Role RoleFor(TimePoint aNow, const std::string& aTenant, TenantState& aState);
  void Enter(TimePoint aNow,
             const std::string& aTenant,
             TenantState& aState,
             const Role& aRole);
  /** Candidates of a tenant in order, with hosts that grant tokens but are not
   *  listed. */
  std::vector<OwnerCandidate> Candidates(TimePoint aNow,
                                         const std::string& aTenant,
                                         const TenantState& aState) const;
  /** Sets tokens aside for hosts that may be continuing without an owner. */
  void ChargeSilentHosts(TimePoint aNow, TenantState& aState);
  void UpdateClaim(TimePoint aNow,
                   TenantState& aState,
                   const std::string& aHost,
                   const TokenRequest& aRequest);
  /** Empties all buckets if this process was paused. */
  void CheckPause(TimePoint aNow);
  void RankAll(TimePoint aNow);
  void ProbeIfDue(TimePoint aNow, const OwnerCandidate& aHost);
  void ProbeCandidates(TimePoint aNow);
  const Peer* FindPeer(const std::string& aHost) const;
  /** Whether aTable, which is keyed by host, has room for aHost: any process
   *  may claim to be a host, but only listed hosts are always tracked. */
  template<typename Table>
  bool HasRoomFor(const Table& aTable, const std::string& aHost) const
  {
    return aTable.contains(aHost) || m_listed.contains(aHost) ||
           aTable.size() < m_listed.size() + kMaxUnlistedHosts;
  }
  /** Part of the other hosts that were heard of lately, and this one. */
  double ReachedPart(TimePoint aNow) const;

  OwnerCandidate m_self;
  std::uint64_t m_instance;
  Sink& m_sink;
  std::vector<OwnerCandidate> m_hosts;
  /** Ids of m_hosts. */
  std::set<std::string> m_listed;
  std::map<std::string, TenantState> m_tenants;
  std::map<std::string, Peer> m_peers;
  std::map<std::string, Granter> m_granters;
  std::optional<TimePoint> m_timerAt;
  RateLimitOwnerCounters m_counters;
};

} // namespace goldcrestkeel
