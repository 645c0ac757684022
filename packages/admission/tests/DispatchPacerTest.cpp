#include <goldcrestkeel/Admission.h>

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using namespace std::chrono_literals;

TEST_CASE("Dispatches are paced while servers are overloaded", "[pacer]")
{
  DispatchPacer pacer;
  TimePoint now{ 100s };
  // Twenty answers a second.
  const auto answer = [&](int aCount, double aWaiting, bool aRefused = false) {
    for (int i = 0; i < aCount; ++i) {
      now += 50ms;
      pacer.OnAnswer(now, { aWaiting, aRefused, 5 });
    }
  };

  // Guards against limits without need.
  SECTION("not while their queues are short, or one refuses a request")
  {
    answer(100, 1.5);
    answer(1, 0, true);
    answer(100, 0);
    REQUIRE(!pacer.Rate());
    REQUIRE(pacer.Allows(now));
  }

  SECTION("at a falling rate, but not below half an equal share")
  {
    answer(20, 1);
    answer(10, 4);
    REQUIRE(pacer.Rate());
    const double first = *pacer.Rate();
    answer(10, 4);
    REQUIRE(*pacer.Rate() < 0.7 * first);
    answer(200, 4);
    REQUIRE(*pacer.Rate() == Approx(2.5));
    now += 1s;
    REQUIRE(pacer.Allows(now));
    pacer.OnDispatched(now);
    REQUIRE(!pacer.Allows(now));
    REQUIRE(!pacer.Allows(now + 300ms));
    REQUIRE(pacer.Allows(now + 500ms));

    // Guards against a limit that outlasts the overload.
    answer(400, 0);
    REQUIRE(!pacer.Rate());
  }
}
