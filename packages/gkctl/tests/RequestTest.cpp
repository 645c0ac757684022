#include "FakeTransport.h"
#include "Keys.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace goldcrestkeel;
using namespace goldcrestkeel::gkctl;
using Catch::Matchers::Contains;

namespace {

constexpr const char* kNotReady =
  R"({"error":"not_ready","ran":"no","detail":"draining","request_id":"e1-7"})";
constexpr const char* kUnknown =
  R"({"error":"outcome_unknown","ran":"unknown","request_id":"e1-8"})";
constexpr const char* kHold = "HOLD ledger ITEM \"i\" QUANTITY 1 MEMBER \"m\"";

std::string
HeaderOf(const Request& aRequest, const std::string& aName)
{
  for (const std::string& header : aRequest.m_headers) {
    if (header.starts_with(aName + ": ")) {
      return header.substr(aName.size() + 2);
    }
  }
  return {};
}

} // namespace

TEST_CASE("A search is sent and shown", "[gkctl]")
{
  GkctlRun gkctl;
  gkctl.m_transport.Prepare(200, R"({"request_id":"e1-1","snapshot":7,
    "coverage":{"fraction":0.5,"shards_answered":1,"shards_total":2,
    "missing_shards":["s1"]},
    "hits":[{"id":"d1","title":"Valve","score":2}]})");
  const std::vector<std::string> arguments{
    "search", "--host",   "10.0.0.1:80", "--limit", "3",    "--deadline-ms",
    "250",    "--offset", "0",           "spares",  "valve"
  };

  SECTION("as readable lines with the coverage")
  {
    REQUIRE(gkctl.Run(arguments) == ExitCode::Success);
    REQUIRE_THAT(gkctl.m_out.str(), Contains("d1  Valve"));
    REQUIRE_THAT(gkctl.m_out.str(),
                 Contains("1 hits, coverage 0.5 (1 of 2 shards), snapshot 7, "
                          "request e1-1"));
    REQUIRE_THAT(gkctl.m_out.str(), Contains("missing shard: s1"));
    REQUIRE(gkctl.m_transport.m_requests.at(0).m_host == "10.0.0.1:80");
    REQUIRE(gkctl.m_transport.m_requests[0].m_path ==
            "/v1/services/spares/search");
    REQUIRE(gkctl.Sent(0) == nlohmann::json{ { "query", "valve" },
                                             { "limit", 3 },
                                             { "offset", 0 },
                                             { "deadline_ms", 250 } });
  }

  SECTION("as JSON")
  {
    auto json = arguments;
    json.emplace_back("--json");
    REQUIRE(gkctl.Run(json) == ExitCode::Success);
    REQUIRE(nlohmann::json::parse(gkctl.m_out.str()).at("snapshot") == 7);
  }
}

