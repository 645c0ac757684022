#include "RequestTrace.h"
#include "SubCommand.h"

#include <fstream>

namespace goldcrestkeel::gkctl {

namespace {

class ExplainCommand : public SubCommand
{
public:
  void Declare(OptionTable& aTable) override
  {
    constexpr double kMaxMarginSeconds = 600;
    aTable.Number("margin",
                  "SECONDS",
                  "margin before and after the request for lines about its "
                  "hosts and replicas [5]",
                  0,
                  kMaxMarginSeconds,
                  [this](double aSeconds) { m_marginSeconds = aSeconds; });
  }

  ExitCode Run(Session& aSession,
               const std::vector<std::string>& aArguments) override
  {
    if (aArguments.size() < 2) {
      throw UsageError("needs a request id and at least one log file");
    }
    RequestTrace trace(aArguments[0]);
    for (std::size_t i = 1; i < aArguments.size(); ++i) {
      std::ifstream log(aArguments[i]);
      if (!log) {
        throw UsageError("cannot read " + aArguments[i]);
      }
      trace.Read(log);
    }
    const auto lines = trace.Lines(m_marginSeconds * 1000);
    std::ostream& out = aSession.GetEnvironment().m_out;
    if (lines.empty()) {
      aSession.GetEnvironment().m_err << "no log line contains the request id "
                                      << aArguments[0] << "\n";
      return ExitCode::Failed;
    }
    const double start = lines.front().value("time_ms", 0.0);
    for (const auto& line : lines) {
      out << (aSession.Options().m_json ? line.dump()
                                        : FormatTraceLine(line, start))
          << "\n";
    }
    return ExitCode::Success;
  }

private:
  double m_marginSeconds = 5;
};

} // namespace

std::unique_ptr<SubCommand>
MakeExplainCommand()
{
  return std::make_unique<ExplainCommand>();
}

} // namespace goldcrestkeel::gkctl
