#include "EngineFixture.h"

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;

// Guards against an answer that mixes two index versions, and against coverage
// lost because a version is retired while a query runs.
TEST_CASE("An index version is retired while a search runs", "[snapshot]")
{
  EngineFixture fixture(2, 1);

  SECTION("and a newer one is complete: the whole search restarts on it")
  {
    fixture.Start(1);
    fixture.Reply(0, { { "old", "", 9 } });
    fixture.ReportStatus("s0-r0", "s0", { 2 });
    fixture.ReportStatus("s1-r0", "s1", { 2 });
    fixture.Fail(1, SubFailureKind::VersionGone);

    REQUIRE(fixture.Counters().m_restarts == 1);
    REQUIRE(fixture.m_sent.size() == 4);
    fixture.Reply(2, { { "a", "", 1 } });
    fixture.Reply(3, { { "b", "", 2 } });
    REQUIRE(fixture.OnlyAnswer().m_snapshot == 2);
    REQUIRE(fixture.OnlyAnswer().m_coverage.m_fraction == 1);
    REQUIRE(fixture.OnlyAnswer().m_hits.size() == 2);
  }

  SECTION("and a late reply from the old one is not counted")
  {
    fixture.Start(1);
    fixture.ReportStatus("s0-r0", "s0", { 2 });
    fixture.ReportStatus("s1-r0", "s1", { 2 });
    fixture.Fail(1, SubFailureKind::VersionGone);
    fixture.Reply(0, { { "old", "", 9 } });
    REQUIRE(fixture.Counters().m_discardedReplies == 1);
    fixture.Reply(2, {});
    fixture.Reply(3, {});
    REQUIRE(fixture.OnlyAnswer().m_hits.empty());
  }

  SECTION("and no other has a higher coverage: the lower coverage is reported")
  {
    fixture.Start(1);
    fixture.Reply(0, { { "old", "", 9 } });
    fixture.Fail(1, SubFailureKind::VersionGone);
    REQUIRE(fixture.OnlyAnswer().m_snapshot == 1);
    REQUIRE(fixture.OnlyAnswer().m_coverage.m_fraction == 0.5);
    REQUIRE(fixture.OnlyAnswer().m_hits.size() == 1);
  }

  SECTION("and the caller requested it for a page: it stays pinned")
  {
    fixture.m_request.m_snapshot = 1;
    fixture.Start(1);
    fixture.Reply(0, {});
    fixture.ReportStatus("s0-r0", "s0", { 2 });
    fixture.ReportStatus("s1-r0", "s1", { 2 });
    fixture.Fail(1, SubFailureKind::VersionGone);
    REQUIRE(fixture.OnlyAnswer().m_snapshot == 1);
    REQUIRE(fixture.OnlyAnswer().m_coverage.m_fraction == 0.5);
  }
}

TEST_CASE("A replica that stopped early", "[coverage]")
{
  EngineFixture fixture(1, 2);
  fixture.Start(1);
  SubReply partial = fixture.ReplyTo(0);
  partial.m_documentsSearched = 40;
  partial.m_complete = false;
  partial.m_hits = { { "a", "", 1 } };
  fixture.Handle(partial);
  fixture.AdvanceTo(Duration{ 10000 });
  REQUIRE(fixture.m_sent.size() == 2);

  SECTION("is replaced by a complete reply")
  {
    fixture.Reply(1, { { "a", "", 1 }, { "b", "", 1 } });
    REQUIRE(fixture.OnlyAnswer().m_coverage.m_fraction == 1);
    REQUIRE(fixture.OnlyAnswer().m_hits.size() == 2);
  }

  SECTION("counts only the documents searched if there is none")
  {
    fixture.AdvanceTo(Duration{ 2000000 });
    REQUIRE(fixture.OnlyAnswer().m_coverage.m_documentsSearched == 40);
    REQUIRE(fixture.OnlyAnswer().m_hits.size() == 1);
  }
}
