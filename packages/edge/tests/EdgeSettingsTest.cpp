#include <goldcrestkeel/Edge.h>
#include <goldcrestkeel/core/Errors.h>

#include <catch2/catch.hpp>

using namespace goldcrestkeel;

TEST_CASE("Settings of an entry host are parsed", "[settings]")
{
  const std::string text = R"({
    // comments are allowed
    "host": { "id": "h1", "data_centre": "a" },
    "regions": { "a": "north" },
    "listen": { "callers": "1.2.3.4:80", "readiness": "1.2.3.4:81" },
    "store": { "address": "1.2.3.5:82" },
    "repeats": { "ratio": 0.25, "slack": 3, "window_s": 5 },
    "limits": { "answers_bytes": 1000000 },
    "later": "unknown members are ignored"
  })";
  const EdgeSettings settings = ParseEdgeSettings(text);
  REQUIRE(settings.m_hostId == "h1");
  REQUIRE(settings.m_regions.at("a") == "north");
  REQUIRE(settings.m_repeatRatio == 0.25);
  REQUIRE(settings.m_repeatWindow == std::chrono::seconds(5));
  REQUIRE(settings.m_minSharedHosts == 24);
  REQUIRE(settings.m_answerLimits.m_totalBytes == 1000000);

  SECTION("and all faults are reported together")
  {
    try {
      ParseEdgeSettings(
        R"({ "host": { "id": 7 }, "repeats": { "ratio": 2 },
             "feeds": { "min_shared_hosts": -1 } })");
      FAIL("accepted");
    } catch (const Error& error) {
      const std::string text = error.what();
      REQUIRE(text.find("/host/id") != std::string::npos);
      REQUIRE(text.find("/store/address is missing") != std::string::npos);
      REQUIRE(text.find("/repeats/ratio") != std::string::npos);
      REQUIRE(text.find("/feeds/min_shared_hosts") != std::string::npos);
    }
  }
  SECTION("and text that is not JSON is rejected")
  {
    REQUIRE_THROWS_AS(ParseEdgeSettings("a=b"), Error);
  }
}
