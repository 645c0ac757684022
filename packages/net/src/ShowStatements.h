#pragma once

#include <goldcrestkeel/Language.h>
#include <goldcrestkeel/control/ControlNode.h>
#include <goldcrestkeel/core/QueryEngine.h>

#include <nlohmann/json.hpp>

namespace goldcrestkeel {

/** Returns the response body of a SHOW statement. Throws Error
 *  (UnknownService). */
nlohmann::json
Show(const ShowStatement& aStatement,
     const ControlNode& aNode,
     const QueryEngine& aEngine,
     TimePoint aNow);

/** Returns the response body of an EXPLAIN statement: the effective policy of
 *  the search and the replicas of each shard. Throws Error (UnknownService). */
nlohmann::json
Explain(const ExplainStatement& aStatement,
        const Configuration& aConfiguration);

} // namespace goldcrestkeel
