#include "LoopbackServer.h"
#include "SessionSet.h"

#include <goldcrestkeel/Net.h>

#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kHeaderBytes = 65536;
const std::string kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/** Answers each request with a body of m_answerBytes. */
class Fixture : public CallerSession::Owner
{
public:
  explicit Fixture(const SessionLimits& aLimits = SessionLimits())
    : m_memory(aLimits)
    , m_sessions(m_loop,
                 SessionPeer::Caller,
                 m_nextSession,
                 m_address,
                 4,
                 m_memory,
                 *this)
  {
  }

  CallerLimits Limits(SessionPeer) const override
  {
    CallerLimits limits;
    limits.m_headerBytes = kHeaderBytes;
    return limits;
  }
  bool IsStopping() const override { return false; }
  void OnRequest(CallerSession& aSession, RequestMessage&&) override
  {
    ++m_requests;
    CallerReply reply;
    reply.m_body.assign(m_answerBytes, 'x');
    aSession.Reply(std::move(reply));
  }
  void OnRefused(CallerSession&, const SessionRefusal& aRefusal) override
  {
    m_refusals.push_back(aRefusal.m_reason);
  }
  void OnPeerDisconnected(CallerSession&) override {}
  void OnSessionEnded(CallerSession& aSession) override
  {
    m_sessions.Remove(aSession);
  }

  void Turn(int aTimes = 5)
  {
    for (int i = 0; i < aTimes; ++i) {
      m_loop.RunOnce(false);
    }
  }
  void CheckTimeouts(Duration aLater)
  {
    for (CallerSession* session : m_sessions.List()) {
      session->CheckTimeouts(m_loop.Now() + aLater);
    }
  }

  SystemClock m_clock;
  Loop m_loop{ m_clock };
  std::string m_address = LoopbackServer().Address();
  SessionId m_nextSession = 1;
  SessionMemory m_memory;
  SessionSet m_sessions;
  std::size_t m_answerBytes = 2;
  int m_requests = 0;
  std::vector<RefusalReason> m_refusals;
};

/** Client that reads only when it is told to. */
class Client
{
public:
  explicit Client(Fixture& aFixture)
    : m_fixture(aFixture)
  {
    const sockaddr_in address = ParseAddress(aFixture.m_address);
    REQUIRE(connect(m_socket,
                    reinterpret_cast<const sockaddr*>(&address),
                    sizeof address) == 0);
    aFixture.Turn();
  }
  ~Client() { close(m_socket); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void Send(std::string_view aBytes)
  {
    while (!aBytes.empty()) {
      const ssize_t count = send(
        m_socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count > 0) {
        aBytes.remove_prefix(static_cast<std::size_t>(count));
      }
      m_fixture.Turn();
    }
  }
  /** Reads what arrives in many turns; returns the number of bytes. */
  std::size_t Read()
  {
    std::size_t total = 0;
    std::array<char, 65536> buffer{};
    for (int i = 0; i < 1000; ++i) {
      const ssize_t count =
        recv(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
      if (count > 0) {
        m_begin.append(
          buffer.data(),
          std::min<std::size_t>(64, static_cast<std::size_t>(count)));
        total += static_cast<std::size_t>(count);
      }
      m_fixture.Turn(1);
    }
    return total;
  }
  /** First bytes of what was read. */
  const std::string& Begin() const { return m_begin; }

private:
  Fixture& m_fixture;
  int m_socket = socket(AF_INET, SOCK_STREAM, 0);
  std::string m_begin;
};

std::string
FilledHead()
{
  std::string head = "GET / HTTP/1.1\r\nHost: h\r\n";
  while (head.size() + 6 < kHeaderBytes) {
    head += "a:\r\n";
  }
  return head;
}

} // namespace

// Guards against limits that refuse requests within the configuration.
TEST_CASE("The largest requests within the limits are served", "[session]")
{
  Fixture fixture;
  Client client(fixture);
  SECTION("with a header of the shortest fields")
  {
    client.Send(FilledHead() + "\r\n");
  }
  SECTION("with a body in chunks of one byte")
  {
    std::string request =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::uint32_t i = 0; i < CallerLimits().m_bodyBytes; ++i) {
      request += "1\r\nx\r\n";
    }
    client.Send(request + "0\r\n\r\n");
  }
  client.Read();
  REQUIRE(client.Begin().starts_with("HTTP/1.1 200"));
  REQUIRE(fixture.m_refusals.empty());
}

// Guards against a process that grows while callers do not read.
TEST_CASE("A caller does not read its answers", "[session]")
{
  Fixture fixture;
  // More than the buffers of the kernel take.
  fixture.m_answerBytes = 24 << 20;
  Client client(fixture);
  client.Send(kRequest + kRequest);
  REQUIRE(fixture.m_requests == 1);

  SECTION("and no further request is served until it does")
  {
    client.Read();
    REQUIRE(fixture.m_requests == 2);
  }
  SECTION("for so long that its connection is closed")
  {
    fixture.CheckTimeouts(29s);
    REQUIRE(fixture.m_sessions.size() == 1);
    fixture.CheckTimeouts(31s);
    REQUIRE(fixture.m_sessions.size() == 0);
    REQUIRE(fixture.m_refusals ==
            std::vector<RefusalReason>{ RefusalReason::AnswerUnread });
    REQUIRE(fixture.m_memory.m_budget.HeldBytes() == 0);
  }
  SECTION("and it is cut off if others need the memory")
  {
    Client other(fixture);
    other.Send(kRequest);
    REQUIRE(fixture.m_refusals ==
            std::vector<RefusalReason>{ RefusalReason::MemoryFull });
    REQUIRE(fixture.m_requests == 2);
  }
}

// Guards against header fields that count with their text only, 4 bytes each.
TEST_CASE("Incomplete requests hold all the memory", "[session]")
{
  SessionLimits limits;
  limits.m_totalBytes = 1024 * 1024;
  Fixture fixture(limits);
  Client client(fixture);
  client.Send(FilledHead());
  client.Read();
  REQUIRE(fixture.m_refusals ==
          std::vector<RefusalReason>{ RefusalReason::MemoryFull });
  REQUIRE(client.Begin().starts_with("HTTP/1.1 503"));

  SECTION("and an ordinary one is served")
  {
    Client ordinary(fixture);
    ordinary.Send(kRequest);
    ordinary.Read();
    REQUIRE(ordinary.Begin().starts_with("HTTP/1.1 200"));
  }
}

// Guards against silent connections that take all descriptors.
TEST_CASE("The number of connections is limited", "[session]")
{
  Fixture fixture;
  Client used(fixture);
  used.Send(kRequest);
  used.Read();
  Client first(fixture);
  Client second(fixture);
  Client third(fixture);
  REQUIRE(fixture.m_sessions.size() == 4);

  SECTION("and the one that never sent a request gives way")
  {
    Client other(fixture);
    other.Send(kRequest);
    REQUIRE(fixture.m_sessions.size() == 4);
    REQUIRE(fixture.m_requests == 2);
    used.Send(kRequest);
    REQUIRE(fixture.m_requests == 3);
    REQUIRE(fixture.m_refusals ==
            std::vector<RefusalReason>{ RefusalReason::ConnectionsFull });
  }
}
