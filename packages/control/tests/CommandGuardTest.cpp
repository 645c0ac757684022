#include "CommandFleet.h"
#include "CommandRun.h"

#include <goldcrestkeel/Control.h>

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using namespace goldcrestkeel::benchmark;

namespace {

constexpr Duration kSecond{ 1000000 };

Command
HoldCommand(const std::string& aKey,
            const std::string& aBody = "hold 7 buffers")
{
  return Command{ "reservations", aKey, aBody, CallerClass::Interactive };
}

FleetOptions
ThreeHosts(const std::string& aStrategy = "leased_range")
{
  FleetOptions options;
  options.m_hosts = 3;
  options.m_strategy = aStrategy;
  return options;
}

/** Fleet that has run until every range has an owner. */
struct FleetWithOwners : CommandFleet
{
  explicit FleetWithOwners(const FleetOptions& aOptions = ThreeHosts())
    : CommandFleet(aOptions)
  {
    RunFor(15 * kSecond);
  }

  std::size_t OtherThan(std::size_t aHost) const
  {
    return (aHost + 1) % Hosts();
  }

  /** Generates a key in a range that aHost owns. */
  std::string KeyOwnedBy(std::size_t aHost)
  {
    std::string key = NewKey();
    while (OwnerOf(key) != aHost) {
      key = NewKey();
    }
    return key;
  }
};

} // namespace

// Guards against a malformed key that one host accepts and another rejects.
TEST_CASE("A key contains a timestamp", "[commands]")
{
  REQUIRE(TimeOfKey("1800000000000-a_B-9") == 1800000000000);
  for (const char* bad :
       { "", "-a", "12", "12-", "x2-a", "1234567890123456-a", "12-a b" }) {
    REQUIRE_FALSE(TimeOfKey(bad));
  }
}

// Guards against hosts that assign ranges differently, and against a member
// change that moves ranges between the remaining hosts.
TEST_CASE("Ranges are assigned by rendezvous hashing", "[commands]")
{
  const std::vector<std::string> hosts{ "a", "b", "c", "d" };
  std::map<std::string, int> owned;
  for (std::uint32_t range = 0; range < kCommandRanges; ++range) {
    const auto ranked = RankHosts(range, hosts);
    REQUIRE(RankHosts(range, { "d", "b", "a", "c" }) == ranked);
    ++owned[ranked.front()];
    if (ranked.front() != "d") {
      REQUIRE(RankHosts(range, { "a", "b", "c" }).front() == ranked.front());
    }
  }
  for (const auto& [host, count] : owned) {
    REQUIRE(count > 40);
  }
}

TEST_CASE("An unknown strategy name is refused", "[commands]")
{
  const auto random = MakeSeededRandom(1);
  REQUIRE_THROWS_AS(MakeCommandGuard("hope", {}, *random), Error);
  for (const std::string_view name : CommandGuardNames()) {
    REQUIRE(MakeCommandGuard(name, {}, *random)->Name() == name);
  }
}

TEST_CASE("A command submitted through two hosts", "[commands]")
{
  SECTION("runs twice with the baseline strategy host_memory")
  {
    FleetOptions options = ThreeHosts("host_memory");
    options.m_assertInvariants = false;
    FleetWithOwners fleet(options);
    const std::string key = fleet.NewKey();
    REQUIRE(fleet.SubmitAndWait(0, HoldCommand(key))->m_ran == Ran::Yes);
    REQUIRE(fleet.SubmitAndWait(1, HoldCommand(key))->m_ran == Ran::Yes);
    REQUIRE(fleet.Runs(key) == 2);
  }
  const std::string strategy = GENERATE("store_claim", "leased_range");
  SECTION("runs once with " + strategy)
  {
    FleetWithOwners fleet(ThreeHosts(strategy));
    const std::string key = fleet.NewKey();
    const auto first = fleet.SubmitAndWait(0, HoldCommand(key));
    const auto second = fleet.SubmitAndWait(1, HoldCommand(key));
    REQUIRE(first->m_ran == Ran::Yes);
    REQUIRE(*second == *first);
    REQUIRE(fleet.Runs(key) == 1);

    SECTION("and the same key with another body is refused")
    {
      const auto other =
        fleet.SubmitAndWait(2, HoldCommand(key, "hold 8 buffers"));
      REQUIRE(other->m_error == ErrorKind::IdempotencyKeyReused);
      REQUIRE(fleet.Runs(key) == 1);
    }
  }
  SECTION("at the same time runs once, and all requests get its result, with " +
          strategy)
  {
    FleetWithOwners fleet(ThreeHosts(strategy));
    const std::string key = fleet.NewKey();
    std::vector<CommandOutcome> outcomes;
    for (std::size_t host = 0; host < 3; ++host) {
      fleet.Submit(
        host, HoldCommand(key), kSecond, [&](const CommandOutcome& aOutcome) {
          outcomes.push_back(aOutcome);
        });
    }
    fleet.RunFor(2 * kSecond);
    REQUIRE(outcomes.size() == 3);
    for (const CommandOutcome& outcome : outcomes) {
      REQUIRE(outcome.m_ran == Ran::Yes);
    }
    REQUIRE(fleet.Runs(key) == 1);
  }
}

