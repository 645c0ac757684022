#include "ForwarderFixture.h"

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

namespace {

ReplicaAnswer
Failure(int aStatus, bool aNotRun)
{
  ReplicaAnswer answer;
  answer.m_status = aStatus;
  answer.m_notRun = aNotRun;
  answer.m_stamp = aNotRun ? "" : "failure stamp";
  return answer;
}

} // namespace

TEST_CASE("A repeatable request goes to one replica", "[forwarder]")
{
  ForwarderFixture fixture;
  fixture.ApplyRoute(fixture.SingleRoute(true), 3);
  const ForwardId request = fixture.Start();
  REQUIRE(fixture.m_sent.size() == 1);
  const CopyId copy = fixture.m_sent.front().m_copy;

  SECTION("whose answer the caller gets as it is")
  {
    fixture.Answer(copy, "bytes");
    const ForwardResult& result = fixture.m_results.at(request);
    REQUIRE_FALSE(result.m_error);
    REQUIRE(result.m_answer.m_body == "bytes");
    REQUIRE(result.m_answer.m_stamp == "stamp" + std::to_string(copy));
  }

  SECTION("and to another one after it broke off")
  {
    fixture.Fail(copy, CopyFailure::Broken);
    REQUIRE(fixture.m_sent.size() == 2);
    REQUIRE(fixture.m_sent[1].m_replica != fixture.m_sent[0].m_replica);
    fixture.Answer(fixture.m_sent[1].m_copy);
    REQUIRE_FALSE(fixture.m_results.at(request).m_error);
  }

  // Guards against more copies than the route's attempts.
  SECTION("but to no third one")
  {
    fixture.Fail(copy, CopyFailure::Broken);
    fixture.Fail(fixture.m_sent[1].m_copy, CopyFailure::Broken);
    REQUIRE(fixture.m_sent.size() == 2);
    REQUIRE(fixture.m_results.at(request).m_error == ErrorKind::BackendFailed);
    REQUIRE_FALSE(fixture.m_results.at(request).m_retryAfter);
  }

  SECTION("and the failure answer of the last one reaches the caller")
  {
    fixture.AnswerWith(copy, Failure(500, false));
    fixture.AnswerWith(fixture.m_sent[1].m_copy, Failure(500, false));
    const ForwardResult& result = fixture.m_results.at(request);
    REQUIRE_FALSE(result.m_error);
    REQUIRE(result.m_answer.m_status == 500);
    REQUIRE(result.m_answer.m_stamp == "failure stamp");
  }

  // Guards against a success without the replica's proof of origin.
  SECTION("and an answer without a stamp does not count")
  {
    ReplicaAnswer answer;
    answer.m_status = 200;
    fixture.AnswerWith(copy, answer);
    REQUIRE(fixture.m_results.empty());
    REQUIRE(fixture.m_sent.size() == 2);
  }
}

TEST_CASE("A request that is not repeatable runs at most once", "[forwarder]")
{
  ForwarderFixture fixture;
  fixture.ApplyRoute(fixture.SingleRoute(false), 3);
  const ForwardId request = fixture.Start();
  const CopyId copy = fixture.m_sent.front().m_copy;

  SECTION("so that a broken connection ends it without a promise")
  {
    fixture.Fail(copy, CopyFailure::Broken);
    REQUIRE(fixture.m_sent.size() == 1);
    REQUIRE(fixture.m_results.at(request).m_error == ErrorKind::BackendFailed);
  }

  SECTION("so that it is not hedged")
  {
    fixture.Advance(900ms);
    REQUIRE(fixture.m_sent.size() == 1);
  }

  SECTION("but it goes on after a proof that it did not run")
  {
    fixture.AnswerWith(copy, Failure(503, true));
    REQUIRE(fixture.m_sent.size() == 2);
  }

  // Guards against a 503 for a request that may have run.
  SECTION("and is not called \"not run\" after the deadline")
  {
    fixture.Advance(2s);
    REQUIRE(fixture.m_results.at(request).m_error ==
            ErrorKind::DeadlineExceeded);
  }

  SECTION("and is refused with a time to come back if all refuse it")
  {
    for (std::size_t i = 0; i < fixture.m_sent.size(); ++i) {
      fixture.AnswerWith(fixture.m_sent[i].m_copy, Failure(503, true));
      fixture.Advance(45ms);
    }
    REQUIRE(fixture.m_sent.size() == 4);
    const ForwardResult& result = fixture.m_results.at(request);
    REQUIRE(result.m_error == ErrorKind::NoReplica);
    REQUIRE(result.m_retryAfter);
  }
}

