#include "RelayFields.h"

#include "RequestText.h"

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

TEST_CASE("Relay fields between two entry hosts", "[relay]")
{
  std::string text;
  AppendRelayParameters(text, { 7, { 0, 3, 12 }, 2, 85500us });
  REQUIRE(text == "Goldcrestkeel-Table-Version: 7\r\n"
                  "Goldcrestkeel-Shards: 0,3,12\r\n"
                  "Goldcrestkeel-May-Miss: 2\r\n"
                  "Goldcrestkeel-Target-Ms: 85\r\n");
  RequestMessage request;
  request.m_fields = { { "X-Other", "kept" },
                       { "goldcrestkeel-table-version", "7" },
                       { "Goldcrestkeel-Shards", "0,3,12" },
                       { "Goldcrestkeel-May-Miss", "2" },
                       { "Goldcrestkeel-Target-Ms", "85" } };

  SECTION("are removed from the request, so that no replica receives them")
  {
    const auto parameters = ExtractRelayParameters(request);
    REQUIRE(parameters);
    REQUIRE(parameters->m_version == 7);
    REQUIRE(parameters->m_shards == std::vector<std::uint32_t>{ 0, 3, 12 });
    REQUIRE(parameters->m_maxMissingShards == 2);
    REQUIRE(parameters->m_timeToTarget == 85ms);
    REQUIRE(request.m_fields.size() == 1);
  }
  SECTION("name the attempts that are left, if some were used")
  {
    REQUIRE_FALSE(ExtractRelayParameters(request)->m_attemptsLeft);
    std::string used;
    AppendRelayParameters(used, { 7, { 0 }, 2, 85ms, 1 });
    REQUIRE(used.ends_with("Goldcrestkeel-Attempts-Left: 1\r\n"));
    request.m_fields = { { "Goldcrestkeel-Table-Version", "7" },
                         { "Goldcrestkeel-Shards", "0" },
                         { "Goldcrestkeel-May-Miss", "0" },
                         { "Goldcrestkeel-Target-Ms", "85" },
                         { "Goldcrestkeel-Attempts-Left", "1" } };
    REQUIRE(ExtractRelayParameters(request)->m_attemptsLeft == 1U);
  }
  SECTION("are rejected if one is missing")
  {
    request.m_fields.pop_back();
    REQUIRE_FALSE(ExtractRelayParameters(request));
  }
  SECTION("are rejected if the list of shards is invalid")
  {
    for (const char* list : { "", "1,", ",1", "1,x", "-1", "99999999999" }) {
      request.m_fields[2].second = list;
      auto copy = request;
      REQUIRE_FALSE(ExtractRelayParameters(copy));
    }
  }
}

// Guards against a caller that decides which shards another host gathers.
TEST_CASE("Callers cannot set the fields between two entry hosts", "[relay]")
{
  RequestMessage request;
  request.m_method = "GET";
  request.m_target = "/p/";
  request.m_fields = { { "Host", "h" },
                       { "goldcrestkeel-shards", "1" },
                       { "Goldcrestkeel-Table-Version", "3" } };
  EdgeFieldNames names;
  names.m_deadlineMs = "Deadline";
  names.m_targetInstance = "Target";
  const std::string relay =
    RelayText(request, names, {}, { 7, { 0, 3 }, 0, 85ms }, 100ms);
  REQUIRE(relay == "GET /p/ HTTP/1.1\r\nHost: h\r\nDeadline: 100\r\n"
                   "Goldcrestkeel-Table-Version: 7\r\n"
                   "Goldcrestkeel-Shards: 0,3\r\n"
                   "Goldcrestkeel-May-Miss: 0\r\n"
                   "Goldcrestkeel-Target-Ms: 85\r\n\r\n");
  const std::string copy = CopyText(request, names, {}, "r", 100ms);
  REQUIRE(copy.find("oldcrestkeel-") == std::string::npos);
}
