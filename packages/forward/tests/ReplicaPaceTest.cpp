#include "ForwarderFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

namespace {

/** Replicas of a service with a warm-up of 4 s and, while cold, 2 requests a
 *  second of two hosts together. */
class PaceFixture : public ForwarderFixture
{
public:
  explicit PaceFixture(std::size_t aReplicas, Duration aWarmup = 4s)
  {
    m_answerProbes = false;
    ApplyRoute(SingleRoute(true), 0);
    RoutedService& service = m_table->m_services["single"];
    service.m_warmupTime = aWarmup;
    service.m_warmupPerSecond = aWarmup > Duration(0) ? 2 : 0;
    m_forwarder->SetTable(m_now, m_table);
    for (int i = 0; i < 2; ++i) {
      m_forwarder->SetHosts(m_now, {});
    }
    for (std::size_t i = 0; i < aReplicas; ++i) {
      List(i);
    }
    // With those of another service in order, contact is not in doubt.
    for (std::size_t i = 0; i < 6; ++i) {
      m_forwarder->UpdateReplica(m_now, Replica("other", 100 + i), m_now);
    }
  }

  void List(std::size_t aNumber, Duration aWarmup = 0s, WallTime aStarted = 0)
  {
    ReplicaRecord record = Replica("single", aNumber);
    // The first one is preferred, also while it is cold.
    record.m_dataCentre = aNumber == 0 ? "a" : "c";
    record.m_warmupLeft = aWarmup;
    record.m_startedAt = aStarted;
    m_forwarder->UpdateReplica(m_now, record, m_now);
  }
  /** Requests in parallel, answered after 20 ms; returns how many a replica
   *  got. */
  std::size_t Send(std::size_t aCount, std::size_t aReplica = 0)
  {
    const std::size_t first = m_sent.size();
    for (std::size_t i = 0; i < aCount; ++i) {
      Start();
    }
    std::size_t got = 0;
    const std::size_t last = m_sent.size();
    Advance(20ms);
    for (std::size_t i = first; i < last; ++i) {
      got += m_sent[i].m_replica == Replica("single", aReplica).m_id ? 1 : 0;
      Answer(m_sent[i].m_copy);
    }
    return got;
  }
  std::size_t SendFor(Duration aTime, std::size_t aReplica = 0)
  {
    std::size_t got = 0;
    for (const TimePoint end = m_now + aTime; m_now < end;) {
      got += Send(1, aReplica);
      Advance(80ms);
    }
    return got;
  }
  void AnswerCheck(int aStatus = 200,
                   std::optional<Duration> aWarmup = std::nullopt,
                   const std::string& aInstance = "single-0")
  {
    ReplicaAnswer answer;
    answer.m_status = aStatus;
    answer.m_instance = aInstance;
    answer.m_warmupLeft = aWarmup;
    AnswerWith(m_probes.back(), answer);
  }
  bool HasPace(ReplicaPace aPace) const
  {
    return std::count(m_paces.begin(), m_paces.end(), aPace) > 0;
  }
};

} // namespace

TEST_CASE("A cold replica gets no more than its warm-up limit", "[warmup]")
{
  PaceFixture fixture(2);
  REQUIRE(fixture.SendFor(2s) > 0);

  SECTION("as its entry says, though it was warm before")
  {
    fixture.List(0, 4s);
    REQUIRE(fixture.SendFor(4s) <= 5);
    REQUIRE(fixture.HasPace(ReplicaPace::Cold));
    SECTION("until that time, from when it is used as before")
    {
      fixture.Advance(100ms);
      REQUIRE(fixture.SendFor(10s) > 20);
    }
    SECTION("or until it says that it is warm")
    {
      fixture.List(0, 4s);
      fixture.List(0, 0s);
      REQUIRE(fixture.SendFor(10s) > 20);
    }
  }
  SECTION("as it says in an answer")
  {
    fixture.Start();
    ReplicaAnswer answer;
    answer.m_status = 200;
    answer.m_stamp = "stamp";
    answer.m_warmupLeft = 3s;
    const auto sent = fixture.m_sent.back();
    fixture.AnswerWith(sent.m_copy, answer);
    REQUIRE(fixture.SendFor(3s, sent.m_replica == "single-0" ? 0 : 1) <= 5);
  }
  SECTION("when it has started during traffic, whatever its first entry says")
  {
    fixture.List(0, 0s, 7);
    REQUIRE(fixture.SendFor(4s) <= 5);
  }
  SECTION("with retries")
  {
    fixture.List(0, 4s);
    std::size_t next = fixture.m_sent.size();
    std::size_t got = 0;
    for (int i = 0; i < 10; ++i) {
      fixture.Start();
      for (; next < fixture.m_sent.size(); ++next) {
        got += fixture.m_sent[next].m_replica == "single-0" ? 1 : 0;
        fixture.Fail(fixture.m_sent[next].m_copy, CopyFailure::Broken);
      }
      fixture.Advance(100ms);
    }
    REQUIRE(got <= 2);
  }
  SECTION("and requests that this leaves no time are refused at once")
  {
    fixture.List(0, 4s);
    fixture.List(1, 4s);
    const ForwardId request = fixture.Start(100ms);
    REQUIRE(fixture.m_results.at(request).m_error == ErrorKind::NoReplica);
    REQUIRE(fixture.m_results.at(request).m_retryAfter);
  }
}

