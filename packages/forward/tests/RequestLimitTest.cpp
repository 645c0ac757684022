#include "ForwardFleet.h"
#include "ForwarderFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

namespace {

constexpr Duration kWindow = 4s;

/** Requests that a replica may get in a window: one and a half times its limit,
 *  and five. */
std::size_t
AllowedInWindow(double aLimit)
{
  return static_cast<std::size_t>(1.5 * 4 * aLimit + 5);
}

ReplicaAnswer
AnswerWithLimit(std::optional<double> aLimit)
{
  ReplicaAnswer answer;
  answer.m_status = 200;
  answer.m_stamp = "stamp";
  answer.m_requestLimit = aLimit;
  return answer;
}

} // namespace

TEST_CASE("A request limit holds as long as the replica names it",
          "[request-limit]")
{
  ForwarderFixture fixture;
  fixture.ApplyRoute(fixture.SingleRoute(true), 1);
  fixture.Start();
  fixture.AnswerWith(fixture.m_sent.back().m_copy, AnswerWithLimit(1));
  fixture.Start();
  REQUIRE(fixture.m_sent.size() == 1);
  fixture.Advance(3s);
  fixture.Start();
  REQUIRE(fixture.m_sent.size() == 2);
  const CopyId copy = fixture.m_sent.back().m_copy;

  SECTION("and ends with an answer that names none")
  {
    fixture.AnswerWith(copy, AnswerWithLimit(std::nullopt));
    fixture.Start();
    fixture.Start();
    REQUIRE(fixture.m_sent.size() == 4);
  }
  SECTION("but not with one that cannot be read")
  {
    ReplicaAnswer answer = AnswerWithLimit(std::nullopt);
    answer.m_invalidRequestLimit = true;
    fixture.AnswerWith(copy, answer);
    fixture.Start();
    REQUIRE(fixture.m_sent.size() == 2);
  }
  SECTION("and a new instance of the replica has none")
  {
    ReplicaRecord record = fixture.Replica("single", 0);
    record.m_startedAt = 7;
    fixture.m_forwarder->UpdateReplica(fixture.m_now, record, fixture.m_now);
    fixture.Start();
    fixture.Start();
    REQUIRE(fixture.m_sent.size() == 4);
  }
  SECTION("and is logged when it begins")
  {
    REQUIRE(fixture.m_limitReports.size() == 1);
    REQUIRE(fixture.m_limitReports.front().m_limit == 1);
  }
}

TEST_CASE("A service that is slower than its target is not refused for a limit",
          "[request-limit]")
{
  ForwarderFixture fixture;
  Route route = fixture.SingleRoute(true);
  route.m_timeout = 4s;
  fixture.ApplyRoute(route, 1);
  fixture.RunRequests(5, 300ms);
  fixture.Start(4s);
  fixture.AnswerWith(fixture.m_sent.back().m_copy, AnswerWithLimit(5));
  const std::size_t sent = fixture.m_sent.size();
  const ForwardId request = fixture.Start(4s);
  REQUIRE_FALSE(fixture.m_results.contains(request));
  fixture.Advance(1s);
  REQUIRE(fixture.m_sent.size() == sent + 1);
}

