#include "SubCommand.h"

#include <iomanip>
#include <sstream>

namespace goldcrestkeel::gkctl {

namespace {

constexpr double kMaxHits = 1000;
constexpr double kMaxOffset = 100000;
constexpr double kMaxDeadlineMs = 60000;
/** 2^53: a double represents every integer up to this one exactly. */
constexpr double kMaxSnapshot = 9007199254740992.0;

class SearchCommand : public SubCommand
{
public:
  void Declare(OptionTable& aTable) override;
  ExitCode Run(Session& aSession,
               const std::vector<std::string>& aArguments) override;

private:
  SearchStatement m_search;
};

void
SearchCommand::Declare(OptionTable& aTable)
{
  aTable.Number("limit",
                "N",
                "maximum number of hits [10]",
                1,
                kMaxHits,
                [this](double aNumber) {
                  m_search.m_limit = static_cast<std::uint32_t>(aNumber);
                });
  aTable.Number(
    "offset", "N", "hits to skip [0]", 0, kMaxOffset, [this](double aNumber) {
      m_search.m_offset = static_cast<std::uint32_t>(aNumber);
    });
  aTable.Number("deadline-ms",
                "N",
                "deadline of the request in milliseconds",
                1,
                kMaxDeadlineMs,
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
  aTable.Number("snapshot",
                "N",
                "snapshot of an earlier page of results",
                1,
                kMaxSnapshot,
                [this](double aNumber) {
                  m_search.m_snapshot = static_cast<VersionId>(aNumber);
                });
  aTable.Value("class",
               "NAME",
               "interactive or batch [interactive]",
               [this](const std::string& aName) {
                 m_search.m_class = CallerClassFromName(aName);
                 if (!m_search.m_class) {
                   throw UsageError("--class must be interactive or batch");
                 }
               });
}

/** Formats a search result as readable lines. */
std::string
Describe(const nlohmann::json& aBody)
{
  const nlohmann::json& coverage = aBody.at("coverage");
  std::ostringstream text;
  for (const nlohmann::json& hit : aBody.at("hits")) {
    text << std::setw(6) << hit.at("score").get<double>() << "  "
         << hit.at("id").get<std::string>() << "  "
         << hit.at("title").get<std::string>() << "\n";
  }
  text << aBody.at("hits").size() << " hits, coverage "
       << coverage.at("fraction").get<double>() << " ("
       << coverage.at("shards_answered") << " of "
       << coverage.at("shards_total") << " shards), snapshot "
       << aBody.at("snapshot") << ", request "
       << aBody.at("request_id").get<std::string>() << "\n";
  for (const nlohmann::json& shard : coverage.at("missing_shards")) {
    text << "missing shard: " << shard.get<std::string>() << "\n";
  }
  return text.str();
}

ExitCode
SearchCommand::Run(Session& aSession,
                   const std::vector<std::string>& aArguments)
{
  if (aArguments.size() != 2) {
    throw UsageError("needs a service and a text");
  }
  m_search.m_service = aArguments[0];
  m_search.m_text = aArguments[1];
  const Answer answer = aSession.Search(m_search);
  if (!answer.Succeeded() || aSession.Options().m_json) {
    return aSession.Print(answer);
  }
  try {
    aSession.GetEnvironment().m_out << Describe(answer.m_body);
  } catch (const nlohmann::json::exception&) {
    // Prints an answer that lacks the expected members in the generic form.
    return aSession.Print(answer);
  }
  return ExitCode::Success;
}

} // namespace

std::unique_ptr<SubCommand>
MakeSearchCommand()
{
  return std::make_unique<SearchCommand>();
}

} // namespace goldcrestkeel::gkctl
