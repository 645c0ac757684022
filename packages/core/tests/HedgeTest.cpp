#include "EngineFixture.h"
#include "HedgePolicy.h"
#include "RetryBudget.h"

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;

TEST_CASE("The hedge delay is a quantile of the observed latencies", "[hedge]")
{
  const auto policy = MakeHedgePolicy("quantile", 0.05);
  const LatencyEstimate expected{ 500, 100 };
  REQUIRE_FALSE(policy->Delay(expected));
  for (int i = 1; i <= 1000; ++i) {
    policy->Observe(Duration{ i }, expected);
  }
  REQUIRE(policy->Delay(expected)->count() == Approx(955).margin(5));
  REQUIRE_FALSE(MakeHedgePolicy("none", 0.05)->Delay(expected));

  SECTION("relative to the latency estimate of the replica")
  {
    REQUIRE(policy->Delay({ 5000, 100 })->count() == Approx(5455).margin(5));
    REQUIRE(policy->Delay({ 500, 200 })->count() == Approx(1410).margin(10));
  }
}

// Guards against a hedge whose reply is counted twice, that does not free its
// slot, or that exceeds the budget.
TEST_CASE("A straggler is hedged", "[hedge]")
{
  EngineFixture fixture(1, 2);
  for (QueryId query = 1; query <= 110; ++query) {
    fixture.Start(query);
    fixture.m_now += Duration{ 5000 };
    fixture.Reply(fixture.m_sent.size() - 1, {});
  }
  fixture.m_finished.clear();
  const std::size_t first = fixture.m_sent.size();
  const Duration start = fixture.m_now.time_since_epoch();

  SECTION("on another replica, and the first reply wins")
  {
    fixture.Start(1000);
    fixture.AdvanceTo(start + Duration{ 20000 });
    REQUIRE(fixture.m_sent.size() == first + 2);
    REQUIRE(fixture.m_sent[first + 1].m_hedge);
    REQUIRE(fixture.m_sent[first].m_replica !=
            fixture.m_sent[first + 1].m_replica);

    fixture.Reply(first + 1, { { "a", "", 1 } });
    REQUIRE(fixture.OnlyAnswer().m_hits.size() == 1);
    REQUIRE(fixture.m_cancelled.back().m_attempt ==
            fixture.m_sent[first].m_attempt);

    fixture.Reply(first, { { "a", "", 1 } });
    REQUIRE(fixture.m_finished.size() == 1);
  }

  SECTION("but not beyond the extra-load budget")
  {
    for (QueryId query = 1000; query < 1400; ++query) {
      fixture.Start(query);
      fixture.AdvanceTo(fixture.m_now.time_since_epoch() + Duration{ 200000 });
    }
    REQUIRE(fixture.Counters().m_hedges >= 20);
    REQUIRE(fixture.Counters().m_hedges + fixture.Counters().m_retries <=
            510 * 0.05 + 10);
  }
}

// Guards against hedges that consume the whole extra load: the loss of a
// replica then costs coverage although other replicas of the shard are healthy.
TEST_CASE("Hedges leave extra load for retries", "[hedge][retry]")
{
  EngineFixture fixture(1, 3);
  const auto advance = [&](int aMilliseconds) {
    fixture.AdvanceTo(fixture.m_now.time_since_epoch() +
                      std::chrono::milliseconds(aMilliseconds));
  };
  for (QueryId query = 1; query <= 110; ++query) {
    fixture.Start(query);
    fixture.m_now += Duration{ 5000 };
    fixture.Reply(fixture.m_sent.size() - 1, {});
  }
  std::size_t open = fixture.m_sent.size();
  for (QueryId query = 1000; query < 1300; ++query) {
    fixture.Start(query);
    advance(100);
    for (; open < fixture.m_sent.size(); ++open) {
      fixture.Reply(open, {});
    }
  }
  REQUIRE(fixture.Counters().m_hedges >= 10);
  fixture.m_finished.clear();

  for (QueryId query = 2000; query < 2003; ++query) {
    fixture.m_request.m_statement = "statement " + std::to_string(query);
    fixture.Start(query);
  }
  for (std::size_t lost = open; lost < open + 3; ++lost) {
    fixture.Fail(lost, SubFailureKind::Malformed);
  }
  advance(50);
  REQUIRE(fixture.m_sent.size() == open + 6);
  for (std::size_t retry = open + 3; retry < open + 6; ++retry) {
    fixture.Reply(retry, {});
  }
  REQUIRE(fixture.m_finished.size() == 3);
  for (const FinishSearch& answer : fixture.m_finished) {
    REQUIRE(answer.m_coverage.m_fraction == 1);
  }
}

TEST_CASE("A failed sub-request is retried", "[retry]")
{
  EngineFixture fixture(2, 2);
  fixture.Start(1);
  fixture.Reply(1, {});

  SECTION("on another replica")
  {
    fixture.Fail(0, SubFailureKind::Malformed);
    fixture.AdvanceTo(Duration{ 10000 });
    REQUIRE(fixture.m_sent.size() == 3);
    REQUIRE(fixture.m_sent[2].m_replica != fixture.m_sent[0].m_replica);
    fixture.Reply(2, {});
    REQUIRE(fixture.OnlyAnswer().m_coverage.m_fraction == 1);
    REQUIRE(fixture.OnlyAnswer().m_retries == 1);
  }

  SECTION("but never after the deadline")
  {
    fixture.m_now = TimePoint{ Duration{ 999999 } };
    fixture.Fail(0, SubFailureKind::Reset);
    fixture.AdvanceTo(Duration{ 3000000 });
    REQUIRE(fixture.m_sent.size() == 2);
    REQUIRE(fixture.OnlyAnswer().m_coverage.m_fraction == 0.5);
  }
}

// Guards against a retry storm on a shard that is down.
TEST_CASE("A lost shard is not flooded with retries", "[retry]")
{
  EngineFixture fixture(2, 2);
  std::size_t lost = 0;
  for (QueryId query = 1; query <= 1000; ++query) {
    fixture.Start(query);
    for (int step = 0; step < 30; ++step) {
      for (std::size_t i = lost; i < fixture.m_sent.size(); ++i) {
        if (fixture.m_sent[i].m_shard == "s0") {
          fixture.Fail(i, SubFailureKind::ConnectFailed);
        } else {
          fixture.Reply(i, {});
        }
      }
      lost = fixture.m_sent.size();
      fixture.AdvanceTo(fixture.m_now.time_since_epoch() + Duration{ 1000 });
    }
  }
  REQUIRE(fixture.m_sent.size() <= 2000 * 1.1);
  for (const FinishSearch& answer : fixture.m_finished) {
    REQUIRE(answer.m_coverage.m_fraction == 0.5);
  }
}