TEST_CASE("A backend server that refuses a command or fails", "[commands]")
{
  FleetWithOwners fleet;
  const std::string key = fleet.NewKey();
  std::vector<DeliveryOutcome> deliveryOutcomes;
  fleet.m_backendFaultHook = [&](std::size_t, const SendCommand&) {
    const DeliveryOutcome deliveryOutcome = deliveryOutcomes.empty()
                                              ? DeliveryOutcome::Delivered
                                              : deliveryOutcomes.back();
    if (!deliveryOutcomes.empty()) {
      deliveryOutcomes.pop_back();
    }
    return deliveryOutcome;
  };

  SECTION(
    "is replaced by another replica after proof that the command did not run")
  {
    deliveryOutcomes = { DeliveryOutcome::Refused, DeliveryOutcome::Shed };
    REQUIRE(fleet.SubmitAndWait(0, HoldCommand(key))->m_ran == Ran::Yes);
    REQUIRE(fleet.Runs(key) == 1);
  }
  SECTION("leads to a permanent \"no\" if all replicas refuse")
  {
    deliveryOutcomes = std::vector<DeliveryOutcome>(100, DeliveryOutcome::Shed);
    REQUIRE(fleet.SubmitAndWait(0, HoldCommand(key))->m_ran == Ran::No);
    deliveryOutcomes.clear();
    const auto again = fleet.SubmitAndWait(1, HoldCommand(key));
    REQUIRE(again->m_error == ErrorKind::CommandRefused);
    REQUIRE(again->m_ran == Ran::No);
    REQUIRE(fleet.Runs(key) == 0);
  }
  SECTION(
    "leads to \"unknown\" if the reply is lost, also for a repeated request")
  {
    deliveryOutcomes = { DeliveryOutcome::ReplyLost };
    REQUIRE(fleet.SubmitAndWait(0, HoldCommand(key))->m_ran == Ran::Unknown);
    REQUIRE(fleet.SubmitAndWait(1, HoldCommand(key))->m_ran == Ran::Unknown);
    REQUIRE(fleet.Runs(key) == 1);
  }
  SECTION("leads to \"unknown\" if the reply echoes another command")
  {
    deliveryOutcomes = { DeliveryOutcome::MismatchedReply };
    REQUIRE(fleet.SubmitAndWait(0, HoldCommand(key))->m_ran == Ran::Unknown);
  }
}

TEST_CASE("The timestamp in a key", "[commands]")
{
  FleetWithOwners fleet;
  SECTION("may be ahead by the maximum clock skew")
  {
    REQUIRE(
      fleet.SubmitAndWait(0, HoldCommand(fleet.NewKey(kMaxClockSkew)))->m_ran ==
      Ran::Yes);
  }
  SECTION("is refused beyond that with \"unknown\" instead of \"no\"")
  {
    const auto answer =
      fleet.SubmitAndWait(0, HoldCommand(fleet.NewKey(kMaxClockSkew + 1)));
    REQUIRE(answer->m_error == ErrorKind::BadIdempotencyKey);
    REQUIRE(answer->m_ran == Ran::Unknown);
  }
  SECTION("older than the retention time gets \"unknown\"")
  {
    const auto answer =
      fleet.SubmitAndWait(0, HoldCommand(fleet.NewKey(-3600000)));
    REQUIRE(answer->m_ran == Ran::Unknown);
  }
  SECTION("expires after the retention time, and the key does not run again")
  {
    const std::string key = fleet.NewKey();
    REQUIRE(fleet.SubmitAndWait(0, HoldCommand(key))->m_ran == Ran::Yes);
    fleet.RunFor(601 * kSecond);
    REQUIRE(fleet.SubmitAndWait(0, HoldCommand(key))->m_ran == Ran::Unknown);
    REQUIRE(fleet.Runs(key) == 1);
  }
}

