#pragma once

#include <goldcrestkeel/core/Errors.h>
#include <goldcrestkeel/net/HttpFront.h>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace goldcrestkeel {

/** Builds a response of type application/problem+json. aRan may differ from the
 *  default of aKind in InfoOf(); aField names the invalid input field and is
 *  empty if there is none; aExtra holds additional members. */
CallerResponse
ProblemResponse(ErrorKind aKind,
                Ran aRan,
                std::string_view aDetail,
                std::string_view aField,
                const std::string& aRequestId,
                const nlohmann::json& aExtra = nlohmann::json::object());

/** Builds the response to a refused request. For a request with an idempotency
 *  key it says "not run" only if every host refuses such a request; otherwise
 *  another host may already have run the command that this host refuses. */
CallerResponse
ProblemResponse(const Error& aError,
                const std::string& aRequestId,
                bool aHasIdempotencyKey = false);

/** Serialises aValue; invalid UTF-8 is replaced by U+FFFD. */
std::string
Dump(const nlohmann::json& aValue);

} // namespace goldcrestkeel
