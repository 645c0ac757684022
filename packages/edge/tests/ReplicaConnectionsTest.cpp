#include "ReplicaConnections.h"

#include "CopyWriter.h"
#include "LoopbackServer.h"

#include <goldcrestkeel/Edge.h>
#include <goldcrestkeel/Net.h>

#include <catch2/catch.hpp>

#include <fstream>
#include <map>
#include <thread>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

namespace {

class Fixture : public CopyListener
{
public:
  void OnCopySent(CopyId, ConnectionState aConnection) override
  {
    m_sentOn.push_back(aConnection);
  }
  void OnCopyAnswered(CopyId aCopy, ReplicaAnswer&& aAnswer) override
  {
    m_answers[aCopy] = std::move(aAnswer);
  }
  void OnCopyFailed(CopyId aCopy, CopyFailure aFailure) override
  {
    m_failures[aCopy] = aFailure;
  }
  void OnConnectionProven(const std::string& aId) override
  {
    m_proven.push_back(aId);
  }
  void OnProvenConnectionEnded(const std::string& aId) override
  {
    m_ended.push_back(aId);
  }

  ReplicaRecord Record() const
  {
    ReplicaRecord replica;
    replica.m_id = "r";
    replica.m_address = m_server.Address();
    return replica;
  }

  void Send(CopyId aCopy, const std::string& aRequestId)
  {
    m_connections.Send(
      Record(),
      { aCopy, std::string("GET / HTTP/1.1\r\n\r\n"), aRequestId, false });
    Turn();
  }

  /** Handles what is due on both sides. */
  void Turn()
  {
    for (int i = 0; i < 4; ++i) {
      m_loop.RunOnce(false);
      m_server.Accept();
    }
  }

  LoopbackServer m_server;
  EdgeFieldNames m_names{ "Id",    "Deadline", "Target",  "Stamp",  "Load",
                          "Limit", "Leaving",  "Not-Run", "Shards", "Missing" };
  SystemClock m_clock;
  Loop m_loop{ m_clock };
  AnswerLimits m_limits;
  ReplicaConnections m_connections{ m_loop, m_names, *this, m_limits };
  std::map<CopyId, ReplicaAnswer> m_answers;
  std::map<CopyId, CopyFailure> m_failures;
  std::vector<ConnectionState> m_sentOn;
  std::vector<std::string> m_proven;
  std::vector<std::string> m_ended;
};

std::string
Answer(const std::string& aId, const std::string& aBody)
{
  const std::string id = aId.empty() ? "" : "Id: " + aId + "\r\n";
  return "HTTP/1.1 200 OK\r\n" + id +
         "Stamp: s\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

/** Resident memory of this process, in bytes. */
std::size_t
ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * 4096;
}

} // namespace

