#include "ForwarderFixture.h"

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kFingerprint = 77;

class Fixture : public ForwarderFixture
{
public:
  explicit Fixture(bool aIdempotent = true)
  {
    m_fingerprint = kFingerprint;
    ApplyRoute(SingleRoute(aIdempotent), 10);
  }

  /** Sends the request, which crashes each replica that begins to run it;
   *  returns on how many. */
  std::size_t Crash()
  {
    const std::size_t before = m_sent.size();
    std::size_t crashed = 0;
    Start();
    while (m_sent.size() > before + crashed) {
      Fail(m_sent.at(before + crashed).m_copy, CopyFailure::Broken);
      ++crashed;
    }
    return crashed;
  }
  /** The caller of the last request leaves. */
  void Cancel() { m_forwarder->Cancel(m_now, m_next - 1); }
  /** The replicas that are probed are down. */
  void RefuseProbes()
  {
    for (const CopyId probe : std::exchange(m_probes, {})) {
      Fail(probe, CopyFailure::Refused);
    }
  }
  /** The request comes, and the crash is known. */
  std::size_t CrashAndLearn()
  {
    const std::size_t crashed = Crash();
    RefuseProbes();
    Advance(100ms);
    ServeOther();
    Advance(2s);
    return crashed;
  }
  /** Another request is served. */
  void ServeOther()
  {
    const std::uint64_t fingerprint =
      std::exchange(m_fingerprint, kFingerprint + 100);
    Start();
    Answer(m_sent.back().m_copy);
    m_fingerprint = fingerprint;
  }
  const ForwardResult& Result(ForwardId aRequest) const
  {
    return m_results.at(aRequest);
  }
};

SuspectReport
Quarantine()
{
  SuspectReport report;
  report.m_fingerprint = kFingerprint;
  report.m_crashes = 3;
  report.m_version = 3;
  report.m_quarantined = true;
  return report;
}

} // namespace

// Guards against a request that crashes replicas each time that it comes, and
// with them the sound requests that run there.
TEST_CASE("A request crashes each replica that runs it", "[forward]")
{
  Fixture fixture;
  REQUIRE(fixture.CrashAndLearn() == 2);
  REQUIRE(fixture.m_crashReports.size() == 1);
  REQUIRE(fixture.m_crashReports[0].m_fingerprint == kFingerprint);

  SECTION("so it is not sent to a second one when it comes again")
  {
    REQUIRE(fixture.CrashAndLearn() == 1);

    SECTION("and to none after the third crash")
    {
      REQUIRE(fixture.CrashAndLearn() == 1);
      REQUIRE(fixture.m_announced.size() == 1);
      const ForwardId refused = fixture.Start();
      REQUIRE(fixture.Result(refused).m_error == ErrorKind::RequestQuarantined);
      REQUIRE(fixture.Result(refused).m_retryAfter);
      REQUIRE(fixture.Crash() == 0);

      SECTION("for ten minutes")
      {
        fixture.Advance(590s);
        REQUIRE(fixture.Crash() == 0);
        fixture.Advance(20s);
        REQUIRE(fixture.Crash() > 0);
      }

      SECTION("while others are served")
      {
        fixture.m_fingerprint = kFingerprint + 1;
        fixture.Start();
        fixture.Answer(fixture.m_sent.back().m_copy);
        REQUIRE(fixture.m_results.rbegin()->second.m_answer.m_status == 200);
      }
    }
  }

  SECTION("unless it completes")
  {
    fixture.Start();
    fixture.Answer(fixture.m_sent.back().m_copy);
    REQUIRE(fixture.CrashAndLearn() == 2);
    REQUIRE(fixture.CrashAndLearn() == 1);
    REQUIRE(fixture.m_announced.empty());
  }
}

TEST_CASE("A request that is not idempotent crashes replicas", "[forward]")
{
  Fixture fixture(false);
  for (int crash = 1; crash <= 3; ++crash) {
    REQUIRE(fixture.CrashAndLearn() == 1);
  }
  REQUIRE(fixture.Crash() == 0);
}

