#include <goldcrestkeel/Net.h>

#include <catch2/catch.hpp>

using namespace goldcrestkeel;

// Guards against a timer that is always due and keeps all else from running.
TEST_CASE("A timer that sets itself again does not stop the loop", "[loop]")
{
  SystemClock clock;
  HttpClient client;
  EventLoop loop(clock, client);
  int fired = 0;
  std::function<void()> again = [&] {
    ++fired;
    loop.At(TimePoint{}, again);
  };
  loop.At(TimePoint{}, again);
  bool posted = false;
  loop.RunOnce(Duration{ 0 });
  loop.Post([&] { posted = true; });
  loop.RunOnce(Duration{ 0 });
  REQUIRE(posted);
  REQUIRE(fired == 2);
}

TEST_CASE("Timers fire in the order of their times", "[loop]")
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
  SECTION("one that is cancelled does not fire")
  {
    loop.Cancel(cancelled);
    loop.RunOnce(Duration{ 0 });
    REQUIRE(order == "ab");
  }
  SECTION("one that has fired can be cancelled without effect")
  {
    loop.RunOnce(Duration{ 0 });
    REQUIRE(order == "xab");
  }
}