TEST_CASE("A second copy of an answer is not taken for the next one",
          "[replicas]")
{
  Fixture fixture;
  fixture.Send(1, "one");
  fixture.m_server.Send(0, Answer("one", "first"));
  fixture.Turn();
  REQUIRE(fixture.m_answers.at(1).m_body == "first");
  fixture.Send(2, "two");
  REQUIRE(fixture.m_server.Accept() == 1);

  SECTION("if it carries the id of its request")
  {
    fixture.m_server.Send(0, Answer("one", "first"));
    fixture.Turn();
    REQUIRE_FALSE(fixture.m_answers.contains(2));
    REQUIRE_FALSE(fixture.m_failures.contains(2));
    fixture.m_server.Send(0, Answer("two", "second"));
    fixture.Turn();
    REQUIRE(fixture.m_answers.at(2).m_body == "second");
  }

  SECTION("if it is glued to the next one, and that comes in pieces")
  {
    const std::string both = Answer("one", "first") + Answer("two", "second");
    fixture.m_server.Send(0, both.substr(0, both.size() - 3));
    fixture.Turn();
    REQUIRE_FALSE(fixture.m_answers.contains(2));
    fixture.m_server.Send(0, both.substr(both.size() - 3));
    fixture.Turn();
    REQUIRE(fixture.m_answers.at(2).m_body == "second");
  }

  // The replica has echoed ids on this connection, so that an answer without
  // one cannot be attributed to a request.
  SECTION("if it carries no id")
  {
    fixture.m_server.Send(0, Answer("", "first"));
    fixture.Turn();
    REQUIRE_FALSE(fixture.m_answers.contains(2));
    REQUIRE(fixture.m_failures.at(2) == CopyFailure::Malformed);
  }

  SECTION("nor if it says that the request did not run")
  {
    fixture.m_server.Send(
      0, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    fixture.Turn();
    REQUIRE_FALSE(fixture.m_answers.contains(2));
    REQUIRE(fixture.m_failures.at(2) == CopyFailure::Malformed);
  }
}

// Guards against a second copy of a rejection that is taken for the answer to
// the repeat of the request, which carries the same id: the repeat runs, is
// counted as not run, and is sent a third time.
TEST_CASE("A request is sent again after its replica rejected it", "[replicas]")
{
  const std::string rejection =
    GENERATE(as<std::string>(), "503", "429", "421", "408");
  const std::string bytes = "HTTP/1.1 " + rejection +
                            " Any\r\nId: one\r\nNot-Run: 1\r\n"
                            "Content-Length: 0\r\n\r\n";
  CAPTURE(rejection);
  Fixture fixture;
  fixture.Send(1, "one");
  fixture.m_server.Send(0, bytes);
  fixture.Turn();
  REQUIRE(fixture.m_answers.at(1).m_notRun);

  SECTION("over another connection, so that the second copy belongs to nothing")
  {
    fixture.Send(2, "one");
    REQUIRE(fixture.m_server.Accept() == 2);
    fixture.m_server.Send(0, bytes);
    fixture.Turn();
    REQUIRE_FALSE(fixture.m_answers.contains(2));
    REQUIRE_FALSE(fixture.m_failures.contains(2));
    fixture.m_server.Send(1, Answer("one", "done"));
    fixture.Turn();
    REQUIRE(fixture.m_answers.at(2).m_body == "done");
  }

  SECTION("also if the connection has carried another request since")
  {
    fixture.Send(2, "two");
    REQUIRE(fixture.m_server.Accept() == 1);
    fixture.m_server.Send(0, Answer("two", "other"));
    fixture.Turn();
    fixture.Send(3, "one");
    REQUIRE(fixture.m_server.Accept() == 2);

    SECTION("which is then free for the next one")
    {
      fixture.Send(4, "four");
      REQUIRE(fixture.m_server.Accept() == 2);
    }
  }

  SECTION("and over the same one once the request has ended")
  {
    Fixture ended;
    ended.m_connections.Send(ended.Record(),
                             { 1,
                               std::string("GET / HTTP/1.1\r\n\r\n"),
                               "one",
                               false,
                               ended.m_clock.Now() + 5ms });
    ended.Turn();
    ended.m_server.Send(0, bytes);
    ended.Turn();
    std::this_thread::sleep_for(10ms);
    ended.Turn();
    ended.Send(2, "one");
    REQUIRE(ended.m_server.Accept() == 1);
  }
}

TEST_CASE("A replica that echoes no ids is understood", "[replicas]")
{
  Fixture fixture;
  for (CopyId copy = 1; copy <= 2; ++copy) {
    fixture.Send(copy, std::to_string(copy));
    fixture.m_server.Send(0, Answer("", "body"));
    fixture.Turn();
    REQUIRE(fixture.m_answers.at(copy).m_body == "body");
  }
}

// Guards against a host that runs out of memory, 160 MB at the smallest, while
// 20 replicas send without end.
TEST_CASE("Answers without end take a bounded amount of memory", "[replicas]")
{
  constexpr std::size_t kCopies = 200;
  constexpr std::size_t kMaxGrowth = 16 << 20;
  const auto [name, head, more] =
    GENERATE(table<std::string, std::string, std::string>(
      { { "a body without a length",
          "HTTP/1.1 200 OK\r\n\r\n",
          std::string(65536, 'x') },
        { "a body in chunks",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
          "10000\r\n" + std::string(65536, 'x') + "\r\n" },
        { "a chunk extension",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10;",
          std::string(65536, 'x') },
        { "a header field", "HTTP/1.1 200 OK\r\nA: ", std::string(65536, 'x') },
        { "header fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n" },
        { "interim answers",
          "HTTP/1.1 100 Continue\r\n\r\n",
          "HTTP/1.1 100 Continue\r\n\r\n" },
        { "junk", "junk", std::string(65536, 'x') } }));
  INFO(name);
  Fixture fixture;
  for (CopyId copy = 1; copy <= kCopies; ++copy) {
    fixture.Send(copy, "id");
  }
  REQUIRE(fixture.m_server.Accept() == kCopies);
  const std::size_t before = ResidentBytes();
  std::size_t most = before;
  for (std::size_t i = 0; i < kCopies; ++i) {
    fixture.m_server.Send(i, head);
  }
  const TimePoint end = fixture.m_clock.Now() + 1s;
  while (fixture.m_clock.Now() < end && fixture.m_failures.size() < kCopies) {
    for (std::size_t i = 0; i < kCopies; ++i) {
      fixture.m_server.Send(i, more);
    }
    fixture.Turn();
    most = std::max(most, ResidentBytes());
    REQUIRE(fixture.m_connections.HeldBytes() <= fixture.m_limits.m_totalBytes);
  }
  REQUIRE(most - before <= kMaxGrowth);
  REQUIRE(fixture.m_answers.empty());
  // Endless bodies are ended for their size, the rest as malformed.
  for (const auto& [copy, failure] : fixture.m_failures) {
    REQUIRE(failure == CopyFailure::Malformed);
  }
}

TEST_CASE("The request limit that a replica names is read", "[replicas]")
{
  Fixture fixture;
  fixture.Send(1, "one");
  const auto answer = [&](const std::string& aLimit) {
    fixture.m_server.Send(0,
                          "HTTP/1.1 200 OK\r\nLimit: " + aLimit +
                            "\r\nContent-Length: 0\r\n\r\n");
    fixture.Turn();
    return fixture.m_answers.at(1);
  };

  SECTION("as a decimal number")
  {
    REQUIRE(answer("35.2").m_requestLimit == 35.2);
  }
  SECTION("and other bytes are reported as invalid")
  {
    const ReplicaAnswer invalid = answer("many");
    REQUIRE_FALSE(invalid.m_requestLimit);
    REQUIRE(invalid.m_invalidRequestLimit);
  }
  SECTION("and so are numbers that are no rate")
  {
    REQUIRE(
      answer(GENERATE("-1", "nan", "inf", "1e999")).m_invalidRequestLimit);
  }
}

// Guards against a short or empty body that is passed on as a whole answer.
TEST_CASE("An answer that ends early is not taken for a whole one",
          "[replicas]")
{
  const std::string chunked =
    "HTTP/1.1 200 OK\r\nStamp: s\r\nId: one\r\nTransfer-Encoding: chunked\r\n"
    "\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string whole = GENERATE_COPY(Answer("one", "abcde"),
                                          Answer("one", ""),
                                          chunked,
                                          interim + Answer("one", "abcde"));
  for (std::size_t length = 0; length < whole.size(); ++length) {
    Fixture fixture;
    fixture.Send(1, "one");
    fixture.m_server.Send(0, whole.substr(0, length));
    fixture.Turn();
    fixture.m_server.EndStream(0);
    fixture.Turn();
    CAPTURE(whole.substr(0, length));
    CHECK_FALSE(fixture.m_answers.contains(1));
    CHECK(fixture.m_failures.contains(1));
  }

  SECTION("even if it has no length, while its head is not complete")
  {
    const std::string head = "HTTP/1.1 200 OK\r\nId: one\r\nStamp: s\r\n\r\n";
    for (std::size_t length = 0; length < head.size(); ++length) {
      Fixture fixture;
      fixture.Send(1, "one");
      fixture.m_server.Send(0, head.substr(0, length));
      fixture.Turn();
      fixture.m_server.EndStream(0);
      fixture.Turn();
      CAPTURE(length);
      CHECK_FALSE(fixture.m_answers.contains(1));
      CHECK(fixture.m_failures.contains(1));
    }
  }
}

