#pragma once

#include "CallerSession.h"

#include <goldcrestkeel/edge/FieldNames.h>
#include <goldcrestkeel/forward/Forwarder.h>

#include <optional>
#include <string>

namespace goldcrestkeel {

/** What the caller gets of a result. */
CallerReply
ToReply(ForwardResult&& aResult, const EdgeFieldNames& aNames);

/** A problem document with the status of aKind. */
CallerReply
ToErrorReply(ErrorKind aKind,
             const std::string& aDetail,
             std::optional<Duration> aRetryAfter);

} // namespace goldcrestkeel