// Guards against a host that has just started, does not know of the others and
// takes their shares.
TEST_CASE(
  "A host that has not counted the hosts uses little of a warm-up limit",
  "[warmup]")
{
  ForwarderFixture fixture;
  fixture.ApplyRoute(fixture.SingleRoute(true), 0);
  fixture.m_table->m_services["single"].m_warmupPerSecond = 20;
  fixture.m_forwarder->SetTable(fixture.m_now, fixture.m_table);
  fixture.m_forwarder->SetHosts(fixture.m_now, {});
  ReplicaRecord record = fixture.Replica("single", 0);
  record.m_warmupLeft = 10s;
  fixture.m_forwarder->UpdateReplica(fixture.m_now, record, fixture.m_now);
  for (int i = 0; i < 20; ++i) {
    fixture.Start();
    fixture.Advance(100ms);
  }
  REQUIRE(fixture.m_sent.size() <= 1);
}

TEST_CASE("A replica that was unreachable is checked and starts slowly",
          "[slow-start]")
{
  PaceFixture fixture(1);
  fixture.Send(4);
  fixture.Start();
  fixture.Fail(fixture.m_sent.back().m_copy, CopyFailure::Refused);
  fixture.Advance(400ms);
  REQUIRE(fixture.m_probes.size() == 1);

  // Guards against a replica that is left idle for seconds after it is back.
  SECTION("at short intervals")
  {
    for (int i = 0; i < 6; ++i) {
      fixture.Fail(fixture.m_probes.back(), CopyFailure::Refused);
      const std::size_t probes = fixture.m_probes.size();
      fixture.Advance(800ms);
      REQUIRE(fixture.m_probes.size() == probes + 1);
    }
  }
  SECTION("also if a check is not answered")
  {
    fixture.Advance(2s);
    REQUIRE(fixture.m_probes.size() == 2);
    REQUIRE(fixture.m_aborted ==
            std::vector<CopyId>{ fixture.m_probes.front() });
  }
  SECTION("and not again once it is in order")
  {
    fixture.AnswerCheck();
    REQUIRE(fixture.HasPace(ReplicaPace::SlowStart));
    fixture.Advance(5s);
    REQUIRE(fixture.m_probes.size() == 1);

    SECTION("with one request at a time")
    {
      for (int i = 0; i < 4; ++i) {
        fixture.Start();
      }
      const std::size_t sent = fixture.m_sent.size();
      fixture.Advance(10ms);
      REQUIRE(fixture.m_sent.size() == sent);
      // No other replica can serve: after a quarter of the target, requests are
      // sent nevertheless.
      fixture.Advance(60ms);
      REQUIRE(fixture.m_sent.size() == sent + 3);
      REQUIRE(fixture.m_results.size() == 5);
    }
    SECTION("until answers in time have led it to its usual share")
    {
      for (int i = 0; i < 20; ++i) {
        fixture.Send(1);
      }
      REQUIRE(fixture.m_paces.back() == ReplicaPace::Usual);
      REQUIRE(fixture.Send(4) == 4);
    }
  }
  SECTION("and not used if a check fails")
  {
    const int status = GENERATE(503, 404, 500);
    fixture.AnswerCheck(status);
    REQUIRE_FALSE(fixture.HasPace(ReplicaPace::SlowStart));
  }
  SECTION("nor if another instance answers the check")
  {
    fixture.AnswerCheck(200, std::nullopt, "other");
    REQUIRE_FALSE(fixture.HasPace(ReplicaPace::SlowStart));
  }
  SECTION("and keeps to its warm-up limit if the check says that it is cold")
  {
    fixture.AnswerCheck(200, 4s);
    REQUIRE(fixture.HasPace(ReplicaPace::Cold));
    const std::size_t before = fixture.m_sent.size();
    fixture.SendFor(3s);
    REQUIRE(fixture.m_sent.size() - before <= 5);
  }
  SECTION("and is left alone once it is not listed")
  {
    fixture.m_forwarder->RemoveReplica(
      fixture.m_now, "single-0", fixture.m_now);
    fixture.Advance(10s);
    REQUIRE(fixture.m_probes.size() == 1);
  }
}

// Guards against requests that wait for a replica which they may not use.
TEST_CASE("A replica of another region holds no request back", "[slow-start]")
{
  PaceFixture fixture(1);
  fixture.m_table->m_routes.front().m_allowedRegions = { "south" };
  ReplicaRecord leaving = fixture.Replica("single", 1);
  leaving.m_dataCentre = "c";
  fixture.m_forwarder->UpdateReplica(fixture.m_now, leaving, fixture.m_now);
  fixture.Send(4);
  fixture.m_forwarder->SetLiveHosts(60);
  fixture.List(0, 0s, 7);
  leaving.m_draining = true;
  fixture.m_forwarder->UpdateReplica(fixture.m_now, leaving, fixture.m_now);
  const std::size_t sent = fixture.m_sent.size();
  fixture.Start();
  REQUIRE(fixture.m_sent.size() == sent + 1);
}

// Services without a warm-up time are used as before.
TEST_CASE("A replica of a service without a warm-up gets no health check",
          "[slow-start]")
{
  PaceFixture fixture(1, 0s);
  fixture.Send(4);
  fixture.Start();
  fixture.Fail(fixture.m_sent.back().m_copy, CopyFailure::Refused);
  fixture.Advance(200ms);
  REQUIRE(fixture.m_probes.empty());
  REQUIRE(fixture.Send(4) == 1);
  REQUIRE(fixture.Send(4) == 4);
  REQUIRE(fixture.m_paces.empty());
}
