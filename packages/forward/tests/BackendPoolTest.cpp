#include "BackendPool.h"

#include "ForwarderFixture.h"

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

namespace {

std::vector<HostRecord>
Hosts(std::size_t aHere, std::size_t aElsewhere)
{
  std::vector<HostRecord> hosts;
  for (std::size_t i = 0; i < aHere + aElsewhere; ++i) {
    hosts.push_back(
      { "h" + std::to_string(i), i < aHere ? "a" : "c", "10.0.0.1:1", 1 });
  }
  return hosts;
}

} // namespace

TEST_CASE("The connections of a replica are divided among the hosts", "[pool]")
{
  auto random = MakeSeededRandom(1);
  BackendPool pool(ForwarderFixture::Options(), *random);
  RoutingTable table;
  table.m_services["s"] = { "s", 60 };
  pool.SetTable(table);
  ReplicaRecord near;
  near.m_id = "near";
  near.m_service = "s";
  near.m_dataCentre = "a";
  ReplicaRecord far = near;
  far.m_id = "far";
  far.m_dataCentre = "c";
  const TimePoint now{ 100s };
  pool.Update(now, near);
  pool.Update(now, far);
  const auto share = [&](std::size_t aReplica) {
    return pool.Group("s").m_replicas[aReplica]->m_maxInFlight;
  };

  SECTION("evenly while their data centres are not known")
  {
    pool.SetLiveHosts(12);
    REQUIRE(share(0) == 5);
    REQUIRE(share(1) == 5);
  }

  // Guards against near replicas that are full while far ones are asked.
  SECTION("with most of them for those of its data centre if they are few")
  {
    pool.SetLiveHosts(40);
    pool.SetHosts(Hosts(8, 25));
    REQUIRE(share(0) == 3);
    REQUIRE(share(1) == 1);
    // Hosts that are not counted yet included.
    REQUIRE(8 * share(0) + 32 * share(1) <= 60);
  }

  // Guards against far replicas that stay idle while near ones are overloaded.
  SECTION("evenly if there are some for each host")
  {
    pool.SetLiveHosts(12);
    pool.SetHosts(Hosts(4, 6));
    REQUIRE(share(0) == 5);
    REQUIRE(share(1) == 5);
  }

  SECTION("and each host may have one")
  {
    pool.SetLiveHosts(200);
    pool.SetHosts(Hosts(80, 90));
    REQUIRE(share(0) == 1);
    REQUIRE(share(1) == 1);
  }
}

// Guards against a near replica whose pause is noticed only after the time that
// far replicas usually take.
TEST_CASE("A copy is late by the usual time to replicas at its distance",
          "[pool]")
{
  ForwarderFixture fixture;
  Route route = fixture.SingleRoute(true);
  route.m_target = 1s;
  route.m_timeout = 4s;
  fixture.ApplyRoute(route, 1);
  fixture.RunRequests(60, 10ms);
  ReplicaRecord far = fixture.Replica("single", 7);
  far.m_dataCentre = "c";
  fixture.m_forwarder->UpdateReplica(fixture.m_now, far);
  fixture.Start();
  REQUIRE(fixture.m_sent.back().m_replica == "single-0");
  const std::size_t before = fixture.m_sent.size();
  fixture.Advance(40ms);
  REQUIRE(fixture.m_sent.size() == before + 1);
  REQUIRE(fixture.m_sent.back().m_replica == "single-7");

  SECTION("and one to a far replica that is still on its way is not hedged")
  {
    const std::size_t sent = fixture.m_sent.size();
    fixture.Answer(fixture.m_sent.back().m_copy);
    fixture.Start();
    REQUIRE(fixture.m_sent.back().m_replica == "single-7");
    fixture.Advance(60ms);
    REQUIRE(fixture.m_sent.size() == sent + 1);
  }
}

// Guards against services that stay without replicas while changes of the list
// are left unread, and against reads that cannot help.
TEST_CASE("Missing replicas are reported", "[pool]")
{
  ForwarderFixture fixture;
  fixture.ApplyRoute(fixture.SingleRoute(true), 1);

  SECTION("if none is listed")
  {
    fixture.m_forwarder->RemoveReplica(fixture.m_now, "single-0");
    fixture.Start();
    REQUIRE(fixture.m_noReplicaReports == 1);
  }
  SECTION("but not if one is listed and cannot be reached")
  {
    fixture.Start();
    fixture.Fail(fixture.m_sent.back().m_copy, CopyFailure::Refused);
    fixture.Start();
    REQUIRE(fixture.m_noReplicaReports == 0);
  }
}
