#pragma once

#include "CallerIdentity.h"
#include "RelayFields.h"
#include "ReplicaConnections.h"

#include <goldcrestkeel/edge/HttpMessage.h>

#include <string>
#include <string_view>

namespace goldcrestkeel {

/** Serializes aRequest for the replica with the id aReplica. Method, target,
 *  body and end-to-end fields stay as they are, except for those that aIdentity
 *  replaces. aTimeLeft is the time within
 *  which the replica must answer. */
std::string
WriteCopy(const RequestMessage& aRequest,
          const EdgeFieldNames& aNames,
          const IdentityFields& aIdentity,
          const std::string& aReplica,
          Duration aTimeLeft);

/** Serializes aRequest for another entry host, which must answer within
 *  aTimeLeft and may answer partially after aParameters.m_timeToTarget. */
std::string
WriteRelay(const RequestMessage& aRequest,
           const EdgeFieldNames& aNames,
           const IdentityFields& aIdentity,
           const RelayParameters& aParameters,
           Duration aTimeLeft);

/** Serializes a health check of the replica at aAddress. */
std::string
WriteHealthCheck(std::string_view aPath, const std::string& aAddress);

} // namespace goldcrestkeel
