#include "SubCommand.h"

#include <algorithm>

namespace goldcrestkeel::gkctl {

namespace {

constexpr std::string_view kExitCodes =
  "exit codes: 0 success; 1 refused, did not run; 2 invalid arguments, "
  "statement\n"
  "or file; 3 no host reachable; 4 unknown whether it ran; 5 change written,\n"
  "not yet confirmed by all hosts; 6 ran and failed; 7 diff found "
  "differences\n";

std::string
OverviewText()
{
  std::string text = "usage: gkctl COMMAND [OPTION]... [ARGUMENT]...\n\n";
  for (const SubCommandInfo& info : SubCommands()) {
    std::string name(info.m_name);
    name.resize(8, ' ');
    text += "  " + name + " " + std::string(info.m_summary) + "\n";
  }
  return text + "\nRun gkctl COMMAND --help for the options of a command.\n" +
         std::string(kExitCodes);
}

std::string
HelpText(const SubCommandInfo& aInfo, const OptionTable& aTable)
{
  return "usage: gkctl " + std::string(aInfo.m_name) + " [OPTION]... " +
         std::string(aInfo.m_arguments) + "\n" + std::string(aInfo.m_summary) +
         "\n\n" + aTable.Help() + "\n" + std::string(kExitCodes);
}

ExitCode
RunSubCommand(const Environment& aEnvironment,
              const SubCommandInfo& aInfo,
              const std::vector<std::string>& aArguments)
{
  const std::unique_ptr<SubCommand> command = aInfo.m_factory();
  CommonOptions options;
  OptionTable table;
  command->Declare(table);
  options.Declare(table);
  const std::vector<std::string> positional = table.Parse(aArguments);
  if (options.m_help) {
    aEnvironment.m_out << HelpText(aInfo, table);
    return ExitCode::Success;
  }
  options.ApplyDefaults();
  Session session(aEnvironment, options);
  try {
    return command->Run(session, positional);
  } catch (const RequestFailure& failure) {
    return session.Print(failure.FinalAnswer());
  }
}

} // namespace

const std::vector<SubCommandInfo>&
SubCommands()
{
  static const std::vector<SubCommandInfo> kSubCommands{
    { "search", "SERVICE TEXT", "Search a service.", MakeSearchCommand },
    { "exec",
      "[STATEMENT]",
      "Run statements from the argument, a file or standard input.",
      MakeExecCommand },
    { "apply",
      "FILE",
      "Change the services to those of a service file.",
      MakeApplyCommand },
    { "diff",
      "FILE",
      "Compare the services in force with a service file.",
      MakeDiffCommand },
    { "status", "", "Show the state of each entry host.", MakeStatusCommand },
    { "audit", "", "Show the latest configuration changes.", MakeAuditCommand },
    { "load",
      "SERVICE TEXT...",
      "Send searches or commands at a fixed rate and measure latencies.",
      MakeLoadCommand },
    { "explain",
      "REQUEST LOG...",
      "Show the lines about a request from the logs of entry hosts.",
      MakeExplainCommand },
  };
  return kSubCommands;
}

ExitCode
RunGkctl(const Environment& aEnvironment,
         const std::vector<std::string>& aArguments)
{
  if (aArguments.empty()) {
    aEnvironment.m_err << OverviewText();
    return ExitCode::Usage;
  }
  if (aArguments[0] == "--help" || aArguments[0] == "help") {
    aEnvironment.m_out << OverviewText();
    return ExitCode::Success;
  }
  const auto& table = SubCommands();
  const auto info =
    std::find_if(table.begin(), table.end(), [&](const SubCommandInfo& aInfo) {
      return aInfo.m_name == aArguments[0];
    });
  if (info == table.end()) {
    aEnvironment.m_err << "gkctl: unknown command " << aArguments[0] << "\n\n"
                       << OverviewText();
    return ExitCode::Usage;
  }
  try {
    return RunSubCommand(aEnvironment, *info, aArguments);
  } catch (const UsageError& error) {
    aEnvironment.m_err << "gkctl " << info->m_name << ": " << error.what()
                       << "\nTry gkctl " << info->m_name << " --help.\n";
  } catch (const Error& error) {
    aEnvironment.m_err << "gkctl " << info->m_name << ": "
                       << InfoOf(error.Kind()).m_name << ": " << error.what()
                       << "\n";
  }
  return ExitCode::Usage;
}

} // namespace goldcrestkeel::gkctl
