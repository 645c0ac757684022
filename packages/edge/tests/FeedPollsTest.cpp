#include "FeedPolls.h"

#include <goldcrestkeel/Net.h>
#include <goldcrestkeel/edge/Numbers.h>

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <unistd.h>

#include <map>

using namespace goldcrestkeel;
using namespace std::chrono_literals;

namespace {

class IdleReader : public StoreReader
{
public:
  void Resume(FeedRevision) override {}
  void Pause() override {}
};

class Fixture
{
public:
  ~Fixture() { close(m_logDescriptor); }

  void Change(FeedRevision aRevision, bool aComplete = false)
  {
    m_feed.OnStoreChanges(
      { { { "k", "v", aRevision, false } }, aRevision, aComplete },
      m_clock.Now());
  }
  void Poll(SessionId aSession, FeedRevision aAfter, Duration aWait = 10s)
  {
    m_polls.OnPoll(aSession, EncodeFeedPoll({ "feed", "h1", aAfter, aWait }));
  }

  int m_logDescriptor = open("/dev/null", O_WRONLY);
  SystemClock m_clock;
  Loop m_loop{ m_clock };
  DecisionLog m_log{ m_loop, m_logDescriptor, "h1" };
  IdleReader m_reader;
  SharedFeed m_feed{
    m_loop,   m_log,
    "feed",   FeedOptions{ { "h1", "a", "10.0.0.1:1", 1 } },
    m_reader, [](const FeedChanges&, std::optional<TimePoint>) {}
  };
  std::map<SessionId, CallerReply> m_replies;
  FeedPolls m_polls{ m_loop,
                     m_log,
                     "h1",
                     { &m_feed },
                     [this](SessionId aSession, CallerReply&& aReply) {
                       m_replies[aSession] = std::move(aReply);
                     } };
};

} // namespace

TEST_CASE("A poll of another host", "[feed]")
{
  Fixture fixture;

  SECTION("is refused while nothing is known")
  {
    fixture.Poll(1, 0);
    REQUIRE(fixture.m_replies.at(1).m_status == 503);
  }

  fixture.Change(7, true);
  SECTION("is answered at once with what the host lacks")
  {
    fixture.Poll(1, 0);
    const CallerReply& reply = fixture.m_replies.at(1);
    REQUIRE(reply.m_status == 200);
    REQUIRE(FieldValue(reply.m_fields, kFeedHostField) == "h1");
    REQUIRE(
      ParseNumber<std::uint64_t>(FieldValue(reply.m_fields, kFeedAgeField)));
    const FeedChanges changes = DecodeFeedChanges(reply.m_body);
    REQUIRE(changes.m_complete);
    REQUIRE(changes.m_items.size() == 1);
  }

  SECTION("waits for a change if there is none")
  {
    for (SessionId session = 1; session <= 3; ++session) {
      fixture.Poll(session, 7);
    }
    REQUIRE(fixture.m_replies.empty());
    fixture.Change(9);
    fixture.m_loop.RunOnce(true);
    REQUIRE(fixture.m_replies.size() == 3);
    const FeedChanges changes =
      DecodeFeedChanges(fixture.m_replies.at(3).m_body);
    REQUIRE(changes.m_revision == 9);
    REQUIRE_FALSE(changes.m_complete);
  }

  // Guards against polls that come back as fast as they are sent.
  SECTION("waits again after an answer without changes")
  {
    for (SessionId session = 1; session <= 2; ++session) {
      fixture.Poll(session, 7, 5ms);
      REQUIRE_FALSE(fixture.m_replies.contains(session));
      fixture.m_loop.RunOnce(true);
      REQUIRE(fixture.m_replies.contains(session));
    }
  }

  SECTION("is refused if it is meant for another host")
  {
    fixture.m_polls.OnPoll(1, EncodeFeedPoll({ "feed", "h2", 0, 10s }));
    REQUIRE(fixture.m_replies.at(1).m_status == 503);
  }

  SECTION("is refused if it cannot be read")
  {
    fixture.m_polls.OnPoll(1, "{}");
    REQUIRE(fixture.m_replies.at(1).m_status == 503);
  }

  // Guards against followers that wait for a host that stops.
  SECTION("is refused from the start of a shutdown on")
  {
    fixture.Poll(1, 7);
    fixture.m_polls.Stop();
    REQUIRE(fixture.m_replies.at(1).m_status == 503);
    fixture.Poll(2, 0);
    REQUIRE(fixture.m_replies.at(2).m_status == 503);
  }
}

TEST_CASE("Messages between hosts about changes", "[feed]")
{
  const FeedPoll poll{ "replicas", "h 1&x", { 12, 3 }, 800ms };
  const std::string request = EncodeFeedPoll(poll);
  REQUIRE(DecodeFeedPoll(request) == poll);
  for (std::size_t size = 0; size < request.size(); ++size) {
    REQUIRE_THROWS(DecodeFeedPoll(request.substr(0, size)));
  }
  REQUIRE_THROWS(
    DecodeFeedPoll(R"({"feed":"a","reader":"b","after":"x","wait_ms":1})"));
  REQUIRE_THROWS(DecodeFeedPoll(R"({"feed":"a","reader":"b","after":1})"));
  // Hosts of earlier versions leave the era out.
  REQUIRE(DecodeFeedPoll(R"({"feed":"a","reader":"b","after":1,"wait_ms":1})")
            .m_after == FeedRevision(1));
  // A wait is bounded, since the session is held for it.
  REQUIRE(
    DecodeFeedPoll(R"({"feed":"a","reader":"b","after":1,"wait_ms":99999999})")
      .m_wait == 10s);

  FeedChanges changes;
  changes.m_revision = { 9, 2 };
  changes.m_items = { { "k\xff", std::string("\0\xfe", 2), { 8, 1 }, false },
                      { "gone", "", { 9, 2 }, true } };
  const std::string body = EncodeFeedChanges(changes);
  REQUIRE(DecodeFeedChanges(body) == changes);
  for (std::size_t size = 0; size < body.size(); ++size) {
    REQUIRE_THROWS(DecodeFeedChanges(body.substr(0, size)));
  }
}
