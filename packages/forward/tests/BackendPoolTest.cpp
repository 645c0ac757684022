#include "BackendPool.h"

#include "ForwarderFixture.h"

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

namespace {

std::vector<HostRecord>
Hosts(std::size_t aLocal, std::size_t aRemote)
{
  std::vector<HostRecord> hosts;
  for (std::size_t i = 0; i < aLocal + aRemote; ++i) {
    hosts.push_back(
      { "h" + std::to_string(i), i < aLocal ? "a" : "c", "10.0.0.1:1", 1 });
  }
  return hosts;
}

} // namespace

// Guards against replicas that stay slow for seconds and are chosen again,
// since the work time that they report was taken out of their latency.
TEST_CASE("A reported work time does not hide a slow replica", "[pool]")
{
  auto random = MakeSeededRandom(1);
  const TimePoint now{ 100s };
  const auto expected = [&](std::uint32_t aPercent, Duration aAge) {
    BackendPool pool(ForwarderFixture::Options(), *random);
    ReplicaRecord record;
    record.m_id = "one";
    record.m_service = "s";
    record.m_dataCentre = "a";
    record.m_slots = 4;
    pool.Update(now, record, now);
    BackendGroup& group = pool.Group("s");
    PooledReplica& replica = *group.m_replicas.front();
    ReplicaAnswer answer;
    for (const Duration latency : { 20ms, 80ms, 80ms, 80ms }) {
      answer.m_load = LoadReport{ 0, 0, 4, latency == 20ms ? 100 : aPercent };
      BackendPool::RecordAnswer(now, group, replica, latency, answer);
    }
    return pool.ExpectedLatency(now + aAge, group, replica);
  };
  for (const Duration age : { 0ms, 150ms, 1000ms }) {
    REQUIRE(expected(400, age) == expected(0, age));
    REQUIRE(expected(400, age) > 25ms);
  }
}

TEST_CASE("The connections of a replica are divided among the hosts", "[pool]")
{
  auto random = MakeSeededRandom(1);
  BackendPool pool(ForwarderFixture::Options(), *random);
  RoutingTable table;
  table.m_services["s"] = { "s", 60 };
  pool.SetTable(TimePoint(), table);
  ReplicaRecord local;
  local.m_id = "near";
  local.m_service = "s";
  local.m_dataCentre = "a";
  ReplicaRecord remote = local;
  remote.m_id = "far";
  remote.m_dataCentre = "c";
  const TimePoint now{ 100s };
  pool.Update(now, local, now);
  pool.Update(now, remote, now);
  const auto limit = [&](std::size_t aReplica) {
    return pool.Group("s").m_replicas[aReplica]->m_maxInFlight;
  };

  SECTION("evenly while their data centres are unknown")
  {
    pool.SetLiveHosts(12);
    REQUIRE(limit(0) == 5);
    REQUIRE(limit(1) == 5);
  }

  // Guards against nearby replicas at their limit while remote ones get
  // requests.
  SECTION("mostly to those of its data centre if there are few connections")
  {
    pool.SetLiveHosts(40);
    pool.SetHosts(Hosts(8, 25));
    REQUIRE(limit(0) == 3);
    REQUIRE(limit(1) == 1);
    // Includes hosts that are not listed yet.
    REQUIRE(8 * limit(0) + 32 * limit(1) <= 60);
  }

  // Guards against idle remote replicas while nearby ones are overloaded.
  SECTION("evenly if there are several for each host")
  {
    pool.SetLiveHosts(12);
    pool.SetHosts(Hosts(4, 6));
    REQUIRE(limit(0) == 5);
    REQUIRE(limit(1) == 5);
  }

  SECTION("and each host may have at least one")
  {
    pool.SetLiveHosts(200);
    pool.SetHosts(Hosts(80, 90));
    REQUIRE(limit(0) == 1);
    REQUIRE(limit(1) == 1);
  }
}

// Guards against a pause of a nearby replica that is detected only after the
// usual latency of remote replicas.
TEST_CASE("The late threshold depends on the distance of the replica", "[pool]")
{
  ForwarderFixture fixture;
  Route route = fixture.SingleRoute(true);
  route.m_target = 1s;
  route.m_timeout = 4s;
  fixture.ApplyRoute(route, 1);
  fixture.RunRequests(60, 10ms);
  ReplicaRecord remote = fixture.Replica("single", 7);
  remote.m_dataCentre = "c";
  fixture.m_forwarder->UpdateReplica(fixture.m_now, remote, fixture.m_now);
  fixture.Start();
  REQUIRE(fixture.m_sent.back().m_replica == "single-0");
  const std::size_t before = fixture.m_sent.size();
  fixture.Advance(40ms);
  REQUIRE(fixture.m_sent.size() == before + 1);
  REQUIRE(fixture.m_sent.back().m_replica == "single-7");

  SECTION("and a copy to a remote replica is not hedged too early")
  {
    const std::size_t sent = fixture.m_sent.size();
    fixture.Answer(fixture.m_sent.back().m_copy);
    fixture.Start();
    REQUIRE(fixture.m_sent.back().m_replica == "single-7");
    fixture.Advance(60ms);
    REQUIRE(fixture.m_sent.size() == sent + 1);
  }
}

// Guards against services without replicas while updates of the list are not
// read, and against reads that cannot help.
TEST_CASE("A service without listed replicas is reported", "[pool]")
{
  ForwarderFixture fixture;
  fixture.ApplyRoute(fixture.SingleRoute(true), 1);

  SECTION("if the last replica was removed")
  {
    fixture.m_forwarder->RemoveReplica(
      fixture.m_now, "single-0", fixture.m_now);
    fixture.Start();
    REQUIRE(fixture.m_noReplicaReports == 1);
  }
  SECTION("but not if one is listed and unreachable")
  {
    fixture.Start();
    fixture.Fail(fixture.m_sent.back().m_copy, CopyFailure::Refused);
    fixture.Start();
    REQUIRE(fixture.m_noReplicaReports == 0);
  }
}
