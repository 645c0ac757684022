#include "TestSockets.h"

#include <goldcrestkeel/Net.h>

#include <Peer.h>
#include <catch2/catch.hpp>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

using namespace goldcrestkeel;
using namespace goldcrestkeel::test;
using Catch::Matchers::Contains;

namespace {

constexpr Duration kLongTimeout{ 20000000 };
constexpr Duration kRound{ 20000 };
const PeerKey kOldKey{ "k1", "0123456789abcdef" };
const PeerKey kNewKey{ "k2", "fedcba9876543210" };

struct HandClock : Clock
{
  TimePoint Now() const override { return SystemClock().Now(); }
  WallTime WallNow() const override { return m_wall; }
  WallTime m_wall = 1000000;
};

// Accepts configuration pushes and counts them.
struct CountingHandler : PeerRequestHandler
{
  void Handle(const std::string& aSender,
              const peer::PeerRequest& aRequest,
              std::function<void(peer::PeerReply&&)> aReply) override
  {
    ++m_requests;
    m_sender = aSender;
    peer::Ack ack;
    ack.accepted = aRequest.__isset.configPush;
    peer::PeerReply reply;
    reply.__set_ack(ack);
    aReply(std::move(reply));
  }
  int m_requests = 0;
  std::string m_sender;
};

peer::PeerRequest
PushRequest(const std::string& aDocument)
{
  peer::ConfigPush push;
  push.revision = 7;
  push.document = aDocument;
  peer::PeerRequest request;
  request.__set_configPush(push);
  return request;
}

struct Fixture
{
  Fixture() { m_server.Start(); }
  ~Fixture()
  {
    m_client.Stop();
    m_server.Stop();
  }

  PeerClient::Result Call(const std::string& aAddress,
                          const peer::PeerRequest& aRequest,
                          Duration aTimeout = kLongTimeout)
  {
    std::optional<PeerClient::Result> result;
    m_client.Call(aAddress,
                  aRequest,
                  aTimeout,
                  [&](PeerClient::Result&& aResult) { result = aResult; });
    while (!result) {
      m_loop.RunOnce(kRound);
    }
    return *result;
  }

  // One raw exchange, as another host would send it.
  void Send(const peer::Envelope& aEnvelope)
  {
    using namespace apache::thrift;
    const std::string address = m_server.Address();
    std::optional<std::string> outcome;
    std::thread sender([&] {
      const auto socket = std::make_shared<transport::TSocket>(
        "127.0.0.1", std::stoi(address.substr(address.rfind(':') + 1)));
      const auto framed = std::make_shared<transport::TFramedTransport>(socket);
      framed->open();
      peer::PeerClient client(
        std::make_shared<protocol::TCompactProtocol>(framed));
      peer::Envelope reply;
      std::string text = "accepted";
      try {
        client.exchange(reply, aEnvelope);
      } catch (const peer::Refused& refused) {
        text = refused.reason;
      }
      m_loop.Post([&outcome, text] { outcome = text; });
    });
    while (!outcome) {
      m_loop.RunOnce(kRound);
    }
    sender.join();
    m_outcome = *outcome;
  }

  HandClock m_clock;
  HttpClient m_http;
  EventLoop m_loop{ m_clock, m_http };
  Metrics m_metrics;
  EnvelopeAuthenticator m_serverAuthenticator{ "server",
                                               { kOldKey, kNewKey },
                                               m_clock };
  EnvelopeAuthenticator m_clientAuthenticator{ "client", { kOldKey }, m_clock };
  CountingHandler m_handler;
  PeerServer m_server{ "127.0.0.1:0",
                       m_loop,
                       m_serverAuthenticator,
                       m_metrics,
                       m_handler };
  PeerClient m_client{ m_loop, m_clientAuthenticator, 2 };
  std::string m_outcome;
};

std::string
Encode(const peer::PeerRequest& aRequest)
{
  using namespace apache::thrift;
  const auto buffer = std::make_shared<transport::TMemoryBuffer>();
  protocol::TCompactProtocol protocol(buffer);
  aRequest.write(&protocol);
  return buffer->getBufferAsString();
}

} // namespace

