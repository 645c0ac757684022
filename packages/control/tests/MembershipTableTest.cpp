#include "VirtualFleet.h"

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using namespace std::chrono_literals;

namespace {

MemberState
StateOf(const VirtualFleet& aFleet, std::size_t aObserver, std::size_t aHost)
{
  const std::string name = "h" + std::to_string(aHost);
  for (const HostStatus& host :
       aFleet.Node(aObserver).Members().Hosts(aFleet.Now())) {
    if (host.m_entry.m_host == name) {
      return host.m_entry.m_state;
    }
  }
  return MemberState::Dead;
}

bool
AllHostsSee(const VirtualFleet& aFleet, std::size_t aHost, MemberState aState)
{
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    if (i != aHost && StateOf(aFleet, i, aHost) != aState) {
      return false;
    }
  }
  return true;
}

/** Ten hosts that have discovered each other. */
class Fixture
{
public:
  Fixture()
    : m_fleet({ .m_hosts = 10 })
  {
    m_fleet.StartAllHosts();
    m_fleet.Run(10s);
  }

  VirtualFleet m_fleet;
};

} // namespace

TEST_CASE_METHOD(Fixture, "A host fails", "[membership]")
{
  SECTION("all hosts declare a killed host dead within a few rounds")
  {
    m_fleet.KillHost(4);
    REQUIRE(m_fleet.RunUntil(
      [&] { return AllHostsSee(m_fleet, 4, MemberState::Dead); }, 10s));
    REQUIRE(m_fleet.Node(0).Members().LiveHosts() == 9);

    m_fleet.StartHost(4);
    REQUIRE(m_fleet.RunUntil(
      [&] { return AllHostsSee(m_fleet, 4, MemberState::Alive); }, 10s));
  }
  SECTION("a paused host is suspected before it is declared dead")
  {
    m_fleet.PauseHost(4);
    REQUIRE(m_fleet.RunUntil(
      [&] { return StateOf(m_fleet, 0, 4) == MemberState::Suspect; }, 15s));
    REQUIRE(m_fleet.RunUntil(
      [&] { return AllHostsSee(m_fleet, 4, MemberState::Dead); }, 30s));

    m_fleet.ResumeHost(4);
    REQUIRE(m_fleet.RunUntil(
      [&] { return AllHostsSee(m_fleet, 4, MemberState::Alive); }, 30s));
  }
  SECTION("a running host refutes the suspicion")
  {
    m_fleet.PauseHost(4);
    m_fleet.RunUntil(
      [&] { return StateOf(m_fleet, 0, 4) == MemberState::Suspect; }, 15s);
    const auto before = m_fleet.Node(4).Members().Self().m_incarnation;
    m_fleet.ResumeHost(4);
    REQUIRE(m_fleet.RunUntil(
      [&] { return AllHostsSee(m_fleet, 4, MemberState::Alive); }, 10s));
    REQUIRE(m_fleet.Node(4).Members().Self().m_incarnation > before);
  }
  SECTION("the two sides of a partition reconnect")
  {
    m_fleet.Partition({ 0, 0, 0, 0, 0, 1, 1, 1, 1, 1 });
    m_fleet.Run(60s);
    REQUIRE(StateOf(m_fleet, 0, 7) == MemberState::Dead);
    m_fleet.Heal();
    REQUIRE(m_fleet.RunUntil(
      [&] { return AllHostsSee(m_fleet, 7, MemberState::Alive); }, 30s));
  }
}

// Guards against a dead host that the lagging host list revives, and against
// one that is never removed.
TEST_CASE_METHOD(Fixture, "The host list lags behind", "[membership]")
{
  m_fleet.KillHost(4);
  m_fleet.Run(20s);

  SECTION("a dead host that is still listed stays dead")
  {
    m_fleet.Run(120s);
    REQUIRE(AllHostsSee(m_fleet, 4, MemberState::Dead));
    REQUIRE(m_fleet.Node(0).Members().Hosts(m_fleet.Now()).size() == 9);
  }
  SECTION("a dead host that is not listed is removed after the retention time")
  {
    m_fleet.SetInHostList(4, false);
    m_fleet.Run(kDeadMemberRetention + 10s);
    REQUIRE(m_fleet.Node(0).Members().Hosts(m_fleet.Now()).size() == 8);
  }
}

