#include <goldcrestkeel/Pacing.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace goldcrestkeel;
using namespace std::chrono_literals;

namespace {

constexpr Duration kUsual = 60ms;

/** One request after the other as soon as they are allowed, each answered after
 *  aLatency; returns the number until aEnd. */
std::size_t
RunUntil(SlowStart& aStart, TimePoint& aNow, TimePoint aEnd, Duration aLatency)
{
  std::size_t sent = 0;
  while (aNow < aEnd) {
    if (aStart.Allows(aNow, 0)) {
      ++sent;
      aStart.OnSent(aNow);
      aNow += aLatency;
      aStart.OnAnswered(aNow, aLatency);
    } else {
      aNow += 1ms;
    }
  }
  return sent;
}

} // namespace

TEST_CASE("One of few hosts starts with one concurrent request", "[slow-start]")
{
  auto random = MakeSeededRandom(5);
  const TimePoint now{ 100s };
  SlowStart start;
  REQUIRE(start.Allows(now, 1000));
  start.Begin(now, { 1, 4, kUsual }, *random);
  REQUIRE(start.Allows(now + 1s, 0));
  REQUIRE_FALSE(start.Allows(now + 1s, 1));
  start.OnAnswered(now, kUsual);
  start.OnAnswered(now, kUsual);
  REQUIRE(start.Limit(now) == 2);

  SECTION("and is done when it has its usual share")
  {
    for (int i = 0; i < 10; ++i) {
      start.OnAnswered(now, kUsual);
    }
    REQUIRE(start.Limit(now) == 4);
    start.OnAnswered(now + 2s, kUsual);
    REQUIRE_FALSE(start.IsOn(now + 2s));
    REQUIRE(start.Allows(now + 2s, 1000));
  }
  SECTION("and takes one back when an answer is late")
  {
    start.OnAnswered(now, 10 * kUsual);
    REQUIRE(start.Limit(now) == 1);

    SECTION("but once for requests that were in flight together")
    {
      start.OnAnswered(now + 1ms, 10 * kUsual);
      REQUIRE(start.Limit(now) == 1);
      start.OnAnswered(now + kUsual, 10 * kUsual);
      REQUIRE(start.Limit(now) == 0.5);
    }
  }
  SECTION("and when one was refused or failed")
  {
    start.OnFailed(now);
    REQUIRE(start.Limit(now) == 1);
  }
  // Guards against a replica that is slower than before for good, and is
  // limited for ever.
  SECTION("and is done after half a minute at the latest")
  {
    REQUIRE(start.IsOn(now + 29s));
    REQUIRE_FALSE(start.IsOn(now + 30s));
  }
}

TEST_CASE("One of many hosts starts with single requests", "[slow-start]")
{
  auto random = MakeSeededRandom(5);
  TimePoint now{ 100s };
  SlowStart start;
  start.Begin(now, { 0.1, 1, kUsual }, *random);

  SECTION("at a random time within the first gap")
  {
    std::size_t early = 0;
    for (int i = 0; i < 1000; ++i) {
      start = SlowStart();
      start.Begin(now, { 0.1, 1, kUsual }, *random);
      early += start.Allows(now + 60ms, 0) ? 1 : 0;
      REQUIRE(start.Allows(now + 600ms, 0));
    }
    REQUIRE(early > 50);
    REQUIRE(early < 150);
  }
  SECTION("with gaps that shrink with each answer in time")
  {
    REQUIRE(RunUntil(start, now, now + 3s, kUsual) > 10);
    REQUIRE_FALSE(start.IsOn(now));
  }
  SECTION("with gaps that grow while answers are late")
  {
    REQUIRE(RunUntil(start, now, now + 10s, 4 * kUsual) <= 11);
    REQUIRE(start.Limit(now) < 0.1);
  }
  // Guards against a replica that is left idle: with few requests, the next gap
  // is the time until it is tried again.
  SECTION("with no gap of more than a second")
  {
    start.Begin(now, { 0.001, 1, 10s }, *random);
    REQUIRE(start.Allows(now + 2s, 0));
    start.OnSent(now + 2s);
    start.OnFailed(now + 2s);
    REQUIRE(start.Allows(now + 4s, 0));
  }
  SECTION("and takes the first answer as usual if none is known")
  {
    start = SlowStart();
    start.Begin(now, { 0.1, 1, Duration(0) }, *random);
    start.OnAnswered(now, 500ms);
    REQUIRE(start.Limit(now) > 0.1);
    start.OnAnswered(now, 2s);
    REQUIRE(start.Limit(now) < 0.1);
  }
}

// Guards against a hung replica that answers health checks: it would get a
// request of each host every time.
TEST_CASE("A replica that fails again and again gets fewer requests",
          "[slow-start]")
{
  auto random = MakeSeededRandom(5);
  TimePoint now{ 100s };
  SlowStart start;
  Duration longest{ 0 };
  for (int round = 0; round < 6; ++round) {
    start.Begin(now, { 0.05, 1, kUsual }, *random);
    start.OnSent(now);
    start.OnFailed(now);
    TimePoint next = now;
    while (!start.Allows(next, 0)) {
      next += 10ms;
    }
    longest = std::max(longest, next - now);
    now += 2s;
  }
  REQUIRE(longest > 4s);
  REQUIRE(longest <= 9s);

  SECTION("until it has answered in time")
  {
    start.OnAnswered(now, kUsual);
    start.Begin(now, { 0.05, 1, kUsual }, *random);
    REQUIRE(start.Allows(now + 1s, 0));
  }
}

TEST_CASE("Another slow start begins when a warm-up ends", "[slow-start]")
{
  auto random = MakeSeededRandom(5);
  TimePoint now{ 100s };
  SlowStart start;
  start.BeginAt(now + 5s, { 0.1, 1, kUsual }, *random);
  REQUIRE(start.Allows(now, 50));
  REQUIRE(start.IsOn(now + 5s));
  REQUIRE_FALSE(start.Allows(now + 5s, 1));

  SECTION("though the one before is not over")
  {
    start.Begin(now, { 1, 100, kUsual }, *random);
    start.OnAnswered(now, kUsual);
    REQUIRE(start.Limit(now + 4s) == 1.5);
    REQUIRE(start.Limit(now + 5s) == 0.1);
    start.OnAnswered(now + 6s, kUsual);
    REQUIRE(start.Limit(now + 6s) < 0.2);
  }
}
