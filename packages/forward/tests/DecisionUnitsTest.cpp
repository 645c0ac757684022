#include "LatencyProfile.h"
#include "RecordMerger.h"
#include "RepeatBudget.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace goldcrestkeel;
using namespace std::chrono_literals;

TEST_CASE("Records are merged in the order of their bytes", "[merge]")
{
  const std::string one(16, '\x01');
  const std::string high(16, '\xff');

  SECTION("as unsigned bytes, greatest first")
  {
    REQUIRE(MergeTopRecords({ one, high }, 2) == high + one);
  }
  SECTION("with duplicates")
  {
    REQUIRE(MergeTopRecords({ one, one }, 5) == one + one);
  }
  SECTION("without a trailing fragment of a record")
  {
    REQUIRE(MergeTopRecords({ one + "rest" }, 5) == one);
  }
  SECTION("up to the requested number")
  {
    REQUIRE(MergeTopRecords({ one + high + one }, 1) == high);
  }
}

TEST_CASE("A latency profile returns quantiles of recent samples", "[latency]")
{
  LatencyProfile profile;
  REQUIRE_FALSE(profile.Quantile(0.5));
  for (int i = 1; i <= 100; ++i) {
    profile.Add(std::chrono::milliseconds(i));
  }
  REQUIRE(profile.Quantile(0.9)->count() == Approx(90000).epsilon(0.2));

  SECTION("and old samples lose their weight")
  {
    for (int i = 0; i < 3000; ++i) {
      profile.Add(5ms);
    }
    REQUIRE(*profile.Quantile(0.9) < 7ms);
  }
}

// Guards against exceeding the limit in any window: one repeat too many was
// allowed when slices were dropped too early. Alternates bursts and quiet
// phases.
TEST_CASE("The repeat budget holds in every window", "[budget]")
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
    // Stricter than the requirement, which counts the requests of the busiest
    // of three windows: this allows only for the slice at the edge of the
    // window.
    REQUIRE(repeats <= 0.2 * (requests + 50) + 5);
  }

  SECTION("and a reserve is kept for repeats of higher priority")
  {
    RepeatBudget small(0, 4, 10s);
    small.AddRepeat(now);
    small.AddRepeat(now);
    REQUIRE(small.Allows(now, 0));
    REQUIRE_FALSE(small.Allows(now, 0.25));
  }
}
