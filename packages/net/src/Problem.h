#pragma once

#include <goldcrestkeel/core/Errors.h>
#include <goldcrestkeel/net/HttpFront.h>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace goldcrestkeel {

/** Answer of type application/problem+json. aRan can differ from the table's
 *  value; aField names the faulty input field, if any; aExtra holds further
 *  members. */
CallerResponse
ProblemResponse(ErrorKind aKind,
                Ran aRan,
                std::string_view aDetail,
                std::string_view aField,
                const std::string& aRequestId,
                const nlohmann::json& aExtra = nlohmann::json::object());

/** Answer to a refused request. With a key (aHasKey), "not run" is said only
 *  of a request that every host refuses: another host may have run a command
 *  that this one does not take. */
CallerResponse
ProblemResponse(const Error& aError,
                const std::string& aRequestId,
                bool aHasKey = false);

/** JSON text; bytes that are not UTF-8 are replaced. */
std::string
Dump(const nlohmann::json& aValue);

} // namespace goldcrestkeel
