#include "ReplicaHealth.h"

#include "EngineFixture.h"
#include "ReplicaSelector.h"

#include <catch2/catch.hpp>

#include <map>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;

namespace {

/** Runs 100 searches over one shard and counts the sub-requests sent to each
 *  replica. Replicas in aBroken fail with aKind. */
std::map<std::string, int>
CountSentTo(EngineFixture& aFixture,
            const std::vector<std::string>& aBroken,
            SubFailureKind aKind = SubFailureKind::Malformed)
{
  std::map<std::string, int> sent;
  for (QueryId query = 1; query <= 100; ++query) {
    const std::size_t first = aFixture.m_sent.size();
    aFixture.Start(query);
    for (std::size_t i = first; i < aFixture.m_sent.size(); ++i) {
      const std::string replica = aFixture.m_sent[i].m_replica;
      ++sent[replica];
      if (std::find(aBroken.begin(), aBroken.end(), replica) != aBroken.end()) {
        aFixture.Fail(i, aKind);
      } else {
        aFixture.Reply(i, {});
      }
    }
    aFixture.AdvanceTo(aFixture.m_now.time_since_epoch() + Duration{ 1000 });
  }
  return sent;
}

} // namespace

// Guards against ejections that leave a shard without replicas, and against a
// broken replica that keeps receiving its full share of requests.
TEST_CASE("A replica that fails repeatedly is ejected", "[ejection]")
{
  EngineFixture fixture(1, 3);
  fixture.m_spec.m_policy.m_selector = GENERATE("round_robin", "least_loaded");
  fixture.Configure();

  SECTION("and receives few requests")
  {
    const auto sent = CountSentTo(fixture, { "s0-r0" });
    REQUIRE(sent.at("s0-r0") < 15);
    REQUIRE(fixture.Counters().m_ejections >= 1);
  }

  SECTION(
    "immediately if it resets connections, and no statement is quarantined")
  {
    const auto sent = CountSentTo(fixture, { "s0-r0" }, SubFailureKind::Reset);
    REQUIRE(sent.at("s0-r0") < 5);
    REQUIRE(fixture.Counters().m_quarantined == 0);
  }

  SECTION("but never the last one of a shard")
  {
    const auto sent = CountSentTo(fixture, { "s0-r0", "s0-r1", "s0-r2" });
    int total = 0;
    for (const auto& [replica, count] : sent) {
      total += count;
    }
    REQUIRE(total >= 100);
    REQUIRE(fixture.Counters().m_ejections >= 2);
  }
}

TEST_CASE("A cold replica receives a reduced load", "[slow-start]")
{
  EngineFixture fixture(1, 2);
  fixture.m_spec.m_policy.m_selector = "round_robin";
  fixture.Configure();
  ReplicaStatus cold;
  cold.m_replica = "s0-r1";
  cold.m_incarnation = 2;
  cold.m_cold = true;
  cold.m_versions = { { { 1, { { "s0", 100 } } }, "s0" } };
  fixture.Handle(cold);

  const auto sent = CountSentTo(fixture, {});
  REQUIRE(sent.at("s0-r1") < 25);
}

TEST_CASE("least_loaded compares predicted latencies", "[selector]")
{
  const auto random = MakeSeededRandom(1);
  const auto selector = MakeReplicaSelector("least_loaded");
  const TimePoint now{ Duration{ 1000000 } };
  ReplicaTable table;
  std::vector<ReplicaIndex> all;
  for (const char* id : { "near", "far", "farther" }) {
    all.push_back(table.Intern(id));
    table[all.back()].m_latency = 10000;
    table[all.back()].m_latencyUpdatedAt = now;
    table[all.back()].m_slots = 3;
  }
  table[0].m_sameDataCentre = true;
  const auto nearChosen = [&](TimePoint aNow) {
    int count = 0;
    std::uint32_t cursor = 0;
    for (int i = 0; i < 100; ++i) {
      count += selector->Choose(aNow, table, all, cursor, *random) == 0;
    }
    return count;
  };

  SECTION("and prefers a replica in the same data centre")
  {
    REQUIRE(nearChosen(now) == 100);
  }

  SECTION("until it is slow")
  {
    table[0].m_latency = 50000;
    REQUIRE(nearChosen(now) == 0);

    SECTION("and tries it again after some time")
    {
      table[1].m_latencyUpdatedAt = table[2].m_latencyUpdatedAt =
        now + Duration{ 30000000 };
      REQUIRE(nearChosen(now + Duration{ 30000000 }) == 100);
    }
  }

  SECTION("until other hosts load it, while the report is recent")
  {
    table[0].m_reportedLoad = 30;
    table[0].m_loadReportedAt = now;
    REQUIRE(nearChosen(now) == 0);
    REQUIRE(nearChosen(now + Duration{ 6000000 }) == 100);
  }
}