TEST_CASE("The hosts together keep to the request limit of a replica",
          "[request-limit]")
{
  ForwardFleetOptions options;
  options.m_hostsEach = GENERATE(1, 2, 15);
  options.m_seed = GENERATE(range(1, 4));
  const double limit = 30;
  CAPTURE(options.m_hostsEach, options.m_seed);
  ForwardFleet fleet(options);
  fleet.Run(6s);

  SECTION("while another replica takes the rest")
  {
    fleet.NameLimit(0, 0, limit);
    fleet.NameLimit(0, 1, limit);
    fleet.Run(4s);
    const TimePoint from = fleet.Now();
    fleet.m_outcomes = {};
    fleet.Run(16s);
    for (const std::size_t dataCentre : { 0, 1 }) {
      REQUIRE(fleet.MostRequests(0, dataCentre, from, kWindow) <=
              AllowedInWindow(limit));
    }
    // Callers are served as before.
    REQUIRE(fleet.m_outcomes.m_refused + fleet.m_outcomes.m_failed == 0);
    REQUIRE(fleet.m_outcomes.m_inTarget > 0.97 * fleet.m_outcomes.m_requests);
  }

  SECTION("after hosts restarted, paused and got a burst of requests")
  {
    fleet.NameLimit(0, 0, limit);
    fleet.NameLimit(0, 1, limit);
    fleet.Run(4s);
    const TimePoint from = fleet.Now();
    fleet.Restart(0);
    fleet.Pause(1, 2s);
    fleet.Run(3s);
    fleet.SetRequestRate(options.m_requestRate * 2);
    fleet.Run(4s);
    fleet.SetRequestRate(options.m_requestRate / 20);
    fleet.Run(8s);
    fleet.SetRequestRate(options.m_requestRate);
    fleet.Run(8s);
    for (const std::size_t dataCentre : { 0, 1 }) {
      REQUIRE(fleet.MostRequests(0, dataCentre, from, kWindow) <=
              AllowedInWindow(limit));
    }
  }
}

TEST_CASE("Requests that the limits of all replicas cannot carry in time are "
          "refused at once",
          "[request-limit]")
{
  ForwardFleetOptions options;
  options.m_hostsEach = GENERATE(1, 2, 6);
  options.m_timeout = 4s;
  options.m_work = 60ms;
  options.m_slots = 6;
  options.m_target = 600ms;
  CAPTURE(options.m_hostsEach);
  const double limit = 30;
  ForwardFleet fleet(options);
  fleet.Run(6s);
  for (const std::size_t dataCentre : { 0, 1, 2 }) {
    fleet.NameLimit(0, dataCentre, limit);
  }
  fleet.Run(5s);
  const TimePoint from = fleet.Now();
  fleet.m_outcomes = {};
  fleet.Run(20s);
  const ForwardFleet::Outcomes& outcomes = fleet.m_outcomes;
  std::size_t sent = 0;
  for (const std::size_t dataCentre : { 0, 1, 2 }) {
    REQUIRE(fleet.MostRequests(0, dataCentre, from, 4s) <=
            AllowedInWindow(limit));
    sent += fleet.RequestsSince(0, dataCentre, from);
  }

  SECTION("while the limits are used")
  {
    REQUIRE(sent >= 0.75 * 3 * limit * 20);
  }
  SECTION("and the others are answered in the target time")
  {
    REQUIRE(outcomes.m_inTarget > 0.95 * sent);
    REQUIRE(outcomes.m_failed == 0);
  }
  SECTION("and callers learn of the refusal soon enough to come again")
  {
    REQUIRE(outcomes.m_refused > 0);
    REQUIRE(outcomes.m_refusalTime / outcomes.m_refused < options.m_target / 4);
  }
}

TEST_CASE("A shard that cannot be asked in time is left out at once",
          "[request-limit]")
{
  ForwardFleetOptions options;
  options.m_shards = 10;
  options.m_minShardRatio = 0.89;
  const double limit = 30;
  ForwardFleet fleet(options);
  fleet.Run(6s);
  for (const std::size_t dataCentre : { 0, 1, 2 }) {
    fleet.NameLimit(4, dataCentre, limit);
  }
  fleet.Run(5s);
  const TimePoint from = fleet.Now();
  fleet.m_outcomes = {};
  fleet.Run(20s);
  const ForwardFleet::Outcomes& outcomes = fleet.m_outcomes;
  std::size_t sent = 0;
  for (const std::size_t dataCentre : { 0, 1, 2 }) {
    REQUIRE(fleet.MostRequests(4, dataCentre, from, 4s) <=
            AllowedInWindow(limit));
    sent += fleet.RequestsSince(4, dataCentre, from);
  }
  REQUIRE(sent >= 0.75 * 3 * limit * 20);
  REQUIRE(outcomes.m_inTarget > 0.97 * outcomes.m_requests);
  REQUIRE(outcomes.m_answerTime / outcomes.m_requests < options.m_target / 3);
  REQUIRE(outcomes.m_missingShards + sent > 0.97 * outcomes.m_requests);
}
