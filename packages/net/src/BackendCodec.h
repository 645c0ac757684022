#pragma once

#include <goldcrestkeel/net/BackendClient.h>
#include <goldcrestkeel/net/HttpClient.h>

#include <string>
#include <string_view>

namespace goldcrestkeel {

/** Messages of the backend server protocol (docs/design.md 5.1). */

std::string
EncodeSearch(const std::string& aOrigin,
             const SendSubRequest& aRequest,
             Duration aTimeLeft);
std::string
EncodeCancel(const std::string& aOrigin, AttemptId aAttempt);
std::string
EncodeCommand(const std::string& aOrigin, const BackendCommand& aCommand);

/** Any reply that is not well formed is the failure Malformed. */
SubOutcome
DecodeSearch(AttemptId aAttempt, const HttpReply& aReply);
BackendOutcome
DecodeCommand(CommandAttemptId aAttempt,
              const std::string& aReplica,
              const HttpReply& aReply);
std::optional<ReplicaStatus>
DecodeStatus(const std::string& aReplica, const HttpReply& aReply);

/** CRC-32 (IEEE 802.3) of aText. */
std::uint32_t
Checksum(std::string_view aText);

} // namespace goldcrestkeel
