#include "CrashChecks.h"

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using namespace std::chrono_literals;

namespace {

constexpr CopyId kProbe = 5;

class Fixture : public ReplicaActivity
{
public:
  Fixture()
  {
    m_replica->m_record.m_id = "r1";
    m_replica->m_lastAnswerAt = m_now - 1s;
  }

  bool HasAnswerSince(TimePoint) const override { return m_anyAnswers; }
  TimePoint LastAnswerAt() const override
  {
    return m_lastAnswerAt.value_or(m_now);
  }
  bool HasAnswerNear(const PooledReplica&, TimePoint) const override
  {
    return m_nearAnswers;
  }
  bool HasAnswerOfService(const PooledReplica&, TimePoint) const override
  {
    return m_serviceAnswers;
  }

  bool Suspect(CrashSign aSign = CrashSign::Broken,
               std::uint64_t aFingerprint = 7)
  {
    CrashSuspicion suspicion;
    suspicion.m_report.m_fingerprint = aFingerprint;
    suspicion.m_crashedAt = m_now;
    suspicion.m_sentAt = m_now;
    suspicion.m_servedAt = m_now - m_servedAgo;
    suspicion.m_sign = aSign;
    return m_checks.Add(m_now, m_replica, suspicion, kProbe);
  }
  /** The outcomes until aTime has passed. */
  std::vector<CrashOutcome> Wait(Duration aTime)
  {
    std::vector<CrashOutcome> outcomes;
    for (const TimePoint end = m_now + aTime; m_now < end;) {
      m_now += 50ms;
      for (const CrashVerdict& verdict : m_checks.Decide(m_now, *this)) {
        outcomes.push_back(verdict.m_outcome);
      }
    }
    return outcomes;
  }

  using Outcomes = std::vector<CrashOutcome>;

  TimePoint m_now{ 1000s };
  std::shared_ptr<PooledReplica> m_replica = std::make_shared<PooledReplica>();
  Duration m_servedAgo = 1s;
  bool m_anyAnswers = true;
  /** Not set: now. */
  std::optional<TimePoint> m_lastAnswerAt;
  bool m_nearAnswers = true;
  bool m_serviceAnswers = true;
  CrashChecks m_checks;
};

using Outcomes = Fixture::Outcomes;

} // namespace

// Guards against crashes that are not attributed since the dead replica does
// not refuse connections.
TEST_CASE("A replica breaks off while it has a request", "[forward]")
{
  Fixture fixture;
  REQUIRE(fixture.Suspect());

  SECTION("and is down: that counts once no answer can be on its way")
  {
    fixture.m_checks.EndProbe(kProbe, ProbeOutcome::Down);
    REQUIRE(fixture.Wait(250ms).empty());
    REQUIRE(fixture.Wait(100ms) == Outcomes{ CrashOutcome::Counted });
    REQUIRE(fixture.m_checks.IsEmpty());
  }

  SECTION("and another instance answers at its address")
  {
    fixture.m_checks.EndProbe(kProbe, ProbeOutcome::Answered, "r2");
    REQUIRE(fixture.Wait(400ms) == Outcomes{ CrashOutcome::Counted });
  }

  SECTION("and has started again under its id")
  {
    fixture.m_replica->m_replaced = true;
    REQUIRE(fixture.Wait(400ms) == Outcomes{ CrashOutcome::Counted });
  }

  SECTION("and answers its health check: it lives")
  {
    fixture.m_checks.EndProbe(kProbe, ProbeOutcome::Answered, "r1");
    REQUIRE(fixture.Wait(100ms) == Outcomes{ CrashOutcome::ReplicaAlive });
  }

  SECTION("and answers on another connection: it lives")
  {
    fixture.m_replica->m_lastAnswerAt = fixture.m_now + 30ms;
    REQUIRE(fixture.Wait(100ms) == Outcomes{ CrashOutcome::ReplicaAlive });
  }

  SECTION("and an answer that was on its way arrives: that shows nothing")
  {
    fixture.m_checks.EndProbe(kProbe, ProbeOutcome::Down);
    fixture.m_replica->m_lastAnswerAt = fixture.m_now + 10ms;
    REQUIRE(fixture.Wait(400ms) == Outcomes{ CrashOutcome::Counted });
  }

  SECTION("and the health check hangs or is cut")
  {
    if (GENERATE(false, true)) {
      fixture.m_checks.EndProbe(kProbe, ProbeOutcome::NoAnswer);
    }

    SECTION("while others answer: it has crashed")
    {
      REQUIRE(fixture.Wait(950ms).empty());
      REQUIRE(fixture.Wait(100ms) == Outcomes{ CrashOutcome::Counted });
    }

    SECTION("while no other one answers: the network may be at fault")
    {
      // This one was on its way.
      fixture.m_lastAnswerAt = fixture.m_now + 50ms;
      REQUIRE(fixture.Wait(5s) == Outcomes{ CrashOutcome::NoAnswer });
    }
  }

  SECTION("and is down, but no other one answers either")
  {
    fixture.m_anyAnswers = false;
    fixture.m_checks.EndProbe(kProbe, ProbeOutcome::Down);
    REQUIRE(fixture.Wait(5s) == Outcomes{ CrashOutcome::NoContact });
  }

  SECTION("and such a request is answered")
  {
    fixture.m_checks.EndProbe(kProbe, ProbeOutcome::Down);
    fixture.m_checks.RequestAnswered(7);
    REQUIRE(fixture.Wait(100ms) == Outcomes{ CrashOutcome::RequestAnswered });
  }

  SECTION("and had others too, for which it is checked only once")
  {
    REQUIRE_FALSE(fixture.Suspect(CrashSign::Broken, 8));
    REQUIRE_FALSE(fixture.Suspect(CrashSign::Broken, 8));
    fixture.m_checks.EndProbe(kProbe, ProbeOutcome::Down);
    REQUIRE(fixture.Wait(400ms) ==
            Outcomes{ CrashOutcome::Counted, CrashOutcome::Counted });
  }

  SECTION("and had more than are kept")
  {
    for (std::uint64_t fingerprint = 100; fingerprint < 200; ++fingerprint) {
      fixture.Suspect(CrashSign::Broken, fingerprint);
    }
    const Outcomes outcomes = fixture.Wait(50ms);
    REQUIRE(outcomes.size() == 37);
    REQUIRE(outcomes.front() == CrashOutcome::NotChecked);
  }

  SECTION("and its health check is ended when it takes too long")
  {
    fixture.m_lastAnswerAt = fixture.m_now;
    fixture.Wait(900ms);
    REQUIRE(fixture.m_checks.TakeExpiredProbes().empty());
    fixture.Wait(200ms);
    REQUIRE(fixture.m_checks.TakeExpiredProbes() ==
            std::vector<CopyId>{ kProbe });
    REQUIRE_FALSE(fixture.m_checks.EndProbe(kProbe, ProbeOutcome::Answered));
  }
}