TEST_CASE("A copy that is not sent moves to another replica", "[forwarder]")
{
  ForwarderFixture fixture;
  fixture.ApplyRoute(fixture.SingleRoute(false), 3);
  fixture.m_sendAtOnce = false;
  fixture.Start();

  SECTION("when its connection takes long, even if it is not repeatable")
  {
    fixture.Advance(70ms);
    REQUIRE(fixture.m_sent.size() == 2);
    REQUIRE(fixture.m_aborted ==
            std::vector<CopyId>{ fixture.m_sent[0].m_copy });
  }

  SECTION("when its connection is refused")
  {
    fixture.Fail(fixture.m_sent[0].m_copy, CopyFailure::Refused);
    REQUIRE(fixture.m_sent.size() == 2);
  }
}

TEST_CASE("A late copy is hedged", "[forwarder]")
{
  ForwarderFixture fixture;
  fixture.ApplyRoute(fixture.SingleRoute(true), 3);
  fixture.RunRequests(100, 10ms);
  const std::size_t before = fixture.m_sent.size();
  const ForwardId request = fixture.Start();

  SECTION("after the usual time")
  {
    fixture.Advance(9ms);
    REQUIRE(fixture.m_sent.size() == before + 1);
    fixture.Advance(6ms);
    REQUIRE(fixture.m_sent.size() == before + 2);

    SECTION("and the first answer wins")
    {
      fixture.Answer(fixture.m_sent[before + 1].m_copy, "second");
      REQUIRE(fixture.m_results.at(request).m_answer.m_body == "second");
      fixture.Answer(fixture.m_sent[before].m_copy, "first");
    }

    // Guards against copies that work on after the caller has its answer.
    SECTION("and the other copy is closed later")
    {
      fixture.Answer(fixture.m_sent[before + 1].m_copy);
      fixture.Advance(2s);
      REQUIRE(fixture.m_aborted ==
              std::vector<CopyId>{ fixture.m_sent[before].m_copy });
    }
  }

  // Guards against new requests for a replica that pauses.
  SECTION("and its replica gets no other request meanwhile")
  {
    fixture.Advance(20ms);
    const std::string paused = fixture.m_sent[before].m_replica;
    for (int i = 0; i < 3; ++i) {
      fixture.Start();
      REQUIRE(fixture.m_sent.back().m_replica != paused);
    }
  }
}

TEST_CASE("Repeats stay within the budget of the service", "[forwarder]")
{
  ForwarderOptions options = ForwarderFixture::Options();
  options.m_repeatSlack = 0;
  ForwarderFixture fixture(options);
  fixture.ApplyRoute(fixture.SingleRoute(true), 3);
  fixture.RunRequests(100, 10ms);
  std::size_t repeats = 0;
  for (int i = 0; i < 100; ++i) {
    fixture.Start();
    const std::size_t first = fixture.m_sent.size();
    fixture.Fail(fixture.m_sent.back().m_copy, CopyFailure::Broken);
    if (fixture.m_sent.size() > first) {
      ++repeats;
      fixture.Answer(fixture.m_sent.back().m_copy);
    }
    fixture.Advance(1ms);
  }
  REQUIRE(repeats > 15);
  REQUIRE(repeats <= 40);
}

