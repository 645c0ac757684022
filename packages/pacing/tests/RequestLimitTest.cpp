#include "Permits.h"

#include <goldcrestkeel/Pacing.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

TEST_CASE("A host issues itself permits for its share of a request limit",
          "[request-limit]")
{
  auto random = MakeSeededRandom(3);
  RequestLimit limit;
  TimePoint now{ 100s };
  REQUIRE(limit.Allows(now));
  limit.SetShare(0.1);
  limit.Set(now, 40, *random);

  SECTION("one in each interval")
  {
    std::size_t used = 0;
    for (int i = 0; i < 1000; ++i) {
      now += 10ms;
      used += UseAll(limit, now);
    }
    REQUIRE(used >= 39);
    REQUIRE(used <= 41);
  }
  SECTION("and those of a quiet time expire")
  {
    REQUIRE(UseAll(limit, now + 60s) <= 5);
  }
  SECTION("and a pause of the process counts as a quiet time")
  {
    UseAll(limit, now);
    REQUIRE(UseAll(limit, now + 10s) <= 5);
    REQUIRE_FALSE(limit.Allows(now + 10s));
  }
  SECTION("and hosts that learn of the limit together are not in step")
  {
    std::vector<TimePoint> first;
    for (int i = 0; i < 100; ++i) {
      RequestLimit other;
      other.SetShare(0.01);
      other.Set(now, 1, *random);
      first.push_back(now + other.TimeToPermit(now));
    }
    // The interval is 100 s.
    std::sort(first.begin(), first.end());
    REQUIRE(first[25] - now > 10s);
    REQUIRE(first[75] - now < 90s);
  }
  SECTION("and a smaller share slows them down at once")
  {
    UseAll(limit, now + 1s);
    limit.SetShare(0.001);
    REQUIRE_FALSE(limit.Allows(now + 20s));
    REQUIRE(limit.TimeToPermit(now + 20s) < 6s);
  }
  SECTION("until the limit ends")
  {
    limit.Set(now, std::nullopt, *random);
    REQUIRE(limit.TimeToPermit(now) == Duration(0));
  }
}

// Guards against a replica that is never asked again.
TEST_CASE("A replica with a limit of 0 is asked from time to time",
          "[request-limit]")
{
  auto random = MakeSeededRandom(3);
  RequestLimit limit;
  TimePoint now{ 100s };
  limit.Set(now, 0, *random);
  std::size_t used = 0;
  for (int i = 0; i < 400; ++i) {
    now += 100ms;
    used += UseAll(limit, now);
  }
  // Five requests in 4 s are within any limit.
  REQUIRE(used > 0);
  REQUIRE(used <= 40 / 4 * 5);
}
