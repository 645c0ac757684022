#pragma once

#include <goldcrestkeel/core/Random.h>
#include <goldcrestkeel/core/Time.h>
#include <goldcrestkeel/net/Settings.h>

#include <peer_types.h>

#include <deque>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace goldcrestkeel {

/** Maximum difference between the time in a frame and the receiver's clock, in
 *  milliseconds. */
inline constexpr WallTime kFrameTimeToleranceMs = 10000;
/** Maximum number of frames in the replay cache; further frames are refused
 *  while it is full. */
inline constexpr std::size_t kReplayCacheCapacity = 500000;

/** Thrown for a frame that is not accepted. what() is the reason, a label value
 *  in the metrics. */
class FrameRefused : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/** Signs and authenticates the envelopes between entry hosts with HMAC-SHA-256.
 *  The payload is not encrypted. The MAC covers the envelope, its direction and
 *  its receiver: a request is valid only at the address it was sent to, a reply
 *  only for the request that it answers. Thread-safe. */
class EnvelopeAuthenticator
{
public:
  /** aKeys must hold at least one key; the first one signs, all are accepted.
   *  aClock must outlive this object. */
  EnvelopeAuthenticator(std::string aHost,
                        std::vector<PeerKey> aKeys,
                        const Clock& aClock);

  /** Replaces the keys; aKeys as in the constructor. */
  void SetKeys(std::vector<PeerKey> aKeys);

  /** Signs a request to the address aReceiver, "IP:port". */
  peer::Envelope SignRequest(const std::string& aReceiver,
                             std::string aPayload);
  /** Checks the MAC and the time of a request and that it is not a replay.
   *  aOwnAddress is the peer address of this host, "IP:port". Throws
   *  FrameRefused. */
  void AuthenticateRequest(const std::string& aOwnAddress,
                           const peer::Envelope& aEnvelope);

  /** Signs a reply; it carries the nonce of aRequest. */
  peer::Envelope SignReply(const peer::Envelope& aRequest,
                           std::string aPayload);
  /** Checks the MAC of a reply and that it belongs to aRequest. Throws
   *  FrameRefused. */
  void AuthenticateReply(const peer::Envelope& aRequest,
                         const peer::Envelope& aReply);

private:
  peer::Envelope Sign(const std::string& aContext,
                      std::int64_t aNonce,
                      std::string aPayload);
  void CheckMac(const std::string& aContext,
                const peer::Envelope& aEnvelope) const;
  void CheckTime(const peer::Envelope& aEnvelope) const;
  void CheckReplay(const peer::Envelope& aEnvelope);

  /** Sender and nonce. */
  using FrameId = std::pair<std::string, std::int64_t>;

  const std::string m_host;
  const Clock& m_clock;
  const WallTime m_startedAt; // milliseconds
  mutable std::mutex m_mutex;
  std::vector<PeerKey> m_keys;
  std::unique_ptr<RandomSource> m_random;
  std::set<FrameId> m_seen;
  std::deque<std::pair<WallTime, FrameId>> m_seenByArrival;
};

} // namespace goldcrestkeel
