#include "EngineFixture.h"

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;

TEST_CASE("A fingerprint ignores case and white space", "[crash]")
{
  REQUIRE(Fingerprint("Oak  RAIL ") == Fingerprint("oak rail"));
  REQUIRE(Fingerprint("oak rail") != Fingerprint("oakrail"));
}

TEST_CASE("A guard may need more crashes", "[crash]")
{
  using namespace std::chrono_literals;
  CrashGuard guard({ 3, 1s });
  TimePoint now(1000s);
  const auto crash = [&](std::uint64_t aReplica) {
    guard.RecordCrash(now, now, 7, "GET /a", "s", aReplica, 0);
    return guard.StatusOf(7);
  };
  REQUIRE(crash(1) == StatementStatus::Suspect);

  SECTION("and those within its time count as one")
  {
    now += 500ms;
    crash(2);
    now += 500ms;
    crash(3);
    REQUIRE(guard.ReportOf(7).m_crashes == 1);
  }

  // Guards against crashes that prolong the time within which they are one.
  SECTION("however often others happen in between")
  {
    for (std::uint64_t replica = 2; replica <= 4; ++replica) {
      now += 700ms;
      crash(replica);
    }
    REQUIRE(guard.ReportOf(7).m_crashes == 2);
    now += 700ms;
    REQUIRE(crash(5) == StatementStatus::Quarantined);
  }

  SECTION("unless other statements were answered in between")
  {
    const auto crashAmongOthers = [&](std::uint64_t aReplica) {
      now += 100ms;
      guard.RecordCrash(now, now, 7, "GET /a", "s", aReplica, 0, now - 1ms);
      return guard.StatusOf(7);
    };
    REQUIRE(crashAmongOthers(2) == StatementStatus::Suspect);
    REQUIRE(crashAmongOthers(3) == StatementStatus::Quarantined);
  }

  SECTION("and those of attempts that were under way count as one")
  {
    for (std::uint64_t replica = 2; replica <= 5; ++replica) {
      guard.RecordCrash(
        now + replica * 2s, now - 1ms, 7, "GET /a", "s", replica, 0, now + 1ms);
    }
    REQUIRE(guard.ReportOf(7).m_crashes == 1);
  }

  SECTION("and quarantines at the last")
  {
    now += 2s;
    REQUIRE(crash(2) == StatementStatus::Suspect);
    now += 2s;
    REQUIRE(crash(3) == StatementStatus::Quarantined);

    SECTION("until it is forgotten")
    {
      guard.ForgetBefore(now);
      REQUIRE(guard.StatusOf(7) == StatementStatus::Quarantined);
      guard.ForgetBefore(now + 1us);
      REQUIRE(guard.StatusOf(7) == StatementStatus::Allowed);
    }
  }
}

