#include "FeedMessages.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace goldcrestkeel {

namespace {

using nlohmann::json;

/** Upper limit of the wait time; longer ones are shortened. */
constexpr std::uint64_t kMaxWaitMs = 10000;

/** Era of a revision; hosts of earlier versions leave it out. */
constexpr const char* kEraMember = "era";

FeedRevision
DecodeRevision(const json& aDocument, const char* aMember)
{
  return { aDocument.at(aMember).get<std::uint64_t>(),
           aDocument.value(kEraMember, std::uint64_t(0)) };
}

json
EncodeItem(const FeedItem& aItem)
{
  return json::array(
    { aItem.m_key,
      json::binary({ aItem.m_value.begin(), aItem.m_value.end() }),
      aItem.m_revision.m_number,
      aItem.m_deleted,
      aItem.m_revision.m_era });
}

FeedItem
DecodeItem(const json& aItem)
{
  const auto& value = aItem.at(1).get_binary();
  return { aItem.at(0).get<std::string>(),
           { value.begin(), value.end() },
           { aItem.at(2).get<std::uint64_t>(),
             aItem.size() > 4 ? aItem[4].get<std::uint64_t>() : 0 },
           aItem.at(3).get<bool>() };
}

} // namespace

std::string
EncodeFeedPoll(const FeedPoll& aPoll)
{
  return json{
    { "feed", aPoll.m_feed },
    { "reader", aPoll.m_reader },
    { "after", aPoll.m_after.m_number },
    { kEraMember, aPoll.m_after.m_era },
    { "wait_ms", aPoll.m_wait.count() / 1000 }
  }.dump();
}

FeedPoll
DecodeFeedPoll(std::string_view aBody)
{
  const json document = json::parse(aBody);
  const auto wait = document.at("wait_ms").get<std::uint64_t>();
  return { document.at("feed").get<std::string>(),
           document.at("reader").get<std::string>(),
           DecodeRevision(document, "after"),
           std::chrono::milliseconds(std::min(wait, kMaxWaitMs)) };
}

std::string
EncodeFeedChanges(const FeedChanges& aChanges)
{
  json items = json::array();
  for (const FeedItem& item : aChanges.m_items) {
    items.push_back(EncodeItem(item));
  }
  std::string body;
  json::to_cbor(json{ { "revision", aChanges.m_revision.m_number },
                      { kEraMember, aChanges.m_revision.m_era },
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
  changes.m_revision = DecodeRevision(document, "revision");
  changes.m_complete = document.at("complete").get<bool>();
  for (const json& item : document.at("items")) {
    changes.m_items.push_back(DecodeItem(item));
  }
  return changes;
}

} // namespace goldcrestkeel
