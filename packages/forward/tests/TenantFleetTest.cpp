#include "TenantLoad.h"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace goldcrestkeel;
using namespace goldcrestkeel::testing;
using namespace std::chrono_literals;

TEST_CASE("explore", "[.explore]")
{
  for (const std::uint32_t prios : { 1U, 3U })
    for (const bool tenants : { false, true }) {
      for (const std::size_t shards : { std::size_t{ 0 }, std::size_t{ 6 } }) {
        for (const double overload : { 0.7, 1.2, 2.5 }) {
          ForwardFleetOptions options;
          options.m_dataCentres = 6;
          options.m_hostsEach = 10;
          options.m_requestRate = 0;
          options.m_shards = shards;
          options.m_seed = 1;
          options.m_connections = 63;
          double capacity = 0;
          if (shards == 0) {
            options.m_replicas = 11;
            options.m_slots = 2;
            options.m_queueLimit = 8;
            options.m_work = 60ms;
            options.m_target = 600ms;
            options.m_timeout = 1500ms;
            options.m_idempotent = false;
            capacity = 22 / 0.06;
          } else {
            options.m_replicas = 3;
            options.m_slots = 4;
            options.m_work = 15ms;
            options.m_target = 200ms;
            options.m_timeout = 600ms;
            options.m_minShardRatio = 0.8;
            capacity = 12 / 0.015;
          }
          const auto list = TenantLoad::MakeTenants(73, prios, capacity);
          if (tenants) {
            options.m_tenants = list;
          }
          ForwardFleet fleet(options);
          TenantLoad load(fleet, list, options.m_target, 7, tenants);
          load.m_factor = 0.7;
          fleet.Run(15s);
          load.m_factor = overload;
          fleet.Run(3s);
          load.ResetOutcomes();
          fleet.Run(12s);
          const auto sum = load.Sum();
          std::printf(
            "prios %u tenants %d shards %zu x%.1f: req %zu inT %.3f late %.3f "
            "ref %.3f (%.0f ms) fail %.3f |",
            prios,
            tenants,
            shards,
            overload,
            sum.m_requests,
            double(sum.m_inTarget) / sum.m_requests,
            double(sum.m_late) / sum.m_requests,
            double(sum.m_refused) / sum.m_requests,
            sum.m_refused ? sum.m_refusalTime.count() / 1e3 / sum.m_refused
                          : 0.0,
            double(sum.m_failed) / sum.m_requests);
          for (std::uint32_t p = 0; p < 3; ++p) {
            std::printf(" p%u %.3f", p, load.SumOf(p).ServedShare());
          }
          double least = 1;
          for (const auto& c : load.m_callers) {
            if (c.m_requests > 20) {
              least = std::min(least, c.ServedShare());
            }
          }
          std::printf(" least/all %.2f t0 %.3f\n",
                      least / sum.ServedShare(),
                      load.m_callers[0].ServedShare());
        }
      }
    }
}
