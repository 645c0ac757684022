#include <goldcrestkeel/Forward.h>

#include <catch2/catch.hpp>

using namespace goldcrestkeel;

TEST_CASE("The route with the longest prefix of the path is used", "[routing]")
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

  SECTION("whatever the case and the port of the host")
  {
    REQUIRE(table.Find("Shop.Example:80", "/a/")->m_name == "/a/");
  }

  SECTION("and there is none for another host")
  {
    REQUIRE(table.Find("other.example", "/a/") == nullptr);
  }
}
