#pragma once

#include <goldcrestkeel/core/CrashGuard.h>

#include <nlohmann/json.hpp>

namespace goldcrestkeel {

/** A request in quarantine as JSON; see EncodeQuarantine(). */
nlohmann::json
ToJson(const SuspectReport& aReport);
/** Throws std::exception with the reason if aEntry is not valid. */
SuspectReport
QuarantineFromJson(const nlohmann::json& aEntry);

} // namespace goldcrestkeel
