#include "CrashMessages.h"
#include "FeedMessages.h"
#include "ForwardReplies.h"
#include "RateLimitMessages.h"
#include "RelayFields.h"

#include <goldcrestkeel/Edge.h>

#include <catch2/catch.hpp>

#include <string>

using namespace goldcrestkeel;

namespace {

constexpr std::size_t kDepth = 2000000;

std::string
Times(const std::string& aText)
{
  std::string text;
  for (std::size_t i = 0; i < kDepth; ++i) {
    text += aText;
  }
  return text;
}

} // namespace

// Guards against hosts that end because of a message of another one: a decoder
// that calls itself for each level uses up the stack.
TEST_CASE("A message of another host is very deeply nested", "[feed]")
{
  SECTION("in its changes")
  {
    const std::string start = "\xa1\x65items";
    const std::string end = "\x01";
    const std::string body = GENERATE_REF(Times("\x81"),
                                          Times("\x9f"),
                                          Times("\xa1\x61"
                                                "a"),
                                          Times("\xbf\x61"
                                                "a"),
                                          Times("\x7f"),
                                          Times("\x5f"),
                                          Times("\xc0"),
                                          Times("\x81") + end,
                                          Times("\xa1\x61"
                                                "a") +
                                            end,
                                          start + Times("\x81") + end);
    REQUIRE_THROWS(DecodeFeedChanges(body));
  }

  SECTION("in a poll")
  {
    REQUIRE_THROWS(DecodeFeedPoll(
      GENERATE_REF(Times("["),
                   Times("[") + Times("]"),
                   R"({"feed":)" + Times("[") + Times("]") +
                     R"(,"reader":"r","after":1,"wait_ms":1})")));
  }

  SECTION("in what it tells of crashes")
  {
    const std::string nested = Times("[") + Times("]");
    REQUIRE_THROWS(DecodeCrashMessage(GENERATE_REF(
      nested,
      R"({"crashes":)" + nested + R"(,"quarantined":[]})",
      R"({"crashes":[],"quarantined":)" + nested + "}",
      R"({"crashes":[],"quarantined":[{"fingerprint":)" + nested + "}]}")));
  }
}

TEST_CASE("A message of another host has numbers out of range", "[feed]")
{
  const std::string number = GENERATE(as<std::string>(),
                                      "-1",
                                      "1.5",
                                      "1e30",
                                      "1e400",
                                      "99999999999999999999",
                                      "null",
                                      "true");
  CAPTURE(number);

  SECTION("in a poll")
  {
    REQUIRE_THROWS(DecodeFeedPoll(
      R"({"feed":"f","reader":"r","after":1,"wait_ms":)" + number + "}"));
    REQUIRE_THROWS(DecodeFeedPoll(
      R"({"feed":"f","reader":"r","wait_ms":1,"after":)" + number + "}"));
  }

  SECTION("in what it tells of crashes")
  {
    REQUIRE_THROWS(DecodeCrashMessage(
      R"({"crashes":[],"quarantined":[{"fingerprint":"a","request":"",
          "version":1,"crashes":)" +
      number + "}]}"));
  }
}

TEST_CASE("Changes of another host are read up to their end", "[feed]")
{
  FeedChanges changes;
  changes.m_revision = { 7, 2 };
  changes.m_complete = true;
  changes.m_items = { { "k", std::string(70000, '\x7f'), { 6, 2 }, false },
                      { "", std::string(), { 7, 2 }, true } };
  const std::string body = EncodeFeedChanges(changes);
  REQUIRE(DecodeFeedChanges(body).m_items.size() == 2);
  REQUIRE(DecodeFeedChanges(body).m_items[0].m_value ==
          changes.m_items[0].m_value);
  for (std::size_t length = 0; length < body.size(); length += 997) {
    REQUIRE_THROWS(DecodeFeedChanges(body.substr(0, length)));
  }
  REQUIRE_THROWS(DecodeFeedChanges(body + "x"));
}

TEST_CASE("Times between hosts are out of range", "[feed]")
{
  const std::string value =
    GENERATE(as<std::string>(), "9223372036854775807", "18446744073709551615");
  RequestMessage request;
  request.m_fields = { { std::string(kTableVersionField), "1" },
                       { std::string(kShardsField), "0" },
                       { std::string(kMayMissField), "0" },
                       { std::string(kTargetMsField), value } };
  const auto parameters = ExtractRelayParameters(request);
  REQUIRE(
    (!parameters || (parameters->m_timeToTarget >= Duration(0) &&
                     parameters->m_timeToTarget <= std::chrono::hours(24))));
}

// Guards against an exception that leaves the event loop and ends the process.
TEST_CASE("A message of another host is not UTF-8", "[crash]")
{
  std::string reason;
  try {
    DecodeCrashMessage("\xff");
  } catch (const std::exception& error) {
    reason = error.what();
  }
  REQUIRE_FALSE(reason.empty());

  SECTION("and is refused with its reason")
  {
    const CallerReply reply =
      ToErrorReply(ErrorKind::BadRequest, reason + "\xff", std::nullopt);
    REQUIRE(reply.m_status == 400);
    REQUIRE(reply.m_body.find("\xff") == std::string::npos);
  }
}

// Guards against messages that take many times their bytes once they are
// parsed.
TEST_CASE("A message of another host is larger than any", "[crash]")
{
  SECTION("because of its spaces")
  {
    REQUIRE_NOTHROW(DecodeCrashMessage(R"({"crashes":[],"quarantined":[]})"));
    REQUIRE_THROWS(DecodeCrashMessage(R"({"crashes":[],"quarantined":[]})" +
                                      std::string(kMaxCrashMessageBytes, ' ')));
  }

  SECTION("or because of a level within a level")
  {
    const std::string nested = std::string(20, '[') + std::string(20, ']');
    REQUIRE_THROWS_WITH(DecodeTokenMessage(nested),
                        Catch::Contains("too deeply"));
    REQUIRE_THROWS_WITH(DecodeFeedPoll(nested), Catch::Contains("too deeply"));
  }
}
