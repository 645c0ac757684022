#include "CopyWriter.h"

#include <algorithm>
#include <chrono>

namespace goldcrestkeel {

namespace {

/** Room for the fields that this host adds, in bytes. */
constexpr std::size_t kAddedBytes = 768;

} // namespace

std::string
WriteCopy(const WireRequest& aRequest,
          const EdgeFieldNames& aNames,
          const std::string& aReplica,
          Duration aTimeLeft)
{
  std::string bytes;
  bytes.reserve(aRequest.m_target.size() + aRequest.m_body.size() +
                kAddedBytes);
  bytes.append(aRequest.m_method)
    .append(" ")
    .append(aRequest.m_target)
    .append(" HTTP/1.1\r\n");
  for (const auto& [name, value] : EndToEndFields(aRequest.m_fields)) {
    if (!SameName(name, aNames.m_deadlineMs) &&
        !SameName(name, aNames.m_targetInstance)) {
      AppendField(bytes, name, value);
    }
  }
  const auto left =
    std::chrono::duration_cast<std::chrono::milliseconds>(aTimeLeft).count();
  AppendField(bytes,
              aNames.m_deadlineMs,
              std::to_string(std::max<std::int64_t>(1, left)));
  AppendField(bytes, aNames.m_targetInstance, aReplica);
  if (aRequest.m_hasBody || !aRequest.m_body.empty()) {
    AppendField(
      bytes, "Content-Length", std::to_string(aRequest.m_body.size()));
  }
  bytes.append("\r\n").append(aRequest.m_body);
  return bytes;
}

} // namespace goldcrestkeel
