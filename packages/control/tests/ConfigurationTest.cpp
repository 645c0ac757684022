#include <goldcrestkeel/Control.h>
#include <goldcrestkeel/Core.h>

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using Catch::Matchers::Contains;

namespace {

constexpr std::string_view kDocument = R"({
  // Search over two shards.
  "services": [
    { "name": "tender", "kind": "search", "shards": ["s1", "s2"],
      "replicas": [
        { "id": "t1", "address": "127.0.0.1:7001", "data_centre": "dc1",
          "region": "galicia", "shard": "s1", "slots": 3, "connections": 30,
          "connect_cost_ms": 6.5 },
        { "id": "t2", "address": "[::1]:7002", "data_centre": "dc2",
          "region": "asturias", "shard": "s2", "slots": 3, "connections": 30 }
      ],
      "policy": { "deadline_ms": 80, "min_coverage": 0.9 } }
  ]
})";

std::string
ErrorsOf(const std::string& aText)
{
  try {
    ParseServices(aText);
  } catch (const Error& error) {
    REQUIRE(error.Kind() == ErrorKind::InvalidConfiguration);
    return error.what();
  }
  return "";
}

} // namespace

// Guards against the loss of a field in parsing or formatting.
TEST_CASE("A service list survives formatting and parsing", "[configuration]")
{
  const auto services = ParseServices(kDocument);
  REQUIRE(services.size() == 1);
  const ServiceSpec& tender = services.at("tender");
  REQUIRE(tender.m_replicas[0].m_connectCost == Duration{ 6500 });
  REQUIRE(tender.m_policy.m_minCoverage == 0.9);

  SECTION("the response target does not exceed a short deadline")
  {
    REQUIRE(tender.m_policy.m_responseTarget ==
            std::chrono::milliseconds{ 80 });
  }
  SECTION("the operators' format") // without comments
  {
    REQUIRE(ParseServices(FormatServices(services)) == services);
  }
  SECTION("the format of the store")
  {
    Configuration configuration;
    configuration.m_revision = 7;
    configuration.m_accepted = false;
    configuration.m_services = services;
    configuration.m_audit = {
      { 7, "ana", 5, "127.0.0.1", "op", "x", "pending" }
    };
    REQUIRE(ParseConfiguration(SerializeConfiguration(configuration)) ==
            configuration);
  }
}

// Guards against reporting only the first error.
TEST_CASE("All errors of a document are reported at once", "[configuration]")
{
  const std::string errors = ErrorsOf(R"({ "services": [
    { "name": "a b", "kind": "both", "shards": ["s1", "s1", "s3"], "colour": 1,
      "replicas": [
        { "id": "r1", "address": "host:99", "data_centre": "d", "region": "r",
          "shard": "s9", "slot": 1, "slots": 0, "connections": -1 },
        { "id": "r1", "address": "127.0.0.1:1", "data_centre": "d",
          "shard": "s1", "slots": 1, "connections": 1,
          "connect_cost_ms": 1e300 } ],
      "policy": { "deadline_ms": 0, "min_coverage": 1.5, "preference": 3,
                  "extra_load": -0.1, "selector": "best", "hedge": "x" } } ],
    "extra": 1 })");
  for (const char* expected : {
         "services[0].name: must be 1 to 64",
         "services[0].kind: must be search or command",
         "services[0].shards[1]: the shard s1 is listed twice",
         "services[0].shards[2]: the shard s3 has no replica",
         "services[0].colour: unknown field; allowed are name",
         "services[0].replicas[0].address: must be IP:port",
         "services[0].replicas[0].shard: must be one of",
         "services[0].replicas[0].slots: is 0; must be from 1 to 10000",
         "services[0].replicas[0].connections: must be a whole number",
         "services[0].replicas[1].id: the replica id r1 is used twice",
         "services[0].replicas[1].region: is missing",
         "services[0].replicas[1].connect_cost_ms: is out of range",
         "services[0].policy.deadline_ms: is 0; must be from 1 to 60000",
         "services[0].policy.min_coverage: is 1.5; must be from 0 to 1",
         "services[0].policy.preference: must be a string",
         "services[0].policy.extra_load: is -0.1; must be from 0 to 1",
         "services[0].policy.selector: must be round_robin or least_loaded",
         "services[0].policy.hedge: must be none or quantile",
         "extra: unknown field; allowed are services",
       }) {
    REQUIRE_THAT(errors, Contains(expected));
  }

  SECTION("malformed JSON and wrong types are rejected")
  {
    REQUIRE_THAT(ErrorsOf("{ \"services\": "), Contains("parse error"));
    REQUIRE_THAT(ErrorsOf("[]"), Contains("document: must be an object"));
    REQUIRE_THAT(ErrorsOf("{}"), Contains("services: is missing"));
    REQUIRE_THAT(ErrorsOf(R"({"services":[3]})"),
                 Contains("services[0]: must be an object"));
  }
  SECTION("a replica id used by two services is rejected")
  {
    auto services = ParseServices(kDocument);
    ServiceSpec copy = services.at("tender");
    copy.m_name = "portal";
    services.emplace("portal", copy);
    REQUIRE_THAT(ErrorsOf(FormatServices(services)),
                 Contains("the replica id t1 is used by portal and tender"));
  }
}