TEST_CASE("What a replica says of itself in an answer is read", "[replicas]")
{
  Fixture fixture;
  fixture.Send(1, "one");
  const auto answer = [&](const std::string& aStatus,
                          const std::string& aField) {
    fixture.m_server.Send(0,
                          "HTTP/1.1 " + aStatus + " Any\r\n" + aField +
                            "\r\nContent-Length: 0\r\n\r\n");
    fixture.Turn();
    return fixture.m_answers.at(1);
  };

  SECTION("that it leaves")
  {
    REQUIRE(answer(GENERATE("200", "500", "503"), "Leaving: 1").m_leaving);
  }
  SECTION("or that it does not")
  {
    REQUIRE_FALSE(answer("200", GENERATE("Other: 1", "Leaving: 0")).m_leaving);
  }
  SECTION("that it wants no request for some time")
  {
    REQUIRE(answer("503", "Retry-After: 3").m_restFor == 3s);
  }
  SECTION("or a fraction of a second")
  {
    REQUIRE(answer("503", "Retry-After: 0.25").m_restFor == 250ms);
  }
  SECTION("but only if it turns the request away")
  {
    REQUIRE_FALSE(answer("500", "Retry-After: 3").m_restFor);
  }
  SECTION("and nothing that is no time")
  {
    REQUIRE_FALSE(answer("503",
                         GENERATE("Retry-After: -1",
                                  "Retry-After: nan",
                                  "Retry-After: Sat, 05 Dec 2026 10:00:00 GMT",
                                  "Retry-After: 0"))
                    .m_restFor);
  }
  // Guards against an overflow that ends in the past.
  SECTION("and a time without end is clamped")
  {
    REQUIRE(answer("503", GENERATE("Retry-After: inf", "Retry-After: 1e300"))
              .m_restFor == 24h);
  }
}

