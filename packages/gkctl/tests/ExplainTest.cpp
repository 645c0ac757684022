#include "FakeTransport.h"
#include "RequestTrace.h"

#include <catch2/catch.hpp>

using namespace goldcrestkeel::gkctl;

TEST_CASE("A request trace is collected from logs", "[explain]")
{
  std::istringstream one(
    "  1.0 h1 {\"time_ms\":1000,\"host\":\"h1\",\"event\":\"replica_listed\","
    "\"replica\":\"r1\"}\n"
    "not a log line\n"
    "{\"time_ms\":1300,\"host\":\"h1\",\"event\":\"answer\",\"request\":\"a\","
    "\"status\":200}\n"
    "{\"time_ms\":1100,\"host\":\"h1\",\"event\":\"send\",\"request\":\"a\","
    "\"replica\":\"r1\"}\n"
    "{\"time_ms\":1200,\"host\":\"h1\",\"event\":\"answer\",\"request\":\"b\"}"
    "\n"
    "{\"time_ms\":99000,\"host\":\"h1\",\"event\":\"table_in_force\"}\n");
  std::istringstream two(
    "{\"time_ms\":1250,\"host\":\"h2\",\"event\":\"table_in_force\"}\n");
  RequestTrace trace("a");
  trace.Read(one);
  trace.Read(two);

  // Guards against lines of other requests and hosts in the trace.
  SECTION("in order of time, with the events of its replicas")
  {
    const auto lines = trace.Lines(5000);
    REQUIRE(lines.size() == 3);
    REQUIRE(lines[0].at("event") == "replica_listed");
    REQUIRE(lines[1].at("event") == "send");
    REQUIRE(lines[2].at("event") == "answer");
    REQUIRE(FormatTraceLine(lines[2], 1000) ==
            "      +300 ms  h1  answer  request=a  status=200");
  }
  SECTION("and is empty for a request id that no line has")
  {
    RequestTrace other("z");
    other.Read(one);
    REQUIRE(other.Lines(5000).empty());
  }
}

TEST_CASE("explain needs a request and readable logs", "[explain]")
{
  GkctlRun run;
  REQUIRE(run.Run({ "explain", "a" }) == ExitCode::Usage);
  REQUIRE(run.Run({ "explain", "a", "/no/such/log" }) == ExitCode::Usage);
  REQUIRE(run.Run({ "explain", "a", "/dev/null" }) == ExitCode::Failed);
}
