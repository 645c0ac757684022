#include "Permits.h"

#include <goldcrestkeel/Pacing.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

TEST_CASE("A warm-up limit holds while the replica is cold", "[warmup]")
{
  auto random = MakeSeededRandom(3);
  WarmupLimit limit;
  TimePoint now{ 100s };
  limit.SetShare(0.5);
  limit.SetRate(now, 20, *random);
  REQUIRE(limit.Allows(now));
  REQUIRE_FALSE(limit.IsLimited(now));
  limit.SetColdUntil(now, now + 5s, *random);
  REQUIRE(limit.IsLimited(now));

  SECTION("with this host's share of it")
  {
    std::size_t used = 0;
    for (int i = 0; i < 400; ++i) {
      now += 10ms;
      used += UseAll(limit, now);
    }
    REQUIRE(used >= 38);
    REQUIRE(used <= 41);
  }
  SECTION("and half a second of a quiet time can be made up for")
  {
    REQUIRE(UseAll(limit, now + 4s) <= 6);
  }
  SECTION("and no request waits for longer than that")
  {
    limit.SetShare(0.001);
    REQUIRE(limit.TimeToPermit(now + 4s) <= 1s);
    REQUIRE(limit.Allows(now + 5s));
    REQUIRE_FALSE(limit.IsLimited(now + 5s));
  }
  SECTION("and again when it turns cold once more")
  {
    now += 60s;
    limit.SetColdUntil(now, now + 5s, *random);
    REQUIRE(UseAll(limit, now) == 0);
    REQUIRE(UseAll(limit, now + 1s) <= 11);
  }
  SECTION("unless it states that it is warm")
  {
    limit.SetColdUntil(now, now, *random);
    REQUIRE(limit.Allows(now));
  }
  SECTION("at the rate of a new configuration")
  {
    UseAll(limit, now + 1s);
    limit.SetRate(now + 1s, 0, *random);
    REQUIRE(limit.Allows(now + 1s));
    limit.SetRate(now + 1s, 2, *random);
    REQUIRE(UseAll(limit, now + 1s) == 0);
  }
}

// The page: in one second at most one and a half times the limit, and five, of
// all hosts, also of those that restart.
TEST_CASE("All hosts together keep to a warm-up limit", "[warmup]")
{
  const std::size_t hosts = GENERATE(1, 10, 62, 300);
  const double rate = GENERATE(1.0, 6.0, 20.0, 50.0);
  const bool burst = GENERATE(false, true);
  CAPTURE(hosts, rate, burst);
  auto random = MakeSeededRandom(11);
  TimePoint now{ 100s };
  std::vector<WarmupLimit> limits(hosts);
  const auto begin = [&](WarmupLimit& aLimit) {
    aLimit = WarmupLimit();
    aLimit.SetShare(0.83 / static_cast<double>(hosts));
    aLimit.SetRate(now, rate, *random);
    aLimit.SetColdUntil(now, TimePoint{ 140s }, *random);
  };
  std::for_each(limits.begin(), limits.end(), begin);
  std::vector<TimePoint> sent;
  std::size_t most = 0;
  for (int step = 0; step < 3000; ++step) {
    now += 10ms;
    if (step % 100 == 0) {
      begin(limits[random->Below(hosts)]);
    }
    // Either as many requests as there can be, or all hosts at a time after
    // quiet seconds.
    if (!burst || step % 300 == 299) {
      for (WarmupLimit& limit : limits) {
        sent.insert(sent.end(), UseAll(limit, now), now);
      }
    }
    std::erase_if(sent, [&](TimePoint aAt) { return now - aAt >= 1s; });
    most = std::max(most, sent.size());
  }
  REQUIRE(static_cast<double>(most) <= 1.5 * rate + 5);
}
