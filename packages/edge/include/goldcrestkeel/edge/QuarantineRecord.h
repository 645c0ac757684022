#pragma once

#include <goldcrestkeel/core/CrashGuard.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace goldcrestkeel {

/** Longer summaries of requests are cut, in bytes. */
inline constexpr std::size_t kMaxSummaryBytes = 200;

/** A fingerprint as hexadecimal digits. */
std::string
FormatFingerprint(std::uint64_t aFingerprint);
/** Throws std::runtime_error if aText is not a fingerprint. */
std::uint64_t
ParseFingerprint(std::string_view aText);

/** Encodes a request in quarantine as JSON, for other hosts and the store. */
std::string
EncodeQuarantine(const SuspectReport& aReport);
/** Throws std::exception with the reason if aText is not valid. */
SuspectReport
DecodeQuarantine(std::string_view aText);

} // namespace goldcrestkeel
