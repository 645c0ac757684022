#include "VirtualFleet.h"

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using namespace std::chrono_literals;
using Catch::Matchers::Contains;

namespace {

/** A fleet with the service "tender" at accepted revision 1. */
class Fixture
{
public:
  Fixture()
    : m_fleet({})
  {
    m_fleet.StartAllHosts();
    m_fleet.Run(3s);
    m_fleet.Change(0, "first", "tender", 0.5);
    REQUIRE(
      m_fleet.RunUntil([&] { return m_fleet.AcceptedRevision() == 1; }, 10s));
    m_fleet.Run(1s);
  }

  ChangeResult AwaitAnswer(const std::string& aOperation)
  {
    REQUIRE(m_fleet.RunUntil(
      [&] { return m_fleet.Answers().contains(aOperation); }, 60s));
    return m_fleet.Answers().find(aOperation)->second;
  }

  std::size_t AuditEntriesOf(const std::string& aOperation) const
  {
    std::size_t count = 0;
    for (const AuditEntry& entry : m_fleet.StoredConfiguration().m_audit) {
      count += entry.m_operationId == aOperation ? 1 : 0;
    }
    return count;
  }

  VirtualFleet m_fleet;
};

/** Injects random faults while changes are made. The manager and the fleet
 *  check the invariants after each event. */
void
RunRandomFaults(std::uint64_t aSeed)
{
  INFO("seed " << aSeed);
  VirtualFleet fleet({ .m_loss = 0.02, .m_seed = aSeed });
  RandomSource& random = fleet.Random();
  fleet.StartAllHosts();
  fleet.Run(3s);
  std::map<std::string, int> operations;
  for (int step = 0; step < 150; ++step) {
    if (random.Below(4) != 0) {
      fleet.InjectFault();
    } else if (const std::size_t host = random.Below(fleet.Size());
               fleet.At(host).m_up) {
      const std::string operation = "op" + std::to_string(random.Below(60));
      ++operations[operation];
      fleet.Change(host, operation, "s" + operation, 0.5);
    }
    fleet.Run(Duration{ static_cast<Duration::rep>(random.Below(4000000)) });
  }
  fleet.ClearFaults();
  const auto converged = [&] {
    const Configuration stored = fleet.StoredConfiguration();
    return stored.m_accepted && fleet.AllHostsHaveRevision(stored.m_revision);
  };
  REQUIRE(fleet.RunUntil(converged, 120s));
  // After the faults, every operation that was answered as written is in the
  // audit trail exactly once. One that was answered as not run is in it only if
  // it was sent again.
  std::map<std::string, int> entries;
  for (const AuditEntry& entry : fleet.StoredConfiguration().m_audit) {
    ++entries[entry.m_operationId];
  }
  for (const auto& [operation, count] : entries) {
    REQUIRE(count == 1);
  }
  for (const auto& [operation, result] : fleet.Answers()) {
    if (!result.m_error) {
      REQUIRE(entries.contains(operation));
    } else if (InfoOf(*result.m_error).m_ran == Ran::No &&
               operations[operation] == 1) {
      REQUIRE_FALSE(entries.contains(operation));
    }
  }
  REQUIRE(fleet.RevisionRollbacks() == 0);
  REQUIRE(fleet.LostAcceptedChanges() == 0);
}

} // namespace

TEST_CASE_METHOD(Fixture, "A change reaches every host", "[configuration]")
{
  m_fleet.Change(3, "op", "tender", 0.9);
  const ChangeResult result = AwaitAnswer("op");
  REQUIRE(result.m_accepted);
  REQUIRE(result.m_revision == 2);
  REQUIRE(m_fleet.AllHostsHaveRevision(2));
  REQUIRE(m_fleet.StoredConfiguration().m_audit.back().m_outcome == "accepted");

  SECTION("two hosts in each data centre watch the store")
  {
    std::map<std::string, int> watchers;
    for (std::size_t i = 0; i < m_fleet.Size(); ++i) {
      const ControlNode& node = m_fleet.Node(i);
      watchers[node.Members().Self().m_dataCentre] +=
        node.Manager().IsWatcher() ? 1 : 0;
    }
    REQUIRE(watchers == std::map<std::string, int>{
                          { "dc0", 2 }, { "dc1", 2 }, { "dc2", 2 } });
  }
  SECTION("the same operation sent again is one change")
  {
    m_fleet.Change(5, "op", "tender", 0.9);
    REQUIRE(m_fleet.RunUntil([&] { return m_fleet.Answers().count("op") == 2; },
                             10s));
    REQUIRE(m_fleet.Answers().rbegin()->second.m_revision == 2);
    REQUIRE(AuditEntriesOf("op") == 1);
  }
  SECTION("an operation id that belongs to another change is refused")
  {
    m_fleet.Change(5, "op", "tender", 0.1);
    m_fleet.Run(10s);
    REQUIRE(m_fleet.StoredConfiguration().m_revision == 2);
    REQUIRE(std::any_of(m_fleet.Answers().begin(),
                        m_fleet.Answers().end(),
                        [](const auto& aAnswer) {
                          return aAnswer.second.m_error ==
                                 ErrorKind::IdempotencyKeyReused;
                        }));
  }
}

