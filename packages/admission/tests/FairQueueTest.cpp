#include <goldcrestkeel/Admission.h>
#include <goldcrestkeel/core/Random.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

using namespace goldcrestkeel;
using namespace std::chrono_literals;

namespace {

/** A server of fixed rate behind a queue, with callers of several tenants. */
class QueuePlay
{
public:
  struct Caller
  {
    std::string m_tenant;
    std::uint32_t m_priority = 0;
    double m_perSecond = 1;
    double m_rateLimit = 0;
    /** How long a request waits before it leaves. */
    Duration m_patience{ 1500000 };
    /** A request that left comes again at once. */
    bool m_retries = false;
    std::uint64_t m_offered = 0;
    std::uint64_t m_served = 0;
  };

  explicit QueuePlay(unsigned aSeed)
    : m_random(MakeSeededRandom(aSeed))
  {
    m_queue.SetSharing(true);
  }

  void Run(Duration aTime, double aServedPerSecond)
  {
    const Duration step(1000);
    for (const TimePoint end = m_now + aTime; m_now < end; m_now += step) {
      for (std::size_t i = 0; i < m_callers.size(); ++i) {
        if (m_random->Unit() < m_callers[i].m_perSecond / 1000) {
          Offer(i);
        }
      }
      Leave();
      m_capacity = std::min(1.5, m_capacity + aServedPerSecond / 1000);
      m_queue.BeginPass();
      const WaitingRequest* const next =
        m_capacity >= 1 ? m_queue.Next(m_now) : nullptr;
      if (next) {
        m_capacity -= 1;
        ++m_callers[m_owner.at(next->m_request)].m_served;
        m_queue.Serve(m_now, *next);
      }
    }
  }

  double ServedShare(std::size_t aFirst, std::size_t aLast) const
  {
    std::uint64_t offered = 0;
    std::uint64_t served = 0;
    for (std::size_t i = aFirst; i < aLast; ++i) {
      offered += m_callers[i].m_offered;
      served += m_callers[i].m_served;
    }
    return offered == 0
             ? 1
             : static_cast<double>(served) / static_cast<double>(offered);
  }

  void ResetCounts()
  {
    for (Caller& caller : m_callers) {
      caller.m_offered = 0;
      caller.m_served = 0;
    }
  }

  std::vector<Caller> m_callers;
  FairQueue m_queue;
  TimePoint m_now{ 100s };

private:
  void Offer(std::size_t aCaller)
  {
    Caller& caller = m_callers[aCaller];
    ++caller.m_offered;
    m_owner[m_next] = aCaller;
    m_queue.CountDemand(m_now, caller.m_tenant, caller.m_rateLimit);
    m_queue.Add(
      { m_next, 0, caller.m_priority, m_now + 1500ms, m_now, caller.m_tenant });
    m_leaving.emplace(m_now + caller.m_patience, m_next++);
  }

  void Leave()
  {
    while (!m_leaving.empty() && m_leaving.begin()->first <= m_now) {
      const std::uint64_t request = m_leaving.begin()->second;
      m_leaving.erase(m_leaving.begin());
      if (m_queue.Remove(request, 0) && m_callers[m_owner[request]].m_retries) {
        Offer(m_owner[request]);
      }
    }
  }

  std::unique_ptr<RandomSource> m_random;
  std::multimap<TimePoint, std::uint64_t> m_leaving;
  std::map<std::uint64_t, std::size_t> m_owner;
  std::uint64_t m_next = 1;
  double m_capacity = 0;
};

} // namespace