// Guards against requests that passed the budget before they waited, and are
// all sent when their replica has room again.
TEST_CASE("Requests that wait after a refusal keep the budget", "[forwarder]")
{
  ForwarderOptions options = ForwarderFixture::Options();
  options.m_repeatRatio = 0;
  options.m_repeatSlack = 6;
  ForwarderFixture fixture(options);
  fixture.ApplyRoute(fixture.SingleRoute(true), 1);
  // 8 connections and 6 repeats over 2 hosts: 4 requests, 2 repeats.
  for (int i = 0; i < 4; ++i) {
    fixture.Start();
  }
  for (int i = 0; i < 4; ++i) {
    fixture.AnswerWith(fixture.m_sent[i].m_copy, Failure(503, true));
  }
  fixture.Advance(300ms);
  REQUIRE(fixture.m_sent.size() == 4 + 2);
}

TEST_CASE("A gathered answer", "[forwarder]")
{
  ForwarderFixture fixture;
  fixture.ApplyRoute(fixture.GatherRoute(4, 0.75), 2);
  const ForwardId request = fixture.Start();
  REQUIRE(fixture.m_sent.size() == 4);
  const std::string low(16, 'a');
  const std::string high(16, 'z');

  SECTION("holds the greatest records of all parts")
  {
    for (int i = 0; i < 4; ++i) {
      fixture.Answer(fixture.m_sent[i].m_copy, i == 2 ? high + high : low);
    }
    const ForwardResult& result = fixture.m_results.at(request);
    REQUIRE(result.m_gathered);
    REQUIRE(result.m_missingShards == 0);
    REQUIRE(result.m_stamps.size() == 4);
    REQUIRE(result.m_answer.m_body == high + high + low + low);
  }

  // Guards against answers that leave at the target and so arrive after it.
  SECTION("leaves in time without a late shard")
  {
    for (int i = 0; i < 3; ++i) {
      fixture.Answer(fixture.m_sent[i].m_copy, low);
    }
    fixture.Advance(180ms);
    REQUIRE(fixture.m_results.empty());
    fixture.Advance(10ms);
    const ForwardResult& result = fixture.m_results.at(request);
    REQUIRE_FALSE(result.m_error);
    REQUIRE(result.m_missingShards == 1);
    REQUIRE(result.m_stamps.size() == 3);
  }

  SECTION("waits beyond the target for the shards that it needs")
  {
    fixture.Answer(fixture.m_sent[0].m_copy, low);
    fixture.Answer(fixture.m_sent[1].m_copy, low);
    fixture.Advance(300ms);
    REQUIRE(fixture.m_results.empty());
    fixture.Answer(fixture.LastCopyTo("shard2").m_copy, low);
    REQUIRE_FALSE(fixture.m_results.at(request).m_error);
  }

  // Guards against replicas that work on for an answer that has left.
  SECTION("asks no replica to work beyond the target")
  {
    for (const auto& sent : fixture.m_sent) {
      REQUIRE(sent.m_deadline <= fixture.m_now + 200ms);
    }
  }

  SECTION("is an error at once if too few shards are left")
  {
    for (int i = 0; i < 2; ++i) {
      const std::string service = "shard" + std::to_string(i);
      fixture.Fail(fixture.LastCopyTo(service).m_copy, CopyFailure::Broken);
      fixture.Fail(fixture.LastCopyTo(service).m_copy, CopyFailure::Broken);
    }
    REQUIRE(fixture.m_results.at(request).m_error == ErrorKind::BackendFailed);
  }

  // Guards against a shard's failure counted as its part.
  SECTION("holds no failure of a replica as a part")
  {
    fixture.AnswerWith(fixture.m_sent[0].m_copy, Failure(404, false));
    fixture.Advance(0ms);
    REQUIRE(fixture.CopiesTo("shard0") == 2);
  }
}

TEST_CASE("What no replica can serve is refused at once", "[forwarder]")
{
  ForwarderFixture fixture;

  SECTION("without replicas")
  {
    fixture.ApplyRoute(fixture.SingleRoute(true), 0);
    const ForwardId request = fixture.Start();
    const ForwardResult& result = fixture.m_results.at(request);
    REQUIRE(result.m_error == ErrorKind::NoReplica);
    REQUIRE(result.m_retryAfter);
    REQUIRE(fixture.m_sent.empty());
  }

  SECTION("with too few shards that have replicas")
  {
    fixture.ApplyRoute(fixture.GatherRoute(4, 0.75), 1);
    fixture.m_forwarder->RemoveReplica(fixture.m_now, "shard0-0");
    fixture.m_forwarder->RemoveReplica(fixture.m_now, "shard1-0");
    fixture.Advance(3s);
    const ForwardId request = fixture.Start();
    REQUIRE(fixture.m_results.at(request).m_error == ErrorKind::NoReplica);
    REQUIRE(fixture.m_sent.empty());
  }
}