// Guards against a change that silently overwrites the change of another
// operator.
TEST_CASE_METHOD(Fixture,
                 "Two operators change the configuration at once",
                 "[configuration]")
{
  SECTION("of the same service: one of them gets a conflict with a diff")
  {
    m_fleet.Change(1, "a", "tender", 0.7);
    m_fleet.Change(4, "b", "tender", 0.8);
    const ChangeResult a = AwaitAnswer("a");
    const ChangeResult b = AwaitAnswer("b");
    REQUIRE(a.m_error.has_value() != b.m_error.has_value());
    const ChangeResult& rejected = a.m_error ? a : b;
    REQUIRE(rejected.m_error == ErrorKind::ConfigurationConflict);
    REQUIRE_THAT(rejected.m_detail,
                 Contains("tender.policy.min_coverage: 0.5 -> "));
    REQUIRE(m_fleet.StoredConfiguration().m_revision == 2);
  }
  SECTION("of different services: both are written")
  {
    m_fleet.Change(1, "a", "portal", 0.7);
    m_fleet.Change(4, "b", "bookkeeping", 0.8);
    REQUIRE_FALSE(AwaitAnswer("a").m_error);
    REQUIRE_FALSE(AwaitAnswer("b").m_error);
    REQUIRE(m_fleet.StoredConfiguration().m_services.size() == 3);
  }
}

// Guards against reporting a written change as failed, or a failed one as
// written.
TEST_CASE_METHOD(Fixture, "The reply to a write is lost", "[configuration]")
{
  m_fleet.GetFakeStore().m_replyLossProbability = 1;
  m_fleet.Change(2, "op", "tender", 0.9);
  m_fleet.Run(500ms);

  SECTION("the operation id is read back and the change is applied once")
  {
    m_fleet.GetFakeStore().m_replyLossProbability = 0;
    const ChangeResult result = AwaitAnswer("op");
    REQUIRE_FALSE(result.m_error);
    REQUIRE(AuditEntriesOf("op") == 1);
    REQUIRE(m_fleet.StoredConfiguration().m_revision == 2);
  }
  SECTION("while the outcome is unknown, the change is not answered")
  {
    m_fleet.GetFakeStore().m_down = true;
    m_fleet.Run(kChangeTimeout - 1s);
    REQUIRE(m_fleet.Answers().count("op") == 0);
    REQUIRE(AwaitAnswer("op").m_error == ErrorKind::OutcomeUnknown);
  }
}

// Guards against a timer in the past, which made the event loop of the daemon
// spin, and against a host that waits for the host list although peers already
// reach it.
TEST_CASE("A host is probed before it has the host list", "[configuration]")
{
  const auto random = MakeSeededRandom(1);
  ControlNode node({ "a", "127.0.0.1:1", "dc1", 10 }, *random);
  const GossipMessage message{
    { "b", "127.0.0.1:2", "dc1", 5, MemberState::Alive, 3 }, {}, {}, {}
  };
  TimePoint now{ 1h };
  ControlActions actions;
  node.ProbeReceived(now, 1, message, "", actions);
  const auto fetches =
    std::count_if(actions.begin(), actions.end(), [](const auto& aAction) {
      return std::holds_alternative<FetchDocument>(aAction);
    });
  REQUIRE(fetches == 1);
  for (int i = 0; i < 100; ++i) {
    node.FireTimers(now, actions);
    REQUIRE(node.NextTimer() > now);
    now = node.NextTimer();
  }
}

