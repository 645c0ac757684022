#include "ForwarderFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

namespace {

using Regions = std::vector<std::string>;

ForwarderOptions
HostOptions()
{
  ForwarderOptions options = ForwarderFixture::Options();
  options.m_hostId = "h1";
  return options;
}

/** A host in data centre a. Replicas are named after their data centres, of
 *  which a and b are in the north, c in the south, and d in no region. */
class TenantFixture : public ForwarderFixture
{
public:
  explicit TenantFixture(Route aRoute,
                         const Regions& aOfRoute = {},
                         const Regions& aOfTenant = {})
    : ForwarderFixture(HostOptions())
  {
    aRoute.m_allowedRegions = aOfRoute;
    ApplyRoute(aRoute, 0);
    m_table->m_tenants = { { "acme", { "key" }, {}, aOfTenant } };
    m_tenant = &m_table->m_tenants.front();
  }

  static std::string IdOf(const std::string& aService,
                          const std::string& aDataCentre,
                          std::size_t aNumber)
  {
    return aDataCentre + std::to_string(aNumber) + "-" + aService;
  }

  void Add(const std::string& aService,
           const std::string& aDataCentre,
           std::size_t aReplicas)
  {
    for (std::size_t i = 0; i < aReplicas; ++i) {
      ReplicaRecord record = Replica(aService, m_replicas++);
      record.m_id = IdOf(aService, aDataCentre, i);
      record.m_dataCentre = aDataCentre;
      m_forwarder->UpdateReplica(m_now, record, m_now);
    }
  }

  void AddSingle()
  {
    for (const char* dataCentre : { "a", "b", "c", "d" }) {
      Add("single", dataCentre, 2);
    }
  }

  void SetHosts()
  {
    m_forwarder->SetHosts(m_now,
                          { { "h1", "a", "10.0.0.1:1", 1 },
                            { "h2", "a", "10.0.0.2:1", 1 },
                            { "h3", "b", "10.0.0.3:1", 1 },
                            { "h4", "c", "10.0.0.4:1", 1 },
                            { "h5", "d", "10.0.0.5:1", 1 } });
  }

  /** Data centres of the replicas that copies were sent to. */
  std::string DataCentres() const
  {
    std::set<char> dataCentres;
    for (const SentCopy& copy : m_sent) {
      dataCentres.insert(copy.m_replica.front());
    }
    return { dataCentres.begin(), dataCentres.end() };
  }

  /** The request was refused as one that has not run. */
  bool IsRefused(ForwardId aRequest) const
  {
    const auto found = m_results.find(aRequest);
    return found != m_results.end() &&
           found->second.m_error == ErrorKind::NoReplica &&
           found->second.m_retryAfter && found->second.m_copies == 0;
  }

private:
  std::size_t m_replicas = 0;
};

Route
SingleRoute()
{
  return ForwarderFixture().SingleRoute(true);
}

} // namespace

// Guards against a replica of another region that is nearer, or less loaded.
TEST_CASE("Requests go only to replicas of the regions that are allowed",
          "[tenant]")
{
  const auto [ofRoute, ofTenant, dataCentres] =
    GENERATE(std::tuple(Regions{}, Regions{}, "abcd"),
             std::tuple(Regions{ "south" }, Regions{}, "c"),
             std::tuple(Regions{}, Regions{ "south" }, "c"),
             std::tuple(Regions{ "north" }, Regions{ "west", "north" }, "ab"),
             std::tuple(Regions{ "north", "south" }, Regions{ "south" }, "c"));
  TenantFixture fixture(SingleRoute(), ofRoute, ofTenant);
  fixture.AddSingle();
  // Without answers, so that all replicas come into use.
  fixture.m_sendAtOnce = false;
  for (int i = 0; i < 40; ++i) {
    fixture.Start();
  }
  REQUIRE(fixture.DataCentres() == dataCentres);
}

TEST_CASE("A request that no replica of its regions can serve is refused at "
          "once",
          "[tenant]")
{
  // The empty region stands for an invalid entry. It is not the region of
  // replicas that have none.
  const auto [ofRoute, ofTenant] =
    GENERATE(std::pair(Regions{ "north" }, Regions{ "south" }),
             std::pair(Regions{ "west" }, Regions{}),
             std::pair(Regions{}, Regions{ "" }));
  TenantFixture fixture(SingleRoute(), ofRoute, ofTenant);
  fixture.AddSingle();
  fixture.SetHosts();
  REQUIRE(fixture.IsRefused(fixture.Start()));
  REQUIRE(fixture.m_sent.empty());
  REQUIRE(fixture.m_relays.empty());
  // The list of replicas is complete; reading it again would not help.
  REQUIRE(fixture.m_noReplicaReports == 0);
}

