#include "EngineFixture.h"

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;

TEST_CASE("A search over three shards", "[engine]")
{
  EngineFixture fixture(3, 2);
  fixture.Start(1);
  REQUIRE(fixture.m_sent.size() == 3);

  SECTION("merges all hits, ordered by score and id")
  {
    fixture.Reply(0, { { "b", "", 1 }, { "a", "", 1 } });
    fixture.Reply(1, { { "c", "", 5 } });
    REQUIRE(fixture.m_finished.empty());
    fixture.Reply(2, {});

    const FinishSearch& answer = fixture.OnlyAnswer();
    REQUIRE_FALSE(answer.m_error);
    REQUIRE(answer.m_coverage.m_fraction == 1.0);
    REQUIRE(answer.m_snapshot == 1);
    REQUIRE(answer.m_hits.size() == 3);
    REQUIRE(answer.m_hits[0].m_id == "c");
    REQUIRE(answer.m_hits[1].m_id == "a");
  }

  SECTION("ends at the deadline with the actual coverage")
  {
    fixture.Reply(0, {});
    fixture.Reply(1, {});
    fixture.AdvanceTo(Duration{ 2000000 });

    const FinishSearch& answer = fixture.OnlyAnswer();
    REQUIRE(answer.m_coverage.m_documentsSearched == 200);
    REQUIRE(answer.m_coverage.m_documentsTotal == 300);
    REQUIRE(answer.m_coverage.m_missingShards.size() == 1);
  }

  SECTION("ignores a duplicate, a late and a misdirected reply")
  {
    fixture.Reply(0, { { "a", "", 1 } });
    fixture.Reply(0, { { "a", "", 1 } });
    SubReply misdirected = fixture.ReplyTo(1);
    misdirected.m_echoAttempt = fixture.m_sent[2].m_attempt;
    misdirected.m_echoShard = fixture.m_sent[2].m_shard;
    fixture.Handle(misdirected);
    fixture.Reply(2, {});
    fixture.AdvanceTo(Duration{ 2000000 });

    const FinishSearch& answer = fixture.OnlyAnswer();
    REQUIRE(answer.m_hits.size() == 1);
    REQUIRE(fixture.Counters().m_discardedReplies >= 2);
  }

  SECTION("does not count a reply from another version")
  {
    SubReply reply = fixture.ReplyTo(0);
    reply.m_echoVersion = 2;
    fixture.Handle(reply);
    REQUIRE(fixture.Counters().m_discardedReplies == 1);
  }

  // Guards against a late draining refusal that permanently removes a restarted
  // replica from service.
  SECTION("ignores a draining refusal from before a restart")
  {
    ReplicaStatus restarted;
    restarted.m_replica = fixture.m_sent[0].m_replica;
    restarted.m_incarnation = 2;
    restarted.m_versions = {
      { { 1, { { "s0", 100 }, { "s1", 100 }, { "s2", 100 } } }, "s0" }
    };
    fixture.Handle(restarted);
    fixture.Fail(0, SubFailureKind::Draining);
    int sent = 0;
    for (QueryId query = 2; query < 22; ++query) {
      fixture.Start(query);
      sent += fixture.m_sent[fixture.m_sent.size() - 3].m_replica ==
              restarted.m_replica;
    }
    REQUIRE(sent > 0);
  }

  SECTION("sends nothing to a draining replica")
  {
    fixture.Engine().MarkDraining(fixture.m_now, "s0-r0", 0);
    for (QueryId query = 2; query < 12; ++query) {
      fixture.Start(query);
    }
    for (std::size_t i = 3; i < fixture.m_sent.size(); ++i) {
      REQUIRE(fixture.m_sent[i].m_replica != "s0-r0");
    }
  }
}

TEST_CASE("A search that cannot start is reported as not run", "[engine]")
{
  EngineFixture fixture(2, 1);

  SECTION("on an unknown service")
  {
    fixture.m_request.m_service = "none";
    fixture.Start(1);
    REQUIRE(fixture.OnlyAnswer().m_error == ErrorKind::UnknownService);
  }

  SECTION("on a snapshot that no replica holds")
  {
    fixture.m_request.m_snapshot = 9;
    fixture.Start(1);
    REQUIRE(fixture.OnlyAnswer().m_error == ErrorKind::SnapshotUnavailable);
  }

  REQUIRE(fixture.OnlyAnswer().m_ran == Ran::No);
  REQUIRE(fixture.m_sent.empty());
}

TEST_CASE("The pinned version has the best reachable coverage", "[snapshot]")
{
  EngineFixture fixture(2, 1);

  SECTION("so a newer version that one shard lacks is not chosen")
  {
    fixture.ReportStatus("s0-r0", "s0", { 1, 2 });
    fixture.Start(1);
    REQUIRE(fixture.m_sent.front().m_version == 1);
  }

  SECTION("and the newest is chosen on a tie")
  {
    fixture.ReportStatus("s0-r0", "s0", { 1, 2 });
    fixture.ReportStatus("s1-r0", "s1", { 1, 2 });
    fixture.Start(1);
    REQUIRE(fixture.m_sent.front().m_version == 2);
  }
}