TEST_CASE("An owner that crashes", "[commands]")
{
  FleetWithOwners fleet;
  const std::string key = fleet.KeyOwnedBy(0);
  REQUIRE(fleet.SubmitAndWait(1, HoldCommand(key))->m_ran == Ran::Yes);
  fleet.Crash(0);
  fleet.PublishMembers(kSecond);

  SECTION("has no successor until its lease expires")
  {
    const auto answer = fleet.SubmitAndWait(1, HoldCommand(key), kSecond);
    REQUIRE(answer->m_ran == Ran::Unknown);
  }
  SECTION("is succeeded by a host that answers older keys with \"unknown\"")
  {
    fleet.RunFor(20 * kSecond);
    REQUIRE(fleet.OwnerOf(key) != 0);
    REQUIRE(fleet.SubmitAndWait(1, HoldCommand(key))->m_ran == Ran::Unknown);
    REQUIRE(fleet.Runs(key) == 1);

    SECTION("and accepts new keys")
    {
      REQUIRE(fleet.SubmitAndWait(2, HoldCommand(fleet.NewKey()))->m_ran ==
              Ran::Yes);
    }
  }
  SECTION("and restarts with the same id does not run the command again")
  {
    fleet.Restart(0);
    fleet.PublishMembers(kSecond);
    fleet.RunFor(20 * kSecond);
    for (std::size_t host = 0; host < 3; ++host) {
      REQUIRE(fleet.SubmitAndWait(host, HoldCommand(key))->m_ran ==
              Ran::Unknown);
    }
    REQUIRE(fleet.Runs(key) == 1);
  }
}

TEST_CASE("An owner that is paused until after the end of its lease",
          "[commands]")
{
  FleetWithOwners fleet;
  // The clock of the old owner is ahead of the others by kMaxClockSkew.
  fleet.SetClockError(0, kMaxClockSkew / 2);
  fleet.SetClockError(1, -kMaxClockSkew / 2);
  fleet.SetClockError(2, -kMaxClockSkew / 2);
  const std::string key = fleet.KeyOwnedBy(0);
  std::optional<CommandOutcome> firstOutcome;

  SECTION("after its decision to send the command")
  {
    fleet.m_backendClockError = [] { return -kMaxClockSkew / 2; };
    fleet.PauseAfterDecision(0, 25 * kSecond);
    fleet.Submit(
      0, HoldCommand(key), 30 * kSecond, [&](const CommandOutcome& aOutcome) {
        firstOutcome = aOutcome;
      });
    fleet.RunFor(20 * kSecond);
    const auto again = fleet.SubmitAndWait(1, HoldCommand(key));
    REQUIRE(again->m_ran == Ran::Unknown);
    fleet.RunFor(40 * kSecond);
    REQUIRE(fleet.Runs(key) == 0);
    REQUIRE(firstOutcome.has_value());
  }
  SECTION("does not accept keys of the lost range afterwards")
  {
    fleet.Pause(0, 25 * kSecond);
    fleet.RunFor(20 * kSecond);
    const std::size_t owner = fleet.OwnerOf(key);
    REQUIRE(owner != 0);
    const std::string newKey = fleet.KeyOwnedBy(owner);
    REQUIRE(fleet.SubmitAndWait(1, HoldCommand(newKey))->m_ran == Ran::Yes);
    fleet.RunFor(6 * kSecond);
    REQUIRE(fleet.SubmitAndWait(0, HoldCommand(newKey))->m_ran == Ran::Yes);
    REQUIRE(fleet.Runs(newKey) == 1);
  }
}

TEST_CASE("A store outage", "[commands]")
{
  FleetWithOwners fleet;
  const std::string key = fleet.KeyOwnedBy(0);
  REQUIRE(fleet.SubmitAndWait(1, HoldCommand(key))->m_ran == Ran::Yes);

  SECTION("shorter than the leases causes no refusals")
  {
    fleet.InjectStoreOutage(6 * kSecond);
    fleet.RunFor(3 * kSecond);
    REQUIRE(fleet.SubmitAndWait(1, HoldCommand(fleet.NewKey()))->m_ran ==
            Ran::Yes);
  }
  SECTION("longer than the leases stops the owners from accepting commands")
  {
    fleet.InjectStoreOutage(30 * kSecond);
    fleet.RunFor(20 * kSecond);
    const std::string during = fleet.NewKey();
    REQUIRE(fleet.SubmitAndWait(1, HoldCommand(during), kSecond)->m_ran ==
            Ran::Unknown);
    REQUIRE(fleet.Runs(during) == 0);

    SECTION(
      "and they resume with their records if no other host claimed the range")
    {
      fleet.RunFor(20 * kSecond);
      REQUIRE(fleet.OwnerOf(key) == 0);
      const auto again = fleet.SubmitAndWait(2, HoldCommand(key));
      REQUIRE(again->m_ran == Ran::Yes);
      REQUIRE(fleet.Runs(key) == 1);
    }
  }
}

