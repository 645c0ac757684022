#pragma once

#include <goldcrestkeel/Feed.h>
#include <goldcrestkeel/edge/HttpMessage.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrestkeel {

/** Poll of a reader by another host: an HTTP request whose answer is held until
 *  there is a change, or until the wait time has passed. */
struct FeedPoll
{
  std::string m_feed;
  /** The reader that is meant; another process may have its address now. */
  std::string m_reader;
  FeedRevision m_after = 0;
  Duration m_wait{ 0 };

  bool operator==(const FeedPoll&) const = default;
};

/** Fields of the answer to a poll. */
inline constexpr std::string_view kFeedHostField = "Goldcrestkeel-Host";
inline constexpr std::string_view kFeedAgeField = "Goldcrestkeel-Age-Ms";

/** Method and target of the request that carries a poll. */
inline constexpr std::string_view kFeedPollMethod = "POST";
inline constexpr std::string_view kFeedPollTarget = "/goldcrestkeel/changes";

/** Largest poll that is accepted, in bytes. */
inline constexpr std::size_t kMaxFeedPollBytes = 4 * 1024;

/** Encodes a poll as JSON, the body of its request. */
std::string
EncodeFeedPoll(const FeedPoll& aPoll);
/** Throws std::exception with the reason if aBody is not valid. */
FeedPoll
DecodeFeedPoll(std::string_view aBody);

/** Encodes changes as CBOR. */
std::string
EncodeFeedChanges(const FeedChanges& aChanges);
/** Throws std::exception with the reason if aBody is not valid. */
FeedChanges
DecodeFeedChanges(std::string_view aBody);

} // namespace goldcrestkeel
