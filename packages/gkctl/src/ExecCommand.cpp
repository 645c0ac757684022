#include "SubCommand.h"

namespace goldcrestkeel::gkctl {

namespace {

class ExecCommand : public SubCommand
{
public:
  void Declare(OptionTable& aTable) override;
  ExitCode Run(Session& aSession,
               const std::vector<std::string>& aArguments) override;

private:
  std::string ReadScript(Session& aSession,
                         const std::vector<std::string>& aArguments) const;

  std::string m_file;
};

void
ExecCommand::Declare(OptionTable& aTable)
{
  aTable.Text(
    "file", "FILE", "read the statements from FILE; - is stdin", m_file);
}

std::string
ExecCommand::ReadScript(Session& aSession,
                        const std::vector<std::string>& aArguments) const
{
  if (!m_file.empty() && !aArguments.empty()) {
    throw UsageError("takes either --file or a statement");
  }
  if (aArguments.size() > 1) {
    throw UsageError("takes one argument; quote the statement for the shell");
  }
  return aArguments.empty() ? ReadFileOrInput(m_file.empty() ? "-" : m_file,
                                              aSession.GetEnvironment().m_in)
                            : aArguments[0];
}

ExitCode
ExecCommand::Run(Session& aSession, const std::vector<std::string>& aArguments)
{
  // Parses all statements before the first one is sent, so that nothing is sent
  // if one has a syntax error.
  const std::vector<ScriptStatement> script =
    ParseScript(ReadScript(aSession, aArguments));
  if (script.empty()) {
    throw UsageError("the script contains no statement");
  }
  ExitCode last = ExitCode::Success;
  for (const ScriptStatement& entry : script) {
    const ExitCode code = aSession.Print(aSession.Execute(entry.m_statement));
    if (code != ExitCode::Success && code != ExitCode::Pending) {
      if (script.size() > 1) {
        aSession.GetEnvironment().m_err
          << "gkctl exec: stopped at the statement of line " << entry.m_line
          << "\n";
      }
      return code;
    }
    last = code == ExitCode::Pending ? code : last;
  }
  return last;
}

} // namespace

std::unique_ptr<SubCommand>
MakeExecCommand()
{
  return std::make_unique<ExecCommand>();
}

} // namespace goldcrestkeel::gkctl
