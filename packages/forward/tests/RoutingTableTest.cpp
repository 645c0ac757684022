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