TEST_CASE("A new installation has an empty store", "[configuration]")
{
  VirtualFleet fleet({});
  fleet.StartAllHosts();
  fleet.Run(3s);
  REQUIRE(fleet.Node(0).Manager().StoreIsEmpty());
  REQUIRE_FALSE(fleet.Node(0).Manager().Ready());
  fleet.Change(0, "first", "tender", 0.5);
  REQUIRE(fleet.RunUntil([&] { return fleet.AllHostsHaveRevision(1); }, 10s));
  REQUIRE_FALSE(fleet.Node(0).Manager().StoreIsEmpty());
}

TEST_CASE_METHOD(Fixture, "The store is down", "[configuration]")
{
  m_fleet.GetFakeStore().m_down = true;
  m_fleet.Run(60s);

  SECTION("every host continues to serve the last revision")
  {
    for (std::size_t i = 0; i < m_fleet.Size(); ++i) {
      REQUIRE(m_fleet.Node(i).Manager().Serving(m_fleet.Now()));
    }
  }
  SECTION("a change is refused as not written")
  {
    m_fleet.Change(2, "op", "tender", 0.9);
    REQUIRE(AwaitAnswer("op").m_error == ErrorKind::StoreUnavailable);
    REQUIRE(AuditEntriesOf("op") == 0);
  }
  SECTION("a host that restarts gets the newest revision from its peers")
  {
    m_fleet.KillHost(6);
    m_fleet.Run(5s);
    m_fleet.StartHost(6);
    REQUIRE_FALSE(m_fleet.Node(6).Manager().Ready());
    REQUIRE(m_fleet.RunUntil(
      [&] { return m_fleet.Node(6).Manager().Serving(m_fleet.Now()); }, 3s));
    REQUIRE(m_fleet.Node(6).Manager().Current()->m_revision == 1);
  }
  SECTION("a host that finds neither store nor peers is not ready")
  {
    for (std::size_t i = 0; i < m_fleet.Size(); ++i) {
      m_fleet.KillHost(i);
    }
    m_fleet.StartHost(0);
    m_fleet.Run(30s);
    REQUIRE_FALSE(m_fleet.Node(0).Manager().Ready());
    // An outage must not be mistaken for a new installation.
    REQUIRE_FALSE(m_fleet.Node(0).Manager().StoreIsEmpty());
    m_fleet.GetFakeStore().m_down = false;
    m_fleet.Run(5s);
    REQUIRE(m_fleet.Node(0).Manager().Serving(m_fleet.Now()));
  }
}

// Guards against a change that is reported as accepted while a serving host
// does not have it.
TEST_CASE_METHOD(Fixture, "Some hosts cannot be reached", "[configuration]")
{
  SECTION("an unreachable data centre leaves a change pending and its hosts "
          "missing")
  {
    // Hosts 2 and 5 are in dc2.
    m_fleet.Partition({ 0, 0, 1, 0, 0, 1, 0 }, 1);
    m_fleet.Change(0, "op", "tender", 0.9);
    const ChangeResult result = AwaitAnswer("op");
    REQUIRE_FALSE(result.m_error);
    REQUIRE_FALSE(result.m_accepted);
    REQUIRE(result.m_missingHosts == std::vector<std::string>{ "h2", "h5" });
    m_fleet.Run(60s);
    REQUIRE(m_fleet.AcceptedRevision() == 1);
    REQUIRE(m_fleet.Node(2).Manager().Serving(m_fleet.Now()));

    m_fleet.Heal();
    REQUIRE(
      m_fleet.RunUntil([&] { return m_fleet.AcceptedRevision() == 2; }, 20s));
    REQUIRE(m_fleet.AllHostsHaveRevision(2));
  }
  SECTION("an isolated host stops serving within the isolation timeout")
  {
    m_fleet.Partition({ 0, 0, 0, 0, 0, 0, 1 }, 1);
    m_fleet.Run(kIsolationTimeout + 10ms);
    REQUIRE_FALSE(m_fleet.Node(6).Manager().Serving(m_fleet.Now()));
    m_fleet.Heal();
    REQUIRE(m_fleet.RunUntil(
      [&] { return m_fleet.Node(6).Manager().Serving(m_fleet.Now()); }, 10s));
  }
  SECTION("a killed host is proven gone by its refused connections")
  {
    m_fleet.KillHost(4);
    m_fleet.Change(0, "op", "tender", 0.9);
    REQUIRE(AwaitAnswer("op").m_accepted);
  }
  SECTION("another host completes the acceptance of a killed proposer")
  {
    m_fleet.Partition({ 0, 0, 1, 0, 0, 1, 0 }, 1);
    m_fleet.Change(0, "op", "tender", 0.9);
    AwaitAnswer("op");
    m_fleet.KillHost(0);
    m_fleet.Heal();
    REQUIRE(
      m_fleet.RunUntil([&] { return m_fleet.AcceptedRevision() == 2; }, 30s));
  }
}

