#include "ForwardFleet.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

namespace {

constexpr Duration kColdTime = 3s;
constexpr double kPerSecond = 10;
/** 1.5 times the limit, and five. */
constexpr std::size_t kMostCold = 20;

/** Six replicas with two slots and a queue of eight, at about half of what they
 *  can do, each cold for 3 s after its start. */
ForwardFleetOptions
Options(std::size_t aHosts, bool aPaced)
{
  ForwardFleetOptions options;
  options.m_dataCentres = 6;
  options.m_hosts = aHosts;
  options.m_requestRate = 100;
  options.m_work = 60ms;
  options.m_slots = 2;
  options.m_queue = 8;
  options.m_connections = 63;
  options.m_target = 600ms;
  options.m_timeout = 1500ms;
  options.m_coldTime = kColdTime;
  options.m_coldFactor = 1.6;
  if (aPaced) {
    options.m_warmupTime = kColdTime;
    options.m_warmupPerSecond = kPerSecond;
  }
  return options;
}

} // namespace

TEST_CASE("trial", "[.trial]")
{
  for (const int crash : { 0, 25 }) {
    for (const std::size_t hosts : { 1, 10, 60 }) {
      for (const double rate : { 60.0, 100.0, 150.0 }) {
        for (const bool paced : { false, true }) {
          for (const bool isNew : { true, false }) {
            ForwardFleet::Outcomes sum;
            std::size_t crashes = 0;
            std::size_t cold = 0;
            std::size_t queued = 0;
            std::size_t got = 0;
            for (unsigned seed = 1; seed <= 4; ++seed) {
              ForwardFleetOptions options = Options(hosts, paced);
              options.m_seed = seed;
              options.m_requestRate = rate;
              options.m_crashRequests = crash;
              ForwardFleet fleet(options);
              fleet.Run(10s);
              fleet.ResetOutcomes();
              const TimePoint from = fleet.Now();
              for (const int dc : { 0, 1 }) {
                fleet.Crash(0, dc);
              }
              fleet.Run(3s);
              for (const int dc : { 0, 1 }) {
                fleet.Return(0, dc, isNew);
              }
              const TimePoint back = fleet.Now();
              fleet.Run(10s);
              sum += fleet.m_outcomes;
              crashes += fleet.Crashes();
              cold = std::max(cold, fleet.MostColdRequests(0, 0, from));
              queued = std::max(queued, fleet.MostQueued(0, 0));
              got += fleet.RequestsSince(0, 0, back);
            }
            std::cout << "crash>" << crash << " hosts " << hosts << " rate "
                      << rate << (paced ? " paced " : " plain ")
                      << (isNew ? "new " : "same") << ": req " << sum.m_requests
                      << " intarget " << sum.m_inTarget << " late "
                      << sum.m_late << " refused " << sum.m_refused
                      << " failed " << sum.m_failed << " mean ms "
                      << sum.m_answerTime.count() / 1000.0 /
                           (sum.m_inTarget + sum.m_late)
                      << " crashes " << crashes << " cold/s " << cold
                      << " queued " << queued << " got " << got << std::endl;
          }
        }
      }
    }
  }
}
