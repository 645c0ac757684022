#include "ServicePlan.h"
#include "SubCommand.h"

namespace goldcrestkeel::gkctl {

namespace {

Services
ReadDesiredServices(Session& aSession,
                    const std::vector<std::string>& aArguments)
{
  if (aArguments.size() != 1) {
    throw UsageError("needs a service file");
  }
  return ParseServices(
    ReadFileOrInput(aArguments[0], aSession.GetEnvironment().m_in));
}

void
PrintPlan(Session& aSession, const std::vector<Statement>& aPlan)
{
  if (aSession.Options().m_json) {
    nlohmann::json plan = nlohmann::json::array();
    for (const Statement& statement : aPlan) {
      plan.push_back(Format(statement));
    }
    aSession.GetEnvironment().m_out << Dump({ { "statements", plan } }) << "\n";
    return;
  }
  for (const Statement& statement : aPlan) {
    aSession.GetEnvironment().m_out << Format(statement) << ";\n";
  }
}

constexpr const char* kPruneHelp =
  "also drop the services that are not in FILE";

class DiffCommand : public SubCommand
{
public:
  void Declare(OptionTable& aTable) override
  {
    aTable.Flag("prune", kPruneHelp, m_prune);
  }

  ExitCode Run(Session& aSession,
               const std::vector<std::string>& aArguments) override
  {
    const Services desired = ReadDesiredServices(aSession, aArguments);
    const std::vector<Statement> plan =
      PlanChanges(aSession.CurrentServices(), desired, m_prune);
    PrintPlan(aSession, plan);
    return plan.empty() ? ExitCode::Success : ExitCode::Different;
  }

private:
  bool m_prune = false;
};

class ApplyCommand : public SubCommand
{
public:
  void Declare(OptionTable& aTable) override
  {
    aTable.Flag("prune", kPruneHelp, m_prune);
    aTable.Flag(
      "dry-run", "print the statements instead of sending them", m_dryRun);
  }

  ExitCode Run(Session& aSession,
               const std::vector<std::string>& aArguments) override
  {
    const Services desired = ReadDesiredServices(aSession, aArguments);
    const std::vector<Statement> plan =
      PlanChanges(aSession.CurrentServices(), desired, m_prune);
    if (m_dryRun) {
      PrintPlan(aSession, plan);
      return ExitCode::Success;
    }
    return Send(aSession, plan);
  }

private:
  static ExitCode Send(Session& aSession, const std::vector<Statement>& aPlan)
  {
    ExitCode last = ExitCode::Success;
    std::size_t sent = 0;
    for (const Statement& statement : aPlan) {
      const ExitCode code = aSession.Print(aSession.Execute(statement));
      if (code != ExitCode::Success && code != ExitCode::Pending) {
        aSession.GetEnvironment().m_err
          << "gkctl apply: stopped after " << sent << " of " << aPlan.size()
          << " changes at: " << Format(statement) << "\n";
        return code;
      }
      ++sent;
      last = code == ExitCode::Pending ? code : last;
    }
    if (!aSession.Options().m_json) {
      aSession.GetEnvironment().m_out << sent << " changes applied\n";
    }
    return last;
  }

  bool m_prune = false;
  bool m_dryRun = false;
};

} // namespace

std::unique_ptr<SubCommand>
MakeApplyCommand()
{
  return std::make_unique<ApplyCommand>();
}

std::unique_ptr<SubCommand>
MakeDiffCommand()
{
  return std::make_unique<DiffCommand>();
}

} // namespace goldcrestkeel::gkctl