// Guards against requests in quarantine that are sent to replicas which are
// already dead.
TEST_CASE("All replicas of a service are dead, and answer nothing", "[forward]")
{
  Fixture fixture;
  const CrashSign sign = GENERATE(CrashSign::BrokenNew, CrashSign::Silent);

  SECTION("since some time")
  {
    fixture.m_servedAgo = 2s;
    fixture.Suspect(sign);
    REQUIRE(fixture.Wait(2s) == Outcomes{ CrashOutcome::NoAnswer });
  }

  SECTION("from now on")
  {
    (GENERATE(false, true) ? fixture.m_serviceAnswers : fixture.m_nearAnswers) =
      false;
    fixture.Suspect(sign);
    REQUIRE(fixture.Wait(2s) == Outcomes{ CrashOutcome::NoAnswer });
  }

  SECTION("but the request was on a connection that had brought answers")
  {
    fixture.m_servedAgo = 2s;
    fixture.m_nearAnswers = false;
    fixture.m_serviceAnswers = false;
    fixture.Suspect(CrashSign::Broken);
    REQUIRE(fixture.Wait(1100ms) == Outcomes{ CrashOutcome::Counted });
  }
}

TEST_CASE("A replica falls silent while it has a request", "[forward]")
{
  Fixture fixture;
  // A slow one must not get a health check in addition.
  REQUIRE_FALSE(fixture.Suspect(CrashSign::Silent));

  SECTION("and stays so: it has crashed")
  {
    REQUIRE(fixture.Wait(950ms).empty());
    REQUIRE(fixture.Wait(100ms) == Outcomes{ CrashOutcome::Counted });
  }

  SECTION("after it has answered others: the time runs from then")
  {
    fixture.m_replica->m_lastAnswerAt = fixture.m_now + 400ms;
    REQUIRE(fixture.Wait(1350ms).empty());
    REQUIRE(fixture.Wait(100ms) == Outcomes{ CrashOutcome::Counted });
  }

  SECTION("but answers others again: it was only slow")
  {
    fixture.Wait(600ms);
    fixture.m_replica->m_lastAnswerAt = fixture.m_now;
    REQUIRE(fixture.Wait(100ms) == Outcomes{ CrashOutcome::ReplicaAlive });
  }

  SECTION("and so do all near it: the network may be at fault")
  {
    fixture.m_nearAnswers = false;
    REQUIRE(fixture.Wait(5s) == Outcomes{ CrashOutcome::NoAnswer });
  }
}