// Guards against a second run of a command: every host must receive the same
// idempotency key.
TEST_CASE("A command keeps its key over several hosts", "[gkctl]")
{
  GkctlRun gkctl;
  const std::vector<std::string> arguments{ "exec",   "--host", "a:1",
                                            "--host", "b:1",    kHold };

  SECTION("when the first host does not accept requests")
  {
    gkctl.m_transport.Prepare(503, kNotReady);
    gkctl.m_transport.Prepare(200, R"({"ran":"yes","result":"held"})");
    REQUIRE(gkctl.Run(arguments) == ExitCode::Success);
    const auto& requests = gkctl.m_transport.m_requests;
    REQUIRE(requests.size() == 2);
    REQUIRE(requests[0].m_host == "a:1");
    REQUIRE(requests[1].m_host == "b:1");
    REQUIRE(requests[0].m_body == requests[1].m_body);
    const std::string key = HeaderOf(requests[0], "Idempotency-Key");
    REQUIRE_FALSE(key.empty());
    REQUIRE(HeaderOf(requests[1], "Idempotency-Key") == key);
    REQUIRE(gkctl.Sent(0).at("statement") ==
            std::string(kHold) + " KEY \"" + key + "\"");
    REQUIRE_FALSE(requests[0].m_reuseConnection);
  }

  SECTION("and reports unknown when the first host may have run it")
  {
    gkctl.m_transport.m_responses.push_back(
      { Delivery::Lost, 0, "", "connection reset" });
    gkctl.m_transport.Prepare(503, kNotReady);
    REQUIRE(gkctl.Run(arguments) == ExitCode::Unknown);
    REQUIRE_THAT(gkctl.m_err.str(), Contains("ran: unknown"));
    REQUIRE_THAT(gkctl.m_err.str(), Contains("after 2 attempts"));
  }

  SECTION("and says so in JSON too")
  {
    gkctl.m_transport.m_responses.push_back(
      { Delivery::Lost, 0, "", "connection reset" });
    gkctl.m_transport.Prepare(503, kNotReady);
    auto json = arguments;
    json.emplace_back("--json");
    REQUIRE(gkctl.Run(json) == ExitCode::Unknown);
    const auto body = nlohmann::json::parse(gkctl.m_out.str());
    REQUIRE(body.at("error") == "not_ready");
    REQUIRE(body.at("ran") == "unknown");
  }

  SECTION("and a key in the statement is kept")
  {
    gkctl.m_transport.Prepare(502, kUnknown);
    gkctl.m_transport.Prepare(200, "{}");
    auto keyed = arguments;
    keyed.back() += " KEY \"1-a\"";
    REQUIRE(gkctl.Run(keyed) == ExitCode::Success);
    REQUIRE(HeaderOf(gkctl.m_transport.m_requests[1], "Idempotency-Key") ==
            "1-a");
  }
}

TEST_CASE("Each outcome has its exit code", "[gkctl]")
{
  GkctlRun gkctl;
  const std::vector<std::string> drop{
    "exec", "--who", "ana", "DROP SERVICE spares"
  };

  SECTION("a change that waits for hosts is pending")
  {
    gkctl.m_transport.Prepare(202, R"({"revision":4,"missing":["e3"]})");
    REQUIRE(gkctl.Run(drop) == ExitCode::Pending);
    REQUIRE_THAT(gkctl.m_out.str(), Contains("missing: [\"e3\"]"));
    REQUIRE(HeaderOf(gkctl.m_transport.m_requests.at(0), "X-Operator") ==
            "ana");
    REQUIRE_FALSE(gkctl.Sent(0).at("operation_id").empty());
  }

  SECTION("a refusal did not run")
  {
    gkctl.m_transport.Prepare(409,
                              R"({"error":"configuration_conflict","ran":"no",
        "title":"Another change came first","request_id":"e1-9",
        "detail":"deadline_ms: 1 -> 2"})");
    REQUIRE(gkctl.Run(drop) == ExitCode::NotRun);
    REQUIRE_THAT(gkctl.m_err.str(),
                 Contains("error: configuration_conflict: Another change came "
                          "first: deadline_ms: 1 -> 2") &&
                   Contains("request_id: e1-9"));
  }

  SECTION("an answer below the minimum coverage ran")
  {
    gkctl.m_transport.Prepare(503,
                              R"({"error":"coverage_not_reached","ran":"yes",
          "coverage":{"fraction":0.4}})");
    REQUIRE(gkctl.Run({ "search", "s", "x" }) == ExitCode::Failed);
    REQUIRE_THAT(gkctl.m_err.str(), Contains("{\"fraction\":0.4}"));
  }

  SECTION("no host can be reached")
  {
    REQUIRE(gkctl.Run(drop) == ExitCode::Unreachable);
  }

  SECTION("an answer that is not JSON leaves the outcome unknown")
  {
    gkctl.m_transport.Prepare(200, "<html>");
    REQUIRE(gkctl.Run(drop) == ExitCode::Unknown);
  }

  SECTION("invalid input is not sent")
  {
    REQUIRE(gkctl.Run({ "exec", "SHOW NOTHING" }) == ExitCode::Usage);
    REQUIRE_THAT(gkctl.m_err.str(), Contains("line 1, column 6: expected "));
    REQUIRE(gkctl.Run({ "exec", "--bogus" }) == ExitCode::Usage);
    REQUIRE(gkctl.Run({ "search", "../x", "y" }) == ExitCode::Usage);
    REQUIRE(gkctl.Run({ "search", "--coverage", "1.5", "s", "y" }) ==
            ExitCode::Usage);
    REQUIRE(gkctl.Run({ "dance" }) == ExitCode::Usage);
    REQUIRE(gkctl.m_transport.m_requests.empty());
  }
}

