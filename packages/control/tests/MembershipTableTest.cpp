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
AllSee(const VirtualFleet& aFleet, std::size_t aHost, MemberState aState)
{
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    if (i != aHost && StateOf(aFleet, i, aHost) != aState) {
      return false;
    }
  }
  return true;
}

/** Ten hosts that know each other. */
class Fixture
{
public:
  Fixture()
    : m_fleet({ .m_hosts = 10 })
  {
    m_fleet.StartAll();
    m_fleet.Run(10s);
  }

  VirtualFleet m_fleet;
};

} // namespace

TEST_CASE_METHOD(Fixture, "A host fails", "[membership]")
{
  SECTION("a killed host is dead everywhere within a few rounds")
  {
    m_fleet.KillHost(4);
    REQUIRE(m_fleet.RunUntil(
      [&] { return AllSee(m_fleet, 4, MemberState::Dead); }, 10s));
    REQUIRE(m_fleet.Node(0).Members().LiveHosts() == 9);

    m_fleet.StartHost(4);
    REQUIRE(m_fleet.RunUntil(
      [&] { return AllSee(m_fleet, 4, MemberState::Alive); }, 10s));
  }
  SECTION("a paused host is suspected before it is declared dead")
  {
    m_fleet.PauseHost(4);
    REQUIRE(m_fleet.RunUntil(
      [&] { return StateOf(m_fleet, 0, 4) == MemberState::Suspect; }, 15s));
    REQUIRE(m_fleet.RunUntil(
      [&] { return AllSee(m_fleet, 4, MemberState::Dead); }, 30s));

    m_fleet.ResumeHost(4);
    REQUIRE(m_fleet.RunUntil(
      [&] { return AllSee(m_fleet, 4, MemberState::Alive); }, 30s));
  }
  SECTION("a suspected host that runs refutes the suspicion")
  {
    m_fleet.PauseHost(4);
    m_fleet.RunUntil(
      [&] { return StateOf(m_fleet, 0, 4) == MemberState::Suspect; }, 15s);
    const auto before = m_fleet.Node(4).Members().Self().m_incarnation;
    m_fleet.ResumeHost(4);
    REQUIRE(m_fleet.RunUntil(
      [&] { return AllSee(m_fleet, 4, MemberState::Alive); }, 10s));
    REQUIRE(m_fleet.Node(4).Members().Self().m_incarnation > before);
  }
  SECTION("the parts of a partition find each other again")
  {
    m_fleet.Partition({ 0, 0, 0, 0, 0, 1, 1, 1, 1, 1 });
    m_fleet.Run(60s);
    REQUIRE(StateOf(m_fleet, 0, 7) == MemberState::Dead);
    m_fleet.Heal();
    REQUIRE(m_fleet.RunUntil(
      [&] { return AllSee(m_fleet, 7, MemberState::Alive); }, 30s));
  }
}

// Guards against a dead host that the lagging list brings back, and one that is
// kept for ever.
TEST_CASE_METHOD(Fixture, "The host list lags behind", "[membership]")
{
  m_fleet.KillHost(4);
  m_fleet.Run(20s);

  SECTION("a dead host that is still listed stays dead")
  {
    m_fleet.Run(120s);
    REQUIRE(AllSee(m_fleet, 4, MemberState::Dead));
    REQUIRE(m_fleet.Node(0).Members().Hosts(m_fleet.Now()).size() == 9);
  }
  SECTION("a dead host that is not listed is forgotten after the retention")
  {
    m_fleet.SetListed(4, false);
    m_fleet.Run(kDeadMemberRetention + 10s);
    REQUIRE(m_fleet.Node(0).Members().Hosts(m_fleet.Now()).size() == 8);
  }
}

TEST_CASE("A member table spreads what it learns", "[membership]")
{
  const auto random = MakeSeededRandom(1);
  MemberEntry self{ "a", "127.0.0.1:1", "dc1", 1000, MemberState::Alive, 3 };
  MembershipTable table(self, *random);
  ControlActions actions;
  const TimePoint now{ 1h };
  table.SetHostList(now, { { "b", "127.0.0.1:2", false } }, actions);
  actions.clear();

  SECTION("a new suspect goes to the peers at once")
  {
    SuspectReport report;
    report.m_fingerprint = 7;
    report.m_version = 1;
    report.m_statement = std::string(5000, 'x');
    table.ReportSuspects(now, { report }, actions);
    const auto& probe = std::get<SendProbe>(actions.at(0));
    REQUIRE(probe.m_host == "b");
    REQUIRE(probe.m_message.m_suspects.at(0).m_fingerprint == 7);
    // A long statement must not break the bound of the message.
    REQUIRE(probe.m_message.m_suspects.at(0).m_statement.size() <= 200);

    actions.clear();
    table.ReportSuspects(now, { report }, actions);
    REQUIRE(actions.empty());
  }
  SECTION("only newer reports and drain notices are learned")
  {
    GossipMessage message;
    message.m_sender = { "b", "127.0.0.1:2", "dc1", 5, MemberState::Alive, 3 };
    message.m_draining = { { "t1", 9 } };
    message.m_suspects.resize(1);
    message.m_suspects[0].m_version = 2;
    table.ProbeReceived(now, 1, message, "", actions);
    table.ProbeReceived(now, 2, message, "", actions);
    int learned = 0;
    for (const ControlAction& action : actions) {
      learned += std::holds_alternative<SuspectReportsReceived>(action) ? 1 : 0;
      learned += std::holds_alternative<DrainNoticesReceived>(action) ? 1 : 0;
    }
    REQUIRE(learned == 2);
  }
  SECTION("messages stay bounded however much there is to tell")
  {
    GossipMessage flood;
    flood.m_sender = { "b", "127.0.0.1:2", "dc1", 5, MemberState::Alive, 3 };
    for (int i = 0; i < 6000; ++i) {
      const std::string name = "host-" + std::to_string(i);
      flood.m_members.push_back(
        { name, "192.0.2.1:1", "dc1", 1, MemberState::Alive, 0 });
      flood.m_draining.push_back({ name, 1 });
    }
    table.ProbeReceived(now, 1, flood, "", actions);
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
  SECTION("a process that hears of its successor is replaced")
  {
    GossipMessage message;
    message.m_sender = { "b", "127.0.0.1:2", "dc1", 5, MemberState::Alive, 3 };
    message.m_members = { self };
    message.m_members[0].m_incarnation = 2000;
    table.ProbeReceived(now, 1, message, "", actions);
    // Right after the start the clock is taken to have gone back instead.
    REQUIRE_FALSE(table.Replaced());
    REQUIRE(table.Self().m_incarnation == 2001);

    message.m_members[0].m_incarnation = 3000;
    table.ProbeReceived(now + 1min, 2, message, "", actions);
    REQUIRE(table.Replaced());
  }
}

// Guards against hosts that lossy links get declared dead.
TEST_CASE("Loss of 5% declares no running host dead", "[membership][random]")
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    VirtualFleet fleet({ .m_hosts = 20, .m_loss = 0.05, .m_seed = seed });
    fleet.StartAll();
    fleet.Run(10s);
    for (int second = 0; second < 300; ++second) {
      fleet.Run(1s);
      for (std::size_t i = 0; i < fleet.Size(); ++i) {
        REQUIRE(fleet.Node(i).Members().LiveHosts() == 20);
      }
    }
  }
}
