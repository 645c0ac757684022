#pragma once

#include "Session.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel::gkctl {

/** One sub-command of gkctl. */
class SubCommand
{
public:
  virtual ~SubCommand() = default;

  /** Adds the options of this sub-command to aTable, which must not outlive
   *  this object. */
  virtual void Declare(OptionTable& aTable) = 0;
  /** Runs the sub-command with its positional arguments. Throws UsageError,
   *  Error or RequestFailure. */
  virtual ExitCode Run(Session& aSession,
                       const std::vector<std::string>& aArguments) = 0;
};

/** Entry of the table of sub-commands. */
struct SubCommandInfo
{
  std::string_view m_name;
  /** Positional arguments, for the usage line. */
  std::string_view m_arguments;
  /** One-line description. */
  std::string_view m_summary;
  std::unique_ptr<SubCommand> (*m_factory)();
};

const std::vector<SubCommandInfo>&
SubCommands();

std::unique_ptr<SubCommand>
MakeSearchCommand();
std::unique_ptr<SubCommand>
MakeExecCommand();
std::unique_ptr<SubCommand>
MakeApplyCommand();
std::unique_ptr<SubCommand>
MakeDiffCommand();
std::unique_ptr<SubCommand>
MakeStatusCommand();
std::unique_ptr<SubCommand>
MakeAuditCommand();
std::unique_ptr<SubCommand>
MakeLoadCommand();
std::unique_ptr<SubCommand>
MakeExplainCommand();

/** Runs gkctl. aArguments start after the name of the program. */
ExitCode
RunGkctl(const Environment& aEnvironment,
         const std::vector<std::string>& aArguments);

} // namespace goldcrestkeel::gkctl
