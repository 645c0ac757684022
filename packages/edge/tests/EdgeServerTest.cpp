#include "CrashMessages.h"
#include "LoopbackServer.h"

#include <goldcrestkeel/Edge.h>
#include <goldcrestkeel/Net.h>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

namespace {

/** Address of a port that was free a moment ago. */
std::string
FreeAddress()
{
  return LoopbackServer().Address();
}

/** One route to one service, whose only replica the test plays. */
class OneReplica : public TopologySource
{
public:
  explicit OneReplica(std::string aAddress, bool aIdempotent)
    : m_address(std::move(aAddress))
    , m_idempotent(aIdempotent)
  {
  }

  void Start(TopologyListener& aListener) override
  {
    auto table = std::make_shared<RoutingTable>();
    table->m_version = 1;
    Route route;
    route.m_name = "lookup";
    route.m_host = "shop.example";
    route.m_pathPrefix = "/lookup/";
    route.m_idempotent = m_idempotent;
    route.m_timeout = 30s;
    route.m_target = 1s;
    route.m_services = { { "single", 1 } };
    table->m_routes = { route };
    table->m_services["single"] = { "single", 100 };
    table->Index();
    aListener.OnRoutingTable(table);
    ReplicaRecord replica;
    replica.m_id = "r";
    replica.m_service = "single";
    replica.m_address = m_address;
    aListener.OnReplica(replica, std::nullopt);
    aListener.OnReplicaListComplete();
  }
  void RefreshReplicas() override {}
  void KeepQuarantine(const SuspectReport&) override {}
  std::vector<SharedFeed*> Feeds() override { return {}; }

private:
  std::string m_address;
  bool m_idempotent;
};

/** A caller's connection. */
class Caller
{
public:
  explicit Caller(const std::string& aAddress)
    : m_socket(socket(AF_INET, SOCK_STREAM, 0))
  {
    const auto address = ParseSocketAddress(aAddress);
    REQUIRE(connect(m_socket,
                    reinterpret_cast<const sockaddr*>(&*address),
                    sizeof *address) == 0);
    fcntl(m_socket, F_SETFL, O_NONBLOCK);
  }
  ~Caller() { close(m_socket); }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  void Send(const std::string& aBytes) const
  {
    REQUIRE(send(m_socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(aBytes.size()));
  }
  /** All bytes received so far. */
  const std::string& Received()
  {
    std::array<char, 4096> buffer{};
    ssize_t count = 0;
    while ((count = recv(m_socket, buffer.data(), buffer.size(), 0)) > 0) {
      m_received.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return m_received;
  }

private:
  int m_socket;
  std::string m_received;
};

const std::string kHead = "GET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\n";

class ServerFixture
{
public:
  explicit ServerFixture(bool aIdempotent)
    : m_source(m_replica.Address(), aIdempotent)
  {
    m_settings.m_hostId = "h1";
    m_settings.m_callerAddress = FreeAddress();
    m_settings.m_readinessAddress = FreeAddress();
    m_settings.m_relayAddress = FreeAddress();
    m_settings.m_grace = 4s;
    m_server.emplace(m_loop,
                     m_log,
                     m_settings,
                     EdgeFieldNames{ "Id",
                                     "Deadline",
                                     "Target",
                                     "Stamp",
                                     "Load",
                                     "Limit",
                                     "Leaving",
                                     "Not-Run",
                                     "Shards",
                                     "Missing" },
                     m_source);
  }

  void RunUntil(const std::function<bool()>& aDone, Duration aLimit)
  {
    const TimePoint end = m_loop.Now() + aLimit;
    while (!aDone() && m_loop.Now() < end) {
      m_loop.RunOnce(false);
      m_replica.Accept();
      usleep(1000);
    }
  }
  void RunFor(Duration aTime)
  {
    RunUntil([] { return false; }, aTime);
  }
  void Shutdown()
  {
    m_server->Shutdown([this] { m_stopped = true; });
  }

  LoopbackServer m_replica;
  OneReplica m_source;
  SystemClock m_clock;
  Loop m_loop{ m_clock };
  DecisionLog m_log{ m_loop, open("/dev/null", O_WRONLY), "h1" };
  EdgeSettings m_settings;
  std::optional<EdgeServer> m_server;
  bool m_stopped = false;
};

} // namespace

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

// Guards against an answer with the status 000 that reached callers.
TEST_CASE("A replica answers with a status that is none", "[request]")
{
  ServerFixture fixture(false);
  Caller caller(fixture.m_settings.m_callerAddress);
  caller.Send(kHead + "\r\n");
  fixture.RunFor(20ms);
  REQUIRE(fixture.m_replica.Accept() == 1);
  fixture.m_replica.Send(
    0, "HTTP/1.1 000 None\r\nStamp: s\r\nContent-Length: 4\r\n\r\nbody");
  fixture.RunFor(20ms);
  REQUIRE(caller.Received().starts_with("HTTP/1.1 502"));
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
