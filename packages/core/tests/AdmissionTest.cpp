#include "AdmissionQueue.h"
#include "EngineFixture.h"
#include "ShareTable.h"

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;

// Guards against two hosts that together exceed a connection limit while their
// member lists differ.
TEST_CASE("A share of connections", "[share]")
{
  const auto at = [](int aSeconds) {
    return TimePoint{ Duration{ aSeconds * 1000000LL } };
  };
  ShareTable shares({});
  shares.SetLiveHosts(at(0), 5);
  REQUIRE(shares.Connections(at(0), 30) == 6);

  SECTION("shrinks immediately")
  {
    shares.SetLiveHosts(at(1), 7);
    REQUIRE(shares.Connections(at(1), 30) == 4);
  }

  SECTION("grows once the member lists can no longer differ")
  {
    shares.SetLiveHosts(at(1), 3);
    REQUIRE(shares.Connections(at(10), 30) == 6);
    REQUIRE(shares.Connections(at(12), 30) == 10);
  }

  SECTION("does not grow if a host is absent only briefly")
  {
    shares.SetLiveHosts(at(1), 3);
    shares.SetLiveHosts(at(5), 5);
    shares.SetLiveHosts(at(6), 3);
    REQUIRE(shares.Connections(at(12), 30) == 6);
  }

  SECTION("is 0 for a host that has just joined")
  {
    ShareTable joined(at(0));
    joined.SetLiveHosts(at(0), 5);
    REQUIRE(joined.Connections(at(9), 30) == 0);
    REQUIRE(joined.Connections(at(10), 30) == 6);
  }
}

TEST_CASE("A search that has to wait", "[admission]")
{
  EngineFixture fixture(1, 1);
  fixture.m_spec.m_replicas.front().m_slots = 1;
  fixture.m_spec.m_replicas.front().m_connections = 1;
  fixture.Configure();
  QueryId last = 0;
  while (last < 10) {
    fixture.Start(++last);
  }
  REQUIRE(fixture.m_sent.size() == 1);

  SECTION("starts when a slot is free, in the order of arrival")
  {
    for (std::size_t i = 0; i < 10; ++i) {
      REQUIRE(fixture.m_sent.size() == i + 1);
      REQUIRE(fixture.m_sent[i].m_query == i + 1);
      fixture.Reply(i, {});
    }
    REQUIRE(fixture.m_finished.size() == 10);
  }

  SECTION("is refused before its deadline and reported as not run")
  {
    fixture.m_now += Duration{ 300000 };
    fixture.Reply(0, {});
    fixture.AdvanceTo(Duration{ 999000 });
    std::size_t refused = 0;
    for (const FinishSearch& answer : fixture.m_finished) {
      if (answer.m_error == ErrorKind::DeadlineTooShort) {
        ++refused;
        REQUIRE(answer.m_ran == Ran::No);
      }
    }
    REQUIRE(refused >= 4);
  }

  SECTION("starts before one of a lower class")
  {
    fixture.m_request.m_class = CallerClass::Batch;
    fixture.Start(11);
    fixture.m_request.m_class = CallerClass::Interactive;
    fixture.Start(12);
    for (std::size_t i = 0; i < 11; ++i) {
      fixture.Reply(i, {});
    }
    REQUIRE(fixture.m_sent[10].m_query == 12);
    REQUIRE(fixture.m_sent[11].m_query == 11);
  }

  SECTION("is finished by a graceful shutdown")
  {
    fixture.Engine().BeginShutdown(fixture.m_now);
    fixture.Start(11);
    REQUIRE(fixture.OnlyAnswer().m_error == ErrorKind::ShuttingDown);
    REQUIRE_FALSE(fixture.Engine().Idle());
    for (std::size_t i = 0; i < 10; ++i) {
      fixture.Reply(i, {});
    }
    REQUIRE(fixture.m_finished.size() == 11);
    REQUIRE(fixture.Engine().Idle());
  }
}

// Guards against searches that ended while they waited and block all later
// ones. A host whose share was 0 for some time had no request in flight whose
// end would have started them.
TEST_CASE("A host whose share was 0 recovers", "[admission][share]")
{
  EngineFixture fixture(1, 1);
  fixture.m_spec.m_replicas.front().m_connections = 1;
  fixture.Configure();
  fixture.Engine().SetLiveHosts(fixture.m_now, 2);
  for (QueryId query = 1; query <= 8; ++query) {
    fixture.Start(query);
  }
  fixture.AdvanceTo(Duration{ 2000000 });
  REQUIRE(fixture.m_sent.empty());
  REQUIRE(fixture.m_finished.size() == 8);
  for (const FinishSearch& answer : fixture.m_finished) {
    REQUIRE(answer.m_ran == Ran::No);
  }
  fixture.Engine().SetLiveHosts(fixture.m_now, 1);

  SECTION("when the share grows, a new search runs")
  {
    fixture.AdvanceTo(Duration{ 20000000 });
    fixture.Start(9);
    REQUIRE(fixture.m_sent.size() == 1);
  }
  SECTION("a search that waits when the share grows runs")
  {
    fixture.AdvanceTo(Duration{ 11500000 });
    fixture.Start(9);
    REQUIRE(fixture.m_sent.empty());
    fixture.AdvanceTo(Duration{ 12400000 });
    REQUIRE(fixture.m_sent.size() == 1);
  }
}

TEST_CASE("A full queue refuses the lowest class first", "[admission]")
{
  AdmissionQueue queue(2);
  QueuedSearch search;
  search.m_request.m_query = 1;
  search.m_request.m_class = CallerClass::Batch;
  REQUIRE_FALSE(queue.Push(search));
  search.m_request.m_query = 2;
  search.m_request.m_class = CallerClass::Interactive;
  REQUIRE_FALSE(queue.Push(search));
  search.m_request.m_query = 3;
  REQUIRE(queue.Push(search)->m_request.m_query == 1);
}
