#include "TestSockets.h"

#include <goldcrestkeel/Net.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <future>

using namespace goldcrestkeel;
using namespace goldcrestkeel::test;

namespace {

// 20 s, longer than any reply of a local server takes.
constexpr Duration kLongTimeout{ 20000000 };
// 20 ms.
constexpr Duration kLoopTimeout{ 20000 };

struct Fixture
{
  SystemClock m_clock;
  HttpClient m_client;
  EventLoop m_loop{ m_clock, m_client };

  template<typename Condition>
  void RunUntil(Condition aCondition)
  {
    while (!aCondition()) {
      m_loop.RunOnce(kLoopTimeout);
    }
  }

  HttpReply SendRequest(HttpRequest aRequest)
  {
    std::optional<HttpReply> reply;
    m_client.Start(std::move(aRequest),
                   [&](HttpReply&& aReply) { reply = std::move(aReply); });
    RunUntil([&] { return reply.has_value(); });
    return *reply;
  }

  BackendOutcome Run(HttpBackendClient& aBackend,
                     const BackendCommand& aCommand)
  {
    std::optional<BackendOutcome> outcome;
    aBackend.RunCommand(aCommand, [&](BackendOutcome&& aOutcome) {
      outcome = std::move(aOutcome);
    });
    RunUntil([&] { return outcome.has_value(); });
    return *outcome;
  }

  StoreResult Call(StoreClient& aStore, const StoreCall& aCall)
  {
    std::optional<StoreResult> result;
    aStore.Call(aCall, [&](const StoreResult& aResult) { result = aResult; });
    RunUntil([&] { return result.has_value(); });
    return *result;
  }
};

HttpRequest
Post(const std::string& aAddress)
{
  HttpRequest request;
  request.m_method = HttpMethod::Post;
  request.m_url = "http://" + aAddress + "/x";
  request.m_body = "{}";
  request.m_timeout = kLongTimeout;
  return request;
}

BackendCommand
MakeCommand(const std::string& aAddress, CommandAttemptId aAttempt)
{
  BackendCommand command;
  command.m_attempt = aAttempt;
  command.m_replica = "r1";
  command.m_address = aAddress;
  command.m_key = "1-a";
  command.m_body = "hold";
  command.m_deadline = kLongTimeout;
  return command;
}

std::string
MakeCommandReply(int aAttempt)
{
  return R"({"incarnation":1,"attempt":)" + std::to_string(aAttempt) +
         R"(,"key":"1-a","ran":"yes","result":"ok","draining":false})";
}

} // namespace

// Guards against reporting "not sent" for a request that may have run, and the
// reverse.
TEST_CASE_METHOD(Fixture,
                 "The HTTP client reports whether a failed request was sent",
                 "[http]")
{
  SECTION("no connection")
  {
    REQUIRE(SendRequest(Post(ClosedAddress())).m_outcome ==
            HttpOutcome::NotSent);
  }
  SECTION("the connection closes without a reply")
  {
    ScriptedServer server([](int, int, const std::string&) { return ""; });
    REQUIRE(SendRequest(Post(server.Address())).m_outcome ==
            HttpOutcome::ConnectionLost);
  }
  SECTION("the reply is truncated")
  {
    ScriptedServer server([](int, int aRequest, const std::string&) {
      return aRequest == 1 ? "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n"
                             "Connection: close\r\n\r\nabc"
                           : "";
    });
    HttpRequest request = Post(server.Address());
    request.m_timeout = Duration{ 200000 };
    REQUIRE(SendRequest(request).m_outcome != HttpOutcome::Replied);
  }
  SECTION("the server never replies")
  {
    std::promise<void> end;
    auto ended = end.get_future();
    ScriptedServer server([&](int, int, const std::string&) {
      ended.wait();
      return "";
    });
    HttpRequest request = Post(server.Address());
    request.m_timeout = Duration{ 100000 };
    REQUIRE(SendRequest(request).m_outcome == HttpOutcome::TimedOut);
    end.set_value();
  }
  SECTION("the reply is not HTTP")
  {
    ScriptedServer server(
      [](int, int, const std::string&) { return "nonsense\r\n\r\n"; });
    REQUIRE(SendRequest(Post(server.Address())).m_outcome !=
            HttpOutcome::Replied);
  }
  SECTION("the callback of an aborted transfer is not called")
  {
    ScriptedServer server(
      [](int, int, const std::string&) { return MakeResponse(200, "{}"); });
    const TransferId aborted = m_client.Start(
      Post(server.Address()), [](HttpReply&&) { FAIL("called back"); });
    m_client.Abort(aborted);
    REQUIRE(SendRequest(Post(server.Address())).m_status == 200);
  }
}

