#include "TestSockets.h"

#include <goldcrestkeel/Net.h>

#include <catch2/catch.hpp>

#include <condition_variable>
#include <deque>
#include <future>
#include <mutex>

using namespace goldcrestkeel;
using namespace goldcrestkeel::test;
using Catch::Matchers::Contains;

namespace {

// Keeps the exchanges for the test to answer.
class HoldingHandler : public RequestHandler
{
public:
  void Handle(std::shared_ptr<Exchange> aExchange) override
  {
    std::lock_guard lock(m_mutex);
    m_exchanges.push_back(std::move(aExchange));
    m_arrived.notify_all();
  }

  std::shared_ptr<Exchange> Next()
  {
    std::unique_lock lock(m_mutex);
    m_arrived.wait(lock, [&] { return !m_exchanges.empty(); });
    auto exchange = std::move(m_exchanges.front());
    m_exchanges.pop_front();
    return exchange;
  }

private:
  std::mutex m_mutex;
  std::condition_variable m_arrived;
  std::deque<std::shared_ptr<Exchange>> m_exchanges;
};

HttpFrontOptions
Options()
{
  HttpFrontOptions options;
  options.m_address = "127.0.0.1:0";
  options.m_maxBodyBytes = 2048;
  options.m_hostId = "h1";
  return options;
}

void
WaitForNoOpen(const HttpFront& aFront)
{
  while (aFront.Open() != 0) {
    std::this_thread::yield();
  }
}

} // namespace

// Guards against answers that reach another caller or another request.
TEST_CASE("An answer reaches only the request it belongs to", "[front]")
{
  HoldingHandler handler;
  HttpFront front(Options(), handler);
  front.Start();

  SECTION("two requests on one connection, answered in reverse order")
  {
    TestConnection caller(front.Port());
    caller.Send(MakeRequest("POST", "/first", "1"));
    const auto first = handler.Next();
    caller.Send(MakeRequest("POST", "/second", "2"));
    const auto second = handler.Next();
    second->Answer({ 200, "answer to second" });
    first->Answer({ 200, "answer to first" });
    REQUIRE_THAT(caller.Receive(), Contains("answer to first"));
    REQUIRE_THAT(caller.Receive(), Contains("answer to second"));
    WaitForNoOpen(front);
  }
  SECTION("a caller that goes away before its answer")
  {
    std::promise<void> gone;
    TestConnection leaving(front.Port());
    leaving.Send(MakeRequest("POST", "/left", "1"));
    const auto left = handler.Next();
    left->OnGone([&] { gone.set_value(); });
    leaving.Close();
    gone.get_future().wait();
    // Gets the descriptor number of the connection that has closed.
    TestConnection next(front.Port());
    next.Send(MakeRequest("POST", "/next", "2"));
    const auto request = handler.Next();
    left->Answer({ 200, "answer to left" });
    request->Answer({ 200, "answer to next" });
    REQUIRE_THAT(next.Receive(), Contains("answer to next"));
    WaitForNoOpen(front);
  }
  SECTION("callers that go away while their answers are sent")
  {
    constexpr int kRounds = 300;
    for (int i = 0; i < kRounds; ++i) {
      const std::string body = std::to_string(i);
      auto leaving = std::make_unique<TestConnection>(front.Port());
      leaving->Send(MakeRequest("POST", "/left", body));
      const auto left = handler.Next();
      std::thread answer([&] { left->Answer({ 200, "to left " + body }); });
      leaving.reset();
      TestConnection next(front.Port());
      next.Send(MakeRequest("POST", "/next", body));
      handler.Next()->Answer({ 200, "to next " + body });
      answer.join();
      REQUIRE_THAT(next.Receive(), Contains("to next " + body));
    }
    WaitForNoOpen(front);
  }
  front.Stop();
}

// Guards against a connection that is lost or kept against the caller's will.
TEST_CASE("A connection stays open unless one side wants it closed", "[front]")
{
  HoldingHandler handler;
  HttpFront front(Options(), handler);
  front.Start();
  TestConnection caller(front.Port());

  SECTION("after an answer")
  {
    caller.Send(MakeRequest("POST", "/a", "1"));
    handler.Next()->Answer({ 400, "no" });
    REQUIRE_THAT(caller.Receive(), Contains("Connection: Keep-Alive"));
    caller.Send(MakeRequest("POST", "/b", "1"));
    handler.Next()->Answer({ 200, "yes" });
    REQUIRE_THAT(caller.Receive(), Contains("yes"));
  }
  SECTION("after a body that the handler refuses")
  {
    caller.Send(MakeRequest("POST", "/a", std::string(6000, 'x')));
    const auto exchange = handler.Next();
    REQUIRE(exchange->Request().m_body.size() == 6000);
    exchange->Answer({ 413, "too large" });
    REQUIRE_THAT(caller.Receive(), Contains("too large"));
    caller.Send(MakeRequest("POST", "/b", "1"));
    handler.Next()->Answer({ 200, "yes" });
    REQUIRE_THAT(caller.Receive(), Contains("yes"));
  }
  SECTION("not while the front closes its connections")
  {
    front.CloseConnections();
    caller.Send(MakeRequest("POST", "/a", "1"));
    handler.Next()->Answer({ 200, "last" });
    REQUIRE_THAT(caller.Receive(), Contains("Connection: Close"));
  }
  front.Stop();
}
