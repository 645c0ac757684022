#include "CopyWriter.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace goldcrestkeel {

namespace {

/** Memory reserved for what a request has beside its texts, in bytes. */
constexpr std::size_t kReservedBytes = 128;
/** Bytes of a header field beside its name and value. */
constexpr std::size_t kFieldFramingBytes = 4;
constexpr std::string_view kHostField = "Host";

std::string
FormatMilliseconds(Duration aTime)
{
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
  return std::to_string(std::max<std::int64_t>(1, milliseconds));
}

std::size_t
SizeOf(const RequestMessage& aRequest)
{
  std::size_t size = aRequest.m_method.size() + aRequest.m_target.size() +
                     aRequest.m_body.size() + kReservedBytes;
  for (const auto& [name, value] : aRequest.m_fields) {
    size += name.size() + value.size() + kFieldFramingBytes;
  }
  return size;
}

// The fields that a copy for a replica and one for a host have.
std::string
WriteFields(const EdgeFieldNames& aNames,
            const IdentityFields& aIdentity,
            Duration aTimeLeft)
{
  std::string fields;
  AppendField(fields, aNames.m_deadlineMs, FormatMilliseconds(aTimeLeft));
  if (!aIdentity.m_tenant.empty()) {
    AppendField(fields, aNames.m_tenant, aIdentity.m_tenant);
  }
  return fields;
}

} // namespace

std::shared_ptr<const EncodedRequest>
EncodeRequest(const RequestMessage& aRequest,
              const EdgeFieldNames& aNames,
              const IdentityFields& aIdentity)
{
  const auto encoded = std::make_shared<EncodedRequest>();
  std::string& bytes = encoded->m_bytes;
  bytes.reserve(SizeOf(aRequest));
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
  encoded->m_fieldsAt = bytes.size();
  if (aRequest.m_hasBody || !aRequest.m_body.empty()) {
    AppendField(
      bytes, "Content-Length", std::to_string(aRequest.m_body.size()));
  }
  bytes.append("\r\n").append(aRequest.m_body);
  return encoded;
}

RequestBytes
WriteCopy(std::shared_ptr<const EncodedRequest> aRequest,
          const EdgeFieldNames& aNames,
          const IdentityFields& aIdentity,
          const std::string& aReplica,
          Duration aTimeLeft)
{
  std::string fields = WriteFields(aNames, aIdentity, aTimeLeft);
  AppendField(fields, aNames.m_targetInstance, aReplica);
  return { std::move(aRequest), std::move(fields) };
}

RequestBytes
WriteRelay(std::shared_ptr<const EncodedRequest> aRequest,
           const EdgeFieldNames& aNames,
           const IdentityFields& aIdentity,
           const RelayParameters& aParameters,
           Duration aTimeLeft)
{
  std::string fields = WriteFields(aNames, aIdentity, aTimeLeft);
  AppendRelayParameters(fields, aParameters);
  return { std::move(aRequest), std::move(fields) };
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
