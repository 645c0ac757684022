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

/** The search that a statement asks for. Throws Error (BadRequest) beyond the
 *  limits of a search request. */
StartSearch
SearchOf(const SearchStatement& aStatement);

/** Key of a HOLD or INVOICE statement; the header's key stands in for one that
 *  the statement does not name. Throws Error (MissingIdempotencyKey,
 *  BadIdempotencyKey, or BadRequest if both are given and differ). */
Command
CommandOf(const Statement& aStatement,
          const std::optional<std::string>& aHeaderKey);

/** The change that a statement asks for, applied to aCurrent. An operation that
 *  aCurrent contains already is not applied again. Throws Error. */
ChangeRequest
ChangeOf(const Statement& aStatement,
         const Configuration& aCurrent,
         const std::string& aOperationId);

} // namespace goldcrestkeel
