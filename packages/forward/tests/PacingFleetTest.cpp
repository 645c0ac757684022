#include "ForwardFleet.h"

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

namespace {

constexpr Duration kColdTime = 3s;
constexpr double kPerSecond = 6;
/** 1.5 times the limit, and five. */
constexpr std::size_t kMostCold = 14;
/** The outages. */
constexpr std::size_t kCrashed = 2;

/** Six replicas with two slots and a queue of eight, at about half of what they
 *  can do. For 3 s after its start, a replica is slower, and crashes with more
 *  than 16 requests a second. */
ForwardFleetOptions
Options(std::size_t aHosts, unsigned aSeed, bool aPaced)
{
  ForwardFleetOptions options;
  options.m_dataCentres = 6;
  options.m_hosts = aHosts;
  options.m_requestRate = 100;
  options.m_work = 60ms;
  options.m_slots = 2;
  options.m_queueLimit = 8;
  options.m_connections = 63;
  options.m_target = 600ms;
  options.m_timeout = 1500ms;
  options.m_coldTime = kColdTime;
  options.m_coldFactor = 1.6;
  options.m_crashRequests = 16;
  options.m_seed = aSeed;
  if (aPaced) {
    options.m_warmupTime = kColdTime;
    options.m_warmupPerSecond = kPerSecond;
  }
  return options;
}

void
CrashAndReturn(ForwardFleet& aFleet, std::size_t aReplicas, bool aIsNew)
{
  aFleet.Run(10s);
  aFleet.ResetOutcomes();
  for (std::size_t i = 0; i < aReplicas; ++i) {
    aFleet.Crash(0, i);
  }
  aFleet.Run(3s);
  for (std::size_t i = 0; i < aReplicas; ++i) {
    aFleet.Return(0, i, aIsNew);
  }
}

double
ServedShare(const ForwardFleet::Outcomes& aOutcomes)
{
  return static_cast<double>(aOutcomes.m_inTarget) /
         static_cast<double>(aOutcomes.m_requests);
}

} // namespace

// Guards against cold replicas that crash again and again under the load that
// waits for them.
TEST_CASE("Cold replicas keep to their warm-up limit under load", "[pacing]")
{
  const std::size_t hosts = GENERATE(1, 10, 60);
  const unsigned seed = GENERATE(1, 2, 3);
  CAPTURE(hosts, seed);
  ForwardFleet fleet(Options(hosts, seed, true));
  CrashAndReturn(fleet, kCrashed, true);
  const TimePoint back = fleet.Now();

  SECTION("and callers are served")
  {
    fleet.Run(10s);
    REQUIRE(ServedShare(fleet.m_outcomes) > 0.97);
    REQUIRE(fleet.m_outcomes.m_failed <= 2);
    // The usual share is 16 a second on average; a single host sends less to
    // replicas far away.
    const TimePoint warm = fleet.Now();
    fleet.Run(4s);
    std::size_t got = 0;
    for (std::size_t i = 0; i < kCrashed; ++i) {
      got += fleet.RequestsSince(0, i, warm);
    }
    REQUIRE(got > kCrashed * 4 * 16 / 2);
  }
  SECTION("while the load grows to twice of it")
  {
    fleet.SetRequestRate(200);
    fleet.Run(10s);
  }
  SECTION("while a host restarts and another one is paused")
  {
    fleet.Restart(0);
    fleet.Pause(hosts - 1, 1s);
    fleet.Run(1500ms);
    fleet.Restart(hosts / 2);
    fleet.Run(5s);
  }
  SECTION("when they turn cold again")
  {
    fleet.Run(8s);
    fleet.TurnCold(0, 0);
    // The time within which all hosts have learned of it.
    fleet.Run(2s);
    REQUIRE(fleet.MostColdRequests(0, 0, fleet.Now() - 500ms) <= kMostCold);
    fleet.Run(2s);
    REQUIRE(fleet.MostColdRequests(0, 0, fleet.Now() - 2s) <= kMostCold);
    return;
  }
  for (std::size_t i = 0; i < kCrashed; ++i) {
    REQUIRE(fleet.MostColdRequests(0, i, back) <= kMostCold);
  }
  REQUIRE(fleet.Crashes() == kCrashed);
}

