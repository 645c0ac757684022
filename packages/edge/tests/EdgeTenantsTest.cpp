#include "ServerFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

namespace {

const std::string kOpenHead =
  "GET /lookup/open/1 HTTP/1.1\r\nHost: shop.example\r\n";
const std::string kRelayFields =
  "Goldcrestkeel-Table-Version: 2\r\nGoldcrestkeel-Shards: 0\r\n"
  "Goldcrestkeel-May-Miss: 0\r\nGoldcrestkeel-Target-Ms: 900\r\n";

/** A host whose table has two tenants and a public route. */
class TenantsFixture : public ServerFixture
{
public:
  explicit TenantsFixture(bool aHasTable = true)
    : ServerFixture(true, aHasTable)
  {
    if (aHasTable) {
      m_source.Apply(Table(2));
    }
  }

  std::shared_ptr<RoutingTable> Table(RoutingVersion aVersion) const
  {
    auto table = m_source.MakeTable(aVersion);
    table->m_routes.push_back(table->m_routes.front());
    table->m_routes.back().m_pathPrefix = "/lookup/open/";
    table->m_routes.back().m_public = true;
    table->m_hasTenants = true;
    table->m_tenants = { { "acme", { "a-key", "a-next" }, {}, {} },
                         { "bolt", { "b-key" }, {}, {} } };
    return table;
  }

