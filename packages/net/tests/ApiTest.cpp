#include "TestSockets.h"

#include <goldcrestkeel/Control.h>
#include <goldcrestkeel/Core.h>
#include <goldcrestkeel/Net.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace goldcrestkeel;
using namespace goldcrestkeel::test;
using Catch::Matchers::Contains;

namespace {

// BackendClient with one replica that replies to every search with one hit.
// Used on the loop thread only.
class SingleReplicaClient : public BackendClient
{
public:
  explicit SingleReplicaClient(EventLoop& aLoop)
    : m_loop(aLoop)
  {
  }

  void LimitConnections(const std::string&, std::uint32_t) override {}
  void Search(const std::string&,
              const SendSubRequest& aRequest,
              Duration,
              std::function<void(SubOutcome&&)> aDone) override
  {
    ++m_requests;
    SubReply reply;
    reply.m_attempt = aRequest.m_attempt;
    reply.m_incarnation = 1;
    reply.m_echoQuery = aRequest.m_query;
    reply.m_echoAttempt = aRequest.m_attempt;
    reply.m_echoShard = aRequest.m_shard;
    reply.m_echoVersion = aRequest.m_version;
    reply.m_documentsSearched = 3;
    reply.m_hits = { { "d1", "Title", 2 } };
    m_loop.Post([reply, done = std::move(aDone)] { done(reply); });
  }
  void CancelSearch(const std::string&, AttemptId) override {}
  void RunCommand(const BackendCommand&,
                  std::function<void(BackendOutcome&&)>) override
  {
    ++m_requests;
  }
  void Status(
    const std::string&,
    const std::string& aReplica,
    std::function<void(std::optional<ReplicaStatus>&&)> aDone) override
  {
    ReplicaStatus status;
    status.m_replica = aReplica;
    status.m_incarnation = 1;
    status.m_slots = 3;
    HeldVersion held;
    held.m_shard = "s1";
    held.m_map.m_version = 7;
    held.m_map.m_documents["s1"] = 3;
    status.m_versions.push_back(held);
    m_loop.Post([status, done = std::move(aDone)] { done(status); });
  }

  std::atomic<int> m_requests{ 0 };

private:
  EventLoop& m_loop;
};

constexpr std::string_view kServices = R"({ "services": [
  { "name": "tender", "kind": "search", "shards": ["s1"], "replicas": [
    { "id": "t1", "address": "127.0.0.1:1", "data_centre": "dc1",
      "region": "r1", "shard": "s1", "slots": 3, "connections": 30 }] },
  { "name": "ledger", "kind": "command", "shards": ["l1"], "replicas": [
    { "id": "l1", "address": "127.0.0.1:1", "data_centre": "dc1",
      "region": "r1", "shard": "l1", "slots": 3, "connections": 30 }] }
]})";

// The API with one replica; the event loop runs on its own thread.
struct Fixture
{
  Fixture()
  {
    m_searches.SetServices(ParseServices(kServices));
    m_searches.StartPolling(std::chrono::hours(1));
    m_loop.RunOnce(Duration{ 0 });
    m_lifecycle.SetServing(true);
    m_lifecycle.SetJoined(true);
    m_front.Start();
    m_thread = std::thread([this] { m_loop.Run(); });
  }

  ~Fixture()
  {
    m_front.Stop();
    m_loop.Stop();
    m_thread.join();
  }

  HttpFrontOptions FrontOptions() const
  {
    HttpFrontOptions options;
    options.m_address = "127.0.0.1:0";
    options.m_maxBodyBytes = 2048;
    return options;
  }

  SystemClock m_clock;
  HttpClient m_client;
  EventLoop m_loop{ m_clock, m_client };
  std::unique_ptr<RandomSource> m_random = MakeSeededRandom(1);
  std::unique_ptr<QueryEngine> m_engine = MakeQueryEngine({}, *m_random);
  SingleReplicaClient m_backend{ m_loop };
  SearchDriver m_searches{ m_loop, *m_engine, m_backend };
  Lifecycle m_lifecycle;
  Metrics m_metrics;
  Api m_api{ ApiDependencies{ m_loop,
                              m_searches,
                              nullptr,
                              nullptr,
                              m_lifecycle,
                              m_metrics,
                              [] {},
                              [] { return true; },
                              2048,
                              std::chrono::seconds(30) } };
  HttpFront m_front{ FrontOptions(), m_api };
  std::thread m_thread;
};

