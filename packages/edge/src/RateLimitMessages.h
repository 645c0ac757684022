#pragma once

#include <goldcrestkeel/Admission.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace goldcrestkeel {

/** Method and target of the request that carries a TokenMessage. */
inline constexpr std::string_view kTokenMessageMethod = "POST";
inline constexpr std::string_view kTokenMessageTarget = "/goldcrestkeel/tokens";

/** Largest message or reply that is accepted, in bytes. */
inline constexpr std::size_t kMaxTokenMessageBytes = 256 * 1024;

/** Encodes as JSON, with an array instead of an object for each tenant and
 *  host, as these messages are frequent. */
std::string
EncodeTokenMessage(const TokenMessage& aMessage);
std::string
EncodeTokenReply(const TokenReply& aReply);

/** Both throw std::exception with the reason if aBody is not valid. */
TokenMessage
DecodeTokenMessage(std::string_view aBody);
TokenReply
DecodeTokenReply(std::string_view aBody);

} // namespace goldcrestkeel
