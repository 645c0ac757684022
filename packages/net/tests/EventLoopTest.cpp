#include <goldcrestkeel/Net.h>

#include <catch2/catch.hpp>

using namespace goldcrestkeel;

// Guards against a timer that is always due and starves posted tasks and
// transfers.
TEST_CASE("A timer that reschedules itself does not block the loop", "[loop]")
{
  SystemClock clock;
  HttpClient client;
  EventLoop loop(clock, client);
  int fired = 0;
  std::function<void()> reschedule = [&] {
    ++fired;
    loop.At(TimePoint{}, reschedule);
  };
  loop.At(TimePoint{}, reschedule);
  bool posted = false;
  loop.RunOnce(Duration{ 0 });
  loop.Post([&] { posted = true; });
  loop.RunOnce(Duration{ 0 });
  REQUIRE(posted);
  REQUIRE(fired == 2);
}

TEST_CASE("Timers fire in the order of their due times", "[loop]")
{
  SystemClock clock;
  HttpClient client;
  EventLoop loop(clock, client);
  std::string order;
  const TimerId cancelled = loop.At(TimePoint{}, [&] { order += "x"; });
  loop.At(TimePoint{} + Duration{ 2 }, [&] { order += "b"; });
  loop.At(TimePoint{} + Duration{ 1 }, [&] {
    order += "a";
    loop.Cancel(cancelled);
  });
  SECTION("a cancelled timer does not fire")
  {
    loop.Cancel(cancelled);
    loop.RunOnce(Duration{ 0 });
    REQUIRE(order == "ab");
  }
  SECTION("cancelling a timer that has fired has no effect")
  {
    loop.RunOnce(Duration{ 0 });
    REQUIRE(order == "xab");
  }
}