// Guards against another order on deployments without tenants.
TEST_CASE("Without tenants the order is priority, deadline, arrival", "[queue]")
{
  const unsigned seed = GENERATE(1U, 2U, 3U, 4U, 5U);
  CAPTURE(seed);
  auto random = MakeSeededRandom(seed);
  FairQueue queue;
  std::vector<WaitingRequest> expected;
  const TimePoint now{ 100s };
  for (std::uint64_t i = 0; i < 400; ++i) {
    if (!expected.empty() && random->Below(3) == 0) {
      const std::size_t at = random->Below(expected.size());
      const WaitingRequest cancelled = expected[at];
      REQUIRE(queue.Remove(cancelled.m_request, cancelled.m_part));
      expected.erase(expected.begin() + at);
    }
    const WaitingRequest request{ i,
                                  static_cast<std::uint32_t>(random->Below(3)),
                                  static_cast<std::uint32_t>(random->Below(3)),
                                  now + Duration(random->Below(9)),
                                  now,
                                  {} };
    queue.Add(request);
    expected.push_back(request);
  }
  std::stable_sort(expected.begin(),
                   expected.end(),
                   [](const WaitingRequest& aOne, const WaitingRequest& aTwo) {
                     return std::tie(aOne.m_priority, aOne.m_deadline) <
                            std::tie(aTwo.m_priority, aTwo.m_deadline);
                   });
  REQUIRE(queue.size() == expected.size());

  SECTION("when all can be dispatched")
  {
    for (const WaitingRequest& request : expected) {
      queue.BeginPass();
      const WaitingRequest* const next = queue.Next(now);
      REQUIRE(next);
      REQUIRE(next->m_request == request.m_request);
      queue.Serve(now, *next);
    }
    REQUIRE(queue.empty());
  }

  SECTION("when some are skipped and others leave meanwhile")
  {
    queue.BeginPass();
    for (std::size_t i = 0; i < expected.size(); ++i) {
      const WaitingRequest* const next = queue.Next(now);
      REQUIRE(next);
      REQUIRE(next->m_request == expected[i].m_request);
      if (i % 3 == 0) {
        queue.Remove(next->m_request, next->m_part);
      } else {
        queue.Skip(*next);
      }
    }
    REQUIRE(!queue.Next(now));
    queue.BeginPass();
    REQUIRE(queue.Next(now)->m_request == expected[1].m_request);
  }
}

// Guards against requests that are served after their caller has left.
TEST_CASE("A request that has left the queue is not served", "[queue]")
{
  FairQueue queue;
  queue.SetSharing(true);
  const TimePoint now{ 100s };
  queue.Add({ 1, 0, 0, now + 1s, now, "a" });
  queue.Add({ 1, 1, 0, now + 1s, now, "a" });
  REQUIRE(queue.Remove(1, 0));
  REQUIRE(!queue.Remove(1, 0));
  queue.BeginPass();
  REQUIRE(queue.Next(now)->m_part == 1);
  REQUIRE(queue.Remove(1, 1));
  REQUIRE(!queue.Next(now));
  REQUIRE(queue.AtLeast(0) == 0);
}

// Guards against tenants that gain by sending more, retrying at once or leaving
// early, and against tenants that get next to nothing.
TEST_CASE("Tenants share a server in proportion to their usual demand",
          "[queue]")
{
  const unsigned seed = GENERATE(1U, 2U, 3U, 4U);
  const bool limits = GENERATE(false, true);
  CAPTURE(seed, limits);
  QueuePlay play(seed);
  // A few tenants are much larger than the others.
  constexpr std::size_t kTenants = 20;
  double total = 0;
  for (std::size_t i = 0; i < kTenants; ++i) {
    QueuePlay::Caller caller;
    caller.m_tenant = "t" + std::to_string(i);
    caller.m_perSecond = 40 / std::pow(i + 1, 1.2);
    caller.m_rateLimit = limits ? 1.6 * caller.m_perSecond : 0;
    total += caller.m_perSecond;
    play.m_callers.push_back(caller);
  }
  play.Run(60s, 1.2 * total);
  REQUIRE(play.ServedShare(0, kTenants) > 0.98);
  play.ResetCounts();

  SECTION("so that each is served at least half as often as all")
  {
    play.Run(30s, 0.4 * total);
    const double overall = play.ServedShare(0, kTenants);
    REQUIRE(overall > 0.35);
    for (std::size_t i = 0; i < kTenants; ++i) {
      CAPTURE(i);
      REQUIRE(play.ServedShare(i, i + 1) >= 0.5 * overall);
    }
  }

  SECTION("so that one of them takes nothing from the others by sending more")
  {
    const std::size_t greedy = GENERATE(std::size_t{ 0 }, std::size_t{ 5 });
    const bool leaves = GENERATE(false, true);
    CAPTURE(greedy, leaves);
    QueuePlay::Caller& caller = play.m_callers[greedy];
    const double usual = caller.m_perSecond;
    caller.m_perSecond *= 10;
    caller.m_retries = true;
    if (leaves) {
      caller.m_patience = 100ms;
    }
    // Enough for the usual demand of all.
    play.Run(6s, 1.05 * total);
    std::uint64_t offered = 0;
    std::uint64_t served = 0;
    for (std::size_t i = 0; i < kTenants; ++i) {
      offered += i == greedy ? 0 : play.m_callers[i].m_offered;
      served += i == greedy ? 0 : play.m_callers[i].m_served;
    }
    REQUIRE(served >= 0.85 * offered);
    REQUIRE(play.m_callers[greedy].m_served >= 0.5 * 6 * usual);
  }
}

