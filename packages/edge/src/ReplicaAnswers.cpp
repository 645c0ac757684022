#include "RelayFields.h"
#include "ReplicaConnections.h"

#include <goldcrestkeel/edge/Numbers.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace goldcrestkeel {

namespace {

/** HTTP status of a replica that is not the one the request is addressed to. */
constexpr int kMisdirected = 421;
/** HTTP status of a replica that turns a request away. */
constexpr int kServiceUnavailable = 503;
/** Longer values of Retry-After are clamped, in seconds. */
constexpr double kMaxRetryAfterS = 86400;

std::optional<LoadReport>
ParseLoad(std::string_view aText)
{
  LoadReport report;
  const char* at = aText.data();
  const char* end = at + aText.size();
  for (std::uint32_t* field :
       { &report.m_running, &report.m_waiting, &report.m_slots }) {
    while (at != end && (*at == ',' || *at == ' ')) {
      ++at;
    }
    const auto parsed = std::from_chars(at, end, *field);
    if (parsed.ec != std::errc()) {
      return std::nullopt;
    }
    at = parsed.ptr;
  }
  // The fourth figure is optional.
  while (at != end && (*at == ',' || *at == ' ')) {
    ++at;
  }
  std::from_chars(at, end, report.m_workPercent);
  return report;
}

void
DecodeRequestLimit(std::string_view aText, ReplicaAnswer& aAnswer)
{
  const auto limit = ParseNumber<double>(aText);
  if (limit && std::isfinite(*limit) && *limit >= 0) {
    aAnswer.m_requestLimit = limit;
  } else {
    aAnswer.m_invalidRequestLimit = !aText.empty();
  }
}

// The value may have fractions of a second. A date, or anything that is not a
// number, names no time to keep to.
std::optional<Duration>
ParseRetryAfter(std::string_view aText)
{
  const auto seconds = ParseNumber<double>(aText);
  if (!seconds || !(*seconds > 0)) {
    return std::nullopt;
  }
  const std::chrono::duration<double> rest(std::min(*seconds, kMaxRetryAfterS));
  return std::chrono::duration_cast<Duration>(rest);
}

// Items of a list separated by commas or spaces.
std::vector<std::string>
SplitItems(std::string_view aText)
{
  std::vector<std::string> items;
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find_first_of(", "), aText.size());
    if (end > 0) {
      items.emplace_back(aText.substr(0, end));
    }
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return items;
}

} // namespace

ReplicaAnswer
ReplicaConnections::ToAnswer(ResponseMessage&& aAnswer) const
{
  ReplicaAnswer answer;
  answer.m_status = aAnswer.m_status;
  answer.m_stamp = std::string(FieldValue(aAnswer.m_fields, m_names.m_stamp));
  answer.m_instance =
    std::string(FieldValue(aAnswer.m_fields, m_names.m_instance));
  answer.m_wrongInstance = aAnswer.m_status == kMisdirected;
  answer.m_notRun = answer.m_wrongInstance ||
                    !FieldValue(aAnswer.m_fields, m_names.m_notRun).empty();
  if (const auto shards =
        ParseNumbers(FieldValue(aAnswer.m_fields, kShardsField))) {
    answer.m_shards = *shards;
    answer.m_shardStamps =
      SplitItems(FieldValue(aAnswer.m_fields, m_names.m_shardStamps));
  }
  answer.m_notRun =
    answer.m_notRun || FieldValue(aAnswer.m_fields, kCopiesField) == "0";
  answer.m_hostUnavailable =
    !FieldValue(aAnswer.m_fields, kUnavailableField).empty();
  answer.m_quarantined =
    !FieldValue(aAnswer.m_fields, kQuarantinedField).empty();
  answer.m_load = ParseLoad(FieldValue(aAnswer.m_fields, m_names.m_load));
  if (const auto warmup = ParseNumber<std::uint32_t>(
        FieldValue(aAnswer.m_fields, m_names.m_warmupMs))) {
    answer.m_warmupLeft = std::chrono::milliseconds(*warmup);
  }
  answer.m_leaving = FieldValue(aAnswer.m_fields, m_names.m_leaving) == "1";
  if (aAnswer.m_status == kServiceUnavailable) {
    answer.m_restFor =
      ParseRetryAfter(FieldValue(aAnswer.m_fields, "retry-after"));
  }
  DecodeRequestLimit(FieldValue(aAnswer.m_fields, m_names.m_requestLimit),
                     answer);
  answer.m_body = std::move(aAnswer.m_body);
  answer.m_fields = EndToEndFields(std::move(aAnswer.m_fields));
  std::erase_if(answer.m_fields, [](const HeaderField& aField) {
    return IsHostField(aField.first);
  });
  return answer;
}

} // namespace goldcrestkeel
