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
constexpr Duration kMaxLoopWait{ 20000 };
const PeerKey kOldKey{ "k1", "0123456789abcdef" };
const PeerKey kNewKey{ "k2", "fedcba9876543210" };

// The wall clock is set by the test; the steady clock runs.
struct ManualClock : Clock
{
  TimePoint Now() const override { return SystemClock().Now(); }
  WallTime WallNow() const override { return m_wall; }
  WallTime m_wall = 1000000;
};

// Accepts configuration pushes and counts all requests.
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
      m_loop.RunOnce(kMaxLoopWait);
    }
    return *result;
  }

  // Sends an envelope without PeerClient. Sets m_outcome to "accepted" or to
  // the reason of the refusal.
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
      m_loop.RunOnce(kMaxLoopWait);
    }
    sender.join();
    m_outcome = *outcome;
  }

  ManualClock m_clock;
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
  SECTION("requests on one connection are answered")
  {
    for (int i = 0; i < 3; ++i) {
      const auto result =
        Call(m_server.Address(), PushRequest(std::string(1000000, 'x')));
      REQUIRE(std::get<peer::PeerReply>(result).ack.accepted);
    }
    REQUIRE(m_handler.m_requests == 3);
    REQUIRE(m_handler.m_sender == "client");
  }
  // Guards against a dead host that is treated as a slow one.
  SECTION("a refused connection is reported as such")
  {
    REQUIRE(
      std::get<PeerCallFailure>(Call(ClosedAddress(), PushRequest("x"))) ==
      PeerCallFailure::ConnectionRefused);
  }
  // Guards against a lost reply that is reported as a request that was not
  // sent.
  SECTION("a connection that closes without a reply is reported as no reply")
  {
    ScriptedServer server([](int, int, const std::string&) { return ""; });
    REQUIRE(std::get<PeerCallFailure>(
              Call(server.Address(), PushRequest("\r\n\r\n"))) ==
            PeerCallFailure::NoReply);
  }
  SECTION("a call that times out in the queue is not sent")
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

// Guards against frames that are forged, expired, replayed or sent to another
// host.
TEST_CASE_METHOD(Fixture, "Invalid frames are dropped and counted", "[peer]")
{
  const peer::Envelope valid = m_clientAuthenticator.SignRequest(
    m_server.Address(), Encode(PushRequest("x")));
  const auto dropped = [&](const std::string& aReason) {
    return "goldcrestkeel_peer_frames_dropped_total{reason=\"" + aReason +
           "\"} 1";
  };

  SECTION("a valid frame is accepted once")
  {
    Send(valid);
    REQUIRE(m_outcome == "accepted");
    Send(valid);
    REQUIRE(m_outcome == "replay");
    REQUIRE(m_handler.m_requests == 1);
    REQUIRE_THAT(m_metrics.Text(), Contains(dropped("replay")));
  }
  SECTION("a modified payload")
  {
    peer::Envelope modified = valid;
    modified.payload.back() ^= 1;
    Send(modified);
    REQUIRE(m_outcome == "unauthenticated");
  }
  SECTION("a modified sender")
  {
    peer::Envelope modified = valid;
    modified.sender = "another";
    Send(modified);
    REQUIRE(m_outcome == "unauthenticated");
  }
  SECTION("an empty MAC")
  {
    peer::Envelope modified = valid;
    modified.mac.clear();
    Send(modified);
    REQUIRE(m_outcome == "unauthenticated");
  }
  SECTION("a frame for another host")
  {
    Send(m_clientAuthenticator.SignRequest("127.0.0.1:1",
                                           Encode(PushRequest("x"))));
    REQUIRE(m_outcome == "unauthenticated");
  }
  SECTION("a key that was removed")
  {
    m_serverAuthenticator.SetKeys({ kNewKey });
    Send(valid);
    REQUIRE(m_outcome == "unknown_key");
  }
  SECTION("an expired frame")
  {
    m_clock.m_wall += kFrameTimeToleranceMs + 1;
    Send(valid);
    REQUIRE(m_outcome == "time");
  }
  SECTION("a frame from before the start of the receiver")
  {
    m_clock.m_wall += 1000;
    EnvelopeAuthenticator restarted("server", { kOldKey }, m_clock);
    REQUIRE_THROWS_AS(restarted.AuthenticateRequest(m_server.Address(), valid),
                      FrameRefused);
  }
  SECTION("a payload that is not a request")
  {
    Send(m_clientAuthenticator.SignRequest(m_server.Address(), "\x0fgarbage"));
    REQUIRE(m_outcome == "malformed_payload");
  }
  SECTION("bytes that are not a frame")
  {
    const std::string address = m_server.Address();
    TestConnection httpClient(static_cast<std::uint16_t>(
      std::stoi(address.substr(address.rfind(':') + 1))));
    httpClient.Send("GET / HTTP/1.1\r\n\r\n");
    REQUIRE(httpClient.Receive().empty());
    REQUIRE_THAT(m_metrics.Text(), Contains(dropped("malformed_frame")));
    // The server still accepts frames.
    Send(valid);
    REQUIRE(m_outcome == "accepted");
    return;
  }
  if (m_outcome != "replay") {
    REQUIRE(m_handler.m_requests == 0);
  }
}

// Guards against a reply that is matched to another call.
TEST_CASE("A reply is valid only for its request", "[peer]")
{
  ManualClock clock;
  EnvelopeAuthenticator client("client", { kOldKey }, clock);
  EnvelopeAuthenticator server("server", { kOldKey }, clock);
  const auto first = client.SignRequest("a:1", "first");
  const auto second = client.SignRequest("a:1", "second");
  const auto reply = server.SignReply(first, "reply");
  REQUIRE_NOTHROW(client.AuthenticateReply(first, reply));
  REQUIRE_THROWS_AS(client.AuthenticateReply(second, reply), FrameRefused);
  REQUIRE_THROWS_AS(client.AuthenticateReply(first, first), FrameRefused);
}
