#pragma once

#include <goldcrestkeel/Language.h>

#include <map>
#include <string>
#include <vector>

namespace goldcrestkeel::gkctl {

using Services = std::map<std::string, ServiceSpec>;

/** Statements that turn the services aCurrent into aWanted, at most one for
 *  each service. Services that only aCurrent has are dropped if aPrune is set,
 *  and else left as they are. The order of shards and replicas does not count.
 *  Throws Error (InvalidConfiguration) if the kind of a service differs: such a
 *  service must be dropped first. */
std::vector<Statement>
PlanChanges(const Services& aCurrent, const Services& aDesired, bool aPrune);

} // namespace goldcrestkeel::gkctl