// Guards against a statement that crashes all replicas of a shard through
// retries and hedges, and against the quarantine of a harmless statement.
TEST_CASE("Several connections of one fan-out are reset", "[crash]")
{
  EngineFixture fixture(2, 3);
  fixture.Start(1);
  fixture.Fail(0, SubFailureKind::Reset);
  fixture.Fail(1, SubFailureKind::Reset);

  SECTION("so it is neither hedged nor retried, and its answer is delayed")
  {
    fixture.AdvanceTo(Duration{ 90000 });
    REQUIRE(fixture.m_sent.size() == 2);
    REQUIRE(fixture.m_finished.empty());
    fixture.AdvanceTo(Duration{ 110000 });
    REQUIRE(fixture.OnlyAnswer().m_error);
    REQUIRE(fixture.OnlyAnswer().m_ran == Ran::Unknown);
    REQUIRE(fixture.Engine().Suspects().front().m_crashes == 1);
  }

  SECTION("and again when the search is repeated: it is quarantined")
  {
    fixture.AdvanceTo(Duration{ 200000 });
    fixture.Start(2);
    fixture.Fail(2, SubFailureKind::Reset);
    fixture.Fail(3, SubFailureKind::Reset);
    fixture.AdvanceTo(Duration{ 400000 });
    fixture.Start(3);
    REQUIRE(fixture.m_sent.size() == 4);
    REQUIRE(fixture.m_finished.back().m_error == ErrorKind::Quarantined);
    REQUIRE(fixture.m_finished.back().m_ran == Ran::No);
    REQUIRE(fixture.Counters().m_quarantined == 1);

    SECTION("until an operator lifts the quarantine")
    {
      const auto fingerprint =
        fixture.Engine().Suspects().front().m_fingerprint;
      REQUIRE(fixture.Engine().LiftQuarantine(fixture.m_now, fingerprint));
      fixture.Start(4);
      REQUIRE(fixture.m_sent.size() == 6);
    }

    SECTION("on other hosts too")
    {
      EngineFixture other(2, 3);
      Actions actions;
      other.Engine().MergeSuspects(
        other.m_now, fixture.Engine().Suspects(), actions);
      other.Start(1);
      REQUIRE(other.OnlyAnswer().m_error == ErrorKind::Quarantined);
    }
  }

  SECTION("and the repeated search completes: it is cleared")
  {
    fixture.AdvanceTo(Duration{ 200000 });
    fixture.Start(2);
    fixture.Start(3);
    INFO("a suspected statement runs only once at a time");
    REQUIRE(fixture.m_sent.size() == 4);
    fixture.Reply(2, {});
    fixture.Reply(3, {});
    REQUIRE(fixture.Engine().Suspects().front().m_crashes == 0);
    REQUIRE(fixture.m_sent.size() == 6);
  }
}

TEST_CASE("One connection of a fan-out is reset", "[crash]")
{
  EngineFixture fixture(2, 3);
  fixture.Start(1);
  fixture.Reply(1, {});
  fixture.Fail(0, SubFailureKind::Reset);
  fixture.AdvanceTo(Duration{ 20000 });
  REQUIRE(fixture.m_sent.size() == 2);
  fixture.AdvanceTo(Duration{ 40000 });
  REQUIRE(fixture.m_sent.size() == 3);

  SECTION("and the retry completes: the statement is harmless")
  {
    fixture.Reply(2, {});
    REQUIRE(fixture.OnlyAnswer().m_coverage.m_fraction == 1);
    REQUIRE(fixture.Engine().Suspects().front().m_crashes == 0);
  }

  SECTION("and the retry is reset too: the statement is quarantined")
  {
    fixture.Fail(2, SubFailureKind::Reset);
    fixture.AdvanceTo(Duration{ 200000 });
    REQUIRE(fixture.m_sent.size() == 3);
    REQUIRE(fixture.Engine().Suspects().front().m_quarantined);
  }
}

// Guards against a table that other hosts can make grow without bound.
TEST_CASE("A guard has more reports than entries", "[crash]")
{
  using namespace std::chrono_literals;
  CrashGuard guard({ 1 });
  TimePoint now(1000s);
  const auto quarantine = [&](std::uint64_t aFingerprint) {
    guard.Merge(now, { { aFingerprint, 3, true, 1, false, "GET /a" } });
    now += 1ms;
  };
  constexpr std::uint64_t kReports = CrashGuard::kMaxEntries + 10;
  for (std::uint64_t fingerprint = 1; fingerprint <= kReports; ++fingerprint) {
    quarantine(fingerprint);
  }
  REQUIRE(guard.Reports().size() <= CrashGuard::kMaxEntries);

  SECTION("so the oldest crashes are forgotten")
  {
    REQUIRE(guard.StatusOf(1) == StatementStatus::Allowed);
    REQUIRE(guard.StatusOf(kReports) == StatementStatus::Quarantined);
    REQUIRE(guard.OldestCrash() > TimePoint(1001s));
  }
}