TEST_CASE("A health check goes over a new connection", "[replicas]")
{
  Fixture fixture;
  fixture.Send(1, "one");
  fixture.m_server.Send(0, Answer("one", "first"));
  fixture.Turn();
  const std::string bytes =
    WriteHealthCheck("/healthz", fixture.Record().m_address);
  fixture.m_connections.SendOverNew(fixture.Record(), { 2, bytes, "", false });
  fixture.Turn();
  const std::vector<std::string> once{ "r" };
  // An established connection proves nothing.
  REQUIRE(fixture.m_proven == once);
  REQUIRE(fixture.m_sentOn == std::vector<ConnectionState>{
                                ConnectionState::New, ConnectionState::New });
  REQUIRE(fixture.m_server.Receive(1) == bytes);
  REQUIRE(bytes.starts_with("GET /healthz HTTP/1.1\r\nHost: 127.0.0.1:"));

  SECTION("and ends with any answer, which proves the connection")
  {
    fixture.m_server.Send(1, Answer("", "fine"));
    fixture.Turn();
    REQUIRE(fixture.m_answers.contains(2));
    REQUIRE(fixture.m_proven == std::vector<std::string>{ "r", "r" });
    fixture.Send(3, "three");
    REQUIRE(fixture.m_sentOn.back() == ConnectionState::Proven);

    // Guards against a caller that gets the answer to a health check, or an
    // error while its own answer is ready.
    SECTION("but a second copy, late, is not the answer to the next request")
    {
      fixture.m_server.Send(1, Answer("", "fine"));
      fixture.Turn();
      REQUIRE_FALSE(fixture.m_answers.contains(3));
      REQUIRE_FALSE(fixture.m_failures.contains(3));
      fixture.m_server.Send(1, Answer("three", "third"));
      fixture.Turn();
      REQUIRE(fixture.m_answers.at(3).m_body == "third");

      SECTION("and any later one without an id ends the connection")
      {
        fixture.Send(4, "four");
        fixture.m_server.Send(1, Answer("", "fine"));
        fixture.Turn();
        REQUIRE(fixture.m_failures.at(4) == CopyFailure::Malformed);
      }
    }

    SECTION("so that its end is reported")
    {
      fixture.m_server.EndStream(1);
      fixture.Turn();
      REQUIRE(fixture.m_ended == once);
    }
  }

  SECTION(
    "and with the connection, whose end is not reported without an answer")
  {
    fixture.m_server.EndStream(1);
    fixture.Turn();
    REQUIRE(fixture.m_failures.at(2) == CopyFailure::Broken);
    REQUIRE(fixture.m_ended.empty());
  }
}

// Guards against copies on a connection that something on the way accepted,
// while one that works is free.
TEST_CASE("A connection that has brought an answer is used first", "[replicas]")
{
  Fixture fixture;
  fixture.Send(1, "one");
  fixture.m_server.Send(0, Answer("one", "first"));
  fixture.Turn();
  // A newer connection is established, and used for nothing.
  fixture.m_connections.SendOverNew(fixture.Record(),
                                    { 3, std::string(), "three", false });
  fixture.Turn();
  fixture.m_connections.Abort(3);
  fixture.Send(4, "four");
  REQUIRE(fixture.m_sentOn.back() == ConnectionState::Proven);
}

// Guards against pools that take all descriptors of the process.
TEST_CASE("As many connections are open as allowed", "[replicas]")
{
  Fixture fixture;
  fixture.m_connections.SetLimit(2);
  fixture.Send(1, "one");
  fixture.Send(2, "two");
  REQUIRE(fixture.m_connections.OpenCount() == 2);
  REQUIRE(fixture.m_connections.BusyCount() == 2);

  LoopbackServer other;
  ReplicaRecord replica = fixture.Record();
  replica.m_id = "other";
  replica.m_address = other.Address();
  const auto sendToOther = [&] {
    fixture.m_connections.Send(
      replica, { 3, std::string("GET / HTTP/1.1\r\n\r\n"), "three" });
    fixture.Turn();
  };

  SECTION("so one without a copy is closed for another replica")
  {
    fixture.m_server.Send(0, Answer("one", "first"));
    fixture.Turn();
    sendToOther();
    REQUIRE(fixture.m_connections.OpenCount() == 2);
    REQUIRE(fixture.m_ended.size() == 1);
    REQUIRE(fixture.m_failures.empty());
  }

  SECTION("but none that has a copy")
  {
    sendToOther();
    REQUIRE(fixture.m_connections.OpenCount() == 2);
    REQUIRE(fixture.m_failures.at(3) == CopyFailure::NoConnection);
  }
}