// Guards against a paused process that resumes and serves an old revision.
TEST_CASE_METHOD(Fixture, "A host is paused", "[configuration]")
{
  m_fleet.PauseHost(3);
  m_fleet.Change(0, "op", "tender", 0.9);
  const ChangeResult result = AwaitAnswer("op");
  REQUIRE(result.m_missingHosts == std::vector<std::string>{ "h3" });

  SECTION("a change is accepted a grace period after the host leaves the list")
  {
    m_fleet.Run(60s);
    REQUIRE(m_fleet.AcceptedRevision() == 1);
    m_fleet.SetInHostList(3, false);
    m_fleet.Run(kRemovalGracePeriod - 1s);
    REQUIRE(m_fleet.AcceptedRevision() == 1);
    REQUIRE(
      m_fleet.RunUntil([&] { return m_fleet.AcceptedRevision() == 2; }, 5s));
    // ResumeHost() checks that the host does not serve.
    m_fleet.Run(10s);
    m_fleet.ResumeHost(3);
    REQUIRE(m_fleet.RunUntil(
      [&] { return m_fleet.Node(3).Manager().Serving(m_fleet.Now()); }, 10s));
    REQUIRE(m_fleet.Node(3).Manager().Current()->m_revision == 2);
  }
  SECTION("the change is accepted when the host resumes")
  {
    m_fleet.ResumeHost(3);
    REQUIRE(
      m_fleet.RunUntil([&] { return m_fleet.AcceptedRevision() == 2; }, 10s));
  }
  SECTION(
    "the change is accepted when a new process starts under the same name")
  {
    m_fleet.StartHost(3);
    REQUIRE(
      m_fleet.RunUntil([&] { return m_fleet.AcceptedRevision() == 2; }, 10s));
    REQUIRE(m_fleet.Node(3).Manager().Current()->m_revision == 2);
  }
}

// Guards against treating a host that runs, but is not on the host list yet, as
// absent.
TEST_CASE_METHOD(Fixture, "The host list lags", "[configuration]")
{
  m_fleet.KillHost(5);
  m_fleet.SetInHostList(5, false);
  m_fleet.Run(120s);
  m_fleet.StartHost(5);
  m_fleet.Run(5s);
  REQUIRE(m_fleet.Node(5).Manager().Serving(m_fleet.Now()));

  SECTION("a member that is not listed yet must confirm")
  {
    m_fleet.Partition({ 0, 0, 0, 0, 0, 1, 0 }, 1);
    m_fleet.Change(0, "op", "tender", 0.9);
    REQUIRE(AwaitAnswer("op").m_missingHosts ==
            std::vector<std::string>{ "h5" });
  }
}

TEST_CASE_METHOD(Fixture, "The audit trail is bounded", "[configuration]")
{
  Configuration full = m_fleet.StoredConfiguration();
  AuditEntry entry = full.m_audit.front();
  entry.m_operationId = "old";
  full.m_audit.assign(kMaxAuditEntries, entry);
  m_fleet.GetFakeStore().m_value = SerializeConfiguration(full);
  m_fleet.Change(0, "op", "tender", 0.9);
  AwaitAnswer("op");
  REQUIRE(m_fleet.StoredConfiguration().m_audit.size() == kMaxAuditEntries);
  REQUIRE(m_fleet.StoredConfiguration().m_audit.back().m_operationId == "op");
}

TEST_CASE("Randomised faults violate no invariant of the configuration",
          "[configuration][random]")
{
  for (std::uint64_t seed = 1; seed <= 24; ++seed) {
    RunRandomFaults(seed);
  }
}

// Not part of the default run: control_test [long] --rng-seed N.
TEST_CASE("Randomised faults over many seeds", "[.][long]")
{
  for (std::uint64_t i = 0; i < 300; ++i) {
    RunRandomFaults(Catch::rngSeed() * 1000ULL + i);
  }
}
