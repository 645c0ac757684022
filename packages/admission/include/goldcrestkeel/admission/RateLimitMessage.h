#pragma once

#include <goldcrestkeel/admission/OwnerRanking.h>
#include <goldcrestkeel/core/Time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** Rate limit of a tenant over all hosts. */
struct RateLimit
{
  /** Requests a second; positive. */
  double m_rate = 0;
  /** Requests beyond the rate that may come at once. */
  double m_burst = 0;

  bool operator==(const RateLimit&) const = default;
};

/** How a call of another host ended. */
enum class PeerOutcome
{
  Answered,
  /** The connection was refused: no process listens there. */
  Refused,
  /** No answer in time; the host may be alive. */
  TimedOut,
};

std::string_view
NameOf(PeerOutcome aOutcome);

/** What a host wants for one tenant. */
struct TokenRequest
{
  std::string m_tenant;
  /** Tokens for requests that wait for them. */
  std::uint32_t m_waiting = 0;
  /** Tokens for requests that are expected soon. */
  std::uint32_t m_ahead = 0;
  /** Tokens of earlier grants that expired unused or are not needed. */
  std::uint32_t m_returned = 0;
  /** Requests admitted without a token since the last request that the owner
   *  answered. */
  std::uint32_t m_fallbackUsed = 0;
  /** Rate at which the host continues, for a limited time, if it reaches no
   *  owner; in requests a second. */
  double m_claim = 0;

  bool operator==(const TokenRequest&) const = default;
};

/** Message to an owner. Without m_requests it only asks whether the receiver
 *  answers. */
struct TokenMessage
{
  OwnerCandidate m_from;
  /** The sender grants tokens of the tenants for which it ranks first. */
  bool m_grants = false;
  /** Process of the receiver that granted the returned tokens; 0 for none. */
  std::uint64_t m_instance = 0;
  std::vector<TokenRequest> m_requests;

  bool operator==(const TokenMessage&) const = default;
};

/** Outcome of a TokenRequest. */
enum class GrantOutcome
{
  /** The receiver decided; the requests without a token are above the limit. */
  Decided,
  /** Another host is responsible: m_owner. */
  Redirected,
  /** The receiver does not know yet whether the hosts that rank before it
   *  answer. */
  Checking,
  /** The receiver is neither owner nor substitute, or knows no such limit. */
  NotResponsible,
};

std::string_view
NameOf(GrantOutcome aOutcome);

/** Inverse of NameOf(GrantOutcome); nothing for any other name. */
std::optional<GrantOutcome>
GrantOutcomeFromName(std::string_view aName);

/** Reply to one TokenRequest. */
struct TokenGrant
{
  std::string m_tenant;
  GrantOutcome m_outcome = GrantOutcome::Decided;
  /** Tokens for waiting requests first, then tokens ahead. */
  std::uint32_t m_tokens = 0;
  /** When the next token is expected. */
  Duration m_nextToken{ 0 };
  /** When a request that is refused now is expected to be admitted. */
  Duration m_retryAfter{ 0 };
  /** At least half of the bucket is left, so that a host may admit a request
   *  before it asks for the token. */
  bool m_ample = false;
  /** Set if redirected. */
  OwnerCandidate m_owner{};

  bool operator==(const TokenGrant&) const = default;
};

/** Reply to a TokenMessage. */
struct TokenReply
{
  /** Process of the replying host; never 0. */
  std::uint64_t m_instance = 0;
  std::vector<TokenGrant> m_grants;
  /** Hosts that have lately stated to the replying host that they grant
   *  tokens; only in replies to messages without requests. Two hosts that do
   * not know of each other learn of each other in this way. */
  std::vector<OwnerCandidate> m_granters{};

  bool operator==(const TokenReply&) const = default;
};

/** Validity of granted tokens, from when they were requested. Tokens of up to
 *  this time before a window run in it; the overshoot of 0.1 of the 5 s window
 *  covers 0.5 s, of which the rest is left for the detection of failures. */
inline constexpr Duration kGrantValidity{ 300000 };
/** A host that does not answer within this time counts as unreachable. */
inline constexpr Duration kPeerTimeout{ 200000 };
/** How long a host without an owner continues at its claim. */
inline constexpr Duration kClaimValidity{ 2000000 };

} // namespace goldcrestkeel
