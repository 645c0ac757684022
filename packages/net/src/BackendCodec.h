#pragma once

#include <goldcrestkeel/net/BackendClient.h>
#include <goldcrestkeel/net/HttpClient.h>

#include <string>
#include <string_view>

namespace goldcrestkeel {

// Encodes and decodes the JSON messages of the backend server protocol
// (docs/design.md 5.1).

std::string
EncodeSearch(const std::string& aOrigin,
             const SendSubRequest& aRequest,
             Duration aTimeLeft);
std::string
EncodeCancel(const std::string& aOrigin, AttemptId aAttempt);
std::string
EncodeCommand(const std::string& aOrigin, const BackendCommand& aCommand);

/** Decodes the reply to a search. A reply that violates the protocol yields
 *  SubFailureKind::Malformed. */
SubOutcome
DecodeSearch(AttemptId aAttempt, const HttpReply& aReply);
/** Decodes the reply to a command. A reply that violates the protocol yields
 *  SubFailureKind::Malformed. */
BackendOutcome
DecodeCommand(CommandAttemptId aAttempt,
              const std::string& aReplica,
              const HttpReply& aReply);
/** Decodes a /status reply. Returns std::nullopt if the transfer failed, the
 *  reply violates the protocol or it comes from another replica. */
std::optional<ReplicaStatus>
DecodeStatus(const std::string& aReplica, const HttpReply& aReply);

/** CRC-32 (IEEE 802.3) of aText. */
std::uint32_t
Checksum(std::string_view aText);

} // namespace goldcrestkeel