struct BadRequest
{
  std::string m_method;
  std::string m_path;
  std::string m_body;
  int m_status;
  std::string m_field;
  std::string m_headers;
};

const std::string kStatementsPath = "/v1/statements";
const std::string kSearchPath = "/v1/services/tender/search";
const std::string kCommandPath = "/v1/services/ledger/commands";

const std::vector<BadRequest> kBadRequests{
  { "POST", kSearchPath, "", 400, "body", "" },
  { "POST", kSearchPath, "{\"query\":", 400, "body", "" },
  { "POST", kSearchPath, "[1]", 400, "body", "" },
  { "POST", kSearchPath, std::string(1500, '['), 400, "body", "" },
  { "POST", kSearchPath, std::string(3000, ' '), 413, "body", "" },
  { "POST", kSearchPath, "{}", 400, "query", "" },
  { "POST", kSearchPath, R"({"query":7})", 400, "query", "" },
  { "POST", kSearchPath, R"({"query":""})", 400, "query", "" },
  { "POST", kSearchPath, "{\"query\":\"\xff\"}", 400, "body", "" },
  { "POST",
    kSearchPath,
    R"({"query":"a","deadline_ms":0})",
    400,
    "deadline_ms",
    "" },
  { "POST",
    kSearchPath,
    R"({"query":"a","deadline_ms":-5})",
    400,
    "deadline_ms",
    "" },
  { "POST",
    kSearchPath,
    R"({"query":"a","deadline_ms":30001})",
    400,
    "deadline_ms",
    "" },
  { "POST",
    kSearchPath,
    R"({"query":"a","deadline_ms":"9"})",
    400,
    "deadline_ms",
    "" },
  { "POST",
    kSearchPath,
    R"({"query":"a","min_coverage":1.5})",
    400,
    "min_coverage",
    "" },
  { "POST", kSearchPath, R"({"query":"a","limit":0})", 400, "limit", "" },
  { "POST",
    kSearchPath,
    R"({"query":"a","snapshot":"x"})",
    400,
    "snapshot",
    "" },
  { "POST", kSearchPath, R"({"query":"a","class":"x"})", 400, "class", "" },
  { "POST", kSearchPath, R"({"query":"a","extra":1})", 400, "extra", "" },
  { "POST",
    "/v1/services/nobody/search",
    R"({"query":"a"})",
    404,
    "service",
    "" },
  { "POST",
    "/v1/services/ledger/search",
    R"({"query":"a"})",
    400,
    "service",
    "" },
  { "POST", "/v1/services/tender/other", "{}", 404, "path", "" },
  // The sum of this limit and offset overflows 32 bits, which gave a response
  // without hits and with full coverage.
  { "POST",
    kStatementsPath,
    R"({"statement":"SEARCH tender FOR \"a\" LIMIT 4294967295 OFFSET 1"})",
    400,
    "limit",
    "" },
  { "POST",
    kStatementsPath,
    R"({"statement":"SEARCH tender FOR \"a\" OFFSET 100001"})",
    400,
    "offset",
    "" },
  { "POST",
    kStatementsPath,
    R"({"statement":"SEARCH tender FOR \"a\" DEADLINE 0 ms"})",
    400,
    "deadline_ms",
    "" },
  { "POST",
    kStatementsPath,
    R"({"statement":"SEARCH tender FOR \"\""})",
    400,
    "query",
    "" },
  { "POST",
    kStatementsPath,
    R"({"statement":"SEARCH tender FOR \"a\" SNAPSHOT 0"})",
    400,
    "snapshot",
    "" },
  // The JSON library reports an out-of-range number with another exception than
  // a syntax error.
  { "POST", kSearchPath, R"({"query":"a","limit":1e999})", 400, "body", "" },
  { "POST", "/nowhere", "{}", 404, "path", "" },
  { "GET", kSearchPath, "", 405, "", "" },
  { "POST", kCommandPath, R"({"command":"a"})", 400, "Idempotency-Key", "" },
};

nlohmann::json
BodyOf(const std::string& aResponse)
{
  return nlohmann::json::parse(
    aResponse.substr(aResponse.find("\r\n\r\n") + 4));
}

} // namespace

