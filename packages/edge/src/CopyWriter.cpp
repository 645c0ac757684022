#include "CopyWriter.h"

#include <algorithm>
#include <chrono>

namespace goldcrestkeel {

namespace {

/** Memory reserved for the request line and the header fields, in bytes. */
constexpr std::size_t kReservedHeaderBytes = 768;
constexpr std::string_view kHostField = "Host";

std::string
FormatMilliseconds(Duration aTime)
{
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
  return std::to_string(std::max<std::int64_t>(1, milliseconds));
}

// Request line and header fields, without the empty line that ends the header.
std::string
WriteHeader(const RequestMessage& aRequest,
            const EdgeFieldNames& aNames,
            const IdentityFields& aIdentity,
            Duration aTimeLeft)
{
  std::string bytes;
  bytes.reserve(aRequest.m_target.size() + aRequest.m_body.size() +
                kReservedHeaderBytes);
  bytes.append(aRequest.m_method)
    .append(" ")
    .append(aRequest.m_target)
    .append(" HTTP/1.1\r\n");
  const std::vector<HeaderField> fields = EndToEndFields(aRequest.m_fields);
  for (const auto& [name, value] : fields) {
    // A caller must not set the fields that entry hosts exchange.
    if (EqualsIgnoreCase(name, aNames.m_deadlineMs) ||
        EqualsIgnoreCase(name, aNames.m_targetInstance) || IsHostField(name) ||
        (aIdentity.m_replace && (EqualsIgnoreCase(name, aNames.m_key) ||
                                 EqualsIgnoreCase(name, aNames.m_tenant)))) {
      continue;
    }
    AppendField(bytes, name, value);
  }
  // A caller can have fields dropped by naming them in its Connection field.
  // Without a host a copy is malformed, and an answer is recognised by its id.
  for (const std::string_view needed :
       { kHostField, std::string_view(aNames.m_requestId) }) {
    const std::string_view value = FieldValue(aRequest.m_fields, needed);
    if (!value.empty() && FieldValue(fields, needed).empty()) {
      AppendField(bytes, needed, value);
    }
  }
  AppendField(bytes, aNames.m_deadlineMs, FormatMilliseconds(aTimeLeft));
  if (!aIdentity.m_tenant.empty()) {
    AppendField(bytes, aNames.m_tenant, aIdentity.m_tenant);
  }
  return bytes;
}

void
AppendBody(std::string& aBytes, const RequestMessage& aRequest)
{
  if (aRequest.m_hasBody || !aRequest.m_body.empty()) {
    AppendField(
      aBytes, "Content-Length", std::to_string(aRequest.m_body.size()));
  }
  aBytes.append("\r\n").append(aRequest.m_body);
}

} // namespace

std::string
WriteCopy(const RequestMessage& aRequest,
          const EdgeFieldNames& aNames,
          const IdentityFields& aIdentity,
          const std::string& aReplica,
          Duration aTimeLeft)
{
  std::string bytes = WriteHeader(aRequest, aNames, aIdentity, aTimeLeft);
  AppendField(bytes, aNames.m_targetInstance, aReplica);
  AppendBody(bytes, aRequest);
  return bytes;
}

std::string
WriteRelay(const RequestMessage& aRequest,
           const EdgeFieldNames& aNames,
           const IdentityFields& aIdentity,
           const RelayParameters& aParameters,
           Duration aTimeLeft)
{
  std::string bytes = WriteHeader(aRequest, aNames, aIdentity, aTimeLeft);
  AppendRelayParameters(bytes, aParameters);
  AppendBody(bytes, aRequest);
  return bytes;
}

std::string
WriteHealthCheck(std::string_view aPath, const std::string& aAddress)
{
  std::string bytes("GET ");
  bytes.append(aPath).append(" HTTP/1.1\r\n");
  AppendField(bytes, "Host", aAddress);
  bytes.append("\r\n");
  return bytes;
}

} // namespace goldcrestkeel
