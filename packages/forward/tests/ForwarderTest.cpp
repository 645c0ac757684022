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

TEST_CASE("An idempotent request is sent to one replica", "[forwarder]")
{
  ForwarderFixture fixture;
  fixture.ApplyRoute(fixture.SingleRoute(true), 3);
  const ForwardId request = fixture.Start();
  REQUIRE(fixture.m_sent.size() == 1);
  const CopyId copy = fixture.m_sent.front().m_copy;

  SECTION("and its answer is returned unchanged")
  {
    fixture.Answer(copy, "bytes");
    const ForwardResult& result = fixture.m_results.at(request);
    REQUIRE_FALSE(result.m_error);
    REQUIRE(result.m_answer.m_body == "bytes");
    REQUIRE(result.m_answer.m_stamp == "stamp" + std::to_string(copy));
  }

  SECTION("and to another one after its connection broke")
  {
    fixture.Fail(copy, CopyFailure::Broken);
    REQUIRE(fixture.m_sent.size() == 2);
    REQUIRE(fixture.m_sent[1].m_replica != fixture.m_sent[0].m_replica);
    fixture.Answer(fixture.m_sent[1].m_copy);
    REQUIRE_FALSE(fixture.m_results.at(request).m_error);
  }

  // Guards against more copies than the attempts of the route.
  SECTION("but not to a third one")
  {
    fixture.Fail(copy, CopyFailure::Broken);
    fixture.Fail(fixture.m_sent[1].m_copy, CopyFailure::Broken);
    REQUIRE(fixture.m_sent.size() == 2);
    REQUIRE(fixture.m_results.at(request).m_error == ErrorKind::BackendFailed);
    REQUIRE_FALSE(fixture.m_results.at(request).m_retryAfter);
  }

  SECTION("and the error answer of the last one is returned")
  {
    fixture.AnswerWith(copy, Failure(500, false));
    fixture.AnswerWith(fixture.m_sent[1].m_copy, Failure(500, false));
    const ForwardResult& result = fixture.m_results.at(request);
    REQUIRE_FALSE(result.m_error);
    REQUIRE(result.m_answer.m_status == 500);
    REQUIRE(result.m_answer.m_stamp == "failure stamp");
  }

  // Guards against a success without the replica's proof of origin.
  SECTION("and an answer without a stamp is rejected")
  {
    ReplicaAnswer answer;
    answer.m_status = 200;
    fixture.AnswerWith(copy, answer);
    REQUIRE(fixture.m_results.empty());
    REQUIRE(fixture.m_sent.size() == 2);
  }
}

