#include "LatencyProfile.h"
#include "RecordMerger.h"
#include "RepeatBudget.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace goldcrestkeel;
using namespace std::chrono_literals;

TEST_CASE("Records are merged by their bytes", "[merge]")
{
  const std::string one(16, '\x01');
  const std::string high(16, '\xff');

  SECTION("as unsigned bytes, greatest first")
  {
    REQUIRE(MergeTopRecords({ one, high }, 2) == high + one);
  }
  SECTION("with equal records kept")
  {
    REQUIRE(MergeTopRecords({ one, one }, 5) == one + one);
  }
  SECTION("without a remainder that is no record")
  {
    REQUIRE(MergeTopRecords({ one + "rest" }, 5) == one);
  }
  SECTION("up to the number asked for")
  {
    REQUIRE(MergeTopRecords({ one + high + one }, 1) == high);
  }
}

TEST_CASE("A profile gives quantiles of recent latencies", "[latency]")
{
  LatencyProfile profile;
  REQUIRE_FALSE(profile.Quantile(0.5));
  for (int i = 1; i <= 100; ++i) {
    profile.Add(std::chrono::milliseconds(i));
  }
  REQUIRE(profile.Quantile(0.9)->count() == Approx(90000).epsilon(0.2));

  SECTION("and forgets old ones")
  {
    for (int i = 0; i < 3000; ++i) {
      profile.Add(5ms);
    }
    REQUIRE(*profile.Quantile(0.9) < 7ms);
  }
}

// Plays bursts of repeats and checks every window against the limit of the
// service, which broke by one repeat when slices were forgotten too early.
TEST_CASE("A budget holds in every window", "[budget]")
{
  RepeatBudget budget(0.2, 5, 10s);
  std::deque<std::pair<TimePoint, bool>> events;
  TimePoint now{ 100s };
  for (int step = 0; step < 6000; ++step) {
    now += 10ms;
    const bool busy = step / 700 % 2 == 0;
    if (busy || step % 10 == 0) {
      budget.AddRequest(now);
      events.emplace_back(now, false);
    }
    if (budget.Allows(now, 0)) {
      budget.AddRepeat(now);
      events.emplace_back(now, true);
    }
    while (events.front().first + 10s <= now) {
      events.pop_front();
    }
    double requests = 0;
    double repeats = 0;
    for (const auto& [at, repeat] : events) {
      (repeat ? repeats : requests) += 1;
    }
    // The users count the requests of the fullest of three windows; this test
    // allows for the slice at the edge only.
    REQUIRE(repeats <= 0.2 * (requests + 50) + 5);
  }

  SECTION("and a reserve is kept for what matters more")
  {
    RepeatBudget small(0, 4, 10s);
    small.AddRepeat(now);
    small.AddRepeat(now);
    REQUIRE(small.Allows(now, 0));
    REQUIRE_FALSE(small.Allows(now, 0.25));
  }
}
