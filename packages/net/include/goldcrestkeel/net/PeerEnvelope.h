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

/** Largest difference between the time in a frame and the receiver's clock. */
inline constexpr WallTime kFrameTimeToleranceMs = 10000;
/** Frames remembered to recognise replays; further ones are refused. */
inline constexpr std::size_t kReplayCacheCapacity = 500000;

/** A frame that is not accepted; what() is a short reason for the metrics. */
class FrameRefused : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/** Seals and opens the envelopes between entry hosts. The MAC covers, beside
 *  the envelope, its direction and its receiver: a request is valid only at the
 *  address it was sent to, a reply only for the request that it answers.
 *  Thread-safe. */
class EnvelopeAuthenticator
{
public:
  /** aKeys as in Settings; aClock must outlive this object. */
  EnvelopeAuthenticator(std::string aHost,
                        std::vector<PeerKey> aKeys,
                        const Clock& aClock);

  void SetKeys(std::vector<PeerKey> aKeys);

  /** aReceiver is the address "IP:port" that the request goes to. */
  peer::Envelope SignRequest(const std::string& aReceiver,
                             std::string aPayload);
  /** Throws FrameRefused. aOwnAddress is the address of this host. */
  void AuthenticateRequest(const std::string& aOwnAddress,
                           const peer::Envelope& aEnvelope);

  peer::Envelope SignReply(const peer::Envelope& aRequest,
                           std::string aPayload);
  /** Throws FrameRefused. */
  void AuthenticateReply(const peer::Envelope& aRequest,
                         const peer::Envelope& aReply);

private:
  peer::Envelope Seal(const std::string& aContext,
                      std::int64_t aNonce,
                      std::string aPayload);
  void CheckMac(const std::string& aContext,
                const peer::Envelope& aEnvelope) const;
  void CheckTime(const peer::Envelope& aEnvelope) const;
  void CheckReplay(const peer::Envelope& aEnvelope);

  using FrameId = std::pair<std::string, std::int64_t>;

  const std::string m_host;
  const Clock& m_clock;
  const WallTime m_started;
  mutable std::mutex m_mutex;
  std::vector<PeerKey> m_keys;
  std::unique_ptr<RandomSource> m_random;
  std::set<FrameId> m_seen;
  std::deque<std::pair<WallTime, FrameId>> m_seenOrder;
};

} // namespace goldcrestkeel