TEST_CASE("A lost store reply", "[commands]")
{
  const DeliveryOutcome deliveryOutcome = GENERATE(DeliveryOutcome::ReplyLost,
                                                   DeliveryOutcome::RequestLost,
                                                   DeliveryOutcome::Late);
  const bool claims = GENERATE(true, false);
  FleetOptions options = ThreeHosts();
  CommandFleet fleet(options);
  int left = 40;
  fleet.m_storeFaultHook = [&](std::size_t, const StoreCall& aCall) {
    const bool claim = aCall.m_operation == StoreOperation::CompareAndSwap;
    return claim == claims && left-- > 0 ? deliveryOutcome
                                         : DeliveryOutcome::Delivered;
  };

  SECTION("leaves each range with one owner")
  {
    fleet.RunFor(60 * kSecond);
    std::uint64_t owned = 0;
    for (std::size_t host = 0; host < fleet.Hosts(); ++host) {
      owned += fleet.Guard(host).Counters().m_ownedRanges;
    }
    REQUIRE(owned == kCommandRanges);
    const std::string key = fleet.NewKey();
    REQUIRE(fleet.SubmitAndWait(0, HoldCommand(key))->m_ran == Ran::Yes);
    REQUIRE(fleet.SubmitAndWait(1, HoldCommand(key))->m_ran == Ran::Yes);
    REQUIRE(fleet.Runs(key) == 1);
  }
}

TEST_CASE("A forward that is lost", "[commands]")
{
  FleetWithOwners fleet;
  const std::string key = fleet.KeyOwnedBy(0);
  const DeliveryOutcome deliveryOutcome = GENERATE(DeliveryOutcome::ReplyLost,
                                                   DeliveryOutcome::RequestLost,
                                                   DeliveryOutcome::Refused);
  int left = 1;
  fleet.m_peerFaultHook = [&](std::size_t, std::size_t) {
    return left-- > 0 ? deliveryOutcome : DeliveryOutcome::Delivered;
  };
  SECTION("is sent again within the deadline and runs once")
  {
    const auto answer = fleet.SubmitAndWait(1, HoldCommand(key), 4 * kSecond);
    REQUIRE(answer->m_ran == Ran::Yes);
    REQUIRE(fleet.Runs(key) == 1);
  }
}

TEST_CASE("A planned shutdown", "[commands]")
{
  FleetWithOwners fleet;
  const std::string key = fleet.KeyOwnedBy(0);
  REQUIRE(fleet.SubmitAndWait(1, HoldCommand(key))->m_ran == Ran::Yes);

  SECTION("hands the records over")
  {
    fleet.Shutdown(0);
    fleet.PublishMembers(kSecond);
    fleet.RunFor(5 * kSecond);
    REQUIRE(fleet.Guard(0).Drained());
    fleet.Crash(0);
    REQUIRE(fleet.OwnerOf(key) != 0);
    REQUIRE(fleet.SubmitAndWait(1, HoldCommand(key))->m_ran == Ran::Yes);
    REQUIRE(fleet.Runs(key) == 1);
    REQUIRE(fleet.SubmitAndWait(2, HoldCommand(fleet.NewKey()))->m_ran ==
            Ran::Yes);
  }
  SECTION("refuses no command that arrives during the shutdown")
  {
    int answered = 0;
    fleet.Shutdown(0);
    fleet.PublishMembers(kSecond);
    for (int i = 0; i < 100; ++i) {
      fleet.Submit(i % 3,
                   HoldCommand(fleet.NewKey()),
                   2 * kSecond,
                   [&](const CommandOutcome& aOutcome) {
                     answered += aOutcome.m_ran == Ran::Yes ? 1 : 0;
                   });
      fleet.RunFor(Duration{ 20000 });
    }
    fleet.RunFor(3 * kSecond);
    REQUIRE(answered == 100);
  }
  SECTION("keeps one owner if the reply to a handover is lost or late")
  {
    const DeliveryOutcome deliveryOutcome =
      GENERATE(DeliveryOutcome::ReplyLost, DeliveryOutcome::Late);
    int left = 20;
    fleet.m_peerFaultHook = [&](std::size_t, std::size_t) {
      return left-- > 0 ? deliveryOutcome : DeliveryOutcome::Delivered;
    };
    fleet.Shutdown(0);
    fleet.PublishMembers(kSecond);
    fleet.RunFor(15 * kSecond);
    REQUIRE(fleet.SubmitAndWait(1, HoldCommand(key))->m_ran != Ran::No);
    REQUIRE(fleet.Runs(key) == 1);
  }
}

