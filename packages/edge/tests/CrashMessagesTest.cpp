#include "CrashMessages.h"

#include "CrashReporter.h"

#include <goldcrestkeel/Edge.h>
#include <goldcrestkeel/net/SystemClock.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace goldcrestkeel;

namespace {

RequestMessage
Request(const std::string& aMethod,
        const std::string& aTarget,
        const std::string& aHost,
        const std::string& aBody)
{
  RequestMessage request;
  request.m_method = aMethod;
  request.m_target = aTarget;
  request.m_fields = { { "Host", aHost }, { "Id", aTarget + aBody } };
  request.m_body = aBody;
  return request;
}

} // namespace

TEST_CASE("The fingerprint of a request", "[crash]")
{
  const std::uint64_t first = FingerprintOf(Request("GET", "/a", "h", "b"));

  SECTION("is the same when it comes again with another id")
  {
    RequestMessage again = Request("GET", "/a", "h", "b");
    again.m_fields.back().second = "other";
    REQUIRE(FingerprintOf(again) == first);
  }

  // Guards against a request that crashes more replicas under another key.
  SECTION("is the same with the key of another tenant")
  {
    RequestMessage again = Request("GET", "/a", "h", "b");
    again.m_fields.emplace_back("Authorization", "Token other");
    REQUIRE(FingerprintOf(again) == first);
  }

  SECTION("differs if any part of what it asks for differs")
  {
    REQUIRE(FingerprintOf(Request("PUT", "/a", "h", "b")) != first);
    REQUIRE(FingerprintOf(Request("GET", "/a?", "h", "b")) != first);
    REQUIRE(FingerprintOf(Request("GET", "/a", "g", "b")) != first);
    REQUIRE(FingerprintOf(Request("GET", "/a", "h", "c")) != first);
    REQUIRE(FingerprintOf(Request("GET", "/a", "hb", "")) != first);
  }
}

TEST_CASE("Hosts tell each other of requests that crash replicas", "[crash]")
{
  CrashMessage message;
  message.m_crashes = { { 0xfedcba9876543210, "GET /a", "s", "r", 17 } };
  SuspectReport suspect;
  suspect.m_fingerprint = 9;
  suspect.m_statement = "GET /\xff";
  suspect.m_crashes = 3;
  suspect.m_version = 4;
  message.m_quarantined = { suspect };
  message.m_suspects = { suspect };
  message.m_answered = { 11, 12 };
  message.m_crashes[0].m_sinceCrash = std::chrono::milliseconds(300);
  message.m_crashes[0].m_sinceSent = std::chrono::milliseconds(400);
  message.m_crashes[0].m_sinceServed = std::chrono::milliseconds(310);
  message.m_crashes[0].m_services = 4;
  const std::string body = EncodeCrashMessage(message);

  SECTION("in messages that arrive as they were sent")
  {
    const CrashMessage decoded = DecodeCrashMessage(body);
    REQUIRE(decoded.m_crashes == message.m_crashes);
    const SuspectReport& report = decoded.m_quarantined.at(0);
    REQUIRE(report.m_fingerprint == 9);
    REQUIRE(report.m_crashes == 3);
    REQUIRE(report.m_version == 4);
    REQUIRE(report.m_quarantined);
    REQUIRE(decoded.m_suspects.at(0).m_fingerprint == 9);
    REQUIRE_FALSE(decoded.m_suspects.at(0).m_quarantined);
    REQUIRE(decoded.m_answered == message.m_answered);
  }

  SECTION("also those of an earlier version, which name no ages")
  {
    const CrashMessage decoded = DecodeCrashMessage(
      R"({"crashes":[{"fingerprint":"a","request":"GET /a","service":"s",
          "replica":"r","started_at_ms":17}],"quarantined":[]})");
    REQUIRE(decoded.m_crashes.at(0).m_sinceCrash == Duration(0));
    REQUIRE(decoded.m_crashes.at(0).m_services == 1);
    REQUIRE(decoded.m_suspects.empty());
  }

  SECTION("and others are refused")
  {
    REQUIRE_THROWS(DecodeCrashMessage(
      GENERATE("",
               "{",
               "[]",
               R"({"crashes":[]})",
               R"({"crashes":[{"fingerprint":"x"}],"quarantined":[]})",
               R"({"crashes":[],"quarantined":[{"fingerprint":"0","request":"",
          "crashes":1,"version":1}]})")));
  }
}

TEST_CASE("The hosts that count the crashes of a request", "[crash]")
{
  std::vector<HostRecord> hosts;
  for (int i = 0; i < 20; ++i) {
    hosts.push_back({ "h" + std::to_string(i), "a", "10.0.0.1:1", 1 });
  }
  const std::vector<std::string> counting =
    CrashReporter::CountingHosts(hosts, 5);

  SECTION("are three, the same for every host")
  {
    REQUIRE(counting.size() == 3);
    std::reverse(hosts.begin(), hosts.end());
    REQUIRE(CrashReporter::CountingHosts(hosts, 5) == counting);
  }

  SECTION("and two of them stay when one leaves")
  {
    std::erase_if(hosts, [&](const HostRecord& aHost) {
      return aHost.m_id == counting.front();
    });
    const auto after = CrashReporter::CountingHosts(hosts, 5);
    REQUIRE(after[0] == counting[1]);
    REQUIRE(after[1] == counting[2]);
  }

  SECTION("differ between requests")
  {
    std::set<std::string> first;
    for (std::uint64_t fingerprint = 1; fingerprint <= 50; ++fingerprint) {
      first.insert(CrashReporter::CountingHosts(hosts, fingerprint).front());
    }
    REQUIRE(first.size() > 10);
  }
}

// Guards against a connection for each message to each host.
TEST_CASE("Many messages are sent to hosts that do not answer", "[crash]")
{
  SystemClock clock;
  Loop loop(clock);
  DecisionLog log(loop, -1, "h0");
  CrashReporter reporter(loop, log, "h0", 8, [](const CrashMessage&) {});
  std::vector<HostRecord> hosts(100);
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    hosts[i].m_id = "h" + std::to_string(i);
    hosts[i].m_relayAddress = "127.0.0.1:1";
  }
  reporter.SetHosts(hosts);
  for (int i = 0; i < 100; ++i) {
    reporter.Announce({});
  }
  REQUIRE(reporter.OpenCount() == 8);
  REQUIRE(reporter.WaitingCount() == CrashReporter::kMaxWaiting);

  SECTION("and all that wait are sent in the end")
  {
    while (reporter.OpenCount() > 0) {
      loop.RunOnce(true);
    }
    REQUIRE(reporter.WaitingCount() == 0);
  }
}
