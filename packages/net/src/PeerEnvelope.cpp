#include <goldcrestkeel/net/PeerEnvelope.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>

namespace goldcrestkeel {

namespace {

// Length of an HMAC-SHA-256.
constexpr std::size_t kMacBytes = 32;

void
AppendBigEndian(std::string& aText, std::uint64_t aNumber)
{
  constexpr int kBits = 64;
  constexpr int kByteBits = 8;
  for (int shift = kBits - kByteBits; shift >= 0; shift -= kByteBits) {
    aText.push_back(static_cast<char>(aNumber >> shift));
  }
}

// Prefixes the field with its length, so that different lists of fields never
// yield the same bytes.
void
AppendField(std::string& aText, const std::string& aField)
{
  AppendBigEndian(aText, aField.size());
  aText += aField;
}

std::string
ComputeMac(const std::string& aSecret,
           const std::string& aContext,
           const peer::Envelope& aEnvelope)
{
  std::string text;
  AppendField(text, aContext);
  AppendField(text, aEnvelope.keyId);
  AppendField(text, aEnvelope.sender);
  AppendBigEndian(text, static_cast<std::uint64_t>(aEnvelope.sentAtMs));
  AppendBigEndian(text, static_cast<std::uint64_t>(aEnvelope.nonce));
  AppendField(text, aEnvelope.payload);
  std::array<unsigned char, kMacBytes> mac{};
  unsigned int length = 0;
  if (HMAC(EVP_sha256(),
           aSecret.data(),
           static_cast<int>(aSecret.size()),
           reinterpret_cast<const unsigned char*>(text.data()),
           text.size(),
           mac.data(),
           &length) == nullptr) {
    throw std::runtime_error("HMAC failed");
  }
  return { mac.begin(), mac.end() };
}

std::string
RequestContext(const std::string& aReceiver)
{
  return "request to " + aReceiver;
}

std::string
ReplyContext(const peer::Envelope& aRequest)
{
  return "reply to " + aRequest.sender;
}

} // namespace

EnvelopeAuthenticator::EnvelopeAuthenticator(std::string aHost,
                                             std::vector<PeerKey> aKeys,
                                             const Clock& aClock)
  : m_host(std::move(aHost))
  , m_clock(aClock)
  , m_startedAt(aClock.WallNow())
  , m_keys(std::move(aKeys))
  , m_random(MakeSystemRandom())
{
}

void
EnvelopeAuthenticator::SetKeys(std::vector<PeerKey> aKeys)
{
  std::lock_guard lock(m_mutex);
  m_keys = std::move(aKeys);
}

peer::Envelope
EnvelopeAuthenticator::Sign(const std::string& aContext,
                            std::int64_t aNonce,
                            std::string aPayload)
{
  peer::Envelope envelope;
  envelope.keyId = m_keys.front().m_id;
  envelope.sender = m_host;
  envelope.sentAtMs = m_clock.WallNow();
  envelope.nonce = aNonce;
  envelope.payload = std::move(aPayload);
  envelope.mac = ComputeMac(m_keys.front().m_secret, aContext, envelope);
  return envelope;
}

peer::Envelope
EnvelopeAuthenticator::SignRequest(const std::string& aReceiver,
                                   std::string aPayload)
{
  std::lock_guard lock(m_mutex);
  return Sign(RequestContext(aReceiver),
              static_cast<std::int64_t>(m_random->Next()),
              std::move(aPayload));
}

void
EnvelopeAuthenticator::AuthenticateRequest(const std::string& aOwnAddress,
                                           const peer::Envelope& aEnvelope)
{
  std::lock_guard lock(m_mutex);
  CheckMac(RequestContext(aOwnAddress), aEnvelope);
  CheckTime(aEnvelope);
  CheckReplay(aEnvelope);
}

peer::Envelope
EnvelopeAuthenticator::SignReply(const peer::Envelope& aRequest,
                                 std::string aPayload)
{
  std::lock_guard lock(m_mutex);
  return Sign(ReplyContext(aRequest), aRequest.nonce, std::move(aPayload));
}

void
EnvelopeAuthenticator::AuthenticateReply(const peer::Envelope& aRequest,
                                         const peer::Envelope& aReply)
{
  std::lock_guard lock(m_mutex);
  CheckMac(ReplyContext(aRequest), aReply);
  if (aReply.nonce != aRequest.nonce) {
    throw FrameRefused("crossed");
  }
}

void
EnvelopeAuthenticator::CheckMac(const std::string& aContext,
                                const peer::Envelope& aEnvelope) const
{
  const auto key =
    std::find_if(m_keys.begin(), m_keys.end(), [&](const PeerKey& aKey) {
      return aKey.m_id == aEnvelope.keyId;
    });
  if (key == m_keys.end()) {
    throw FrameRefused("unknown_key");
  }
  const std::string mac = ComputeMac(key->m_secret, aContext, aEnvelope);
  if (aEnvelope.mac.size() != mac.size() ||
      CRYPTO_memcmp(mac.data(), aEnvelope.mac.data(), mac.size()) != 0) {
    throw FrameRefused("unauthenticated");
  }
}

// Refuses frames from before the start of this process, because they could be
// replays of frames that an earlier process accepted.
void
EnvelopeAuthenticator::CheckTime(const peer::Envelope& aEnvelope) const
{
  const WallTime now = m_clock.WallNow();
  if (aEnvelope.sentAtMs < now - kFrameTimeToleranceMs ||
      aEnvelope.sentAtMs > now + kFrameTimeToleranceMs ||
      aEnvelope.sentAtMs < m_startedAt) {
    throw FrameRefused("time");
  }
}

void
EnvelopeAuthenticator::CheckReplay(const peer::Envelope& aEnvelope)
{
  const WallTime now = m_clock.WallNow();
  // A frame may be ahead of this clock by the tolerance and stays valid for the
  // tolerance after its time, so its id is kept for twice the tolerance.
  while (!m_seenByArrival.empty() &&
         m_seenByArrival.front().first < now - 2 * kFrameTimeToleranceMs) {
    m_seen.erase(m_seenByArrival.front().second);
    m_seenByArrival.pop_front();
  }
  if (m_seen.size() >= kReplayCacheCapacity) {
    throw FrameRefused("replay_memory_full");
  }
  FrameId id(aEnvelope.sender, aEnvelope.nonce);
  if (!m_seen.insert(id).second) {
    throw FrameRefused("replay");
  }
  m_seenByArrival.emplace_back(now, std::move(id));
}

} // namespace goldcrestkeel
