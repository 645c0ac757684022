#pragma once

#include <goldcrestkeel/Language.h>
#include <goldcrestkeel/control/ControlNode.h>
#include <goldcrestkeel/core/QueryEngine.h>

#include <nlohmann/json.hpp>

namespace goldcrestkeel {

/** Answer to a SHOW statement. Throws Error (UnknownService). */
nlohmann::json
Show(const ShowStatement& aStatement,
     const ControlNode& aNode,
     const QueryEngine& aEngine,
     TimePoint aNow);

/** Answer to EXPLAIN. Throws Error (UnknownService). */
nlohmann::json
Explain(const ExplainStatement& aStatement,
        const Configuration& aConfiguration);

} // namespace goldcrestkeel
