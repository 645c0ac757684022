#include <goldcrestkeel/Forward.h>

#include <catch2/catch.hpp>

using namespace goldcrestkeel;

TEST_CASE("The route with the longest matching prefix is found", "[routing]")
{
  RoutingTable table;
  for (const char* prefix : { "/", "/a/", "/a/b/" }) {
    Route route;
    route.m_name = prefix;
    route.m_host = "shop.example";
    route.m_pathPrefix = prefix;
    table.m_routes.push_back(route);
  }
  table.Index();
  REQUIRE(table.Find("shop.example", "/a/b/c")->m_name == "/a/b/");
  REQUIRE(table.Find("shop.example", "/a/bc")->m_name == "/a/");
  REQUIRE(table.Find("shop.example", "/a")->m_name == "/");

  SECTION("regardless of the port and the case of the host name")
  {
    REQUIRE(table.Find("Shop.Example:80", "/a/")->m_name == "/a/");
  }

  SECTION("and none for an unknown host")
  {
    REQUIRE(table.Find("other.example", "/a/") == nullptr);
  }
}

TEST_CASE("The tenant that holds a key is found", "[tenant]")
{
  RoutingTable table;
  table.m_tenants = { { "acme", { "one", "two", "shared" }, {}, {} },
                      { "bolt", { "three", "shared", "" }, {}, {} } };
  table.Index();
  REQUIRE(table.FindTenantByKey("one")->m_name == "acme");
  REQUIRE(table.FindTenantByKey("two")->m_name == "acme");
  REQUIRE(table.FindTenantByKey("three")->m_name == "bolt");
  REQUIRE(table.FindTenant("bolt")->m_keys.front() == "three");
  REQUIRE(table.FindTenant("Bolt") == nullptr);

  // Guards against comparisons of a prefix, or of other letters than the key's.
  SECTION("only by the whole key")
  {
    for (const char* key : { "", "on", "onee", "ONE", " one", "shared" }) {
      REQUIRE(table.FindTenantByKey(key) == nullptr);
    }
  }
  // Guards against an index that still has the keys of before.
  SECTION("and not any more once the key is removed")
  {
    table.m_tenants.front().m_keys = { "two" };
    table.Index();
    REQUIRE(table.FindTenantByKey("one") == nullptr);
    REQUIRE(table.FindTenantByKey("two")->m_name == "acme");
    // Only one tenant holds it now.
    REQUIRE(table.FindTenantByKey("shared")->m_name == "bolt");
  }
}
