#include "ServerFixture.h"

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

namespace {

const std::string kRequest = kHead + "Key: Token a-key\r\n\r\n";
const std::string kRelayed =
  kHead + "Tenant: acme\r\nGoldcrestkeel-Table-Version: 2\r\n"
          "Goldcrestkeel-Shards: 0\r\nGoldcrestkeel-May-Miss: 0\r\n"
          "Goldcrestkeel-Target-Ms: 900\r\n\r\n";

/** A host with one tenant, who may send one request in 20 s. */
class LimitedFixture : public ServerFixture
{
public:
  LimitedFixture()
    : ServerFixture(true)
  {
    auto table = m_source.MakeTable(2);
    table->m_hasTenants = true;
    table->m_tenants = { { "acme", { "a-key" }, {}, {}, 0.05, 1 } };
    m_source.Apply(table);
  }
  /** Runs until the replica gets a request, and answers it. */
  bool ReplicaGets(Duration aLimit)
  {
    std::string request;
    RunUntil(
      [&] {
        if (m_replica.Accept() > 0) {
          request += m_replica.Receive(0);
        }
        return !request.empty();
      },
      aLimit);
    if (!request.empty()) {
      m_replica.Send(
        0, "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 2\r\n\r\nok");
    }
    return !request.empty();
  }
  std::string Answer(Caller& aCaller)
  {
    RunUntil(
      [&] { return aCaller.Received().find("\r\n\r\n") != std::string::npos; },
      5s);
    return aCaller.Received();
  }
};

} // namespace

TEST_CASE("A request above the rate limit of its tenant", "[ratelimit]")
{
  LimitedFixture fixture;
  // Alone, the host owns the limit; its bucket starts empty.
  fixture.m_source.ApplyHosts(
    { { "h1", "a", fixture.m_settings.m_relayAddress, 1 } });
  Caller caller(fixture.m_settings.m_callerAddress);

  SECTION("is refused and does not run")
  {
    caller.Send(kRequest);
    const std::string refusal = fixture.Answer(caller);
    REQUIRE(refusal.starts_with("HTTP/1.1 429"));
    REQUIRE(refusal.find("Retry-After: ") != std::string::npos);
    REQUIRE(refusal.find("\"ran\":\"no\"") != std::string::npos);
    REQUIRE(fixture.m_replica.Accept() == 0);
    REQUIRE(fixture.Log().find("\"outcome\":\"refused\"") != std::string::npos);
  }

  // Guards against requests that count twice.
  SECTION("runs if another host relays it, which has admitted it")
  {
    Caller host(fixture.m_settings.m_relayAddress);
    host.Send(kRelayed);
    REQUIRE(fixture.ReplicaGets(5s));
  }

  SECTION("is admitted once the limit is gone")
  {
    auto table = fixture.m_source.MakeTable(3);
    table->m_hasTenants = true;
    table->m_tenants = { { "acme", { "a-key" }, {}, {} } };
    fixture.m_source.Apply(table);
    caller.Send(kRequest);
    REQUIRE(fixture.ReplicaGets(5s));
    REQUIRE(fixture.Answer(caller).starts_with("HTTP/1.1 200"));
  }
}

TEST_CASE("A request whose owner of the limit is another host", "[ratelimit]")
{
  LimitedFixture fixture;
  LoopbackServer owner;
  fixture.m_source.ApplyHosts(
    { { "h1", "a", fixture.m_settings.m_relayAddress, 1 },
      { "h2", "a", owner.Address(), 2 } });
  const auto awaitMessage = [&] {
    std::string message;
    fixture.RunUntil(
      [&] {
        if (owner.Accept() > 0) {
          message += owner.Receive(0);
        }
        return message.find("\"requests\"") != std::string::npos;
      },
      5s);
    return message;
  };

  Caller first(fixture.m_settings.m_callerAddress);
  first.Send(kRequest);

  // Guards against a round trip between hosts for each request.
  SECTION("is admitted ahead of its reply if it is the first")
  {
    const std::string message = awaitMessage();
    REQUIRE(message.starts_with("POST /goldcrestkeel/tokens"));
    REQUIRE(message.find("a-key") == std::string::npos);
    REQUIRE(fixture.ReplicaGets(5s));
  }

  // Guards against a host that admits any number before the owner knows.
  SECTION("waits for its reply if it is the second")
  {
    REQUIRE(fixture.ReplicaGets(5s));
    Caller caller(fixture.m_settings.m_callerAddress);
    caller.Send(kRequest);
    REQUIRE_FALSE(fixture.ReplicaGets(20ms));
    REQUIRE(fixture.m_replica.Accept() == 1);
  }

  // Guards against requests that run although nobody waits for them.
  SECTION("is dropped if its caller leaves while it waits")
  {
    REQUIRE(fixture.ReplicaGets(5s));
    {
      Caller caller(fixture.m_settings.m_callerAddress);
      caller.Send(kRequest);
      fixture.RunUntil([] { return false; }, 20ms);
    }
    REQUIRE_FALSE(fixture.ReplicaGets(300ms));
    REQUIRE(fixture.m_replica.Accept() == 1);
  }
}

TEST_CASE("Another host asks for tokens", "[ratelimit]")
{
  LimitedFixture fixture;
  Caller host(fixture.m_settings.m_relayAddress);
  const std::string body = GENERATE(
    as<std::string>(),
    "{}",
    R"({"from":["h2","127.0.0.1:2",1],"grants":false,"instance":0,"requests":[]})");
  host.Send(
    "POST /goldcrestkeel/tokens HTTP/1.1\r\nHost: h\r\nContent-Length: " +
    std::to_string(body.size()) + "\r\n\r\n" + body);
  REQUIRE(fixture.Answer(host).starts_with(body == "{}" ? "HTTP/1.1 400"
                                                        : "HTTP/1.1 200"));
}