  /** Sends a request; returns the answer, or the copy that the replica got and
   *  then answered. */
  std::string Exchange(Caller& aCaller, const std::string& aHeader)
  {
    aCaller.Clear();
    aCaller.Send(aHeader + "\r\n");
    std::string copy;
    RunUntil(
      [&] {
        if (copy.empty() && m_replica.Accept() > 0) {
          copy = m_replica.Receive(0);
          if (!copy.empty()) {
            m_replica.Send(
              0, "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 2\r\n\r\nok");
          }
        }
        return aCaller.Received().find("\r\n\r\n") != std::string::npos;
      },
      5s);
    REQUIRE((copy.empty() || aCaller.Received().starts_with("HTTP/1.1 200")));
    return copy.empty() ? aCaller.Received() : copy;
  }
};

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

TEST_CASE("Callers need the key of a tenant", "[tenant]")
{
  TenantsFixture fixture;
  Caller caller(fixture.m_settings.m_callerAddress);

  // Guards against requests that reach a replica, or that callers repeat.
  SECTION("without which they are refused for good")
  {
    const std::string fields = GENERATE(as<std::string>(),
                                        "",
                                        "Key: Token other\r\n",
                                        "Tenant: acme\r\n",
                                        "Key: Token a-key\r\nKey: Token x\r\n");
    const std::string refusal =
      fixture.Exchange(caller, kHead + fields + kRelayFields);
    REQUIRE(refusal.starts_with("HTTP/1.1 401"));
    REQUIRE(Contains(refusal, "WWW-Authenticate: Token\r\n"));
    REQUIRE_FALSE(Contains(refusal, "Retry-After"));
    REQUIRE(Contains(refusal, "\"ran\":\"no\""));
    REQUIRE(fixture.m_replica.Accept() == 0);

    SECTION("which the log and the metrics show, without the key")
    {
      REQUIRE(Contains(fixture.Log(), "\"error\":\"unauthorized\""));
      REQUIRE_FALSE(Contains(fixture.Log(), "a-key"));
      Caller metrics(fixture.m_settings.m_metricsAddress);
      metrics.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
      fixture.RunUntil(
        [&] {
          return Contains(metrics.Received(),
                          "goldcrestkeel_edge_unauthorized_total 1\n");
        },
        5s);
      REQUIRE(Contains(metrics.Received(),
                       "goldcrestkeel_edge_unauthorized_total 1\n"));
    }
  }

  SECTION("but not to be told that there is no such route")
  {
    REQUIRE(
      fixture.Exchange(caller, "GET /none HTTP/1.1\r\nHost: shop.example\r\n")
        .starts_with("HTTP/1.1 404"));
  }

  SECTION("which the replica does not get; it gets the name of the tenant")
  {
    const std::string copy = fixture.Exchange(
      caller, kHead + "Tenant: bolt\r\nKey: Token a-next\r\ntenant: x\r\n");
    REQUIRE(Contains(copy, "\r\nTenant: acme\r\n"));
    REQUIRE_FALSE(Contains(copy, "bolt"));
    REQUIRE_FALSE(Contains(copy, "tenant: x"));
    REQUIRE_FALSE(Contains(copy, "a-next"));
    REQUIRE(Contains(fixture.Log(), "\"tenant\":\"acme\""));
    REQUIRE_FALSE(Contains(fixture.Log(), "a-next"));
  }

  SECTION("except on public routes, where a key still names the tenant")
  {
    REQUIRE_FALSE(Contains(
      fixture.Exchange(caller, kOpenHead + "Tenant: x\r\n"), "Tenant:"));
    const std::string unknown =
      fixture.Exchange(caller, kOpenHead + "Key: Token other\r\n");
    REQUIRE(unknown.starts_with("GET /lookup/open/1"));
    REQUIRE_FALSE(Contains(unknown, "Key:"));
    REQUIRE(
      Contains(fixture.Exchange(caller, kOpenHead + "Key: Token b-key\r\n"),
               "\r\nTenant: bolt\r\n"));
  }
}

// Guards against callers that give up for good because a host has just started.
TEST_CASE("A host without a configuration refuses all keys for a while",
          "[tenant]")
{
  TenantsFixture fixture(false);
  Caller caller(fixture.m_settings.m_callerAddress);
  const std::string fields =
    GENERATE(as<std::string>(), "", "Key: Token a-key\r\n");
  const std::string refusal = fixture.Exchange(caller, kHead + fields);
  REQUIRE(refusal.starts_with("HTTP/1.1 503"));
  REQUIRE(Contains(refusal, "Retry-After"));
}

// Guards against a connection that stays trusted, and against a table from a
// copy of the store.
TEST_CASE("A new version of the table removes a key", "[tenant]")
{
  TenantsFixture fixture;
  Caller caller(fixture.m_settings.m_callerAddress);
  const auto isAccepted = [&](const std::string& aKey) {
    return fixture.Exchange(caller, kHead + "Key: Token " + aKey + "\r\n")
      .starts_with("GET ");
  };
  REQUIRE(isAccepted("a-key"));
  REQUIRE_FALSE(isAccepted("a-last"));
  auto table = fixture.Table(4);
  table->m_tenants.front().m_keys = { "a-last" };
  fixture.m_source.Apply(table);
  REQUIRE_FALSE(isAccepted("a-key"));
  REQUIRE(isAccepted("a-last"));

  SECTION("and a lower one does not bring it back")
  {
    fixture.m_source.Apply(fixture.Table(3));
    fixture.m_source.Apply(fixture.Table(2));
    REQUIRE_FALSE(isAccepted("a-key"));
    REQUIRE(isAccepted("a-last"));
  }

  SECTION("and without tenants, what callers send passes unchanged")
  {
    fixture.m_source.Apply(fixture.m_source.MakeTable(5));
    const std::string copy =
      fixture.Exchange(caller, kHead + "Key: Token a-key\r\nTenant: any\r\n");
    REQUIRE(Contains(copy, "Key: Token a-key\r\n"));
    REQUIRE(Contains(copy, "Tenant: any\r\n"));
  }
}

TEST_CASE("Another host relays the request of a tenant", "[tenant][relay]")
{
  TenantsFixture fixture;
  Caller host(fixture.m_settings.m_relayAddress);

  SECTION("which needs no key again")
  {
    const std::string copy =
      fixture.Exchange(host, kHead + kRelayFields + "Tenant: acme\r\n");
    REQUIRE(Contains(copy, "\r\nTenant: acme\r\n"));
    REQUIRE(Contains(fixture.Log(), "\"tenant\":\"acme\""));
  }

  // Guards against a 401 for a caller whose own host has accepted the key.
  SECTION("that this host does not know: the other one asks elsewhere")
  {
    const std::string fields = GENERATE(
      as<std::string>(), "", "Tenant: cord\r\n", "Key: Token a-key\r\n");
    const std::string refusal =
      fixture.Exchange(host, kHead + kRelayFields + fields);
    REQUIRE(refusal.starts_with("HTTP/1.1 503"));
    REQUIRE(Contains(refusal, "Goldcrestkeel-Unavailable: 1\r\n"));
    REQUIRE(fixture.m_replica.Accept() == 0);
  }
}

// Guards against a log that shows keys, or the same fault with each request.
TEST_CASE("What is invalid in tenants is logged once for a version", "[tenant]")
{
  TenantsFixture fixture;
  auto table = fixture.Table(3);
  table->m_tenantFaults = { "tenant 7 left out: name is missing" };
  table->m_tenants.front().m_allowedRegions = { "west" };
  fixture.m_source.Apply(table);
  fixture.m_source.Apply(table);
  const std::string log = fixture.Log();
  const std::string line =
    "\"event\":\"tenants_invalid\",\"version\":3,\"tenants\":2,\"faults\":2,"
    "\"reasons\":\"tenant 7 left out: name is missing; tenant acme: unknown "
    "region \\\"west\\\"\"";
  REQUIRE(Contains(log, line));
  REQUIRE(log.find("tenants_invalid") == log.rfind("tenants_invalid"));
}
