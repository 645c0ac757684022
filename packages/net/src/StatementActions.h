#pragma once

#include "RequestParsing.h"

#include <goldcrestkeel/Language.h>
#include <goldcrestkeel/control/CommandGuard.h>
#include <goldcrestkeel/control/ConfigurationChange.h>
#include <goldcrestkeel/core/QueryEngine.h>
#include <goldcrestkeel/net/HttpFront.h>

#include <optional>
#include <string>

namespace goldcrestkeel {

/** Converts a SEARCH statement. m_deadline is 0 if the statement has none.
 *  Throws Error (BadRequest) if a value exceeds the limits of a search
 *  request. */
StartSearch
MakeSearch(const SearchStatement& aStatement);

/** Converts a HOLD or INVOICE statement. The idempotency key is that of the
 *  statement or, if it has none, aHeaderKey. Throws Error (BadRequest if both
 *  are given and differ, MissingIdempotencyKey or BadIdempotencyKey). */
Command
MakeCommand(const Statement& aStatement,
            const std::optional<std::string>& aHeaderKey);

/** Converts a CREATE, ALTER or DROP SERVICE statement to a change of aCurrent.
 *  The result changes nothing if the audit of aCurrent contains aOperationId
 *  already. Throws Error. */
ChangeRequest
MakeChangeRequest(const Statement& aStatement,
                  const Configuration& aCurrent,
                  const std::string& aOperationId);

} // namespace goldcrestkeel