TEST_CASE("A membership table disseminates updates", "[membership]")
{
  const auto random = MakeSeededRandom(1);
  MemberEntry self{ "a", "127.0.0.1:1", "dc1", 1000, MemberState::Alive, 3 };
  MembershipTable table(self, *random);
  ControlActions actions;
  const TimePoint now{ 1h };
  table.SetHostList(now, { { "b", "127.0.0.1:2", false } }, actions);
  actions.clear();

  SECTION("a new suspect statement is sent to the peers at once")
  {
    SuspectReport report;
    report.m_fingerprint = 7;
    report.m_version = 1;
    report.m_statement = std::string(5000, 'x');
    table.ReportSuspects(now, { report }, actions);
    const auto& probe = std::get<SendProbe>(actions.at(0));
    REQUIRE(probe.m_host == "b");
    REQUIRE(probe.m_message.m_suspects.at(0).m_fingerprint == 7);
    // A long statement must not exceed the size limit of the message.
    REQUIRE(probe.m_message.m_suspects.at(0).m_statement.size() <= 200);

    actions.clear();
    table.ReportSuspects(now, { report }, actions);
    REQUIRE(actions.empty());
  }
  SECTION("only newer suspect reports and drain notices are accepted")
  {
    GossipMessage message;
    message.m_sender = { "b", "127.0.0.1:2", "dc1", 5, MemberState::Alive, 3 };
    message.m_draining = { { "t1", 9 } };
    message.m_suspects.resize(1);
    message.m_suspects[0].m_version = 2;
    table.ProbeReceived(now, 1, message, "", actions);
    table.ProbeReceived(now, 2, message, "", actions);
    int acceptedCount = 0;
    for (const ControlAction& action : actions) {
      acceptedCount +=
        std::holds_alternative<SuspectReportsReceived>(action) ? 1 : 0;
      acceptedCount +=
        std::holds_alternative<DrainNoticesReceived>(action) ? 1 : 0;
    }
    REQUIRE(acceptedCount == 2);
  }
  SECTION("the message size is bounded for any number of updates")
  {
    GossipMessage largeMessage;
    largeMessage.m_sender = { "b", "127.0.0.1:2",      "dc1",
                              5,   MemberState::Alive, 3 };
    for (int i = 0; i < 6000; ++i) {
      const std::string name = "host-" + std::to_string(i);
      largeMessage.m_members.push_back(
        { name, "192.0.2.1:1", "dc1", 1, MemberState::Alive, 0 });
      largeMessage.m_draining.push_back({ name, 1 });
    }
    table.ProbeReceived(now, 1, largeMessage, "", actions);
    REQUIRE(table.Hosts(now).size() == kMaxMembers);
    for (int i = 0; i < 50; ++i) {
      actions.clear();
      table.ProbeNow(now, "b", actions);
      const auto& message = std::get<SendProbe>(actions.at(0)).m_message;
      std::size_t bytes = 0;
      for (const MemberEntry& entry : message.m_members) {
        bytes += entry.m_host.size() + entry.m_address.size() + 20;
      }
      for (const DrainNotice& notice : message.m_draining) {
        bytes += notice.m_replica.size() + 4;
      }
      REQUIRE(message.m_members.size() > 0);
      REQUIRE(bytes <= kMaxGossipBytes);
    }
  }
  SECTION(
    "a process that receives the incarnation of its successor is replaced")
  {
    GossipMessage message;
    message.m_sender = { "b", "127.0.0.1:2", "dc1", 5, MemberState::Alive, 3 };
    message.m_members = { self };
    message.m_members[0].m_incarnation = 2000;
    table.ProbeReceived(now, 1, message, "", actions);
    // Right after the start, the process assumes that the clock went back
    // instead.
    REQUIRE_FALSE(table.Replaced());
    REQUIRE(table.Self().m_incarnation == 2001);

    message.m_members[0].m_incarnation = 3000;
    table.ProbeReceived(now + 1min, 2, message, "", actions);
    REQUIRE(table.Replaced());
  }
}

// Guards against packet loss that makes running hosts appear dead.
TEST_CASE("Packet loss of 5% makes no running host appear dead",
          "[membership][random]")
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    VirtualFleet fleet({ .m_hosts = 20, .m_loss = 0.05, .m_seed = seed });
    fleet.StartAllHosts();
    fleet.Run(10s);
    for (int second = 0; second < 300; ++second) {
      fleet.Run(1s);
      for (std::size_t i = 0; i < fleet.Size(); ++i) {
        REQUIRE(fleet.Node(i).Members().LiveHosts() == 20);
      }
    }
  }
}
