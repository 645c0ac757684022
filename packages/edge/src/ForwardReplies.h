#pragma once

#include "CallerSession.h"

#include <goldcrestkeel/edge/FieldNames.h>
#include <goldcrestkeel/forward/Forwarder.h>

#include <optional>
#include <string>

namespace goldcrestkeel {

/** Converts the result of a forwarded request to the response to the caller. */
CallerReply
ToReply(ForwardResult&& aResult, const EdgeFieldNames& aNames);

/** Response with a problem document and the HTTP status of aKind; aRetryAfter
 *  becomes the Retry-After field. */
CallerReply
ToErrorReply(ErrorKind aKind,
             const std::string& aDetail,
             std::optional<Duration> aRetryAfter);

} // namespace goldcrestkeel
