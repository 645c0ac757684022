#pragma once

#include <goldcrestkeel/Language.h>

#include <map>
#include <string>
#include <vector>

namespace goldcrestkeel::gkctl {

using Services = std::map<std::string, ServiceSpec>;

/** Returns the statements that change the services from aCurrent to aDesired,
 *  at most one for each service. Services that exist only in aCurrent are
 *  dropped if aPrune is set, and otherwise stay unchanged. The order of shards
 *  and replicas is ignored. Throws Error (InvalidConfiguration) if the kind of
 *  a service differs: such a service must be dropped first. */
std::vector<Statement>
PlanChanges(const Services& aCurrent, const Services& aDesired, bool aPrune);

} // namespace goldcrestkeel::gkctl
