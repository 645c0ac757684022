#include "RateLimits.h"

#include "LoopbackServer.h"

#include <goldcrestkeel/Net.h>

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <unistd.h>

#include <functional>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

namespace {

/** Bound of the wait for a silent owner, with room for a busy machine; the wait
 *  itself is at most 80 ms. */
constexpr Duration kNoticeTime = 500ms;

/** Rate limits of this host, with one other host that the test plays. */
class RateLimitsFixture
{
public:
  RateLimitsFixture()
    : m_hosts{ { "h1", "a", "127.0.0.1:1", 1 },
               { "h2", "a", m_other.Address(), 2 } }
  {
    m_limits.SetHosts(m_hosts);
    m_limits.SetTenants({ { "acme", { "key" }, {}, {}, 100, 50 } });
  }

  void RunUntil(const std::function<bool()>& aDone, Duration aLimit = 2s)
  {
    const TimePoint end = m_loop.Now() + aLimit;
    while (!aDone() && m_loop.Now() < end) {
      m_loop.RunOnce(false);
      m_connections = m_other.Accept();
      if (m_connections > 0) {
        m_received += m_other.Receive(0);
      }
      usleep(1000);
    }
  }
  void Reply(const std::string& aBody)
  {
    m_other.Send(0,
                 "HTTP/1.1 200 OK\r\nContent-Length: " +
                   std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
  }
  bool HasMessage() const
  {
    return m_received.find("\"requests\"") != std::string::npos;
  }
  AdmissionResult Admit(std::uint64_t aId)
  {
    return m_limits.Admit("acme", aId, m_loop.Now() + 10s);
  }

  LoopbackServer m_other;
  std::vector<HostRecord> m_hosts;
  SystemClock m_clock;
  Loop m_loop{ m_clock };
  DecisionLog m_log{ m_loop, open("/dev/null", O_WRONLY), "h1" };
  std::unique_ptr<RandomSource> m_random = MakeSeededRandom(1);
  std::map<std::uint64_t, AdmissionResult> m_decided;
  RateLimits m_limits{ m_loop,
                       m_log,
                       *m_random,
                       { "h1", "127.0.0.1:1", 1 },
                       kGrantValidity,
                       [this](std::uint64_t aId,
                              const AdmissionResult& aResult) {
                         m_decided[aId] = aResult;
                       } };
  std::size_t m_connections = 0;
  std::string m_received;
};

} // namespace

TEST_CASE("Messages on tokens", "[ratelimit]")
{
  SECTION("are read as they were written")
  {
    TokenMessage message;
    message.m_from = { "h1", "127.0.0.1:1", 0.12 };
    message.m_grants = true;
    message.m_instance = 0xffffffffffffffffULL;
    message.m_requests = { { "acme", 1, 2, 3, 4, 5.5 } };
    REQUIRE(DecodeTokenMessage(EncodeTokenMessage(message)) == message);

    TokenReply reply;
    reply.m_instance = 7;
    reply.m_grants = { { "acme", GrantOutcome::Decided, 3, 4ms, 5ms, true },
                       { "zeta",
                         GrantOutcome::Redirected,
                         0,
                         0ms,
                         0ms,
                         false,
                         { "h2", "127.0.0.1:2", 2 } } };
    reply.m_granters = { { "h3", "127.0.0.1:3", 1 } };
    REQUIRE(DecodeTokenReply(EncodeTokenReply(reply)) == reply);
  }

  // Guards against tokens that another host's fault or another version of it
  // creates.
  SECTION("are refused if a member is missing or out of range")
  {
    REQUIRE_THROWS(DecodeTokenMessage(GENERATE(
      "",
      "{",
      "[]",
      R"({"from":["h","",1],"grants":true,"instance":0})",
      R"({"from":["","",1],"grants":true,"instance":0,"requests":[]})",
      R"({"from":["h","x",1],"grants":true,"instance":0,"requests":[]})",
      R"({"from":["h","",1],"grants":true,"instance":0,"requests":[["t",1]]})",
      R"({"from":["h","",1],"grants":true,"instance":0,
          "requests":[["t",-1,0,0,0,0]]})",
      R"({"from":["h","",1],"grants":true,"instance":0,
          "requests":[["t",0,0,2000000,0,0]]})",
      R"({"from":["h","",1],"grants":true,"instance":0,
          "requests":[["t",0,0,0,0,-1]]})")));
    REQUIRE_THROWS(DecodeTokenReply(GENERATE(
      "",
      R"({"instance":1,"grants":[["t","other",0,0,0,false]],"granters":[]})",
      R"({"instance":1,"grants":[["t","redirected",0,0,0,false]],
          "granters":[]})",
      R"({"instance":1,"grants":[],"granters":[["h","",1]]})")));
  }
}