TEST_CASE("A replica that leaves", "[forwarder]")
{
  ForwarderFixture fixture;
  fixture.ApplyRoute(fixture.SingleRoute(true), 2);
  ReplicaRecord leaving = fixture.Replica("single", 0);
  leaving.m_draining = true;
  fixture.m_forwarder->UpdateReplica(fixture.m_now, leaving);

  SECTION("gets nothing while there is another")
  {
    for (int i = 0; i < 4; ++i) {
      fixture.Start();
      REQUIRE(fixture.m_sent.back().m_replica == "single-1");
      fixture.Answer(fixture.m_sent.back().m_copy);
    }
  }

  // The users' limit is 3 s from the report of the replica.
  SECTION("is the last resort for a moment only")
  {
    fixture.m_forwarder->RemoveReplica(fixture.m_now, "single-1");
    fixture.Advance(800ms);
    fixture.Start();
    REQUIRE(fixture.m_sent.size() == 1);
    fixture.Advance(700ms);
    const ForwardId late = fixture.Start();
    REQUIRE(fixture.m_results.at(late).m_error == ErrorKind::NoReplica);
  }

  SECTION("and starts again under its id is another one")
  {
    ReplicaRecord restarted = fixture.Replica("single", 0);
    restarted.m_startedAt = 5;
    fixture.m_forwarder->UpdateReplica(fixture.m_now, restarted);
    fixture.m_forwarder->RemoveReplica(fixture.m_now, "single-1");
    fixture.Advance(5s);
    fixture.Start();
    REQUIRE(fixture.m_sent.back().m_replica == "single-0");
  }
}

TEST_CASE("A caller that goes away", "[forwarder]")
{
  ForwarderFixture fixture;
  fixture.ApplyRoute(fixture.SingleRoute(true), 2);
  const ForwardId request = fixture.Start();
  fixture.m_forwarder->Cancel(fixture.m_now, request);

  // Guards against work for callers that left: the users allow half a second.
  SECTION("leaves no copy running")
  {
    fixture.Advance(400ms);
    REQUIRE(fixture.m_aborted ==
            std::vector<CopyId>{ fixture.m_sent.front().m_copy });
  }

  SECTION("gets no answer")
  {
    fixture.Answer(fixture.m_sent.front().m_copy);
    REQUIRE(fixture.m_results.empty());
    REQUIRE(fixture.m_forwarder->Running() == 0);
  }
}

TEST_CASE("A route with weights divides its requests", "[forwarder]")
{
  ForwarderFixture fixture;
  Route route = fixture.SingleRoute(true);
  route.m_services = { { "old", 3 }, { "new", 1 } };
  fixture.ApplyRoute(route, 2);
  for (int i = 0; i < 40; ++i) {
    fixture.Start();
    fixture.Answer(fixture.m_sent.back().m_copy);
  }
  REQUIRE(fixture.CopiesTo("old") == 30);
  REQUIRE(fixture.CopiesTo("new") == 10);
}

TEST_CASE("Requests beyond the connections of this host wait", "[forwarder]")
{
  ForwarderFixture fixture;
  Route route = fixture.SingleRoute(true);
  fixture.ApplyRoute(route, 1);
  // 8 connections of the replica over 2 hosts.
  for (int i = 0; i < 5; ++i) {
    fixture.Start();
  }
  REQUIRE(fixture.m_sent.size() == 4);

  SECTION("for the next answer")
  {
    fixture.Answer(fixture.m_sent[0].m_copy);
    REQUIRE(fixture.m_sent.size() == 5);
  }

  SECTION("and are refused as not run at their deadline")
  {
    fixture.Advance(2s);
    REQUIRE(fixture.m_results.at(5).m_error == ErrorKind::NoReplica);
  }
}

