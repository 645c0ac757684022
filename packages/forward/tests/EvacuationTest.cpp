#include "ForwardFleet.h"
#include "ForwarderFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

namespace {

/** Two replicas of a service; the one beside the host is preferred. */
class EvacuationFixture : public ForwarderFixture
{
public:
  EvacuationFixture()
  {
    ApplyRoute(SingleRoute(true), 0);
    m_far.m_dataCentre = "c";
    List(m_near);
    List(m_far);
  }

  void List(const ReplicaRecord& aRecord)
  {
    m_forwarder->UpdateReplica(m_now, aRecord, m_now);
  }
  void Evacuate(const std::set<std::string>& aDataCentres)
  {
    m_forwarder->SetEvacuated(m_now, aDataCentres);
  }
  std::size_t CopiesToReplica(const ReplicaRecord& aReplica) const
  {
    return std::count_if(m_sent.begin(), m_sent.end(), [&](const auto& aSent) {
      return aSent.m_replica == aReplica.m_id;
    });
  }
  bool WasRefused(ForwardId aRequest) const
  {
    const auto found = m_results.find(aRequest);
    return found != m_results.end() &&
           found->second.m_error == ErrorKind::NoReplica &&
           found->second.m_retryAfter;
  }

  ReplicaRecord m_near = Replica("single", 0);
  ReplicaRecord m_far = Replica("single", 1);
};

} // namespace

TEST_CASE("No request reaches a replica of an evacuated data centre",
          "[evacuation]")
{
  EvacuationFixture fixture;

  SECTION("while there is another one")
  {
    fixture.Evacuate({ "a" });
    fixture.RunRequests(20, 5ms);
    REQUIRE(fixture.CopiesToReplica(fixture.m_near) == 0);
    REQUIRE(fixture.CopiesToReplica(fixture.m_far) == 20);

    SECTION("and it is used again afterwards")
    {
      fixture.Evacuate({});
      fixture.RunRequests(20, 5ms);
      REQUIRE(fixture.CopiesToReplica(fixture.m_near) > 0);
    }
  }

  SECTION("though there is no other: requests are refused at once")
  {
    fixture.Evacuate({ "a", "c" });
    const ForwardId request = fixture.Start();
    REQUIRE(fixture.m_sent.empty());
    REQUIRE(fixture.WasRefused(request));
    // The store is not asked for replicas, which are listed.
    REQUIRE(fixture.m_noReplicaReports == 0);
  }

  // Guards against a host that has the evacuation before the replicas.
  SECTION("also if it is listed later, or anew")
  {
    fixture.Evacuate({ "a" });
    ReplicaRecord another = fixture.Replica("single", 2);
    fixture.List(another);
    fixture.m_near.m_startedAt += 1000;
    fixture.List(fixture.m_near);
    fixture.RunRequests(20, 5ms);
    REQUIRE(fixture.CopiesToReplica(fixture.m_far) == 20);
  }

  SECTION("nor does one that waits for a connection there")
  {
    fixture.m_sendAtOnce = false;
    const ForwardId request = fixture.Start();
    const auto unsent = fixture.m_sent.back();
    REQUIRE(unsent.m_replica == fixture.m_near.m_id);

    SECTION("it moves to another")
    {
      fixture.Evacuate({ "a" });
      REQUIRE(fixture.m_aborted == std::vector<CopyId>{ unsent.m_copy });
      REQUIRE(fixture.m_sent.back().m_replica == fixture.m_far.m_id);
    }
    SECTION("also if the replica is not listed any more")
    {
      fixture.m_forwarder->RemoveReplica(
        fixture.m_now, fixture.m_near.m_id, std::nullopt);
      fixture.Evacuate({ "a" });
      REQUIRE(fixture.m_aborted == std::vector<CopyId>{ unsent.m_copy });
    }
    SECTION("or is refused")
    {
      fixture.Evacuate({ "a", "c" });
      REQUIRE(fixture.m_sent.size() == 1);
      REQUIRE(fixture.WasRefused(request));
    }
  }

  SECTION("nor does the retry of one that failed elsewhere")
  {
    fixture.Evacuate({ "a" });
    const ForwardId request = fixture.Start();
    fixture.Fail(fixture.m_sent.back().m_copy, CopyFailure::Broken);
    REQUIRE(fixture.m_sent.size() == 1);
    REQUIRE(fixture.m_results.at(request).m_error == ErrorKind::BackendFailed);
  }

  SECTION("nor does the hedge of one that is late elsewhere")
  {
    fixture.Evacuate({ "a" });
    fixture.Start();
    fixture.Advance(500ms);
    REQUIRE(fixture.CopiesToReplica(fixture.m_near) == 0);
  }

  SECTION("and one that it has already is awaited")
  {
    const ForwardId request = fixture.Start();
    fixture.Evacuate({ "a" });
    fixture.Answer(fixture.m_sent.back().m_copy);
    REQUIRE_FALSE(fixture.m_results.at(request).m_error);
  }

  SECTION("nor does a probe of contact, which would tell nothing")
  {
    fixture.Evacuate({ "a", "c" });
    fixture.Advance(5s);
    REQUIRE(fixture.m_probes.empty());
  }
}

TEST_CASE("Requests that wait for a replica are refused when it is evacuated",
          "[evacuation]")
{
  EvacuationFixture fixture;
  fixture.Evacuate({ "c" });
  // Half of the 8 connections are this host's.
  for (int i = 0; i < 4; ++i) {
    fixture.Start();
  }
  const ForwardId waiting = fixture.Start();
  REQUIRE(fixture.m_sent.size() == 4);

  SECTION("and no other is left")
  {
    fixture.Evacuate({ "a", "c" });
    REQUIRE(fixture.WasRefused(waiting));
    REQUIRE(fixture.m_results.size() == 1);
  }
  SECTION("unless another one serves them")
  {
    fixture.Evacuate({ "a" });
    fixture.Advance(50ms);
    REQUIRE(fixture.m_results.empty());
    REQUIRE(fixture.m_sent.back().m_replica == fixture.m_far.m_id);
  }
}

// The replicas of a shard that count for relays are those that may be used.
TEST_CASE("Shards of an evacuated data centre are gathered elsewhere",
          "[evacuation]")
{
  ForwarderOptions options = ForwarderFixture::Options();
  options.m_hostId = "h1";
  ForwarderFixture fixture(options);
  fixture.ApplyRoute(fixture.GatherRoute(6, 0.8), 1);
  for (int shard = 0; shard < 6; ++shard) {
    ReplicaRecord record = fixture.Replica("shard" + std::to_string(shard), 1);
    record.m_dataCentre = "b";
    fixture.m_forwarder->UpdateReplica(fixture.m_now, record, fixture.m_now);
  }
  fixture.m_forwarder->SetHosts(
    fixture.m_now,
    { { "h1", "a", "10.0.0.1:1", 1 }, { "h2", "b", "10.0.0.2:1", 1 } });

  SECTION("by a host beside the other replicas")
  {
    fixture.m_forwarder->SetEvacuated(fixture.m_now, { "a" });
    fixture.Start();
    REQUIRE(fixture.m_relays.size() == 1);
    REQUIRE(fixture.m_sent.empty());
  }
  SECTION("or here, if the replicas there are evacuated")
  {
    fixture.m_forwarder->SetEvacuated(fixture.m_now, { "b" });
    fixture.Start();
    REQUIRE(fixture.m_relays.empty());
    REQUIRE(fixture.m_sent.size() == 6);
  }
}
