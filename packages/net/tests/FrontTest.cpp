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

// Queues the exchanges, so that the test responds to them.
class QueueingHandler : public RequestHandler
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
WaitUntilIdle(const HttpFront& aFront)
{
  while (aFront.Open() != 0) {
    std::this_thread::yield();
  }
}

} // namespace

// Guards against responses that are sent to another caller or request.
TEST_CASE("A response is sent only to its own request", "[front]")
{
  QueueingHandler handler;
  HttpFront front(Options(), handler);
  front.Start();

  SECTION("two requests on one connection with responses in reverse order")
  {
    TestConnection caller(front.Port());
    caller.Send(MakeRequest("POST", "/first", "1"));
    const auto first = handler.Next();
    caller.Send(MakeRequest("POST", "/second", "2"));
    const auto second = handler.Next();
    second->Respond({ 200, "answer to second" });
    first->Respond({ 200, "answer to first" });
    REQUIRE_THAT(caller.Receive(), Contains("answer to first"));
    REQUIRE_THAT(caller.Receive(), Contains("answer to second"));
    WaitUntilIdle(front);
  }
  SECTION("a caller that disconnects before its response")
  {
    std::promise<void> disconnected;
    TestConnection disconnecting(front.Port());
    disconnecting.Send(MakeRequest("POST", "/left", "1"));
    const auto abandoned = handler.Next();
    abandoned->OnDisconnect([&] { disconnected.set_value(); });
    disconnecting.Close();
    disconnected.get_future().wait();
    // Reuses the file descriptor of the closed connection.
    TestConnection next(front.Port());
    next.Send(MakeRequest("POST", "/next", "2"));
    const auto request = handler.Next();
    abandoned->Respond({ 200, "answer to left" });
    request->Respond({ 200, "answer to next" });
    REQUIRE_THAT(next.Receive(), Contains("answer to next"));
    WaitUntilIdle(front);
  }
  SECTION("callers that disconnect while their responses are sent")
  {
    constexpr int kRounds = 300;
    for (int i = 0; i < kRounds; ++i) {
      const std::string body = std::to_string(i);
      auto disconnecting = std::make_unique<TestConnection>(front.Port());
      disconnecting->Send(MakeRequest("POST", "/left", body));
      const auto abandoned = handler.Next();
      std::thread answer([&] {
        abandoned->Respond({ 200, "to left " + body });
      });
      disconnecting.reset();
      TestConnection next(front.Port());
      next.Send(MakeRequest("POST", "/next", body));
      handler.Next()->Respond({ 200, "to next " + body });
      answer.join();
      REQUIRE_THAT(next.Receive(), Contains("to next " + body));
    }
    WaitUntilIdle(front);
  }
  front.Stop();
}

// Guards against closing or keeping a connection contrary to the request of the
// caller or the host.
TEST_CASE("A connection stays open unless one side requests its close",
          "[front]")
{
  QueueingHandler handler;
  HttpFront front(Options(), handler);
  front.Start();
  TestConnection caller(front.Port());

  SECTION("after a response")
  {
    caller.Send(MakeRequest("POST", "/a", "1"));
    handler.Next()->Respond({ 400, "no" });
    REQUIRE_THAT(caller.Receive(), Contains("Connection: Keep-Alive"));
    caller.Send(MakeRequest("POST", "/b", "1"));
    handler.Next()->Respond({ 200, "yes" });
    REQUIRE_THAT(caller.Receive(), Contains("yes"));
  }
  SECTION("after a body that the handler rejects")
  {
    caller.Send(MakeRequest("POST", "/a", std::string(6000, 'x')));
    const auto exchange = handler.Next();
    REQUIRE(exchange->Request().m_body.size() == 6000);
    exchange->Respond({ 413, "too large" });
    REQUIRE_THAT(caller.Receive(), Contains("too large"));
    caller.Send(MakeRequest("POST", "/b", "1"));
    handler.Next()->Respond({ 200, "yes" });
    REQUIRE_THAT(caller.Receive(), Contains("yes"));
  }
  SECTION("but not after CloseConnections()")
  {
    front.CloseConnections();
    caller.Send(MakeRequest("POST", "/a", "1"));
    handler.Next()->Respond({ 200, "last" });
    REQUIRE_THAT(caller.Receive(), Contains("Connection: Close"));
  }
  front.Stop();
}
