#include "FeedMessages.h"

#include <goldcrestkeel/edge/JsonNumbers.h>
#include <goldcrestkeel/edge/JsonText.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>
#include <vector>

namespace goldcrestkeel {

namespace {

using nlohmann::json;

/** Upper limit of the wait time; longer ones are shortened. */
constexpr std::uint64_t kMaxWaitMs = 10000;

/** Levels of arrays and maps in changes. */
constexpr std::size_t kMaxCborDepth = 4;
/** Types of CBOR items, and how long the value after the head is (RFC 8949,
 *  section 3). */
constexpr unsigned kCborBytes = 2;
constexpr unsigned kCborText = 3;
constexpr unsigned kCborArray = 4;
constexpr unsigned kCborMap = 5;
constexpr unsigned kCborTag = 6;
constexpr unsigned kCborOneByteValue = 24;
constexpr unsigned kCborEightByteValue = 27;

/** Era of a revision; hosts of earlier versions leave it out. */
constexpr const char* kEraMember = "era";

FeedRevision
DecodeRevision(const json& aDocument, const char* aMember)
{
  return { UnsignedOf(aDocument.at(aMember)),
           aDocument.contains(kEraMember) ? UnsignedOf(aDocument.at(kEraMember))
                                          : 0 };
}

// Whether aBody is one CBOR item of definite length without tags, nested no
// deeper than EncodeFeedChanges() does. json::from_cbor() calls itself for each
// level, so that deeper ones would use up the stack.
bool
IsShallowCbor(std::string_view aBody)
{
  // Items that are left on each level.
  std::vector<std::uint64_t> left{ 1 };
  std::size_t at = 0;
  const auto take = [&](std::size_t aBytes) {
    std::uint64_t value = 0;
    for (; aBytes > 0; --aBytes, ++at) {
      value = (value << 8U) | static_cast<unsigned char>(aBody[at]);
    }
    return value;
  };
  while (!left.empty()) {
    if (left.back() == 0) {
      left.pop_back();
      continue;
    }
    --left.back();
    if (at == aBody.size()) {
      return false;
    }
    const auto head = static_cast<unsigned char>(aBody[at++]);
    const unsigned type = head >> 5U;
    const unsigned info = head & 31U;
    std::uint64_t value = info;
    if (info >= kCborOneByteValue) {
      const std::size_t bytes = std::size_t(1) << (info - kCborOneByteValue);
      if (info > kCborEightByteValue || bytes > aBody.size() - at) {
        return false;
      }
      value = take(bytes);
    }
    if (type == kCborBytes || type == kCborText) {
      if (value > aBody.size() - at) {
        return false;
      }
      at += value;
    } else if (type == kCborArray || type == kCborMap) {
      // Each item takes a byte at least.
      if (value > aBody.size() - at || left.size() > kMaxCborDepth) {
        return false;
      }
      left.push_back(type == kCborMap ? 2 * value : value);
    } else if (type == kCborTag) {
      return false;
    }
  }
  return at == aBody.size();
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
           { UnsignedOf(aItem.at(2)),
             aItem.size() > 4 ? UnsignedOf(aItem[4]) : 0 },
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
  const json document = ParseHostMessage(aBody, kMaxFeedPollBytes);
  const std::uint64_t wait = UnsignedOf(document.at("wait_ms"));
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
  if (!IsShallowCbor(aBody)) {
    throw std::runtime_error("not the changes of a feed");
  }
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
