#include "LoopbackServer.h"

#include <goldcrestkeel/Edge.h>
#include <goldcrestkeel/Net.h>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>
#include <vector>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

namespace {

/** Server for one connection, whose answer is sent when the test calls
 *  Answer(). */
class ManualServer
{
public:
  ManualServer()
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    REQUIRE(bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(listen(m_listener, 1) == 0);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  }
  ~ManualServer()
  {
    close(m_connection);
    close(m_listener);
  }
  ManualServer(const ManualServer&) = delete;
  ManualServer& operator=(const ManualServer&) = delete;

  void Answer()
  {
    m_connection = accept(m_listener, nullptr, nullptr);
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    REQUIRE(write(m_connection, text.data(), text.size()) ==
            static_cast<ssize_t>(text.size()));
  }

  int m_listener = socket(AF_INET, SOCK_STREAM, 0);
  int m_connection = -1;
  std::string m_address;
};

std::string
InterimAnswers()
{
  std::string answers;
  while (answers.size() < 65536) {
    answers += "HTTP/1.1 100 Continue\r\n\r\n";
  }
  return answers;
}

} // namespace

// Guards against a crash with std::bad_function_call when an answer arrives
// right after its call has timed out (soak seed 118).
TEST_CASE("An answer that arrives after the timeout is ignored", "[caller]")
{
  ManualServer server;
  SystemClock clock;
  Loop loop(clock);
  HttpCaller caller(loop, server.m_address);
  int ended = 0;
  HttpCall call;
  call.m_target = "/late";
  call.m_timeout = 20ms;
  caller.Call(call, [&](const HttpCallResult& aResult) {
    ++ended;
    REQUIRE(aResult.m_outcome == CallOutcome::Unknown);
  });
  while (ended == 0) {
    loop.RunOnce(true);
  }
  server.Answer();
  std::this_thread::sleep_for(5ms);
  loop.RunOnce(false);
  loop.RunOnce(false);
  REQUIRE(ended == 1);
}

// Guards against a host that runs out of memory while the store or another host
// sends without end.
TEST_CASE("Calls whose answers do not end hold a bounded number of bytes",
          "[caller]")
{
  constexpr std::size_t kCalls = 8;
  const auto [head, more] = GENERATE(table<std::string, std::string>(
    { { "HTTP/1.1 200 OK\r\n\r\n", std::string(65536, 'x') },
      { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "10000\r\n" + std::string(65536, 'x') + "\r\n" },
      { "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        std::string(65536, 'x') },
      { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10;",
        std::string(65536, 'x') },
      { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "A: b\r\n" },
      { "HTTP/1.1 200 OK\r\nA: ", std::string(65536, 'x') },
      { "HTTP/1.1 200 OK\r\n", "A: b\r\n" },
      { "HTTP/1.1 100 Continue\r\n\r\n", InterimAnswers() },
      { "junk", std::string(65536, 'x') } }));
  INFO(head);
  const std::uint64_t limit = GENERATE(64 * 1024, kMaxAnswerBytes);
  LoopbackServer server;
  SystemClock clock;
  Loop loop(clock);
  HttpCaller caller(loop, server.Address());
  std::vector<std::string> reasons;
  for (std::size_t i = 0; i < kCalls; ++i) {
    HttpCall call;
    call.m_target = "/endless";
    // Must not end the call first on a machine that is busy.
    call.m_timeout = 120s;
    call.m_maxAnswerBytes = limit;
    caller.Call(call, [&](const HttpCallResult& aResult) {
      REQUIRE(aResult.m_outcome == CallOutcome::Unknown);
      reasons.emplace_back(aResult.m_reason);
    });
  }
  std::size_t open = 0;
  while (open < kCalls) {
    loop.RunOnce(false);
    open = server.Accept();
  }
  for (std::size_t i = 0; i < kCalls; ++i) {
    server.Send(i, head);
  }
  while (reasons.size() < kCalls) {
    for (std::size_t i = 0; i < kCalls; ++i) {
      server.Send(i, more);
    }
    loop.RunOnce(false);
    REQUIRE(caller.HeldBytes() <= kMaxAnswerBytes);
  }
  for (const std::string& one : reasons) {
    INFO(one);
    REQUIRE((one == "too_large" || one == "malformed"));
  }
}
