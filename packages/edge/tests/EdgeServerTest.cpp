#include "CrashMessages.h"
#include "ServerFixture.h"

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

TEST_CASE("A planned stop leaves no request without an answer", "[stop]")
{
  const bool idempotent = GENERATE(true, false);
  ServerFixture fixture(idempotent);
  Caller caller(fixture.m_settings.m_callerAddress);

  SECTION("also if its last bytes come late in the grace time")
  {
    caller.Send(kHead);
    fixture.RunFor(20ms);
    fixture.Shutdown();
    fixture.RunFor(3050ms);
    caller.Send("\r\n");
    fixture.RunUntil([&] { return fixture.m_stopped; }, 4s);
    REQUIRE(fixture.m_stopped);
    REQUIRE(fixture.m_replica.Accept() == 0);
    REQUIRE(caller.Received().starts_with("HTTP/1.1 503"));
    REQUIRE(caller.Received().ends_with("}"));
  }

  SECTION("also if a replica works on it until the end")
  {
    caller.Send(kHead + "\r\n");
    fixture.RunFor(20ms);
    REQUIRE(fixture.m_replica.Accept() == 1);
    fixture.Shutdown();
    fixture.RunUntil([&] { return fixture.m_stopped; }, 5s);
    REQUIRE(fixture.m_stopped);
    // It may have run, so that nothing else is promised.
    REQUIRE(caller.Received().starts_with("HTTP/1.1 504"));
    REQUIRE(caller.Received().ends_with("}"));
  }
}

TEST_CASE("Another host that reaches no replica gets a request served",
          "[relay]")
{
  ServerFixture fixture(true);
  Caller host(fixture.m_settings.m_relayAddress);
  const auto send = [&](const std::string& aVersion,
                        const std::string& aService) {
    host.Send(kHead + "Id: one\r\nDeadline: 5000\r\n" +
              "Goldcrestkeel-Table-Version: " + aVersion +
              "\r\nGoldcrestkeel-Shards: " + aService +
              "\r\nGoldcrestkeel-May-Miss: 0\r\n"
              "Goldcrestkeel-Target-Ms: 900\r\n\r\n");
    fixture.RunFor(20ms);
  };

  SECTION("by a replica, whose answer it gets with the request id")
  {
    send("1", "0");
    REQUIRE(fixture.m_replica.Accept() == 1);
    REQUIRE(fixture.m_replica.Receive(0).find("Goldcrestkeel-") ==
            std::string::npos);
    fixture.m_replica.Send(0,
                           "HTTP/1.1 200 OK\r\nStamp: s\r\nLeaving: 1\r\n"
                           "Content-Length: 5\r\n\r\nwhole");
    fixture.RunFor(20ms);
    REQUIRE(host.Received().starts_with("HTTP/1.1 200"));
    REQUIRE(host.Received().find("Stamp: s\r\n") != std::string::npos);
    REQUIRE(host.Received().find("Id: one\r\n") != std::string::npos);
    REQUIRE(host.Received().ends_with("whole"));
    // It concerns this host, which has used the replica.
    REQUIRE(host.Received().find("Leaving") == std::string::npos);
  }

  // Guards against a host that is not asked again because of one service, and
  // against one that is asked in vain.
  SECTION("or is told that this host declines, as not run")
  {
    const auto [version, service] =
      GENERATE(std::pair("2", "0"), std::pair("1", "1"), std::pair("1", "0,0"));
    send(version, service);
    REQUIRE(fixture.m_replica.Accept() == 0);
    REQUIRE(host.Received().starts_with("HTTP/1.1 503"));
    REQUIRE(host.Received().find("Goldcrestkeel-Copies: 0\r\n") !=
            std::string::npos);
    REQUIRE(host.Received().find("Goldcrestkeel-Unavailable: 1\r\n") !=
            std::string::npos);
  }

  SECTION("also while this host stops")
  {
    fixture.Shutdown();
    send("1", "0");
    REQUIRE(host.Received().find("Goldcrestkeel-Unavailable: 1\r\n") !=
            std::string::npos);
  }
}

