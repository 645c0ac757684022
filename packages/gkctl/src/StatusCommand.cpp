#include "SubCommand.h"

namespace goldcrestkeel::gkctl {

namespace {

/** Returns a member of the answer, or null. */
nlohmann::json
Member(const nlohmann::json& aBody, const char* aName)
{
  return aBody.is_object() && aBody.contains(aName) ? aBody.at(aName)
                                                    : nlohmann::json();
}

/** Queries the readiness and the configuration revision of one entry host. */
nlohmann::json
QueryHostState(Session& aSession, const std::string& aHost)
{
  nlohmann::json state{ { "host", aHost } };
  const Answer ready = aSession.Get(aHost, "/readyz");
  if (ready.m_status == 0) {
    state["state"] = "unreachable";
    state["detail"] = Member(ready.m_body, "detail");
    return state;
  }
  if (!ready.Succeeded()) {
    state["state"] = "not ready";
    state["detail"] = Member(ready.m_body, "detail");
    return state;
  }
  state["state"] = "ready";
  const Answer configuration = aSession.ExecuteOn(
    aHost, ShowStatement{ ShowSubject::Configuration, "", std::nullopt });
  if (!configuration.Succeeded()) {
    state["detail"] = "no configuration: " + configuration.ErrorName();
    return state;
  }
  for (const char* name : { "revision", "accepted" }) {
    state[name] = Member(configuration.m_body, name);
  }
  // Once the revision is accepted, missing_hosts only lists the hosts whose
  // confirmation has not reached this host yet.
  if (state["accepted"] == false) {
    state["missing_hosts"] = Member(configuration.m_body, "missing_hosts");
  }
  return state;
}

class StatusCommand : public SubCommand
{
public:
  void Declare(OptionTable&) override {}

  ExitCode Run(Session& aSession,
               const std::vector<std::string>& aArguments) override
  {
    if (!aArguments.empty()) {
      throw UsageError("takes no argument");
    }
    nlohmann::json hosts = nlohmann::json::array();
    std::size_t ready = 0;
    std::size_t unreachable = 0;
    for (const std::string& host : aSession.Options().m_hosts) {
      hosts.push_back(QueryHostState(aSession, host));
      ready += hosts.back().at("state") == "ready" ? 1 : 0;
      unreachable += hosts.back().at("state") == "unreachable" ? 1 : 0;
    }
    if (aSession.Options().m_json) {
      aSession.GetEnvironment().m_out << Dump({ { "hosts", hosts } }) << "\n";
    } else {
      aSession.GetEnvironment().m_out << DescribeBody(hosts);
    }
    if (ready == hosts.size()) {
      return ExitCode::Success;
    }
    return unreachable == hosts.size() ? ExitCode::Unreachable
                                       : ExitCode::NotRun;
  }
};

} // namespace

std::unique_ptr<SubCommand>
MakeStatusCommand()
{
  return std::make_unique<StatusCommand>();
}

} // namespace goldcrestkeel::gkctl