// Guards against invalid input that is sent to a backend server, closes the
// connection or is refused without a reason.
TEST_CASE_METHOD(Fixture, "Invalid input is refused", "[api]")
{
  TestConnection caller(m_front.Port());
  for (const BadRequest& bad : kBadRequests) {
    CAPTURE(bad.m_path, bad.m_body.substr(0, 60));
    caller.Send(
      MakeRequest(bad.m_method, bad.m_path, bad.m_body, bad.m_headers));
    const std::string response = caller.Receive();
    CHECK(response.starts_with("HTTP/1.1 " + std::to_string(bad.m_status)));
    CHECK_THAT(response, Contains("application/problem+json"));
    const nlohmann::json body = BodyOf(response);
    CHECK(body.value("field", "") == bad.m_field);
    CHECK(body.at("ran") == "no");
    CHECK_FALSE(body.at("request_id").get<std::string>().empty());
  }
  REQUIRE(m_backend.m_requests == 0);

  SECTION("and a valid search on the same connection succeeds")
  {
    caller.Send(MakeRequest("POST", kSearchPath, R"({"query":"a"})"));
    const nlohmann::json body = BodyOf(caller.Receive());
    REQUIRE(body.at("snapshot") == 7);
    REQUIRE(body.at("coverage").at("fraction") == 1.0);
    REQUIRE(body.at("hits").at(0).at("id") == "d1");
    REQUIRE(m_backend.m_requests == 1);
  }
}

// Guards against a host that serves requests although its state forbids it.
TEST_CASE_METHOD(Fixture,
                 "Readiness and refusals follow the lifecycle of the host",
                 "[api]")
{
  TestConnection caller(m_front.Port());
  const auto get = [&](const std::string& aPath) {
    caller.Send(MakeRequest("GET", aPath, ""));
    return caller.Receive();
  };
  const auto search = [&] {
    caller.Send(MakeRequest("POST", kSearchPath, R"({"query":"a"})"));
    return caller.Receive();
  };
  REQUIRE_THAT(get("/healthz"), Contains("200"));
  REQUIRE_THAT(get("/readyz"), Contains("\"ready\":true"));
  REQUIRE_THAT(get("/metrics"), Contains("invariant_violations_total"));

  SECTION("without a configuration it refuses requests")
  {
    m_lifecycle.SetServing(false);
    REQUIRE(BodyOf(get("/readyz")).at("error") == "not_ready");
    REQUIRE(BodyOf(search()).at("error") == "not_ready");
  }
  SECTION("without its share of connections it is not ready")
  {
    m_lifecycle.SetJoined(false);
    REQUIRE(BodyOf(get("/readyz")).at("detail") == "joining the other hosts");
  }
  SECTION("while draining it is not ready and still serves")
  {
    m_lifecycle.StartDraining();
    REQUIRE(BodyOf(get("/readyz")).at("error") == "not_ready");
    REQUIRE(BodyOf(search()).at("snapshot") == 7);
  }
  SECTION("after the drain wait it refuses requests with \"not run\"")
  {
    m_lifecycle.StartDraining();
    m_lifecycle.StartRefusing();
    const nlohmann::json body = BodyOf(search());
    REQUIRE(body.at("error") == "shutting_down");
    REQUIRE(body.at("ran") == "no");
    REQUIRE(m_backend.m_requests == 0);
  }
}

// Guards against "not run" in the response to a command that another host may
// already have run under the same idempotency key.
TEST_CASE_METHOD(Fixture,
                 "A host that runs no commands reports the outcome as unknown",
                 "[api]")
{
  TestConnection caller(m_front.Port());
  const auto ran = [&](const std::string& aPath, const std::string& aBody) {
    caller.Send(MakeRequest("POST", aPath, aBody, "Idempotency-Key: 1-a\r\n"));
    return BodyOf(caller.Receive()).at("ran");
  };
  const std::string body = R"({"command":"hold 7"})";
  REQUIRE(ran(kCommandPath, body) == "unknown");
  REQUIRE(ran("/v1/services/nobody/commands", body) == "unknown");

  SECTION("also during shutdown")
  {
    m_lifecycle.StartDraining();
    m_lifecycle.StartRefusing();
    REQUIRE(ran(kCommandPath, body) == "unknown");
  }
  SECTION("but a malformed command as not run")
  {
    REQUIRE(ran(kCommandPath, "{}") == "no");
  }
}
