#include <goldcrestkeel/Admission.h>

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using namespace std::chrono_literals;

TEST_CASE("Requests that cannot be answered in time are rejected", "[shed]")
{
  LoadShedder shedder;
  TimePoint now{ 100s };
  // Ten requests a second are served.
  const ServiceCapacity capacity{ 20, 2, 60ms };
  const auto serve = [&](Duration aTime) {
    for (const TimePoint end = now + aTime; now < end; now += 100ms) {
      shedder.OnServed(now);
    }
  };
  const auto reason = [&](double aAhead, Duration aLeft) {
    return LoadShedder::Judge(shedder.Estimate(now, aAhead, capacity), aLeft);
  };
  serve(5s);

  // Guards against rejections while servers pause.
  SECTION("only after a backlog")
  {
    REQUIRE(!reason(100, 1500ms));
    shedder.OnQueueChanged(now, true);
    serve(200ms);
    REQUIRE(!reason(100, 1500ms));
    serve(200ms);
    REQUIRE(reason(100, 1500ms) == RejectReason::QueueTooLong);

    // Guards against a backlog that ends with each moment without a queue.
    shedder.OnQueueChanged(now, false);
    REQUIRE(!reason(100, 1500ms));
    now += 50ms;
    shedder.OnQueueChanged(now, true);
    REQUIRE(reason(100, 1500ms));
    shedder.OnQueueChanged(now, false);
    now += 200ms;
    shedder.OnQueueChanged(now, true);
    REQUIRE(!reason(100, 1500ms));
  }

  SECTION("by the queue ahead and the time left")
  {
    shedder.OnQueueChanged(now, true);
    serve(400ms);
    // 1.5 times the rate may be reached: 15 ahead take a second.
    CHECK(!reason(15, 1500ms));
    CHECK(reason(30, 1500ms) == RejectReason::QueueTooLong);
    CHECK(!reason(0, 60ms));
    CHECK(reason(0, 30ms) == RejectReason::TooLittleTime);
  }

  // Guards against queues in which all requests become late.
  SECTION("by the target if it can be met at all")
  {
    const auto byTarget = [&](double aAhead, Duration aTarget) {
      return LoadShedder::JudgeByTarget(
        shedder.Estimate(now, aAhead, capacity), aTarget, aTarget, 1500ms);
    };
    REQUIRE(!byTarget(8, 600ms));
    shedder.OnQueueChanged(now, true);
    serve(400ms);
    CHECK(!byTarget(2, 600ms));
    CHECK(byTarget(8, 600ms) == RejectReason::QueuePastTarget);
    CHECK(!byTarget(8, 50ms));
  }

  // Guards against rejections by what a service did long ago, or never.
  SECTION("not without recent answers")
  {
    shedder.OnQueueChanged(now, true);
    now += 6s;
    CHECK(!reason(100, 1500ms));
    serve(2s);
    CHECK(reason(100, 1500ms));
    CHECK(
      !LoadShedder::Judge(shedder.Estimate(now, 100, { 20, 2, {} }), 1500ms));
  }
}

// Guards against rejected callers that return together, or before there is
// room.
TEST_CASE("Rejected callers return when room is expected, spread", "[shed]")
{
  const unsigned seed = GENERATE(1U, 2U, 3U);
  auto random = MakeSeededRandom(seed);
  const AnswerEstimate estimate{ 1s, 2s, 100ms };
  Duration least = 1h;
  Duration most{ 0 };
  for (int i = 0; i < 200; ++i) {
    const Duration time = LoadShedder::RetryAfter(estimate, 1500ms, *random);
    least = std::min(least, time);
    most = std::max(most, time);
  }
  CHECK(least >= 600ms);
  CHECK(least < 700ms);
  CHECK(most > 2400ms);
  CHECK(most < 2600ms);
}
