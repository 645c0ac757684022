#pragma once

#include <goldcrestkeel/core/CrashGuard.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace goldcrestkeel {

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