// Guards against a successor whose low watermark is too early: the old owner,
// with its clock ahead, accepts keys with later timestamps up to the end of its
// lease.
TEST_CASE("An owner that accepts keys up to the end of its lease", "[commands]")
{
  FleetWithOwners fleet;
  fleet.SetClockError(0, kMaxClockSkew / 2);
  fleet.SetClockError(1, -kMaxClockSkew / 2);
  fleet.SetClockError(2, -kMaxClockSkew / 2);
  fleet.m_storeFaultHook = [](std::size_t aHost, const StoreCall&) {
    return aHost == 0 ? DeliveryOutcome::RequestLost
                      : DeliveryOutcome::Delivered;
  };
  fleet.OmitFromMemberList(0);
  fleet.PublishMembers(Duration{ 0 });
  std::vector<std::string> keys;
  const std::string watched = fleet.KeyOwnedBy(0);
  const auto ignore = [](const CommandOutcome&) {};
  while (fleet.OwnerOf(watched) == 0) {
    // The caller's clock is ahead by the maximum skew.
    const std::string key = fleet.NewKey(kMaxClockSkew);
    if (fleet.OwnerOf(key) == 0) {
      keys.push_back(key);
      fleet.Submit(0, HoldCommand(key), Duration{ 300000 }, ignore);
    }
    fleet.RunFor(Duration{ 10000 });
  }
  fleet.RunFor(kSecond);

  SECTION("has a successor that does not run these keys again")
  {
    std::size_t ran = 0;
    for (const std::string& key : keys) {
      ran += fleet.Runs(key);
      fleet.SubmitAndWait(1, HoldCommand(key), kSecond / 2);
      REQUIRE(fleet.Runs(key) <= 1);
    }
    REQUIRE(ran > 0);
  }
}

// Guards against a handover that arrives late, after its sender has reclaimed
// the range and accepted further keys.
TEST_CASE("A handover that arrives late", "[commands]")
{
  FleetWithOwners fleet;
  fleet.m_peerFaultHook = [&](std::size_t aFrom, std::size_t) {
    return aFrom == 0 && fleet.Random().Below(4) != 0
             ? DeliveryOutcome::Late
             : DeliveryOutcome::Delivered;
  };
  fleet.Shutdown(0);
  fleet.PublishMembers(kSecond);
  std::vector<std::string> keys;
  const auto ignore = [](const CommandOutcome&) {};
  for (int i = 0; i < 400; ++i) {
    keys.push_back(fleet.NewKey());
    fleet.Submit(0, HoldCommand(keys.back()), kSecond, ignore);
    fleet.RunFor(Duration{ 20000 });
  }
  fleet.m_peerFaultHook = nullptr;
  fleet.RunFor(10 * kSecond);

  SECTION("does not make a command run twice")
  {
    for (const std::string& key : keys) {
      fleet.SubmitAndWait(1, HoldCommand(key));
      REQUIRE(fleet.Runs(key) <= 1);
    }
    REQUIRE(fleet.Guard(0).Counters().m_handoversSent > 0);
  }
}

// Injects all kinds of faults at once, with fixed seeds. The fleet asserts
// AtMostOnce, NotRunIsAccurate and ReplyMatchesRequest at each run and each
// answer.
TEST_CASE("No command runs twice with all kinds of faults at once",
          "[commands]")
{
  const std::uint64_t seed = GENERATE(11, 12, 13);
  const std::string strategy = GENERATE("store_claim", "leased_range");
  SECTION(strategy + " with seed " + std::to_string(seed))
  {
    CommandRunOptions options;
    options.m_fleet.m_seed = seed;
    options.m_fleet.m_strategy = strategy;
    options.m_commands = 3000;
    const CommandRunResult result = RunCommands(options);
    REQUIRE(result.m_duplicates == 0);
    REQUIRE(result.m_falseNotRunAnswers == 0);
    REQUIRE(result.m_executed > result.m_commands / 2);
  }
}