// Guards against crashes that prolong the time within which they count as one.
TEST_CASE("A request that crashes replicas comes at short gaps", "[forward]")
{
  constexpr Duration kLearningTime = 4s;
  constexpr std::size_t kMaxLateCrashes = 3;
  const Duration gap =
    GENERATE(200ms, 250ms, 400ms, 500ms, 700ms, 900ms, 1000ms, 1200ms, 3s);
  CAPTURE(gap.count());
  Fixture fixture(GENERATE(false, true));
  std::vector<TimePoint> crashes;
  std::size_t late = 0;
  for (TimePoint end = fixture.m_now + 20s; fixture.m_now < end;) {
    const std::size_t crashed = fixture.Crash();
    crashes.insert(crashes.end(), crashed, fixture.m_now);
    if (crashes.size() > 2 && fixture.m_now > crashes[2] + kLearningTime) {
      late += crashed;
    }
    fixture.RefuseProbes();
    fixture.Advance(gap / 2);
    fixture.ServeOther();
    fixture.Advance(gap / 2);
  }
  REQUIRE(crashes.size() > 2);
  REQUIRE(late <= kMaxLateCrashes);
}

// Guards against sound requests in quarantine, as they run on replicas that
// crash for other reasons.
TEST_CASE("A replica breaks off while a request runs", "[forward]")
{
  Fixture fixture;

  SECTION("and another one answers: the request is sound")
  {
    fixture.Start();
    fixture.Fail(fixture.m_sent.back().m_copy, CopyFailure::Broken);
    fixture.Answer(fixture.m_sent.back().m_copy);
    REQUIRE(fixture.m_probes.empty());
  }

  SECTION("and one like it was answered meanwhile: it is sound")
  {
    fixture.ApplyRoute(fixture.SingleRoute(false), 10);
    fixture.m_answerProbes = false;
    fixture.Start();
    const CopyId broken = fixture.m_sent.back().m_copy;
    fixture.Advance(10ms);
    fixture.Start();
    const CopyId like = fixture.m_sent.back().m_copy;

    SECTION("before, so that no health check is sent")
    {
      fixture.Answer(like);
      fixture.Fail(broken, CopyFailure::Broken);
      REQUIRE(fixture.m_probes.empty());
    }

    SECTION("or after, which ends the health check")
    {
      fixture.Fail(broken, CopyFailure::Broken);
      REQUIRE(fixture.m_probes.size() == 1);
      fixture.Answer(like);
      fixture.Advance(150ms);
      REQUIRE(fixture.m_aborted ==
              std::vector<CopyId>{ fixture.m_probes.back() });
    }
  }

  SECTION("or was down before, so that it has not run there")
  {
    fixture.m_sendAtOnce = false;
    fixture.Start();
    fixture.Fail(fixture.m_sent.back().m_copy, CopyFailure::Refused);
    fixture.m_sendAtOnce = true;
    fixture.Cancel();
    REQUIRE(fixture.m_probes.empty());
  }

  SECTION("but is not down: its answer was lost")
  {
    fixture.Crash();
    REQUIRE(fixture.m_probes.size() == 1);
    fixture.Answer(fixture.m_probes.back());
    fixture.Advance(2s);
    REQUIRE(fixture.m_crashReports.empty());
  }

  SECTION("and the health check gets no answer: the network may be at fault")
  {
    fixture.m_answerProbes = false;
    fixture.Crash();
    const CopyId probe = fixture.m_probes.back();
    fixture.Advance(2s);
    REQUIRE(fixture.m_crashReports.empty());
    REQUIRE(fixture.m_aborted.back() == probe);
  }

  SECTION("and so do those of many requests at once: that is one crash")
  {
    for (int request = 0; request < 4; ++request) {
      fixture.Crash();
      fixture.RefuseProbes();
      fixture.Advance(200ms);
    }
    REQUIRE(fixture.CrashAndLearn() > 0);
    REQUIRE(fixture.m_announced.empty());
    REQUIRE(fixture.CrashAndLearn() == 1);
    REQUIRE(fixture.m_announced.empty());
  }

  SECTION("and no other one answers: this host may be cut off")
  {
    fixture.m_answerProbes = false;
    fixture.ApplyRoute(fixture.SingleRoute(false), 10);
    REQUIRE(fixture.Crash() == 1);
    fixture.RefuseProbes();
    fixture.Advance(9s);
    REQUIRE(fixture.m_forwarder->Contact() == ContactState::Reached);
    REQUIRE(fixture.m_crashReports.empty());
  }

  SECTION("and so do all replicas: this host is cut off")
  {
    fixture.m_answerProbes = false;
    // One connection lives on for a while.
    fixture.m_fingerprint = kFingerprint + 100;
    fixture.Start();
    const CopyId open = fixture.m_sent.back().m_copy;
    for (std::uint64_t request = 0; request < 8; ++request) {
      fixture.m_fingerprint = kFingerprint + request;
      fixture.Crash();
    }
    fixture.RefuseProbes();
    fixture.Advance(700ms);
    fixture.Answer(open);
    fixture.Advance(9s);
    REQUIRE(fixture.m_forwarder->Contact() != ContactState::Reached);
    REQUIRE(fixture.m_crashReports.empty());
  }
}