TEST_CASE("A request that is not idempotent runs at most once", "[forwarder]")
{
  ForwarderFixture fixture;
  fixture.ApplyRoute(fixture.SingleRoute(false), 3);
  const ForwardId request = fixture.Start();
  const CopyId copy = fixture.m_sent.front().m_copy;

  SECTION("so that it fails without \"not run\" if the connection breaks")
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

  SECTION("but it is retried if a replica confirms that it did not run")
  {
    fixture.AnswerWith(copy, Failure(503, true));
    REQUIRE(fixture.m_sent.size() == 2);
  }

  // Guards against a 503 for a request that may have run.
  SECTION("and is not reported as \"not run\" after the deadline")
  {
    fixture.Advance(2s);
    REQUIRE(fixture.m_results.at(request).m_error ==
            ErrorKind::DeadlineExceeded);
  }

  SECTION("and is refused with Retry-After if all replicas refuse it")
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

TEST_CASE("A copy that was not sent moves to another replica", "[forwarder]")
{
  ForwarderFixture fixture;
  fixture.ApplyRoute(fixture.SingleRoute(false), 3);
  fixture.m_sendAtOnce = false;
  fixture.Start();

  SECTION("on connect timeout, even if the request is not idempotent")
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

  SECTION("after the late threshold")
  {
    fixture.Advance(9ms);
    REQUIRE(fixture.m_sent.size() == before + 1);
    fixture.Advance(6ms);
    REQUIRE(fixture.m_sent.size() == before + 2);

    SECTION("and the first answer is returned")
    {
      fixture.Answer(fixture.m_sent[before + 1].m_copy, "second");
      REQUIRE(fixture.m_results.at(request).m_answer.m_body == "second");
      fixture.Answer(fixture.m_sent[before].m_copy, "first");
    }

    // Guards against copies that run on after the caller has its answer.
    SECTION("and the other copy is closed later")
    {
      fixture.Answer(fixture.m_sent[before + 1].m_copy);
      fixture.Advance(2s);
      REQUIRE(fixture.m_aborted ==
              std::vector<CopyId>{ fixture.m_sent[before].m_copy });
    }
  }

  // Guards against new requests to a paused replica.
  SECTION("and its replica gets no other request in the meantime")
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

// Guards against requests that are checked against the budget only before they
// wait, and are all sent once their replica has capacity again.
TEST_CASE("Requests that wait after a refusal stay within the budget",
          "[forwarder]")
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

  SECTION("has the greatest records of all shards")
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

  // Guards against answers that are sent at the target and thus arrive after
  // it.
  SECTION("is sent before the target without a late shard")
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

  SECTION("is delayed beyond the target until enough shards have answered")
  {
    fixture.Answer(fixture.m_sent[0].m_copy, low);
    fixture.Answer(fixture.m_sent[1].m_copy, low);
    fixture.Advance(300ms);
    REQUIRE(fixture.m_results.empty());
    fixture.Answer(fixture.LastCopyTo("shard2").m_copy, low);
    REQUIRE_FALSE(fixture.m_results.at(request).m_error);
  }

  // Guards against work of replicas for an answer that has already been sent.
  SECTION("sends no copy with a deadline after the target")
  {
    for (const auto& sent : fixture.m_sent) {
      REQUIRE(sent.m_deadline <= fixture.m_now + 200ms);
    }
  }

  SECTION("fails at once if too few shards remain")
  {
    for (int i = 0; i < 2; ++i) {
      const std::string service = "shard" + std::to_string(i);
      fixture.Fail(fixture.LastCopyTo(service).m_copy, CopyFailure::Broken);
      fixture.Fail(fixture.LastCopyTo(service).m_copy, CopyFailure::Broken);
    }
    REQUIRE(fixture.m_results.at(request).m_error == ErrorKind::BackendFailed);
  }

  // Guards against an error answer that counts as the answer of a shard.
  SECTION("does not include an error answer of a replica")
  {
    fixture.AnswerWith(fixture.m_sent[0].m_copy, Failure(404, false));
    fixture.Advance(0ms);
    REQUIRE(fixture.CopiesTo("shard0") == 2);
  }
}

TEST_CASE("A request that no replica can serve is refused at once",
          "[forwarder]")
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

  SECTION("if too few shards have replicas")
  {
    fixture.ApplyRoute(fixture.GatherRoute(4, 0.75), 1);
    fixture.m_forwarder->RemoveReplica(
      fixture.m_now, "shard0-0", fixture.m_now);
    fixture.m_forwarder->RemoveReplica(
      fixture.m_now, "shard1-0", fixture.m_now);
    fixture.Advance(3s);
    const ForwardId request = fixture.Start();
    REQUIRE(fixture.m_results.at(request).m_error == ErrorKind::NoReplica);
    REQUIRE(fixture.m_sent.empty());
  }
}

TEST_CASE("A draining replica", "[forwarder]")
{
  ForwarderFixture fixture;
  fixture.ApplyRoute(fixture.SingleRoute(true), 2);
  ReplicaRecord draining = fixture.Replica("single", 0);
  draining.m_draining = true;
  const TimePoint changedAfter = fixture.m_now - 1s;
  fixture.m_forwarder->UpdateReplica(fixture.m_now, draining, changedAfter);

  SECTION("gets no requests while there is another")
  {
    for (int i = 0; i < 4; ++i) {
      fixture.Start();
      REQUIRE(fixture.m_sent.back().m_replica == "single-1");
      fixture.Answer(fixture.m_sent.back().m_copy);
    }
  }

  // The limit is 3 s after the change, which may be as old as the knowledge
  // before it; it does not start when the change is heard of.
  SECTION("is used only if there is no other, until shortly before its limit")
  {
    fixture.m_forwarder->RemoveReplica(fixture.m_now, "single-1", changedAfter);
    fixture.Advance(1400ms);
    fixture.Start();
    REQUIRE(fixture.m_sent.size() == 1);
    fixture.Advance(200ms);
    const ForwardId late = fixture.Start();
    REQUIRE(fixture.m_results.at(late).m_error == ErrorKind::NoReplica);
  }

  // Guards against a request 5.1 s after a replica began to drain, where the
  // host had heard of it after 4.4 s of 5 (further-grown, trouble-1).
  SECTION("is not used if the change may be older than the limit")
  {
    ReplicaRecord other = fixture.Replica("single", 1);
    other.m_draining = true;
    fixture.m_forwarder->UpdateReplica(
      fixture.m_now, other, fixture.m_now - 2600ms);
    fixture.Advance(1600ms);
    const ForwardId late = fixture.Start();
    REQUIRE(fixture.m_results.at(late).m_error == ErrorKind::NoReplica);
  }

  SECTION("is not used if the age of the change is unknown")
  {
    ReplicaRecord other = fixture.Replica("single", 1);
    other.m_draining = true;
    fixture.m_forwarder->UpdateReplica(fixture.m_now, other, std::nullopt);
    fixture.Start();
    REQUIRE(fixture.m_sent.back().m_replica == "single-0");
  }

  // Guards against services without replicas after an outage of the store, in
  // which entries lapse: live replicas are listed again within 2 s.
  SECTION("that was removed after a time without news is used for 2 s")
  {
    fixture.m_forwarder->RemoveReplica(
      fixture.m_now, "single-1", fixture.m_now - 10s);
    fixture.Advance(1900ms);
    fixture.Start();
    REQUIRE(fixture.m_sent.back().m_replica == "single-1");
    fixture.Advance(200ms);
    const ForwardId late = fixture.Start();
    REQUIRE(fixture.m_results.at(late).m_error == ErrorKind::NoReplica);
  }

  SECTION("that restarts with the same id counts as a new replica")
  {
    ReplicaRecord restarted = fixture.Replica("single", 0);
    restarted.m_startedAt = 5;
    fixture.m_forwarder->UpdateReplica(fixture.m_now, restarted, fixture.m_now);
    fixture.m_forwarder->RemoveReplica(
      fixture.m_now, "single-1", fixture.m_now);
    fixture.Advance(5s);
    fixture.Start();
    REQUIRE(fixture.m_sent.back().m_replica == "single-0");
  }
}

