#include <goldcrestkeel/Admission.h>

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace goldcrestkeel;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 100s };

struct Sinks
  : public RateLimitOwner::Sink
  , public RateLimitClient::Sink
{
  void Probe(const OwnerCandidate& aHost, const TokenMessage&) override
  {
    m_probed.push_back(aHost.m_id);
  }
  void LogOwner(const OwnerDecision&) override {}
  void Send(const OwnerCandidate&, const TokenMessage& aMessage) override
  {
    m_sent.push_back(aMessage);
  }
  void OnDecided(std::uint64_t aRequest,
                 const AdmissionResult& aResult) override
  {
    m_decided[aRequest] = aResult.m_admission;
  }

  std::vector<std::string> m_probed;
  std::vector<TokenMessage> m_sent;
  std::map<std::uint64_t, Admission> m_decided;
};

/** "big" owns all tenants, "h1" and "h2" follow. */
const std::vector<OwnerCandidate> kHosts{ { "big", "a", 2 },
                                          { "h1", "b", 1 },
                                          { "h2", "c", 0.5 } };
const std::map<std::string, RateLimit> kLimits{ { "acme", { 10, 5 } } };

TokenMessage
Ask(std::uint32_t aWaiting)
{
  TokenMessage message;
  message.m_from = { "h2", "c", 0.5 };
  message.m_requests = { { "acme", aWaiting } };
  return message;
}

} // namespace

TEST_CASE("A token bucket", "[ratelimit]")
{
  TokenBucket bucket(kStart, 10, 5);

  SECTION("starts empty and states when a token is there")
  {
    REQUIRE(bucket.Take(kStart, 1) == 0);
    REQUIRE(bucket.TimeTo(kStart, 1) == 100ms);
    REQUIRE(bucket.Take(kStart + 100ms, 2) == 1);
  }
  SECTION("fills up to its capacity")
  {
    REQUIRE(bucket.Take(kStart + 60s, 100) == 5);
  }
  SECTION("loses what a lowered capacity does not hold")
  {
    bucket.SetLimits(kStart + 60s, 1, 2);
    REQUIRE(bucket.Take(kStart + 60s, 100) == 2);
  }
}

TEST_CASE("Owners are ranked the same on all hosts", "[ratelimit]")
{
  std::vector<OwnerCandidate> hosts;
  for (int i = 0; i < 20; ++i) {
    hosts.push_back({ "h" + std::to_string(i), "a", 0.5 });
  }
  const std::string first = hosts[RankOwners(hosts, "acme")[0]].m_id;

  SECTION("whatever the order of the list")
  {
    std::reverse(hosts.begin(), hosts.end());
    REQUIRE(hosts[RankOwners(hosts, "acme")[0]].m_id == first);
  }
  SECTION("and small hosts that join take over nothing")
  {
    hosts.insert(hosts.begin(), { "small", "a", 0.1 });
    REQUIRE(hosts[RankOwners(hosts, "acme")[0]].m_id == first);
  }
}

TEST_CASE("A substitute of an owner", "[ratelimit]")
{
  Sinks sinks;
  RateLimitOwner owner(kStart, kHosts[1], 7, sinks);
  owner.SetHosts(kStart, kHosts);
  owner.SetLimits(kStart, kLimits);
  TimePoint now = kStart + 500ms;
  REQUIRE(owner.OnMessage(now, Ask(1)).m_grants[0].m_outcome ==
          GrantOutcome::Checking);
  REQUIRE(sinks.m_probed == std::vector<std::string>{ "big" });

  // Guards against two hosts that grant the same limit.
  SECTION("names the owner while that answers it")
  {
    owner.OnPeer(now, "big", PeerOutcome::Answered);
    const TokenGrant grant = owner.OnMessage(now, Ask(1)).m_grants[0];
    REQUIRE(grant.m_outcome == GrantOutcome::Redirected);
    REQUIRE(grant.m_owner.m_id == "big");
  }

  SECTION("starts without tokens if the owner is gone")
  {
    owner.OnPeer(now, "big", PeerOutcome::Refused);
    const TokenGrant grant = owner.OnMessage(now, Ask(1)).m_grants[0];
    REQUIRE(grant.m_outcome == GrantOutcome::Decided);
    REQUIRE(grant.m_tokens == 0);
    REQUIRE(grant.m_nextToken == 100ms);
    REQUIRE(owner.OnMessage(now + 500ms, Ask(9)).m_grants[0].m_tokens == 5);
  }

  // Guards against an owner beyond a broken link that still grants.
  SECTION("grants half of the limit if the owner is silent")
  {
    owner.OnPeer(now, "big", PeerOutcome::TimedOut);
    owner.OnMessage(now, Ask(0));
    REQUIRE(owner.OnMessage(now + 400ms, Ask(9)).m_grants[0].m_tokens == 2);
  }
}