TEST_CASE("A script runs until a statement fails", "[gkctl]")
{
  GkctlRun gkctl;
  gkctl.m_transport.Prepare(200, "{}");
  gkctl.m_transport.Prepare(404, R"({"error":"not_found","ran":"no"})");
  REQUIRE(gkctl.Run({ "exec", "--file", "-" },
                    "SHOW SERVICES;\nDROP SERVICE a;\nSHOW AUDIT;") ==
          ExitCode::NotRun);
  REQUIRE(gkctl.m_transport.m_requests.size() == 2);
  REQUIRE_THAT(gkctl.m_err.str(),
               Contains("stopped at the statement of line 2"));
}

TEST_CASE("Every sub-command prints its help", "[gkctl]")
{
  GkctlRun gkctl;
  for (const SubCommandInfo& info : SubCommands()) {
    REQUIRE(gkctl.Run({ std::string(info.m_name), "--help" }) ==
            ExitCode::Success);
    REQUIRE_THAT(gkctl.m_out.str(), Contains("--host IP:PORT"));
    REQUIRE_THAT(gkctl.m_out.str(), Contains("exit codes: "));
  }
  REQUIRE(gkctl.Run({ "--help" }) == ExitCode::Success);
}

TEST_CASE("The status lists each host", "[gkctl]")
{
  GkctlRun gkctl;
  gkctl.m_transport.Prepare(200, R"({"ready":true})");

  SECTION("with the hosts that a pending revision waits for")
  {
    gkctl.m_transport.Prepare(
      200, R"({"revision":12,"accepted":false,"missing_hosts":["e3"]})");
    gkctl.m_transport.Prepare(503, kNotReady);
    REQUIRE(gkctl.Run({ "status", "--host", "a:1", "--host", "b:1" }) ==
            ExitCode::NotRun);
    REQUIRE_THAT(gkctl.m_out.str(),
                 Contains("a:1") && Contains("12") && Contains("[\"e3\"]"));
    REQUIRE_THAT(gkctl.m_out.str(), Contains("b:1") && Contains("draining"));
  }

  // Guards against hosts shown as missing from an accepted revision.
  SECTION("without missing hosts once the revision is accepted")
  {
    gkctl.m_transport.Prepare(
      200, R"({"revision":12,"accepted":true,"missing_hosts":["e3"]})");
    REQUIRE(gkctl.Run({ "status", "--host", "a:1" }) == ExitCode::Success);
    REQUIRE_THAT(gkctl.m_out.str(), !Contains("e3"));
  }
}

TEST_CASE("A table truncates long cells and puts ids first", "[gkctl]")
{
  const nlohmann::json rows =
    nlohmann::json::array({ { { "a", std::string(70, 'x') }, { "id", 7 } } });
  REQUIRE(DescribeBody({ { "rows", rows } }) ==
          "rows:\n  id  a\n  7   " + std::string(57, 'x') + "...\n");
}

TEST_CASE("An answer cannot control the terminal", "[gkctl]")
{
  REQUIRE(DescribeBody({ { "a", "x\x1b[2J\ny" } }) == "a: x [2J y\n");
}

TEST_CASE("A key has the form that entry hosts expect", "[gkctl]")
{
  const auto random = MakeSeededRandom(1);
  const std::string key = MakeKey(1790000000000, *random);
  REQUIRE(key.starts_with("1790000000000-"));
  REQUIRE(key.size() == 30);
  REQUIRE(MakeKey(1790000000000, *random) != key);
}