// Guards against libcurl silently resending a POST when a reused connection
// closes without a reply.
TEST_CASE_METHOD(Fixture, "A command is sent at most once", "[http][command]")
{
  // Replies to the first request of a connection. Closes the connection without
  // a reply to the second one and to the command with attempt 2.
  ScriptedServer server([](int, int aRequest, const std::string& aText) {
    const bool second = aText.find("\"attempt\":2") != std::string::npos;
    if (aRequest == 2 || (second && aText.starts_with("POST /command"))) {
      return std::string();
    }
    return MakeResponse(200, MakeCommandReply(1));
  });
  HttpBackendClient backend(m_client, "host-1");

  SECTION("a command on its own connection is sent once and fails with a reset")
  {
    const BackendOutcome first = Run(backend, MakeCommand(server.Address(), 1));
    REQUIRE(std::get<BackendReply>(first).m_result == "ok");
    const BackendOutcome second =
      Run(backend, MakeCommand(server.Address(), 2));
    REQUIRE(std::get<BackendFailure>(second).m_kind == SubFailureKind::Reset);
    REQUIRE(server.Requests().size() == 2);
  }
  SECTION("without a fresh connection libcurl sends the request twice")
  {
    SendRequest(Post(server.Address()));
    SendRequest(Post(server.Address()));
    REQUIRE(server.Requests().size() == 3);
  }
}

// Guards against reporting the crash of a backend server as a failed connect,
// which would hide the statement from the quarantine, and against libcurl
// silently resending the statement to the same backend server.
TEST_CASE_METHOD(Fixture,
                 "A search whose reused connection breaks is sent once",
                 "[http][search]")
{
  bool crash = false;
  ScriptedServer* self = nullptr;
  ScriptedServer server([&](int, int aRequest, const std::string&) {
    if (aRequest == 1) {
      return MakeResponse(200, "{}");
    }
    if (crash) {
      self->StopListening();
    }
    return std::string();
  });
  self = &server;
  HttpBackendClient backend(m_client, "host-1");
  const auto search = [&](AttemptId aAttempt) {
    SendSubRequest request;
    request.m_attempt = aAttempt;
    std::optional<SubOutcome> outcome;
    backend.Search(
      server.Address(), request, kLongTimeout, [&](SubOutcome&& aOutcome) {
        outcome = std::move(aOutcome);
      });
    RunUntil([&] { return outcome.has_value(); });
    return std::get<SubFailure>(*outcome).m_kind;
  };
  search(1);

  SECTION("the backend server crashes: reported as a reset")
  {
    crash = true;
    REQUIRE(search(2) == SubFailureKind::Reset);
    REQUIRE(server.Requests().size() == 2);
  }
  SECTION("the backend server accepts connections again: not resent")
  {
    REQUIRE(search(2) == SubFailureKind::Reset);
    REQUIRE(server.Requests().size() == 2);
  }
}

