#include "LoopbackServer.h"
#include "ReplicaConnections.h"

#include <goldcrestkeel/Edge.h>
#include <goldcrestkeel/Net.h>

#include <catch2/catch.hpp>
#include <unistd.h>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

namespace {

const std::string kAnswer = "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok";

class Listener : public CopyListener
{
public:
  void OnCopySent(CopyId, ConnectionState) override {}
  void OnCopyAnswered(CopyId, ReplicaAnswer&&) override { ++m_answers; }
  void OnCopyFailed(CopyId, CopyFailure aFailure) override
  {
    m_failures.push_back(aFailure);
  }
  void OnConnectionProven(const std::string&) override { ++m_proven; }
  void OnProvenConnectionEnded(const std::string&) override {}

  int m_answers = 0;
  int m_proven = 0;
  std::vector<CopyFailure> m_failures;
};

void
RunFor(Loop& aLoop, LoopbackServer& aServer, Duration aTime)
{
  const TimePoint end = aLoop.Now() + aTime;
  while (aLoop.Now() < end) {
    aLoop.RunOnce(false);
    aServer.Accept();
    usleep(1000);
  }
}

} // namespace

// Guards against a failing replica that attracts requests because its answers,
// whose status is 000, come fast. Relays and gathered parts are copies, too.
TEST_CASE("A status that is none fails what was sent", "[replicas]")
{
  LoopbackServer server;
  SystemClock clock;
  Loop loop(clock);
  const EdgeFieldNames names;

  SECTION("to a replica or another host")
  {
    Listener listener;
    const AnswerLimits limits;
    ReplicaConnections connections(loop, names, listener, limits);
    ReplicaRecord replica;
    replica.m_id = "r";
    replica.m_address = server.Address();
    OutgoingCopy copy;
    copy.m_copy = 1;
    copy.m_bytes = std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    SECTION("as a copy of a request")
    {
      connections.Send(replica, copy);
    }
    SECTION("as a health check")
    {
      connections.SendOverNew(replica, copy);
    }
    RunFor(loop, server, 20ms);
    server.Send(0, kAnswer);
    RunFor(loop, server, 20ms);
    REQUIRE(listener.m_failures ==
            std::vector<CopyFailure>{ CopyFailure::Malformed });
    REQUIRE(listener.m_answers == 0);
    REQUIRE(listener.m_proven == 0);
  }
  SECTION("to the store")
  {
    HttpCaller caller(loop, server.Address());
    HttpCall call;
    call.m_target = "/";
    call.m_timeout = 1s;
    std::optional<CallOutcome> outcome;
    caller.Call(call, [&](const HttpCallResult& aResult) {
      outcome = aResult.m_outcome;
    });
    RunFor(loop, server, 20ms);
    server.Send(0, kAnswer);
    RunFor(loop, server, 20ms);
    REQUIRE(outcome.has_value());
    REQUIRE(*outcome == CallOutcome::Unknown);
  }
}