TEST_CASE("A host with granted tokens", "[ratelimit]")
{
  Sinks sinks;
  RateLimitOwner owner(kStart, kHosts[2], 7, sinks);
  RateLimitClient client(kHosts[2], owner, sinks);
  client.SetHosts(kHosts, 3);
  client.SetLimits(kStart, kLimits);
  REQUIRE(client.Admit(kStart, "other", 1, kStart).m_admission ==
          Admission::Admitted);
  REQUIRE(client.Admit(kStart, "acme", 9, kStart + 80ms).m_basis ==
          AdmissionBasis::Ahead);
  REQUIRE(sinks.m_sent.size() == 1);
  // Guards against a host that admits any number before the owner knows.
  REQUIRE(client.Admit(kStart, "acme", 2, kStart + 80ms).m_admission ==
          Admission::Waiting);
  const TokenReply reply{ 9, { { "acme", GrantOutcome::Decided, 3 } }, {} };

  SECTION("uses them for waiting requests and for those that follow")
  {
    client.OnReply(kStart + 5ms, "big", reply);
    REQUIRE(sinks.m_decided.at(2) == Admission::Admitted);
    REQUIRE(client.Admit(kStart + 9ms, "acme", 3, kStart + 99ms).m_basis ==
            AdmissionBasis::Token);
  }

  // Guards against a round trip for each request of a tenant that is far below
  // its limit, and against an overshoot if it is not.
  SECTION("admits the next one ahead only if the owner has ample tokens")
  {
    const bool ample = GENERATE(false, true);
    TokenReply statement = reply;
    statement.m_grants[0].m_tokens = 1;
    statement.m_grants[0].m_ample = ample;
    client.OnReply(kStart + 5ms, "big", statement);
    REQUIRE(client.Admit(kStart + 20ms, "acme", 3, kStart + 99ms).m_admission ==
            (ample ? Admission::Admitted : Admission::Waiting));
    REQUIRE(client.Admit(kStart + 21ms, "acme", 4, kStart + 99ms).m_admission ==
            Admission::Waiting);
  }

  // Guards against a process that was paused and uses what was granted before.
  SECTION("uses none that expired, counted from when they were requested")
  {
    client.OnReply(kStart + 290ms, "big", reply);
    REQUIRE(
      client.Admit(kStart + 300ms, "acme", 3, kStart + 400ms).m_admission ==
      Admission::Waiting);
  }

  SECTION("asks the next host if the owner is gone, and decides alone at last")
  {
    client.OnFailed(kStart + 2ms, "big", PeerOutcome::Refused);
    REQUIRE(sinks.m_sent.size() == 2);
    client.OnFailed(kStart + 4ms, "h1", PeerOutcome::Refused);
    client.OnTimer(kStart + 80ms);
    REQUIRE(sinks.m_decided.count(2) == 1);
    REQUIRE(client.WaitingRequests() == 0);
  }

  SECTION("forgets a request whose caller has left")
  {
    client.Cancel("acme", 2);
    client.OnReply(kStart + 5ms, "big", reply);
    REQUIRE(sinks.m_decided.empty());
  }
}

// Guards against tables that grow with each name that a message claims.
TEST_CASE("Messages claim to be of many hosts", "[ratelimit]")
{
  Sinks sinks;
  RateLimitOwner owner(kStart, { "big", "a", 2 }, 1, sinks);
  owner.SetHosts(kStart, kHosts);
  owner.SetLimits(kStart, kLimits);
  TokenMessage message;
  message.m_grants = true;
  for (std::size_t i = 0; i < 4 * RateLimitOwner::kMaxUnlistedHosts; ++i) {
    message.m_from = { "x" + std::to_string(i), "127.0.0.1:1", 1 };
    owner.OnMessage(kStart, message);
  }

  SECTION("and those that are tracked are limited")
  {
    // Each host that is thought to grant and ranks before is probed.
    owner.OnMessage(kStart + 1ms, Ask(1));
    REQUIRE(sinks.m_probed.size() <=
            kHosts.size() + RateLimitOwner::kMaxUnlistedHosts);
  }

  SECTION("but listed hosts are heard, too")
  {
    message.m_from = kHosts[1];
    owner.OnMessage(kStart + 1ms, message);
    TokenMessage probe;
    probe.m_from = kHosts[2];
    probe.m_grants = true;
    std::set<std::string> granters;
    for (const auto& host : owner.OnMessage(kStart + 1ms, probe).m_granters) {
      granters.insert(host.m_id);
    }
    REQUIRE(granters.contains("h1"));
  }
}
