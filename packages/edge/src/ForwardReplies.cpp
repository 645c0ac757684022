#include "ForwardReplies.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace goldcrestkeel {

namespace {

std::string
FormatSeconds(Duration aTime)
{
  const std::int64_t milliseconds = aTime.count() / 1000;
  std::string fraction = std::to_string(milliseconds % 1000);
  fraction.insert(0, 3 - fraction.size(), '0');
  return std::to_string(milliseconds / 1000) + "." + fraction;
}

} // namespace

CallerReply
ToReply(ForwardResult&& aResult, const EdgeFieldNames& aNames)
{
  if (aResult.m_error) {
    return ToErrorReply(
      *aResult.m_error, aResult.m_detail, aResult.m_retryAfter);
  }
  CallerReply reply;
  reply.m_status = aResult.m_answer.m_status;
  reply.m_body = std::move(aResult.m_answer.m_body);
  reply.m_fields = std::move(aResult.m_answer.m_fields);
  if (aResult.m_gathered) {
    std::string stamps;
    for (const std::string& stamp : aResult.m_stamps) {
      stamps.append(stamps.empty() ? "" : ", ").append(stamp);
    }
    reply.m_fields.emplace_back(aNames.m_shardStamps, std::move(stamps));
    reply.m_fields.emplace_back(aNames.m_missingShards,
                                std::to_string(aResult.m_missingShards));
    reply.m_fields.emplace_back("Content-Type", "application/octet-stream");
  }
  return reply;
}

CallerReply
ToErrorReply(ErrorKind aKind,
             const std::string& aDetail,
             std::optional<Duration> aRetryAfter)
{
  const ErrorInfo& info = InfoOf(aKind);
  CallerReply reply;
  reply.m_status = info.m_httpStatus;
  const nlohmann::json problem{ { "title", info.m_title },
                                { "status", info.m_httpStatus },
                                { "detail", aDetail },
                                { "kind", info.m_name },
                                { "ran", NameOf(info.m_ran) } };
  // The detail may quote bytes of a peer that are not UTF-8.
  reply.m_body =
    problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  reply.m_fields.emplace_back("Content-Type", "application/problem+json");
  if (aRetryAfter) {
    reply.m_fields.emplace_back("Retry-After", FormatSeconds(*aRetryAfter));
  }
  return reply;
}

} // namespace goldcrestkeel