TEST_CASE("Without warm-up limits, cold replicas crash again", "[pacing]")
{
  std::size_t paced = 0;
  std::size_t unpaced = 0;
  for (const std::size_t hosts : { 1, 10, 60 }) {
    for (const bool isPaced : { false, true }) {
      ForwardFleet fleet(Options(hosts, 1, isPaced));
      CrashAndReturn(fleet, kCrashed, true);
      fleet.Run(10s);
      (isPaced ? paced : unpaced) += fleet.Crashes();
    }
  }
  REQUIRE(paced == 3 * kCrashed);
  REQUIRE(unpaced > paced);
}

// Guards against a replica that recovers and is left idle because others are in
// order, while these have more requests than they should.
TEST_CASE("A replica that was unreachable gets its share again soon",
          "[pacing]")
{
  const std::size_t hosts = GENERATE(1, 10, 60);
  CAPTURE(hosts);
  ForwardFleet::Outcomes outcomes[2];
  std::size_t got[2] = { 0, 0 };
  for (unsigned seed = 1; seed <= 3; ++seed) {
    for (const int paced : { 0, 1 }) {
      ForwardFleetOptions options = Options(hosts, seed, paced > 0);
      options.m_requestRate = 130;
      ForwardFleet fleet(options);
      CrashAndReturn(fleet, kCrashed, false);
      const TimePoint back = fleet.Now();
      fleet.Run(6s);
      outcomes[paced] += fleet.m_outcomes;
      got[paced] += fleet.RequestsSince(0, 0, back);
    }
  }
  CAPTURE(outcomes[0].m_refused, outcomes[1].m_refused, got[0], got[1]);
  // The usual share is 22 a second.
  REQUIRE(got[1] > 3 * 6 * 22 / 2);
  REQUIRE(got[1] > got[0]);
  REQUIRE(ServedShare(outcomes[1]) >= ServedShare(outcomes[0]) - 0.005);
}

// Guards against a recovering replica that gets a request of each host at once,
// and against requests that are refused for the pace alone.
TEST_CASE("All replicas of a service start at a time", "[pacing]")
{
  const std::size_t hosts = GENERATE(1, 10, 60);
  CAPTURE(hosts);
  ForwardFleet::Outcomes outcomes[2];
  for (unsigned seed = 1; seed <= 3; ++seed) {
    for (const int paced : { 0, 1 }) {
      ForwardFleetOptions options = Options(hosts, seed, paced > 0);
      options.m_warmupPerSecond = 0;
      options.m_crashRequests = 0;
      ForwardFleet fleet(options);
      CrashAndReturn(fleet, 6, true);
      fleet.Run(1500ms);
      fleet.ResetOutcomes();
      fleet.Run(6s);
      outcomes[paced] += fleet.m_outcomes;
    }
  }
  CAPTURE(outcomes[0].m_refused,
          outcomes[1].m_refused,
          outcomes[0].m_failed,
          outcomes[1].m_failed,
          outcomes[0].m_inTarget,
          outcomes[1].m_inTarget);
  REQUIRE(ServedShare(outcomes[1]) >= ServedShare(outcomes[0]) - 0.01);
  REQUIRE(outcomes[1].m_failed <= outcomes[0].m_failed + 3);
}

TEST_CASE("No host sends requests to an evacuated data centre", "[evacuation]")
{
  ForwardFleetOptions options;
  options.m_hosts = GENERATE(1, 10, 60);
  options.m_shards = GENERATE(0, 6);
  options.m_minShardRatio = 0.8;
  options.m_requestRate = 60;
  CAPTURE(options.m_hosts, options.m_shards);
  ForwardFleet fleet(options);
  fleet.Run(5s);
  fleet.Evacuate({ "dc0" });
  // What was under way arrives.
  fleet.Run(100ms);
  const TimePoint from = fleet.Now();
  fleet.ResetOutcomes();
  fleet.Run(3s);
  fleet.Restart(0);
  // Copies are lost there, so that others are late, hedged and retried.
  fleet.Crash(0, 1);
  fleet.Run(3s);
  REQUIRE(fleet.RequestsSince(0, 0, from) == 0);
  REQUIRE(ServedShare(fleet.m_outcomes) > 0.97);

  SECTION("though all others are gone")
  {
    fleet.Crash(0, 2);
    fleet.Run(3s);
    REQUIRE(fleet.RequestsSince(0, 0, from) == 0);
  }
  SECTION("until it ends")
  {
    fleet.Evacuate({});
    fleet.Run(5s);
    REQUIRE(fleet.RequestsSince(0, 0, from) > 0);
  }
}