// Guards against status calls, cancellations and cancelled searches that exceed
// this host's share of a backend server's connections.
TEST_CASE_METHOD(Fixture,
                 "Connections to a backend server stay within the limit",
                 "[http][limit]")
{
  std::promise<void> release;
  const std::shared_future<void> released = release.get_future().share();
  ScriptedServer server([&](int, int, const std::string& aText) {
    if (aText.starts_with("POST /search")) {
      released.wait();
    }
    return MakeResponse(200, "{}");
  });
  HttpBackendClient backend(m_client, "host-1");
  backend.LimitConnections(server.Address(), 2);
  int ended = 0;
  const auto search = [&](AttemptId aAttempt) {
    SendSubRequest request;
    request.m_attempt = aAttempt;
    backend.Search(
      server.Address(), request, kLongTimeout, [&](SubOutcome&&) { ++ended; });
  };
  const auto received = [&](const std::string& aStart) {
    const auto requests = server.Requests();
    return std::count_if(
      requests.begin(), requests.end(), [&](const std::string& aText) {
        return aText.starts_with(aStart);
      });
  };
  search(1);
  search(2);
  RunUntil([&] { return received("POST /search") == 2; });

  SECTION("a status call is deferred until a connection is free")
  {
    bool polled = false;
    backend.Status(server.Address(), "r1", [&](std::optional<ReplicaStatus>&&) {
      polled = true;
    });
    for (int round = 0; round < 5; ++round) {
      m_loop.RunOnce(kLoopTimeout);
    }
    REQUIRE(received("GET /status") == 0);
    release.set_value();
    RunUntil([&] { return polled && ended == 2; });
    REQUIRE(received("GET /status") == 1);
  }
  SECTION("at the limit a cancelled search is aborted")
  {
    backend.CancelSearch(server.Address(), 2);
    search(3);
    RunUntil([&] { return received("POST /search") == 3; });
    REQUIRE(received("POST /cancel") == 0);
    release.set_value();
    RunUntil([&] { return ended == 2; });
  }
  SECTION("below the limit it is cancelled and its connection is kept")
  {
    backend.LimitConnections(server.Address(), 3);
    backend.CancelSearch(server.Address(), 2);
    RunUntil([&] { return received("POST /cancel") == 1; });
    release.set_value();
    RunUntil([&] { return ended == 1; });
  }
}

// Guards against accepting a refusal of another attempt as proof of "not run",
// and against accepting replies that violate the protocol.
TEST_CASE_METHOD(Fixture, "Command replies are validated", "[command]")
{
  std::string response;
  ScriptedServer server([&](int, int, const std::string&) { return response; });
  HttpBackendClient backend(m_client, "host-1");
  const auto kindOf = [&] {
    return std::get<BackendFailure>(
             Run(backend, MakeCommand(server.Address(), 1)))
      .m_kind;
  };

  SECTION("a refusal of this attempt")
  {
    response =
      MakeResponse(503, R"({"ran":"no","reason":"start_before","attempt":1})");
    REQUIRE(kindOf() == SubFailureKind::DeadlinePassed);
  }
  SECTION("a refusal of another attempt is malformed")
  {
    response =
      MakeResponse(503, R"({"ran":"no","reason":"shedding","attempt":7})");
    REQUIRE(kindOf() == SubFailureKind::Malformed);
  }
  SECTION("a refusal with an unknown reason is malformed")
  {
    response =
      MakeResponse(503, R"({"ran":"no","reason":"other","attempt":1})");
    REQUIRE(kindOf() == SubFailureKind::Malformed);
  }
  SECTION("a body that is not JSON")
  {
    response = MakeResponse(200, "{");
    REQUIRE(kindOf() == SubFailureKind::Malformed);
  }
  SECTION("another status")
  {
    response = MakeResponse(500, MakeCommandReply(1));
    REQUIRE(kindOf() == SubFailureKind::Malformed);
  }
}