// Plays a shard that is overloaded: its only replica refuses for lack of room.
// Such shards used to be given up at once, and with them the request.
TEST_CASE("A replica that is full is tried again", "[forwarder]")
{
  ForwarderFixture fixture;
  fixture.ApplyRoute(fixture.SingleRoute(true), 1);
  const ForwardId request = fixture.Start();

  SECTION("shortly after it refused")
  {
    fixture.AnswerWith(fixture.m_sent.back().m_copy, Failure(503, true));
    REQUIRE(fixture.m_results.empty());
    fixture.Advance(45ms);
    REQUIRE(fixture.m_sent.size() == 2);
    fixture.Answer(fixture.m_sent.back().m_copy);
    REQUIRE_FALSE(fixture.m_results.at(request).m_error);
  }

  SECTION("and gets nothing while it reports a long queue")
  {
    ReplicaAnswer answer;
    answer.m_status = 200;
    answer.m_stamp = "stamp";
    answer.m_load = LoadReport{ 3, 10, 3 };
    fixture.AnswerWith(fixture.m_sent.back().m_copy, answer);
    fixture.Start();
    REQUIRE(fixture.m_sent.size() == 1);
    fixture.Advance(85ms);
    REQUIRE(fixture.m_sent.size() == 2);
  }
}

// Plays a shard that answers a third of its requests, as one with too few sound
// replicas does. Without skipping, each request waits for it until the target.
TEST_CASE("An overloaded shard is left out of some requests", "[forwarder]")
{
  ForwarderFixture fixture;
  const auto run = [&](std::size_t aRequests) {
    std::size_t early = 0;
    for (std::size_t i = 0; i < aRequests; ++i) {
      const std::size_t first = fixture.m_sent.size();
      const ForwardId request = fixture.Start();
      const std::size_t last = fixture.m_sent.size();
      fixture.Advance(10ms);
      for (std::size_t copy = first; copy < last; ++copy) {
        if (fixture.m_sent[copy].m_service != "shard0" || i % 3 == 0) {
          fixture.Answer(fixture.m_sent[copy].m_copy);
        }
      }
      early += fixture.m_results.contains(request) ? 1 : 0;
      fixture.Advance(190ms);
    }
    return early;
  };

  SECTION("if the route allows it, so that these are answered at once")
  {
    fixture.ApplyRoute(fixture.GatherRoute(4, 0.75), 2);
    REQUIRE(run(60) < 60);
    const std::size_t before = fixture.CopiesTo("shard0");
    REQUIRE(run(60) > 30);
    const std::size_t asked = fixture.CopiesTo("shard0") - before;
    REQUIRE(asked > 5);
    REQUIRE(asked < 60);
  }

  SECTION("and of none that needs all shards")
  {
    fixture.ApplyRoute(fixture.GatherRoute(4, 1), 2);
    run(60);
    // Some find both replicas silent and are refused.
    std::size_t refused = 0;
    for (const auto& [request, result] : fixture.m_results) {
      refused += result.m_error == ErrorKind::NoReplica ? 1 : 0;
      REQUIRE((result.m_error || result.m_missingShards == 0));
    }
    REQUIRE(fixture.CopiesTo("shard0") + refused >= 60);
  }
}

TEST_CASE("Replicas that are near are preferred", "[forwarder]")
{
  ForwarderFixture fixture;
  fixture.ApplyRoute(fixture.SingleRoute(true), 0);
  for (std::size_t i = 0; i < 3; ++i) {
    ReplicaRecord record = fixture.Replica("single", i);
    record.m_dataCentre = std::string(1, static_cast<char>('c' - i));
    fixture.m_forwarder->UpdateReplica(fixture.m_now, record);
  }
  for (int i = 0; i < 10; ++i) {
    fixture.Start();
    REQUIRE(fixture.m_sent.back().m_replica == "single-2");
    fixture.Answer(fixture.m_sent.back().m_copy);
  }
}
