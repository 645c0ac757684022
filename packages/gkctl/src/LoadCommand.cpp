#include "Keys.h"
#include "LoadRunner.h"
#include "SubCommand.h"

#include <unistd.h>

#include <cmath>

namespace goldcrestkeel::gkctl {

namespace {

/** Requests per second. */
constexpr double kMaxRate = 100000;
constexpr double kMaxSeconds = 86400;
/** Keeps the latencies of one run, 8 bytes each, below 100 MB in memory. */
constexpr double kMaxRequests = 1e7;
constexpr Duration kDefaultTimeout = std::chrono::seconds{ 10 };

class LoadCommand : public SubCommand
{
public:
  void Declare(OptionTable& aTable) override;
  ExitCode Run(Session& aSession,
               const std::vector<std::string>& aArguments) override;

private:
  LoadPlan MakePlan(Session& aSession,
                    const std::vector<std::string>& aArguments) const;
  Request MakeRequest(const std::string& aService,
                      const std::string& aText,
                      Session& aSession) const;

  double m_rate = 10;
  double m_seconds = 10;
  std::size_t m_maxInFlight = 1000;
  std::size_t m_attempts = 1;
  bool m_commands = false;
  SearchStatement m_search;
};

void
LoadCommand::Declare(OptionTable& aTable)
{
  aTable.Number("rate",
                "N",
                "requests per second [10]",
                0.001,
                kMaxRate,
                [this](double aNumber) { m_rate = aNumber; });
  aTable.Number("seconds",
                "N",
                "duration of the schedule in seconds [10]",
                0.001,
                kMaxSeconds,
                [this](double aNumber) { m_seconds = aNumber; });
  aTable.Number("in-flight",
                "N",
                "maximum number of requests in flight [1000]",
                1,
                10000,
                [this](double aNumber) {
                  m_maxInFlight = static_cast<std::size_t>(aNumber);
                });
  aTable.Number(
    "attempts",
    "N",
    "maximum number of hosts tried for each request [1]",
    1,
    100,
    [this](double aNumber) { m_attempts = static_cast<std::size_t>(aNumber); });
  aTable.Flag("commands",
              "send each TEXT as a command, with a new Idempotency-Key",
              m_commands);
  aTable.Number("deadline-ms",
                "N",
                "deadline of each request in milliseconds",
                1,
                60000,
                [this](double aNumber) {
                  m_search.m_deadline = std::chrono::milliseconds(
                    static_cast<std::int64_t>(aNumber));
                });
  aTable.Number("coverage",
                "FRACTION",
                "minimum coverage of an answer",
                0,
                1,
                [this](double aNumber) { m_search.m_coverage = aNumber; });
}

Request
LoadCommand::MakeRequest(const std::string& aService,
                         const std::string& aText,
                         Session& aSession) const
{
  Request request;
  if (m_commands) {
    nlohmann::json body{ { "command", aText } };
    if (m_search.m_deadline) {
      body["deadline_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(
          *m_search.m_deadline)
          .count();
    }
    request.m_path = ServicePath(aService, "commands");
    request.m_body = Dump(body);
    request.m_headers.push_back(
      "Idempotency-Key: " +
      MakeKey(WallNow(), aSession.GetEnvironment().m_random));
  } else {
    SearchStatement search = m_search;
    search.m_text = aText;
    request.m_path = ServicePath(aService, "search");
    request.m_body = Dump(SearchBody(search));
    request.m_reuseConnection = true;
  }
  const Duration timeout = aSession.Options().m_timeout;
  request.m_timeout = timeout.count() > 0 ? timeout : kDefaultTimeout;
  return request;
}

LoadPlan
LoadCommand::MakePlan(Session& aSession,
                      const std::vector<std::string>& aArguments) const
{
  if (aArguments.size() < 2) {
    throw UsageError("needs a service and at least one text");
  }
  const double count = std::ceil(m_rate * m_seconds);
  if (count > kMaxRequests) {
    throw UsageError("--rate times --seconds must be at most 10000000");
  }
  LoadPlan plan;
  plan.m_hosts = aSession.Options().m_hosts;
  plan.m_rate = m_rate;
  plan.m_count = static_cast<std::uint64_t>(count);
  plan.m_maxInFlight = m_maxInFlight;
  plan.m_attempts = m_attempts;
  plan.m_makeRequest = [this, &aSession, aArguments](std::uint64_t aIndex) {
    const std::size_t textIndex = 1 + aIndex % (aArguments.size() - 1);
    return MakeRequest(aArguments[0], aArguments[textIndex], aSession);
  };
  // Throws UsageError for an invalid service name before anything is sent.
  ServicePath(aArguments[0], "search");
  return plan;
}

ExitCode
LoadCommand::Run(Session& aSession, const std::vector<std::string>& aArguments)
{
  const LoadPlan plan = MakePlan(aSession, aArguments);
  const bool isTerminal = isatty(STDERR_FILENO) == 1;
  LoadReport report;
  const Duration elapsed =
    RunLoad(plan, report, [&](const LoadProgress& aProgress) {
      if (isTerminal) {
        aSession.GetEnvironment().m_err
          << "\r" << aProgress.m_elapsed.count() / 1000000 << " s: sent "
          << aProgress.m_sent << ", succeeded " << report.Succeeded()
          << ", failed " << report.Total() - report.Succeeded()
          << ", in flight " << aProgress.m_inFlight << "   " << std::flush;
      }
    });
  if (isTerminal) {
    aSession.GetEnvironment().m_err << "\r\x1b[K";
  }
  if (aSession.Options().m_json) {
    aSession.GetEnvironment().m_out << Dump(report.ToJson(elapsed, plan.m_rate))
                                    << "\n";
  } else {
    aSession.GetEnvironment().m_out << report.ToText(elapsed, plan.m_rate);
  }
  if (report.Succeeded() == report.Total()) {
    return ExitCode::Success;
  }
  return report.Answered() == 0 ? ExitCode::Unreachable : ExitCode::Failed;
}

} // namespace

std::unique_ptr<SubCommand>
MakeLoadCommand()
{
  return std::make_unique<LoadCommand>();
}

} // namespace goldcrestkeel::gkctl
