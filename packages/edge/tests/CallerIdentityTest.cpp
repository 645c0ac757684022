#include "CallerIdentity.h"

#include "RequestText.h"

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

namespace {

EdgeFieldNames
Names()
{
  EdgeFieldNames names;
  names.m_requestId = "Id";
  names.m_deadlineMs = "Wait-Ms";
  names.m_targetInstance = "To";
  names.m_key = "Key";
  names.m_keyScheme = "Token";
  names.m_tenant = "Tenant";
  return names;
}

RoutingTable
Table()
{
  RoutingTable table;
  table.m_hasTenants = true;
  table.m_tenants = { { "acme", { "a-key" }, {}, {} },
                      { "bolt", { "b-key" }, {}, {} } };
  table.Index();
  return table;
}

using Fields = std::vector<HeaderField>;

} // namespace

TEST_CASE("A caller is identified by its key", "[tenant]")
{
  const RoutingTable table = Table();
  Route route;
  const auto identify = [&](const Fields& aFields) {
    return IdentifyCaller(aFields, Names(), table, route);
  };
  REQUIRE(identify({ { "Key", "Token a-key" } }).m_tenant->m_name == "acme");
  REQUIRE(identify({ { "kEY", "tOKEN  b-key" } }).m_tenant->m_name == "bolt");

  // Guards against callers that name a tenant in place of its key, or that are
  // whoever a reader of the fields prefers.
  SECTION("and by nothing else")
  {
    const Fields fields =
      GENERATE(Fields{},
               Fields{ { "Tenant", "acme" } },
               Fields{ { "Key", "" } },
               Fields{ { "Key", "Token" } },
               Fields{ { "Key", "Token " } },
               Fields{ { "Key", "a-key" } },
               Fields{ { "Key", "Basic a-key" } },
               Fields{ { "Key", "Token a-ke" } },
               Fields{ { "Key", "Token a-key x" } },
               Fields{ { "Key", "Token A-KEY" } },
               Fields{ { "Key", "Token a-key" }, { "key", "Token b-key" } });
    const CallerIdentity refused = identify(fields);
    const bool hasKey = !fields.empty() && fields.front().first == "Key";
    REQUIRE(refused.m_state ==
            (hasKey ? IdentityState::UnknownKey : IdentityState::NoKey));
    REQUIRE(refused.m_tenant == nullptr);

    SECTION("but may use public routes")
    {
      route.m_public = true;
      const CallerIdentity accepted = identify(fields);
      REQUIRE(accepted.m_state == IdentityState::Accepted);
      REQUIRE(accepted.m_tenant == nullptr);
    }
  }
}

// Guards against a host that takes relays of requests that their own host would
// refuse, or that only another version of the table allows.
TEST_CASE("A relayed request is that of the tenant it names", "[tenant]")
{
  const RoutingTable table = Table();
  const auto [fields, isPublic, state, tenant] = GENERATE(
    std::tuple(
      Fields{ { "tenant", "acme" } }, false, IdentityState::Accepted, "acme"),
    std::tuple(Fields{ { "Tenant", "bolt" }, { "Key", "Token a-key" } },
               true,
               IdentityState::Accepted,
               "bolt"),
    std::tuple(Fields{}, true, IdentityState::Accepted, ""),
    std::tuple(Fields{}, false, IdentityState::UnknownTenant, ""),
    std::tuple(Fields{ { "Key", "Token a-key" } },
               false,
               IdentityState::UnknownTenant,
               ""),
    std::tuple(
      Fields{ { "Tenant", "cord" } }, true, IdentityState::UnknownTenant, ""),
    std::tuple(Fields{ { "Tenant", "acme" }, { "Tenant", "acme" } },
               true,
               IdentityState::UnknownTenant,
               ""));
  Route route;
  route.m_public = isPublic;
  const CallerIdentity identity = IdentifyRelay(fields, Names(), table, route);
  REQUIRE(identity.m_state == state);
  REQUIRE(IdentityFieldsOf(table, identity).m_tenant == tenant);
}

TEST_CASE("Copies name the tenant and have no key", "[tenant]")
{
  RequestMessage request;
  request.m_method = "GET";
  request.m_target = "/p/";
  request.m_fields = { { "Host", "h" },          { "Id", "7" },
                       { "kEY", "Token a-key" }, { "Tenant", "spoofed" },
                       { "TENANT", "spoofed" },  { "X-End", "2" } };
  const auto copyFor = [&](const IdentityFields& aIdentity) {
    return CopyText(request, Names(), aIdentity, "r", 250ms);
  };

  // Guards against a tenant field of the caller that is found first.
  SECTION("whatever the caller sent")
  {
    REQUIRE(copyFor({ true, "acme" }) ==
            "GET /p/ HTTP/1.1\r\nHost: h\r\nId: 7\r\nX-End: 2\r\n"
            "Wait-Ms: 250\r\nTenant: acme\r\nTo: r\r\n\r\n");
    REQUIRE(copyFor({ true, "" }) ==
            "GET /p/ HTTP/1.1\r\nHost: h\r\nId: 7\r\nX-End: 2\r\n"
            "Wait-Ms: 250\r\nTo: r\r\n\r\n");
  }

  // Guards against copies without the fields that entry hosts need or set, and
  // against two of them.
  SECTION("also if the caller has fields dropped as those of a connection")
  {
    request.m_fields.emplace_back(
      "Connection", "close, tenant, key,id, Host, Wait-Ms, To, X-End");
    REQUIRE(copyFor({ true, "acme" }) ==
            "GET /p/ HTTP/1.1\r\nHost: h\r\nId: 7\r\n"
            "Wait-Ms: 250\r\nTenant: acme\r\nTo: r\r\n\r\n");
  }

  SECTION("and relays do so, too")
  {
    request.m_fields.emplace_back("Connection", "tenant");
    const std::string relay = RelayText(
      request, Names(), { true, "acme" }, { 7, { 0 }, 0, 85ms }, 100ms);
    REQUIRE(relay.starts_with("GET /p/ HTTP/1.1\r\nHost: h\r\nId: 7\r\n"
                              "X-End: 2\r\nWait-Ms: 100\r\nTenant: acme\r\n"
                              "Goldcrestkeel-Table-Version: 7\r\n"));
    REQUIRE(relay.find("ey: Token") == std::string::npos);
    REQUIRE(relay.find("spoofed") == std::string::npos);
  }

  // Guards against a change for configurations without tenants.
  SECTION("unless the table has no tenants: then both fields pass")
  {
    REQUIRE(copyFor({}) ==
            "GET /p/ HTTP/1.1\r\nHost: h\r\nId: 7\r\nkEY: Token a-key\r\n"
            "Tenant: spoofed\r\nTENANT: spoofed\r\nX-End: 2\r\n"
            "Wait-Ms: 250\r\nTo: r\r\n\r\n");
  }
}

TEST_CASE("Regions that no data centre is in are reported", "[tenant]")
{
  RoutingTable table = Table();
  table.m_tenants[0].m_allowedRegions = { "north", "west" };
  table.m_routes.emplace_back().m_name = "r";
  table.m_routes.back().m_allowedRegions = { "" };
  REQUIRE(FindUnknownRegions(table, { { "a", "north" } }) ==
          std::vector<std::string>{ "tenant acme: unknown region \"west\"",
                                    "route r: unknown region \"\"" });
}
