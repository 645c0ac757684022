#include "FeedMessages.h"

#include "Numbers.h"

#include <goldcrestkeel/edge/HttpCaller.h>

#include <nlohmann/json.hpp>

#include <charconv>
#include <map>
#include <stdexcept>

namespace goldcrestkeel {

namespace {

using nlohmann::json;

constexpr std::string_view kPath = "/goldcrestkeel/changes?";
/** Upper limit of the wait time; longer ones are shortened. */
constexpr std::uint64_t kMaxWaitMs = 10000;

std::string
Unescape(std::string_view aText)
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    unsigned byte = 0;
    const char* const digits = aText.data() + i + 1;
    if (aText[i] == '%' && i + 2 < aText.size() &&
        std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2) {
      text += static_cast<char>(byte);
      i += 2;
    } else {
      text += aText[i];
    }
  }
  return text;
}

json
EncodeItem(const FeedItem& aItem)
{
  return json::array(
    { aItem.m_key,
      json::binary({ aItem.m_value.begin(), aItem.m_value.end() }),
      aItem.m_revision,
      aItem.m_deleted });
}

FeedItem
DecodeItem(const json& aItem)
{
  const auto& value = aItem.at(1).get_binary();
  return { aItem.at(0).get<std::string>(),
           { value.begin(), value.end() },
           aItem.at(2).get<FeedRevision>(),
           aItem.at(3).get<bool>() };
}

} // namespace

std::string
WriteFeedPoll(const FeedPoll& aPoll)
{
  return std::string(kPath) + "feed=" + EscapeQueryValue(aPoll.m_feed) +
         "&reader=" + EscapeQueryValue(aPoll.m_reader) +
         "&after=" + std::to_string(aPoll.m_after) +
         "&wait_ms=" + std::to_string(aPoll.m_wait.count() / 1000);
}

std::optional<FeedPoll>
ParseFeedPoll(std::string_view aTarget)
{
  if (!aTarget.starts_with(kPath)) {
    return std::nullopt;
  }
  aTarget.remove_prefix(kPath.size());
  std::map<std::string_view, std::string_view> parameters;
  while (!aTarget.empty()) {
    const std::string_view parameter =
      aTarget.substr(0, std::min(aTarget.find('&'), aTarget.size()));
    const std::size_t equals = std::min(parameter.find('='), parameter.size());
    parameters[parameter.substr(0, equals)] =
      parameter.substr(std::min(equals + 1, parameter.size()));
    aTarget.remove_prefix(std::min(parameter.size() + 1, aTarget.size()));
  }
  const auto after = ParseNumber<std::uint64_t>(parameters["after"]);
  const auto wait = ParseNumber<std::uint64_t>(parameters["wait_ms"]);
  if (!after || !wait) {
    return std::nullopt;
  }
  return FeedPoll{ Unescape(parameters["feed"]),
                   Unescape(parameters["reader"]),
                   *after,
                   std::chrono::milliseconds(std::min(*wait, kMaxWaitMs)) };
}

std::string
EncodeFeedChanges(const FeedChanges& aChanges)
{
  json items = json::array();
  for (const FeedItem& item : aChanges.m_items) {
    items.push_back(EncodeItem(item));
  }
  std::string body;
  json::to_cbor(json{ { "revision", aChanges.m_revision },
                      { "complete", aChanges.m_complete },
                      { "items", std::move(items) } },
                body);
  return body;
}

FeedChanges
DecodeFeedChanges(std::string_view aBody)
{
  const json document = json::from_cbor(aBody.begin(), aBody.end());
  FeedChanges changes;
  changes.m_revision = document.at("revision").get<FeedRevision>();
  changes.m_complete = document.at("complete").get<bool>();
  for (const json& item : document.at("items")) {
    changes.m_items.push_back(DecodeItem(item));
  }
  return changes;
}

} // namespace goldcrestkeel
