#include "LoadReport.h"
#include "LoadRunner.h"

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using namespace goldcrestkeel::gkctl;
using namespace std::chrono_literals;

TEST_CASE("Requests are scheduled at equal intervals", "[load]")
{
  REQUIRE(ScheduledTime(0, 3) == 0us);
  REQUIRE(ScheduledTime(1, 3) == 333333us);
  // Guards against adding up rounded intervals, which drifts.
  REQUIRE(ScheduledTime(3000000, 3) == 1000000s);
}

TEST_CASE("The report counts outcomes and latencies", "[load]")
{
  LoadReport report;
  Answer ok;
  ok.m_status = 200;
  ok.m_ran = Ran::Yes;
  ok.m_body = { { "coverage", { { "fraction", 0.5 } } } };
  for (int i = 1; i <= 1000; ++i) {
    report.Add(ok, std::chrono::milliseconds(i), 2ms);
  }
  Answer refused;
  refused.m_status = 503;
  refused.m_body = { { "error", "overloaded" } };
  report.Add(refused, 1us, 7ms);

  const nlohmann::json json = report.ToJson(10s, 100.1);
  REQUIRE(json.at("requests") == 1001);
  REQUIRE(json.at("succeeded") == 1000);
  REQUIRE(json.at("succeeded_per_s") == 100);
  REQUIRE(json.at("outcomes") ==
          nlohmann::json{ { "ok", 1000 }, { "overloaded", 1 } });
  REQUIRE(json.at("ran") == nlohmann::json{ { "no", 1 }, { "yes", 1000 } });
  REQUIRE(json.at("largest_send_lag_ms") == 7);
  REQUIRE(json.at("latency_ms") == nlohmann::json{ { "p50", 500 },
                                                   { "p90", 900 },
                                                   { "p99", 990 },
                                                   { "p999", 999 },
                                                   { "max", 1000 } });
  REQUIRE(json.at("coverage") ==
          nlohmann::json{ { "mean", 0.5 }, { "min", 0.5 } });
}

TEST_CASE("A load run against a closed port counts every request", "[load]")
{
  LoadPlan plan;
  // Port 1 of the loopback address is closed.
  plan.m_hosts = { "127.0.0.1:1", "127.0.0.2:1" };
  plan.m_rate = 10000;
  plan.m_count = 20;
  plan.m_attempts = 2;
  std::uint64_t madeCount = 0;
  plan.m_makeRequest = [&](std::uint64_t aIndex) {
    REQUIRE(aIndex == madeCount++);
    Request request;
    request.m_path = "/v1/services/s/search";
    request.m_body = "{}";
    request.m_timeout = 5s;
    return request;
  };
  LoadReport report;
  RunLoad(plan, report, [](const LoadProgress&) {});
  REQUIRE(madeCount == 20);
  REQUIRE(report.Total() == 20);
  REQUIRE(report.Answered() == 0);
  const nlohmann::json json = report.ToJson(1s, 1);
  REQUIRE(json.at("outcomes") == nlohmann::json{ { "unreachable", 20 } });
  // Nothing was sent, so nothing may be reported as unknown.
  REQUIRE(json.at("ran") == nlohmann::json{ { "no", 20 } });
}