TEST_CASE("A replica of the allowed region fails", "[tenant]")
{
  TenantFixture fixture(SingleRoute(), {}, { "south" });
  fixture.AddSingle();
  fixture.SetHosts();

  // Guards against a hedge that leaves the region.
  SECTION("and is late: the hedge goes to the other one, and there is no third")
  {
    fixture.Start();
    fixture.Advance(150ms);
    REQUIRE(fixture.m_sent.size() == 2);
    fixture.Advance(800ms);
    REQUIRE(fixture.m_sent.size() == 2);
    REQUIRE(fixture.DataCentres() == "c");
  }

  // Guards against retries, and copies that move, outside the region.
  SECTION("by refusing connections: the other one is tried, and no more")
  {
    fixture.m_sendAtOnce = false;
    const ForwardId request = fixture.Start();
    fixture.Fail(fixture.m_sent.back().m_copy, CopyFailure::Refused);
    REQUIRE(fixture.m_sent.size() == 2);
    fixture.Fail(fixture.m_sent.back().m_copy, CopyFailure::Refused);
    REQUIRE(fixture.m_sent.size() == 2);
    REQUIRE(fixture.DataCentres() == "c");
    // Neither has run it.
    REQUIRE(fixture.m_results.at(request).m_error == ErrorKind::NoReplica);
    REQUIRE(fixture.m_results.at(request).m_retryAfter);

    SECTION("and further requests are refused until they can be reached")
    {
      REQUIRE(fixture.IsRefused(fixture.Start()));
      fixture.Advance(3s);
      fixture.Start();
      REQUIRE(fixture.m_sent.size() == 3);
      REQUIRE(fixture.DataCentres() == "c");
    }
  }

  SECTION("and both leave: requests are refused, but not those of others")
  {
    for (std::size_t i = 0; i < 2; ++i) {
      fixture.m_forwarder->RemoveReplica(
        fixture.m_now, TenantFixture::IdOf("single", "c", i), fixture.m_now);
    }
    fixture.Advance(20s);
    REQUIRE(fixture.IsRefused(fixture.Start()));
    fixture.m_tenant = nullptr;
    fixture.Start();
    REQUIRE(fixture.m_sent.size() == 1);
  }
}

TEST_CASE("Requests wait for replicas", "[tenant]")
{
  Route route = SingleRoute();
  route.m_priority = 2;
  TenantFixture fixture(route, {}, { "south" });
  fixture.Add("single", "a", 1);
  fixture.Add("single", "c", 1);
  const auto fill = [&](const Tenant* aTenant) {
    fixture.m_tenant = aTenant;
    const std::size_t sent = fixture.m_sent.size();
    for (int i = 0; i < 4; ++i) {
      fixture.Start();
    }
    REQUIRE(fixture.m_sent.size() == sent + 4);
  };
  const Tenant* const south = &fixture.m_table->m_tenants.front();
  fill(south);
  const auto ofSouth = fixture.m_sent.back();
  fill(nullptr);
  const auto ofNorth = fixture.m_sent.back();
  fixture.m_tenant = south;
  const ForwardId first = fixture.Start();
  fixture.m_tenant = nullptr;
  const ForwardId second = fixture.Start();
  REQUIRE(fixture.m_sent.size() == 8);

  // Guards against a queue that is blocked by a request of another region.
  SECTION("and one that may use others passes one that may not")
  {
    fixture.Answer(ofNorth.m_copy);
    REQUIRE(fixture.m_sent.size() == 9);
    REQUIRE(fixture.m_sent.back().m_request == second);
    REQUIRE(fixture.m_sent.back().m_replica.front() == 'a');
    fixture.Answer(ofSouth.m_copy);
    REQUIRE(fixture.m_sent.back().m_request == first);
    REQUIRE(fixture.m_sent.back().m_replica.front() == 'c');
  }

  // Guards against the priority of the route being used for all tenants.
  SECTION("by the priority of the tenant, if it has one")
  {
    Tenant urgent;
    urgent.m_priority = 1;
    fixture.m_tenant = &urgent;
    const ForwardId third = fixture.Start();
    fixture.Answer(ofNorth.m_copy);
    REQUIRE(fixture.m_sent.back().m_request == third);
  }
}

TEST_CASE("Shards outside the allowed regions are missing from an answer",
          "[tenant]")
{
  const double minShare = GENERATE(0.75, 1.0);
  TenantFixture fixture(
    ForwarderFixture().GatherRoute(4, minShare), {}, { "south" });
  for (int shard = 0; shard < 4; ++shard) {
    fixture.Add("shard" + std::to_string(shard), "a", 1);
    if (shard < 3) {
      fixture.Add("shard" + std::to_string(shard), "c", 1);
    }
  }
  const ForwardId request = fixture.Start();

  // Guards against a shard that is queried in the wrong region, and against
  // queries for an answer that cannot be complete enough.
  SECTION("or the request is refused, if it needs them")
  {
    if (minShare == 1) {
      REQUIRE(fixture.IsRefused(request));
      REQUIRE(fixture.m_sent.empty());
      return;
    }
    REQUIRE(fixture.m_sent.size() == 3);
    REQUIRE(fixture.DataCentres() == "c");
    for (const auto& copy : std::vector(fixture.m_sent)) {
      fixture.Answer(copy.m_copy, "0000000000000000");
    }
    REQUIRE_FALSE(fixture.m_results.at(request).m_error);
    REQUIRE(fixture.m_results.at(request).m_missingServices == "shard3");
  }
}

