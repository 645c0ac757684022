#include "PeerMessages.h"
#include "TestSockets.h"

#include <goldcrestkeel/Net.h>

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using namespace goldcrestkeel::test;

namespace {

constexpr Duration kMaxLoopWait{ 20000 };
const std::vector<PeerKey> kKeys{ { "k1", "0123456789abcdef" } };

// Returns a fixed reply to every request and keeps the last request.
struct FixedHandler : PeerRequestHandler
{
  void Handle(const std::string&,
              const peer::PeerRequest& aRequest,
              std::function<void(peer::PeerReply&&)> aReply) override
  {
    m_request = aRequest;
    aReply(peer::PeerReply(m_reply));
  }
  peer::PeerRequest m_request;
  peer::PeerReply m_reply;
};

struct Fixture
{
  Fixture()
  {
    m_server.Start();
    m_address = m_server.Address();
  }
  ~Fixture()
  {
    m_client.Stop();
    m_server.Stop();
  }

  std::variant<ForwardReply, PeerFailure> Forward()
  {
    ForwardCommand forward;
    forward.m_call = 5;
    forward.m_host = "owner";
    forward.m_command = { "ledger", "1-a", "hold", CallerClass::Batch };
    std::optional<std::variant<ForwardReply, PeerFailure>> result;
    m_commands.Forward(forward,
                       std::chrono::seconds(10),
                       [&](const auto& aResult) { result = aResult; });
    while (!result) {
      m_loop.RunOnce(kMaxLoopWait);
    }
    return *result;
  }

  SystemClock m_clock;
  HttpClient m_http;
  EventLoop m_loop{ m_clock, m_http };
  Metrics m_metrics;
  EnvelopeAuthenticator m_ownerAuthenticator{ "owner", kKeys, m_clock };
  EnvelopeAuthenticator m_authenticator{ "host", kKeys, m_clock };
  FixedHandler m_handler;
  PeerServer m_server{ "127.0.0.1:0",
                       m_loop,
                       m_ownerAuthenticator,
                       m_metrics,
                       m_handler };
  PeerClient m_client{ m_loop, m_authenticator, 1 };
  std::string m_address;
  PeerCommands m_commands{ m_loop, m_client, [this](const std::string&) {
                            return m_address;
                          } };
};

} // namespace

// Guards against an outcome that changes on its way between two hosts, and
// against a command that is reported as never sent although it may have run.
TEST_CASE_METHOD(Fixture,
                 "A command is forwarded to the owner of its key",
                 "[peer]")
{
  peer::CommandOutcome outcome;
  outcome.ran = "yes";
  outcome.body = "done";

  SECTION("the outcome is returned")
  {
    m_handler.m_reply.__set_command(outcome);
    const ForwardReply reply = std::get<ForwardReply>(Forward());
    REQUIRE(reply.m_call == 5);
    REQUIRE_FALSE(reply.m_notOwner);
    REQUIRE(reply.m_outcome.m_ran == Ran::Yes);
    REQUIRE(reply.m_outcome.m_result == "done");
    REQUIRE(FromMessage(m_handler.m_request.command) ==
            Command{ "ledger", "1-a", "hold", CallerClass::Batch });
  }
  SECTION("an error keeps its kind and whether the command ran")
  {
    outcome.error = "outcome_unknown";
    outcome.ran = "unknown";
    m_handler.m_reply.__set_command(outcome);
    const ForwardReply reply = std::get<ForwardReply>(Forward());
    REQUIRE(reply.m_outcome.m_error == ErrorKind::OutcomeUnknown);
    REQUIRE(reply.m_outcome.m_ran == Ran::Unknown);
  }
  SECTION("a host that is not the owner redirects")
  {
    outcome.__set_redirect("another");
    m_handler.m_reply.__set_command(outcome);
    const ForwardReply reply = std::get<ForwardReply>(Forward());
    REQUIRE(reply.m_notOwner);
    REQUIRE(reply.m_owner == "another");
  }
  SECTION("an outcome with an invalid \"ran\" value may have run")
  {
    outcome.ran = "perhaps";
    m_handler.m_reply.__set_command(outcome);
    REQUIRE_FALSE(std::get<PeerFailure>(Forward()).m_neverSent);
  }
  SECTION("a command with a reply of another type may have run")
  {
    m_handler.m_reply.__set_ack(peer::Ack());
    REQUIRE_FALSE(std::get<PeerFailure>(Forward()).m_neverSent);
  }
  SECTION("nothing is sent on a refused connection or to an unknown host")
  {
    m_address = ClosedAddress();
    REQUIRE(std::get<PeerFailure>(Forward()).m_neverSent);
    m_address.clear();
    REQUIRE(std::get<PeerFailure>(Forward()).m_neverSent);
  }
}

// Guards against command records that are lost or changed during a handover.
TEST_CASE("A handover is decoded as it was encoded", "[peer]")
{
  SendHandover sent;
  sent.m_range = 255;
  sent.m_storeIndex = 77;
  sent.m_lowWatermark = 1234;
  CommandRecord record;
  record.m_key = "1-a";
  record.m_fingerprint = 0xffffffffffffffffU;
  record.m_outcome = { ErrorKind::CommandRefused, Ran::No, "", "refused" };
  sent.m_records.push_back(record);
  peer::RangeHandover message = ToMessage(sent);

  SECTION("all fields are unchanged")
  {
    const ReceiveHandover received = FromMessage(message, "previous");
    REQUIRE(received.m_from == "previous");
    REQUIRE(received.m_range == 255);
    REQUIRE(received.m_storeIndex == 77);
    REQUIRE(received.m_lowWatermark == 1234);
    REQUIRE(received.m_records == sent.m_records);
  }
  SECTION("a range that does not exist is refused")
  {
    message.range = kCommandRanges;
    REQUIRE_THROWS_AS(FromMessage(message, "previous"), FrameRefused);
    message.range = -1;
    REQUIRE_THROWS_AS(FromMessage(message, "previous"), FrameRefused);
  }
}

// Guards against a malformed host list that is read as a list with fewer hosts.
TEST_CASE("Only a well-formed host list is accepted", "[hosts]")
{
  const auto hosts = ParseHostList(
    R"({"hosts":[{"id":"a","address":"1.2.3.4:1","state":"live"},)"
    R"({"id":"b","address":"1.2.3.4:2","state":"leaving"}]})");
  REQUIRE(hosts);
  REQUIRE(hosts->size() == 2);
  REQUIRE_FALSE((*hosts)[0].m_leaving);
  REQUIRE((*hosts)[1].m_leaving);
  for (const char* text :
       { "",
         "[]",
         "{}",
         R"({"hosts":[{"id":"a"}]})",
         R"({"hosts":[{"id":"a","address":"x","state":"gone"}]})",
         R"({"hosts":[7]})" }) {
    CAPTURE(text);
    REQUIRE_FALSE(ParseHostList(text));
  }
}
