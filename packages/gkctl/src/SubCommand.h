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

  /** Adds its own options to aTable; the object must outlive aTable. */
  virtual void Declare(OptionTable& aTable) = 0;
  /** aArguments are those that are no options. Throws UsageError, Error or
   *  Failure. */
  virtual ExitCode Run(Session& aSession,
                       const std::vector<std::string>& aArguments) = 0;
};

/** Row of the table of sub-commands. */
struct SubCommandInfo
{
  std::string_view m_name;
  /** Arguments, for the usage line. */
  std::string_view m_arguments;
  /** One line. */
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

/** Runs gkctl with the arguments after the program's name. */
ExitCode
RunGkctl(const Environment& aEnvironment,
         const std::vector<std::string>& aArguments);

} // namespace goldcrestkeel::gkctl