TEST_CASE("A host asks the owner of a tenant's limit", "[ratelimit]")
{
  RateLimitsFixture fixture;
  REQUIRE(fixture.Admit(3).m_basis == AdmissionBasis::Ahead);
  REQUIRE(fixture.Admit(1).m_admission == Admission::Waiting);
  REQUIRE(fixture.Admit(2).m_admission == Admission::Waiting);
  fixture.RunUntil([&] { return fixture.HasMessage(); });
  REQUIRE(fixture.HasMessage());

  SECTION("and admits as many requests as it grants tokens")
  {
    fixture.Reply(EncodeTokenReply(
      { 9, { { "acme", GrantOutcome::Decided, 1, 30ms, 30ms } }, {} }));
    fixture.RunUntil([&] { return !fixture.m_decided.empty(); });
    REQUIRE(fixture.m_decided.at(1).m_admission == Admission::Admitted);

    SECTION("over a connection that stays open")
    {
      fixture.m_received.clear();
      fixture.RunUntil([&] { return fixture.HasMessage(); });
      REQUIRE(fixture.HasMessage());
      REQUIRE(fixture.m_connections == 1);
      fixture.Reply(EncodeTokenReply(
        { 9, { { "acme", GrantOutcome::Decided, 0, 30ms, 30ms } }, {} }));
      fixture.RunUntil([&] { return fixture.m_decided.size() == 2; });
      REQUIRE(fixture.m_decided.at(2).m_admission == Admission::Refused);
      REQUIRE(fixture.m_decided.at(2).m_retryAfter >= 5ms);
    }
  }

  SECTION("and decides without it if the reply cannot be read")
  {
    fixture.Reply("{}");
    fixture.RunUntil([&] { return fixture.m_decided.size() == 2; });
    REQUIRE(fixture.m_decided.size() == 2);
    REQUIRE(fixture.m_limits.ClientCounters().m_failedMessages >= 1);
  }

  SECTION("and does not wait long for a silent one")
  {
    const TimePoint sentAt = fixture.m_loop.Now();
    fixture.RunUntil([&] { return fixture.m_decided.size() == 2; });
    REQUIRE(fixture.m_decided.size() == 2);
    REQUIRE(fixture.m_loop.Now() - sentAt < kNoticeTime);
  }

  SECTION("and forgets a request whose caller has left")
  {
    fixture.m_limits.Cancel("acme", 1);
    fixture.RunUntil([&] { return fixture.m_decided.size() == 2; }, 300ms);
    REQUIRE(fixture.m_decided.count(1) == 0);
  }
}

TEST_CASE("A host is asked for tokens", "[ratelimit]")
{
  RateLimitsFixture fixture;
  TokenMessage message;
  message.m_from = { "h3", "127.0.0.1:3", 1 };
  message.m_requests = { { "acme", 1 }, { "unknown", 1 } };

  // Guards against two hosts that grant the same limit.
  SECTION("and grants none while the owner may be alive")
  {
    const TokenReply reply =
      DecodeTokenReply(fixture.m_limits.OnMessage(EncodeTokenMessage(message)));
    REQUIRE(reply.m_grants.size() == 2);
    REQUIRE(reply.m_grants[0].m_outcome == GrantOutcome::Checking);
    REQUIRE(reply.m_grants[1].m_outcome == GrantOutcome::NotResponsible);
  }
}
