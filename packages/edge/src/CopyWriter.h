#pragma once

#include "CallerIdentity.h"
#include "RelayFields.h"
#include "ReplicaConnections.h"
#include "RequestBytes.h"

#include <goldcrestkeel/edge/HttpMessage.h>

#include <memory>
#include <string>
#include <string_view>

namespace goldcrestkeel {

/** Serializes what the copies of aRequest share. Method, target, body and
 *  end-to-end fields stay as they are, except for those that aIdentity replaces
 *  and those that each copy has. */
std::shared_ptr<const EncodedRequest>
EncodeRequest(const RequestMessage& aRequest,
              const EdgeFieldNames& aNames,
              const IdentityFields& aIdentity);

/** A copy for the replica with the id aReplica, which must answer within
 *  aTimeLeft. */
RequestBytes
WriteCopy(std::shared_ptr<const EncodedRequest> aRequest,
          const EdgeFieldNames& aNames,
          const IdentityFields& aIdentity,
          const std::string& aReplica,
          Duration aTimeLeft);

/** A copy for another entry host, which must answer within aTimeLeft and may
 *  answer partially after aParameters.m_timeToTarget. */
RequestBytes
WriteRelay(std::shared_ptr<const EncodedRequest> aRequest,
           const EdgeFieldNames& aNames,
           const IdentityFields& aIdentity,
           const RelayParameters& aParameters,
           Duration aTimeLeft);

/** Serializes a health check of the replica at aAddress. */
std::string
WriteHealthCheck(std::string_view aPath, const std::string& aAddress);

} // namespace goldcrestkeel
