#include "ServicePlan.h"

#include "FakeTransport.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>

using namespace goldcrestkeel;
using namespace goldcrestkeel::gkctl;
using Catch::Matchers::Contains;

namespace {

ReplicaSpec
MakeReplica(const std::string& aId, const std::string& aShard)
{
  return {
    aId, "127.0.0.1:9001", "dc1", "north", aShard, 2, 25, Duration{ 0 }
  };
}

ServiceSpec
MakeService(const std::string& aName)
{
  ServiceSpec spec;
  spec.m_name = aName;
  spec.m_shards = { "s0", "s1" };
  spec.m_replicas = { MakeReplica(aName + "-0", "s0"),
                      MakeReplica(aName + "-1", "s1") };
  return spec;
}

/** Returns aServices after the execution of aPlan. */
Services
Execute(Services aServices, const std::vector<Statement>& aPlan)
{
  for (const Statement& statement : aPlan) {
    if (const auto* create = std::get_if<CreateServiceStatement>(&statement)) {
      aServices[create->m_service] = ToServiceSpec(*create);
    } else if (const auto* alter =
                 std::get_if<AlterServiceStatement>(&statement)) {
      ServiceSpec& spec = aServices.at(alter->m_service);
      spec = ApplyAlterations(spec, *alter);
    } else {
      aServices.erase(std::get<DropServiceStatement>(statement).m_service);
    }
  }
  for (auto& [name, spec] : aServices) {
    std::sort(spec.m_shards.begin(), spec.m_shards.end());
    std::sort(spec.m_replicas.begin(),
              spec.m_replicas.end(),
              [](const ReplicaSpec& aLeft, const ReplicaSpec& aRight) {
                return aLeft.m_id < aRight.m_id;
              });
  }
  return aServices;
}

} // namespace

// Guards against a plan that does not result in the services of the file.
TEST_CASE("A plan changes the services in force to the desired ones", "[gkctl]")
{
  const Services current{ { "a", MakeService("a") },
                          { "b", MakeService("b") } };
  Services desired = current;

  SECTION("with no statement if nothing differs, in any order")
  {
    std::reverse(desired["a"].m_shards.begin(), desired["a"].m_shards.end());
    std::reverse(desired["a"].m_replicas.begin(),
                 desired["a"].m_replicas.end());
    REQUIRE(PlanChanges(current, desired, true).empty());
  }

  SECTION("with one statement for each service that differs")
  {
    ServiceSpec& a = desired["a"];
    a.m_policy.m_deadline = std::chrono::milliseconds(70);
    a.m_policy.m_responseTarget = std::chrono::milliseconds(50);
    a.m_policy.m_preference = CoveragePreference::WaitForCoverage;
    a.m_policy.m_hedge = "none";
    a.m_shards = { "s1", "s2" };
    a.m_replicas = { MakeReplica("a-1", "s1"), MakeReplica("a-2", "s2") };
    a.m_replicas[0].m_slots = 9;
    desired["c"] = MakeService("c");
    desired["c"].m_policy.m_extraLoad = 0.01;
    const auto plan = PlanChanges(current, desired, false);
    REQUIRE(plan.size() == 2);
    REQUIRE(Execute(current, plan) == desired);
  }

  SECTION("dropping a service only with aPrune")
  {
    desired.erase("b");
    REQUIRE(PlanChanges(current, desired, false).empty());
    REQUIRE(Execute(current, PlanChanges(current, desired, true)) == desired);
  }

  SECTION("but not a service into one of another kind")
  {
    desired["a"].m_kind = ServiceKind::Command;
    REQUIRE_THROWS_AS(PlanChanges(current, desired, false), Error);
  }
}

// Guards against an invalid service file in docs/configuration.md.
TEST_CASE("The service file of the configuration page is valid", "[gkctl]")
{
  std::ifstream page(GK_DOCS_DIR "/configuration.md");
  REQUIRE(page);
  std::string file;
  bool inside = false;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("```")) {
      inside = line == "```jsonc";
    } else if (inside) {
      file += line + "\n";
    }
  }
  REQUIRE(ParseServices(file).contains("spares"));
}

TEST_CASE("A service file is compared and applied", "[gkctl]")
{
  GkctlRun gkctl;
  Services services{ { "a", MakeService("a") } };
  const std::string current = FormatServices(services);
  services["a"].m_policy.m_minCoverage = 0.5;
  const std::string file = "// wanted\n" + FormatServices(services);
  gkctl.m_transport.Prepare(200, current);
  const std::string statement = "ALTER SERVICE a SET COVERAGE 0.5";

  SECTION("diff prints the statements and sends none")
  {
    REQUIRE(gkctl.Run({ "diff", "-" }, file) == ExitCode::Different);
    REQUIRE(gkctl.m_out.str() == statement + ";\n");
    REQUIRE(gkctl.m_transport.m_requests.size() == 1);
  }

  SECTION("so does apply --dry-run")
  {
    REQUIRE(gkctl.Run({ "apply", "--dry-run", "--json", "-" }, file) ==
            ExitCode::Success);
    REQUIRE(nlohmann::json::parse(gkctl.m_out.str()).at("statements") ==
            nlohmann::json::array({ statement }));
    REQUIRE(gkctl.m_transport.m_requests.size() == 1);
  }

  SECTION("apply sends them")
  {
    gkctl.m_transport.Prepare(200, R"({"revision":5})");
    REQUIRE(gkctl.Run({ "apply", "-" }, file) == ExitCode::Success);
    REQUIRE(gkctl.Sent(1).at("statement") == statement);
  }

  SECTION("and apply stops at a refusal")
  {
    gkctl.m_transport.Prepare(503,
                              R"({"error":"store_unavailable","ran":"no"})");
    REQUIRE(gkctl.Run({ "apply", "-" }, file) == ExitCode::NotRun);
    REQUIRE_THAT(gkctl.m_err.str(), Contains("stopped after 0 of 1 changes"));
  }

  SECTION("an invalid file is refused before anything is sent")
  {
    REQUIRE(gkctl.Run({ "apply", "-" }, "{\"services\": 1}") ==
            ExitCode::Usage);
    REQUIRE(gkctl.m_transport.m_requests.empty());
  }
}