TEST_CASE("A gathered request crashes the replicas of all shards", "[forward]")
{
  Fixture fixture;
  fixture.ApplyRoute(fixture.GatherRoute(6, 0.5), 3);
  const auto failFirst = [&](std::size_t aCopies) {
    for (std::size_t i = 0; i < aCopies; ++i) {
      fixture.Fail(fixture.m_sent.at(i).m_copy, CopyFailure::Broken);
    }
  };
  fixture.Start();
  REQUIRE(fixture.m_sent.size() == 6);

  SECTION("which counts as two crashes")
  {
    for (std::size_t i = 0; i < fixture.m_sent.size(); ++i) {
      fixture.Fail(fixture.m_sent.at(i).m_copy, CopyFailure::Broken);
    }
    fixture.RefuseProbes();
    fixture.ServeOther();
    fixture.Advance(1s);
    REQUIRE(fixture.m_forwarder->SuspectOf(kFingerprint).m_crashes == 2);
  }

  SECTION("and is not sent to a second one of most")
  {
    failFirst(6);
    // Up to half of the shards, before the pattern shows.
    REQUIRE(fixture.m_sent.size() <= 9);
  }

  SECTION("but an outage of some replicas is retried")
  {
    failFirst(3);
    REQUIRE(fixture.m_sent.size() == 9);
  }

  SECTION("and so is one of most, once a replica has answered")
  {
    fixture.Answer(fixture.m_sent.at(5).m_copy);
    failFirst(5);
    REQUIRE(fixture.m_sent.size() == 11);
  }
}

