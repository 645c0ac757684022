#pragma once

#include "ReplicaConnections.h"

#include <goldcrestkeel/edge/HttpMessage.h>

#include <string>

namespace goldcrestkeel {

/** aRequest as it goes to a replica: method, target, body and the fields that
 *  are not of one connection stay as they are. aTimeLeft is what the replica
 *  may use. */
std::string
WriteCopy(const WireRequest& aRequest,
          const EdgeFieldNames& aNames,
          const std::string& aReplica,
          Duration aTimeLeft);

} // namespace goldcrestkeel
