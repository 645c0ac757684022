#pragma once

#include <goldcrestkeel/edge/HttpMessage.h>
#include <goldcrestkeel/forward/Forwarder.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** What one entry host tells others of requests that crash replicas. */
struct CrashMessage
{
  std::vector<CrashReport> m_crashes;
  std::vector<SuspectReport> m_quarantined;
  /** Requests that are about to be put in quarantine. */
  std::vector<SuspectReport> m_suspects{};
  /** Fingerprints of requests that replicas have answered. */
  std::vector<std::uint64_t> m_answered{};

  bool IsEmpty() const
  {
    return m_crashes.empty() && m_quarantined.empty() && m_suspects.empty() &&
           m_answered.empty();
  }
};

/** Method and target of the request that carries a message. */
inline constexpr std::string_view kCrashMessageMethod = "POST";
inline constexpr std::string_view kCrashMessageTarget =
  "/goldcrestkeel/crashes";

/** Largest message that is accepted, in bytes. */
inline constexpr std::size_t kMaxCrashMessageBytes = 64 * 1024;

/** Fingerprint of what a request asks for: its method, host, target and body.
 *  Never 0. */
std::uint64_t
FingerprintOf(const RequestMessage& aRequest);

/** Method and target of a request, shortened for logs. */
std::string
SummaryOf(const RequestMessage& aRequest);

/** Encodes a message as JSON. */
std::string
EncodeCrashMessage(const CrashMessage& aMessage);
/** Throws std::exception with the reason if aBody is not valid. */
CrashMessage
DecodeCrashMessage(std::string_view aBody);

} // namespace goldcrestkeel
