#pragma once

#include "CopyWriter.h"

#include <string>

namespace goldcrestkeel::testing {

/** The bytes of aRequest in the order in which they are sent. */
inline std::string
TextOf(const RequestBytes& aRequest)
{
  std::string text;
  for (const std::string_view part : aRequest.Parts()) {
    text += part;
  }
  return text;
}

inline std::string
CopyText(const RequestMessage& aRequest,
         const EdgeFieldNames& aNames,
         const IdentityFields& aIdentity,
         const std::string& aReplica,
         Duration aTimeLeft)
{
  return TextOf(WriteCopy(EncodeRequest(aRequest, aNames, aIdentity),
                          aNames,
                          aIdentity,
                          aReplica,
                          aTimeLeft));
}

inline std::string
RelayText(const RequestMessage& aRequest,
          const EdgeFieldNames& aNames,
          const IdentityFields& aIdentity,
          const RelayParameters& aParameters,
          Duration aTimeLeft)
{
  return TextOf(WriteRelay(EncodeRequest(aRequest, aNames, aIdentity),
                           aNames,
                           aIdentity,
                           aParameters,
                           aTimeLeft));
}

} // namespace goldcrestkeel::testing