// Guards against a relay that takes a request out of its regions.
TEST_CASE("Hosts of the allowed regions gather shards", "[tenant]")
{
  const auto [regions, relays, direct] =
    GENERATE(std::tuple(Regions{}, 1U, 0U),
             std::tuple(Regions{ "north" }, 1U, 0U),
             std::tuple(Regions{ "south" }, 0U, 6U));
  TenantFixture fixture(ForwarderFixture().GatherRoute(6, 1), regions);
  fixture.SetHosts();
  for (int shard = 0; shard < 6; ++shard) {
    fixture.Add("shard" + std::to_string(shard), "b", 1);
    fixture.Add("shard" + std::to_string(shard), "c", 1);
  }
  fixture.Start();
  REQUIRE(fixture.m_relays.size() == relays);
  REQUIRE(fixture.m_sent.size() == direct);
  REQUIRE(fixture.DataCentres() == (direct > 0 ? "c" : ""));
}

TEST_CASE("A host that reaches no replica asks hosts of the allowed regions",
          "[tenant]")
{
  TenantFixture fixture(SingleRoute(), {}, { "south" });
  fixture.m_answerProbes = false;
  fixture.AddSingle();
  fixture.SetHosts();
  const Tenant* const south = fixture.m_tenant;
  fixture.m_tenant = nullptr;
  for (int i = 0; i < 5; ++i) {
    fixture.Start(100ms);
  }
  fixture.Advance(2s);
  REQUIRE(fixture.m_forwarder->Contact() == ContactState::Lost);
  fixture.m_relays.clear();
  fixture.m_sent.clear();
  fixture.m_tenant = south;
  const ForwardId request = fixture.Start();
  REQUIRE(fixture.m_relays.size() == 1);
  REQUIRE(fixture.m_relays.front().m_service == "c");

  // Guards against the next host being one of another region, and against a
  // failure that keeps the requests of others from being relayed.
  SECTION("and no other ones, if these decline")
  {
    ReplicaAnswer refusal;
    refusal.m_status = 503;
    refusal.m_notRun = true;
    refusal.m_hostUnavailable = true;
    fixture.AnswerWith(fixture.m_relays.front().m_copy, refusal);
    REQUIRE(fixture.m_relays.size() == 1);
    REQUIRE(fixture.m_results.at(request).m_error == ErrorKind::NoReplica);
    REQUIRE(fixture.m_results.at(request).m_retryAfter);
    fixture.m_tenant = nullptr;
    fixture.Start();
    REQUIRE(fixture.m_relays.size() == 2);
    REQUIRE(fixture.m_relays.back().m_service != "c");
  }

  SECTION("and none, if there is none in them")
  {
    fixture.m_table->m_tenants.front().m_allowedRegions = { "west" };
    REQUIRE(fixture.IsRefused(fixture.Start()));
    REQUIRE(fixture.m_relays.size() == 1);
  }
}

// Guards against a request that finds no host in its regions, and then keeps
// those of others from being relayed.
TEST_CASE("The replicas of all regions rest", "[tenant]")
{
  TenantFixture fixture(SingleRoute(), {}, { "south" });
  fixture.Add("single", "a", 1);
  fixture.Add("single", "c", 1);
  fixture.SetHosts();
  ReplicaAnswer rest;
  rest.m_status = 503;
  rest.m_notRun = true;
  rest.m_restFor = 2s;
  const Tenant* const south = fixture.m_tenant;
  fixture.m_tenant = nullptr;
  fixture.Start();
  for (std::size_t i = 0; i < 2; ++i) {
    REQUIRE(fixture.m_sent.size() == i + 1);
    fixture.AnswerWith(fixture.m_sent.back().m_copy, rest);
  }
  fixture.m_relays.clear();

  fixture.m_tenant = south;
  const ForwardId bound = fixture.Start();
  REQUIRE(fixture.m_relays.size() == 1);
  REQUIRE(fixture.m_relays.back().m_service == "c");
  rest.m_restFor.reset();
  fixture.AnswerWith(fixture.m_relays.back().m_copy, rest);
  REQUIRE(fixture.IsRefused(bound));
  // The next one would be declined as well.
  REQUIRE(fixture.IsRefused(fixture.Start()));
  REQUIRE(fixture.m_relays.size() == 1);
  fixture.m_tenant = nullptr;
  fixture.Start();
  REQUIRE(fixture.m_relays.size() == 2);
}