// Guards against a time limit that overflows and is taken for one that has
// passed.
TEST_CASE("A caller waits for very long", "[request]")
{
  ServerFixture fixture(true);
  Caller caller(fixture.m_settings.m_callerAddress);
  caller.Send(kHead + "Deadline: 9223372036854775807\r\n\r\n");
  fixture.RunFor(20ms);
  REQUIRE(fixture.m_replica.Accept() == 1);
  fixture.m_replica.Send(
    0, "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 4\r\n\r\nbody");
  fixture.RunFor(20ms);
  REQUIRE(caller.Received().starts_with("HTTP/1.1 200"));
}

// Guards against connections that remember requests for as long as they live.
TEST_CASE("A request id comes again after its deadline", "[request]")
{
  ServerFixture fixture(true);
  Caller caller(fixture.m_settings.m_callerAddress);
  const std::string answer =
    "HTTP/1.1 200 OK\r\nId: one\r\nStamp: s\r\nContent-Length: 4\r\n\r\nbody";
  const auto send = [&] {
    caller.Send(kHead + "Id: one\r\nDeadline: 60\r\n\r\n");
    fixture.RunFor(20ms);
  };
  send();
  REQUIRE(fixture.m_replica.Accept() == 1);
  fixture.m_replica.Send(0, answer);
  fixture.RunFor(20ms);
  REQUIRE(caller.Received().starts_with("HTTP/1.1 200"));
  fixture.RunFor(100ms);
  send();
  REQUIRE(fixture.m_replica.Accept() == 1);
}

TEST_CASE("Another host tells of a request in quarantine", "[crash]")
{
  ServerFixture fixture(true);
  RequestMessage request;
  request.m_method = "GET";
  request.m_target = "/lookup/1";
  request.m_fields = { { "Host", "shop.example" } };
  SuspectReport suspect;
  suspect.m_fingerprint = FingerprintOf(request);
  suspect.m_crashes = 3;
  suspect.m_version = 3;
  const std::string body = EncodeCrashMessage({ {}, { suspect } });
  const auto message = [](const std::string& aBody) {
    return "POST /goldcrestkeel/crashes HTTP/1.1\r\nHost: h\r\n"
           "Content-Length: " +
           std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  };
  Caller host(fixture.m_settings.m_relayAddress);
  Caller caller(fixture.m_settings.m_callerAddress);

  SECTION("which is refused, as not run")
  {
    host.Send(message(body));
    fixture.RunFor(20ms);
    REQUIRE(host.Received().starts_with("HTTP/1.1 200"));
    caller.Send(kHead + "\r\n");
    fixture.RunFor(20ms);
    REQUIRE(fixture.m_replica.Accept() == 0);
    REQUIRE(caller.Received().starts_with("HTTP/1.1 503"));
    REQUIRE(caller.Received().find("Retry-After: 600") != std::string::npos);

    SECTION("also if another host relays it, which is told why")
    {
      host.Send(kHead + "Goldcrestkeel-Table-Version: 1\r\n"
                        "Goldcrestkeel-Shards: 0\r\n"
                        "Goldcrestkeel-May-Miss: 0\r\n"
                        "Goldcrestkeel-Target-Ms: 900\r\n\r\n");
      fixture.RunFor(20ms);
      REQUIRE(host.Received().find("Goldcrestkeel-Quarantined: 1\r\n") !=
              std::string::npos);
      REQUIRE(host.Received().find("Goldcrestkeel-Copies: 0\r\n") !=
              std::string::npos);
    }
  }

  // Guards against a host that does not learn of the quarantine as the store is
  // away.
  SECTION("and learns so if it reports a crash of such a request")
  {
    host.Send(message(body));
    fixture.RunFor(20ms);
    CrashReport crash;
    crash.m_fingerprint = suspect.m_fingerprint;
    host.Send(message(EncodeCrashMessage({ { crash }, {} })));
    fixture.RunFor(20ms);
    const std::string& received = host.Received();
    const CrashMessage reply = DecodeCrashMessage(
      std::string_view(received).substr(received.rfind("\r\n\r\n") + 4));
    REQUIRE(reply.m_quarantined.size() == 1);
    REQUIRE(reply.m_quarantined[0].m_fingerprint == suspect.m_fingerprint);
  }

  SECTION("in bytes that are none, which are refused")
  {
    host.Send(message("{}"));
    fixture.RunFor(20ms);
    REQUIRE(host.Received().starts_with("HTTP/1.1 400"));
  }

  SECTION("at an address where only hosts may")
  {
    caller.Send(message(body));
    fixture.RunFor(20ms);
    REQUIRE(caller.Received().starts_with("HTTP/1.1 404"));
  }
}