// Guards against permanent starvation, and against lower priorities that take
// more than their share.
TEST_CASE("Lower priorities get a small part of the capacity", "[queue]")
{
  const unsigned seed = GENERATE(1U, 2U, 3U);
  CAPTURE(seed);
  QueuePlay play(seed);
  for (std::uint32_t priority = 0; priority < 3; ++priority) {
    play.m_callers.push_back(
      { "t" + std::to_string(priority), priority, 100, 0, 1500ms, false });
  }
  play.Run(30s, 100);
  const auto served = [&](std::size_t aCaller) {
    return static_cast<double>(play.m_callers[aCaller].m_served) / 3000;
  };
  const double lower = 1.0 / kLowerPriorityInterval;
  CHECK(served(0) == Approx(1 - lower).margin(0.03));
  CHECK(served(1) == Approx(lower / 2).margin(0.02));
  CHECK(served(2) == Approx(lower / 2).margin(0.02));

  SECTION("and all that the higher ones leave")
  {
    play.m_callers[0].m_perSecond = 0;
    play.Run(2s, 100);
    play.ResetCounts();
    play.Run(10s, 100);
    CHECK(play.m_callers[1].m_served >= 0.8 * 1000);
  }
}

// Guards against estimates that count requests which are served later.
TEST_CASE("The requests ahead are estimated", "[queue]")
{
  FairQueue queue;
  const TimePoint now{ 100s };
  const auto add = [&](std::uint64_t aId,
                       std::uint32_t aPriority,
                       const std::string& aTenant) {
    queue.Add({ aId, 0, aPriority, now + 1s, now, aTenant });
  };
  const WaitingRequest late{ 100, 0, 1, now + 2s, now, "small" };

  SECTION("by priority and deadline without tenants")
  {
    add(1, 0, {});
    add(2, 1, {});
    add(3, 2, {});
    REQUIRE(queue.Ahead(now, { 9, 0, 1, now + 2s, now, {} }) == 2);
    REQUIRE(queue.Ahead(now, { 9, 0, 1, now + 500ms, now, {} }) == 1);
    REQUIRE(queue.Ahead(now, { 9, 0, 0, now + 500ms, now, {} }) == 0);
  }

  SECTION("without those of tenants that have had more than their share")
  {
    queue.SetSharing(true);
    for (std::uint64_t i = 0; i < 20; ++i) {
      queue.CountServed(now, "large");
      add(i, 1, "large");
    }
    REQUIRE(queue.Ahead(now, late) == 0);
    add(50, 1, "small");
    REQUIRE(queue.Ahead(now, late) < 3);
    REQUIRE(queue.Ahead(now, { 101, 0, 1, now + 2s, now, "large" }) >= 20);
  }

  SECTION("with the share of lower priorities")
  {
    queue.SetSharing(true);
    for (std::uint64_t i = 0; i < 100; ++i) {
      add(i, 0, "large");
    }
    add(200, 1, "small");
    REQUIRE(queue.Ahead(now, late) == kLowerPriorityInterval);
  }
}