TEST_CASE_METHOD(Fixture, "Entry hosts call each other", "[peer]")
{
  SECTION("a request and its reply, repeatedly on one connection")
  {
    for (int i = 0; i < 3; ++i) {
      const auto result =
        Call(m_server.Address(), PushRequest(std::string(1000000, 'x')));
      REQUIRE(std::get<peer::PeerReply>(result).ack.accepted);
    }
    REQUIRE(m_handler.m_requests == 3);
    REQUIRE(m_handler.m_sender == "client");
  }
  // Guards against a dead host that is taken for a slow one.
  SECTION("a refused connection")
  {
    REQUIRE(
      std::get<PeerCallFailure>(Call(ClosedAddress(), PushRequest("x"))) ==
      PeerCallFailure::ConnectionRefused);
  }
  // Guards against a lost reply that is taken for "never sent".
  SECTION("a connection that closes without a reply")
  {
    ScriptedServer server([](int, int, const std::string&) { return ""; });
    REQUIRE(std::get<PeerCallFailure>(
              Call(server.Address(), PushRequest("\r\n\r\n"))) ==
            PeerCallFailure::NoReply);
  }
  SECTION("a time-out before the call is tried")
  {
    REQUIRE(std::get<PeerCallFailure>(
              Call(m_server.Address(), PushRequest("x"), Duration{ 0 })) ==
            PeerCallFailure::NotSent);
  }
  SECTION("both keys are valid during a rotation")
  {
    m_clientAuthenticator.SetKeys({ kNewKey, kOldKey });
    const auto result = Call(m_server.Address(), PushRequest("x"));
    REQUIRE(std::get<peer::PeerReply>(result).ack.accepted);
  }
}

// Guards against frames of strangers, and of peers at the wrong time or place.
TEST_CASE_METHOD(Fixture, "Bad frames are dropped and counted", "[peer]")
{
  const peer::Envelope good = m_clientAuthenticator.SignRequest(
    m_server.Address(), Encode(PushRequest("x")));
  const auto dropped = [&](const std::string& aReason) {
    return "goldcrestkeel_peer_frames_dropped_total{reason=\"" + aReason +
           "\"} 1";
  };

  SECTION("a good one first")
  {
    Send(good);
    REQUIRE(m_outcome == "accepted");
    Send(good);
    REQUIRE(m_outcome == "replay");
    REQUIRE(m_handler.m_requests == 1);
    REQUIRE_THAT(m_metrics.Text(), Contains(dropped("replay")));
  }
  SECTION("a changed payload")
  {
    peer::Envelope changed = good;
    changed.payload.back() ^= 1;
    Send(changed);
    REQUIRE(m_outcome == "unauthenticated");
  }
  SECTION("a changed sender")
  {
    peer::Envelope changed = good;
    changed.sender = "another";
    Send(changed);
    REQUIRE(m_outcome == "unauthenticated");
  }
  SECTION("an empty MAC")
  {
    peer::Envelope changed = good;
    changed.mac.clear();
    Send(changed);
    REQUIRE(m_outcome == "unauthenticated");
  }
  SECTION("a frame for another host")
  {
    Send(m_clientAuthenticator.SignRequest("127.0.0.1:1",
                                           Encode(PushRequest("x"))));
    REQUIRE(m_outcome == "unauthenticated");
  }
  SECTION("a key that is no longer valid")
  {
    m_serverAuthenticator.SetKeys({ kNewKey });
    Send(good);
    REQUIRE(m_outcome == "unknown_key");
  }
  SECTION("an old frame")
  {
    m_clock.m_wall += kFrameTimeToleranceMs + 1;
    Send(good);
    REQUIRE(m_outcome == "time");
  }
  SECTION("a frame from before the start of the receiver")
  {
    m_clock.m_wall += 1000;
    EnvelopeAuthenticator restarted("server", { kOldKey }, m_clock);
    REQUIRE_THROWS_AS(restarted.AuthenticateRequest(m_server.Address(), good),
                      FrameRefused);
  }
  SECTION("a payload that is no request")
  {
    Send(m_clientAuthenticator.SignRequest(m_server.Address(), "\x0fgarbage"));
    REQUIRE(m_outcome == "malformed_payload");
  }
  SECTION("bytes that are no frame")
  {
    const std::string address = m_server.Address();
    TestConnection stranger(static_cast<std::uint16_t>(
      std::stoi(address.substr(address.rfind(':') + 1))));
    stranger.Send("GET / HTTP/1.1\r\n\r\n");
    REQUIRE(stranger.Receive().empty());
    REQUIRE_THAT(m_metrics.Text(), Contains(dropped("malformed_frame")));
    // The server still serves.
    Send(good);
    REQUIRE(m_outcome == "accepted");
    return;
  }
  if (m_outcome != "replay") {
    REQUIRE(m_handler.m_requests == 0);
  }
}

// Guards against the answer to one call being taken for another's.
TEST_CASE("A reply is valid only for its request", "[peer]")
{
  HandClock clock;
  EnvelopeAuthenticator client("client", { kOldKey }, clock);
  EnvelopeAuthenticator server("server", { kOldKey }, clock);
  const auto first = client.SignRequest("a:1", "first");
  const auto second = client.SignRequest("a:1", "second");
  const auto reply = server.SignReply(first, "reply");
  REQUIRE_NOTHROW(client.AuthenticateReply(first, reply));
  REQUIRE_THROWS_AS(client.AuthenticateReply(second, reply), FrameRefused);
  REQUIRE_THROWS_AS(client.AuthenticateReply(first, first), FrameRefused);
}