TEST_CASE("A caller that disconnects", "[forwarder]")
{
  ForwarderFixture fixture;
  fixture.ApplyRoute(fixture.SingleRoute(true), 2);
  const ForwardId request = fixture.Start();
  fixture.m_forwarder->Cancel(fixture.m_now, request);

  // Guards against work for disconnected callers: at most half a second is
  // allowed.
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

TEST_CASE("A route distributes its requests by weight", "[forwarder]")
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

TEST_CASE("Requests beyond the connection limit of this host wait",
          "[forwarder]")
{
  ForwarderFixture fixture;
  Route route = fixture.SingleRoute(true);
  fixture.ApplyRoute(route, 1);
  // 8 connections of the replica over 2 hosts.
  for (int i = 0; i < 5; ++i) {
    fixture.Start();
  }
  REQUIRE(fixture.m_sent.size() == 4);

  SECTION("until the next answer")
  {
    fixture.Answer(fixture.m_sent[0].m_copy);
    REQUIRE(fixture.m_sent.size() == 5);
  }

  SECTION("and are refused as \"not run\" at their deadline")
  {
    fixture.Advance(2s);
    REQUIRE(fixture.m_results.at(5).m_error == ErrorKind::NoReplica);
  }
}

// Guards against requests that fail at once because the only replica of a
// service is overloaded and refuses them.
TEST_CASE("A full replica is tried again", "[forwarder]")
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

  SECTION("and gets no requests while it reports a long queue")
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

// Guards against requests that all wait until the target for an overloaded
// shard. The shard answers a third of its requests, as if it had too few
// healthy replicas.
TEST_CASE("An overloaded shard is skipped in some requests", "[forwarder]")
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

  SECTION("if the route allows it, so that these are answered early")
  {
    fixture.ApplyRoute(fixture.GatherRoute(4, 0.75), 2);
    REQUIRE(run(60) < 60);
    const std::size_t before = fixture.CopiesTo("shard0");
    REQUIRE(run(60) > 30);
    const std::size_t copies = fixture.CopiesTo("shard0") - before;
    REQUIRE(copies > 5);
    REQUIRE(copies < 60);
  }

  SECTION("but not if the route requires all shards")
  {
    fixture.ApplyRoute(fixture.GatherRoute(4, 1), 2);
    run(60);
    // Some requests find both replicas unresponsive and are refused.
    std::size_t refused = 0;
    for (const auto& [request, result] : fixture.m_results) {
      refused += result.m_error == ErrorKind::NoReplica ? 1 : 0;
      REQUIRE((result.m_error || result.m_missingShards == 0));
    }
    REQUIRE(fixture.CopiesTo("shard0") + refused >= 60);
  }
}

TEST_CASE("Nearby replicas are preferred", "[forwarder]")
{
  ForwarderFixture fixture;
  fixture.ApplyRoute(fixture.SingleRoute(true), 0);
  for (std::size_t i = 0; i < 3; ++i) {
    ReplicaRecord record = fixture.Replica("single", i);
    record.m_dataCentre = std::string(1, static_cast<char>('c' - i));
    fixture.m_forwarder->UpdateReplica(fixture.m_now, record, fixture.m_now);
  }
  for (int i = 0; i < 10; ++i) {
    fixture.Start();
    REQUIRE(fixture.m_sent.back().m_replica == "single-2");
    fixture.Answer(fixture.m_sent.back().m_copy);
  }
}