TEST_CASE("Other hosts tell of crashes", "[forward]")
{
  Fixture fixture;
  CrashReport report;
  report.m_fingerprint = kFingerprint;
  report.m_service = "single";

  SECTION("which are counted here")
  {
    for (const char* replica : { "a", "b", "c" }) {
      REQUIRE(fixture.m_announced.empty());
      report.m_replica = replica;
      fixture.m_forwarder->CrashReported(fixture.m_now, report);
      fixture.Advance(2s);
    }
    REQUIRE(fixture.m_announced.size() == 1);
    // They are not passed on.
    REQUIRE(fixture.m_crashReports.empty());
  }

  SECTION("and the same crash counts once")
  {
    report.m_replica = "a";
    for (int i = 0; i < 5; ++i) {
      fixture.m_forwarder->CrashReported(fixture.m_now, report);
      fixture.Advance(2s);
    }
    REQUIRE(fixture.m_announced.empty());
  }

  SECTION("and of requests in quarantine, which are refused")
  {
    fixture.m_sendAtOnce = false;
    const ForwardId waiting = fixture.Start();
    REQUIRE(fixture.m_sent.size() == 1);
    fixture.m_forwarder->MergeQuarantines(fixture.m_now, { Quarantine() });
    REQUIRE(fixture.Result(waiting).m_error == ErrorKind::RequestQuarantined);
    REQUIRE(fixture.m_aborted.size() == 1);
    REQUIRE(fixture.Crash() == 0);
    // The host that found it tells all others.
    REQUIRE(fixture.m_announced.empty());
  }

  SECTION("and one that was sent already ends without a promise")
  {
    const ForwardId running = fixture.Start();
    fixture.m_forwarder->MergeQuarantines(fixture.m_now, { Quarantine() });
    REQUIRE_FALSE(fixture.m_results.contains(running));
    fixture.Fail(fixture.m_sent.back().m_copy, CopyFailure::Broken);
    REQUIRE(fixture.m_sent.size() == 1);
    REQUIRE(fixture.Result(running).m_error == ErrorKind::BackendFailed);
  }
}

// Guards against a popular request in quarantine, which other hosts than the
// counting ones see answered.
TEST_CASE("A request is suspected on another host", "[forward]")
{
  Fixture fixture;

  SECTION("which asks all hosts, one crash before the quarantine")
  {
    fixture.CrashAndLearn();
    REQUIRE(fixture.m_suspects.empty());
    fixture.CrashAndLearn();
    REQUIRE(fixture.m_suspects.size() == 1);

    SECTION("and one tells that replicas answer it")
    {
      fixture.m_forwarder->AnswerReported(kFingerprint);
      REQUIRE(fixture.CrashAndLearn() == 2);
      REQUIRE(fixture.m_announced.empty());
    }
  }

  // Guards against a popular request in quarantine, as another one ends all
  // replicas again and again (soak seed 1027).
  SECTION(
    "and was answered here lately, so that no crash puts it in quarantine")
  {
    fixture.Start();
    fixture.Answer(fixture.m_sent.back().m_copy);
    for (const char* replica : { "a", "b", "c", "d" }) {
      fixture.Advance(2s);
      CrashReport report;
      report.m_fingerprint = kFingerprint;
      report.m_replica = replica;
      report.m_services = 3;
      fixture.m_forwarder->CrashReported(fixture.m_now, report);
    }
    REQUIRE(fixture.m_announced.empty());
    REQUIRE(fixture.m_forwarder->SuspectOf(kFingerprint).m_crashes == 2);
  }

  SECTION("and was answered here lately")
  {
    fixture.Start();
    fixture.Answer(fixture.m_sent.back().m_copy);
    fixture.Advance(9s);
    REQUIRE(fixture.m_forwarder->SuspectReported(fixture.m_now, Quarantine()));
    REQUIRE(fixture.Crash() == 2);
  }

  SECTION("so that one replica at most runs it")
  {
    REQUIRE_FALSE(
      fixture.m_forwarder->SuspectReported(fixture.m_now, Quarantine()));
    REQUIRE(fixture.Crash() == 1);

    SECTION("until one answers, which the counting hosts are told")
    {
      fixture.Start();
      fixture.Answer(fixture.m_sent.back().m_copy);
      REQUIRE(fixture.m_reportedAnswered ==
              std::vector<std::uint64_t>{ kFingerprint });
      REQUIRE(fixture.Crash() == 2);
    }
  }

  // Guards against a request in quarantine after two crashes, as the question
  // comes before the report.
  SECTION("and its crashes are reported, which count once")
  {
    fixture.m_forwarder->SuspectReported(fixture.m_now, Quarantine());
    CrashReport report;
    report.m_fingerprint = kFingerprint;
    report.m_services = 3;
    fixture.m_forwarder->CrashReported(fixture.m_now, report);
    REQUIRE(fixture.m_forwarder->SuspectOf(kFingerprint).m_crashes == 2);
    REQUIRE(fixture.m_announced.empty());
  }

  SECTION("and its crash is reported, though it was answered since")
  {
    fixture.Start();
    fixture.Answer(fixture.m_sent.back().m_copy);
    CrashReport report;
    report.m_fingerprint = kFingerprint;
    report.m_sinceSent = 100ms;
    fixture.m_forwarder->CrashReported(fixture.m_now, report);
    REQUIRE(fixture.m_forwarder->SuspectOf(kFingerprint).m_crashes == 0);
  }
}