// Guards against reporting a write with an unknown outcome as failed, which
// would let the caller write again.
TEST_CASE_METHOD(Fixture,
                 "The store client distinguishes Failed from Unknown",
                 "[store]")
{
  std::string response;
  ScriptedServer server([&](int, int, const std::string&) { return response; });
  StoreClient store(m_client, server.Address(), kLongTimeout);
  StoreCall write;
  write.m_operation = StoreOperation::CompareAndSwap;
  write.m_key = "a/b c";
  write.m_value = "v";
  write.m_index = 4;

  SECTION("no connection: failed")
  {
    StoreClient closed(m_client, ClosedAddress(), kLongTimeout);
    REQUIRE(Call(closed, write).m_status == StoreStatus::Failed);
  }
  SECTION("lost reply: unknown, and sent once")
  {
    REQUIRE(Call(store, write).m_status == StoreStatus::Unknown);
    REQUIRE(server.Requests().size() == 1);
    REQUIRE(server.Requests()[0].starts_with("PUT /v1/kv/a/b%20c?cas=4 "));
  }
  SECTION("internal error: unknown")
  {
    response = MakeResponse(500, "");
    REQUIRE(Call(store, write).m_status == StoreStatus::Unknown);
  }
  SECTION("reply that is not JSON: unknown")
  {
    response = MakeResponse(200, "tru");
    REQUIRE(Call(store, write).m_status == StoreStatus::Unknown);
  }
  SECTION("refusal: failed")
  {
    response = MakeResponse(503, "");
    REQUIRE(Call(store, write).m_status == StoreStatus::Failed);
  }
  SECTION("another writer came first: conflict")
  {
    response = MakeResponse(200, "false");
    REQUIRE(Call(store, write).m_status == StoreStatus::Conflict);
  }
  SECTION("acquire with an expired session: not found")
  {
    write.m_operation = StoreOperation::Acquire;
    response = MakeResponse(500, "invalid session \"x\"");
    REQUIRE(Call(store, write).m_status == StoreStatus::NotFound);
  }
  SECTION("lost reply to a read: failed")
  {
    write.m_operation = StoreOperation::Get;
    REQUIRE(Call(store, write).m_status == StoreStatus::Failed);
  }
  SECTION("a value")
  {
    write.m_operation = StoreOperation::Get;
    response = MakeResponse(
      200, R"([{"Key":"k","Value":"AP8x","ModifyIndex":9,"Session":"s"}])");
    const StoreResult result = Call(store, write);
    REQUIRE(result.m_status == StoreStatus::Ok);
    REQUIRE(result.m_value == std::string("\0\xff"
                                          "1",
                                          3));
    REQUIRE(result.m_index == 9);
    REQUIRE(result.m_session == "s");
  }
  SECTION("a watch of an absent key returns the index to wait from")
  {
    write.m_operation = StoreOperation::Watch;
    response = MakeResponse(404, "", "X-Consul-Index: 12\r\n");
    const StoreResult result = Call(store, write);
    REQUIRE(result.m_status == StoreStatus::NotFound);
    REQUIRE(result.m_index == 12);
  }
}

// Guards against corrupt or mismatched replies of replicas that are used
// without validation.
TEST_CASE_METHOD(Fixture, "Search replies are validated", "[search]")
{
  std::string body =
    R"({"incarnation":3,"query":1,"attempt":2,"shard":"s","version":4,)"
    R"("documents_searched":5,"complete":true,"draining":false,)"
    R"("hits":"[]","length":2,"checksum":223132457})";
  ScriptedServer server(
    [&](int, int, const std::string&) { return MakeResponse(200, body); });
  HttpBackendClient backend(m_client, "host-1");
  const auto search = [&] {
    SendSubRequest request;
    request.m_attempt = 2;
    request.m_query = 1;
    std::optional<SubOutcome> outcome;
    backend.Search(server.Address(),
                   request,
                   kLongTimeout,
                   [&](SubOutcome&& aOutcome) { outcome = aOutcome; });
    RunUntil([&] { return outcome.has_value(); });
    return *outcome;
  };
  const auto replace = [&](const std::string& aOld, const std::string& aNew) {
    body.replace(body.find(aOld), aOld.size(), aNew);
  };

  SECTION("an intact reply")
  {
    const SubReply reply = std::get<SubReply>(search());
    REQUIRE(reply.m_intact);
    REQUIRE(reply.m_documentsSearched == 5);
  }
  SECTION("a wrong checksum")
  {
    replace("223132457", "223132458");
    REQUIRE_FALSE(std::get<SubReply>(search()).m_intact);
  }
  SECTION("a wrong length")
  {
    replace("\"length\":2", "\"length\":3");
    REQUIRE_FALSE(std::get<SubReply>(search()).m_intact);
  }
  SECTION("a reply to another attempt keeps its own echoes")
  {
    replace("\"attempt\":2", "\"attempt\":8");
    REQUIRE(std::get<SubReply>(search()).m_echoAttempt == 8);
  }
  SECTION("a negative number of documents")
  {
    replace("\"documents_searched\":5", "\"documents_searched\":-5");
    REQUIRE(std::get<SubFailure>(search()).m_kind == SubFailureKind::Malformed);
  }
  SECTION("hits that are not an array")
  {
    replace("\"[]\"", "\"{}\"");
    replace("223132457", "2745614147");
    REQUIRE(std::get<SubFailure>(search()).m_kind == SubFailureKind::Malformed);
  }
}
