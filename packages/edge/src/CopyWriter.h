#pragma once

#include "RelayFields.h"
#include "ReplicaConnections.h"

#include <goldcrestkeel/edge/HttpMessage.h>

#include <string>

namespace goldcrestkeel {

/** aRequest as it goes to a replica: method, target, body and the fields that
 *  are not of one connection stay as they are. aTimeLeft is what the replica
 *  may use. */
std::string
WriteCopy(const RequestMessage& aRequest,
          const EdgeFieldNames& aNames,
          const std::string& aReplica,
          Duration aTimeLeft);

/** aRequest as it goes to another entry host, which answers within aTimeLeft,
 *  and with what it has there after aTerms.m_untilTarget. */
std::string
WriteRelay(const RequestMessage& aRequest,
           const EdgeFieldNames& aNames,
           const RelayTerms& aTerms,
           Duration aTimeLeft);

} // namespace goldcrestkeel