// Guards against a popular request in quarantine, as all replicas of its
// service are silent.
TEST_CASE("All replicas of a service fall silent", "[forward]")
{
  Fixture fixture(false);
  fixture.m_answerProbes = false;
  Route other = fixture.SingleRoute(true);
  other.m_name = "other";
  other.m_services = { { "other", 1 } };
  fixture.m_table->m_routes.push_back(other);
  fixture.m_table->m_services["other"] = { "other", 8 };
  for (std::size_t i = 0; i < 3; ++i) {
    fixture.m_forwarder->UpdateReplica(
      fixture.m_now, fixture.Replica("other", i), fixture.m_now);
  }
  fixture.ServeOther();
  for (int i = 0; i < 40; ++i) {
    fixture.Start();
    ForwardRequest request;
    request.m_id = fixture.m_next++;
    request.m_table = fixture.m_table;
    request.m_route = &fixture.m_table->m_routes.back();
    request.m_deadline = fixture.m_now + 1s;
    fixture.m_forwarder->Start(fixture.m_now, request);
    fixture.Answer(fixture.LastCopyTo("other").m_copy);
    fixture.Advance(100ms);
  }
  REQUIRE(fixture.m_crashReports.empty());
}

TEST_CASE("A replica falls silent with a request", "[forward]")
{
  Fixture fixture(false);
  fixture.ServeOther();
  fixture.Start(4s);
  // Others are served, and the caller waits, or leaves.
  for (int i = 0; i < 20; ++i) {
    fixture.Advance(100ms);
    fixture.ServeOther();
    if (i == 5 && GENERATE(false, true)) {
      fixture.m_forwarder->Cancel(fixture.m_now, 2);
    }
  }
  REQUIRE(fixture.m_crashReports.size() == 1);
  REQUIRE(fixture.m_crashReports[0].m_replica == fixture.m_sent[1].m_replica);
}

// Guards against a host that asks the shards itself when another one has
// refused to.
TEST_CASE("A host refuses a relayed request that is in quarantine", "[forward]")
{
  Fixture fixture;
  fixture.ApplyRoute(fixture.GatherRoute(8, 0.5), 2);
  fixture.m_forwarder->SetHosts(fixture.m_now,
                                { { "other", "b", "10.0.0.9:1", 1 } });
  for (std::uint32_t shard = 0; shard < 8; ++shard) {
    for (std::uint32_t number = 0; number < 2; ++number) {
      ReplicaRecord replica =
        fixture.Replica("shard" + std::to_string(shard), number);
      replica.m_dataCentre = "b";
      fixture.m_forwarder->UpdateReplica(fixture.m_now, replica, fixture.m_now);
    }
  }
  const ForwardId request = fixture.Start();
  REQUIRE(fixture.m_relays.size() == 1);
  REQUIRE(fixture.m_sent.empty());
  ReplicaAnswer refusal;
  refusal.m_status = 503;
  refusal.m_notRun = true;
  refusal.m_quarantined = true;
  fixture.AnswerWith(fixture.m_relays.back().m_copy, refusal);
  REQUIRE(fixture.m_sent.empty());
  REQUIRE(fixture.Result(request).m_error == ErrorKind::RequestQuarantined);
  REQUIRE(fixture.Crash() == 0);
}
