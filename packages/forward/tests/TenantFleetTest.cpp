#include "TenantLoad.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

namespace {

/** Several hosts before one service that refuses what exceeds its queues, or
 *  before six shards. */
ForwardFleetOptions
Deployment(bool aGather, unsigned aSeed)
{
  ForwardFleetOptions options;
  options.m_dataCentres = 6;
  options.m_hostsEach = 10;
  options.m_requestRate = 0;
  options.m_connections = 63;
  options.m_seed = aSeed;
  if (aGather) {
    options.m_shards = 6;
    options.m_replicas = 3;
    options.m_slots = 4;
    options.m_work = 15ms;
    options.m_target = 200ms;
    options.m_timeout = 600ms;
    options.m_minShardRatio = 0.8;
  } else {
    options.m_replicas = 11;
    options.m_slots = 2;
    options.m_queueLimit = 8;
    options.m_work = 60ms;
    options.m_target = 600ms;
    options.m_timeout = 1500ms;
    options.m_idempotent = false;
  }
  return options;
}

double
CapacityOf(const ForwardFleetOptions& aOptions)
{
  return 1e6 * static_cast<double>(aOptions.m_replicas * aOptions.m_slots) /
         static_cast<double>(aOptions.m_work.count());
}

double
InTarget(const TenantLoad::Callers& aCallers)
{
  return static_cast<double>(aCallers.m_inTarget) /
         static_cast<double>(aCallers.m_requests);
}

} // namespace

// Guards against load of any tenant that ends the service of all, and against
// refusals of load that the replicas can serve. 2.5 times the capacity is the
// highest burst that callers are known to send.
TEST_CASE("Tenants share overloaded services by priority", "[tenants][fleet]")
{
  const bool gather = GENERATE(false, true);
  const unsigned seed = GENERATE(1U, 2U);
  CAPTURE(gather, seed);
  ForwardFleetOptions options = Deployment(gather, seed);
  options.m_tenants = TenantLoad::MakeTenants(73, 3, CapacityOf(options));
  ForwardFleet fleet(options);
  TenantLoad load(fleet, options.m_tenants, options.m_target, seed + 6, true);
  load.m_factor = 0.7;
  fleet.Run(10s);
  CHECK(InTarget(load.Sum()) > 0.95);
  load.m_factor = 2.5;
  fleet.Run(3s);
  load.ResetOutcomes();
  fleet.Run(8s);
  const TenantLoad::Callers all = load.Sum();
  CAPTURE(InTarget(all), all.ServedShare());
  CHECK(all.ServedShare() > 0.25);
  CHECK(load.SumOf(0).ServedShare() > all.ServedShare());
  CHECK(load.SumOf(0).ServedShare() > load.SumOf(2).ServedShare());
  CHECK(load.SumOf(2).ServedShare() > 0.25 * all.ServedShare());
  REQUIRE(all.m_refused > 0);
  // A third of the target: well before the deadline.
  CHECK(all.m_refusalTime / all.m_refused < 200ms);
}

// Guards against a tenant that gets more by sending more, by repeating refused
// requests at once, or by leaving early.
TEST_CASE("A tenant that sends ten times its usual takes little from others",
          "[tenants][fleet]")
{
  const bool leaves = GENERATE(false, true);
  const unsigned seed = GENERATE(1U, 2U);
  CAPTURE(leaves, seed);
  ForwardFleetOptions options = Deployment(false, seed);
  options.m_tenants = TenantLoad::MakeTenants(73, 1, CapacityOf(options));
  ForwardFleet fleet(options);
  TenantLoad load(fleet, options.m_tenants, options.m_target, seed + 6, true);
  load.m_factor = 0.7;
  fleet.Run(15s);
  load.ResetOutcomes();
  TenantLoad::Callers& greedy = load.m_callers[1];
  greedy.m_perSecond *= 10;
  greedy.m_retryAfter = 20ms;
  greedy.m_leaveAfter = leaves ? Duration(100ms) : Duration(0);
  fleet.Run(6s);
  TenantLoad::Callers others;
  for (std::size_t i = 0; i < load.m_callers.size(); ++i) {
    if (i != 1) {
      others += load.m_callers[i];
    }
  }
  CAPTURE(InTarget(others), greedy.ServedShare());
  CHECK(others.ServedShare() > 0.8);
}
