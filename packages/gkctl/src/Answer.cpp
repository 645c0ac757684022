#include "Answer.h"

#include <algorithm>
#include <set>
#include <vector>

namespace goldcrestkeel::gkctl {

namespace {

using nlohmann::json;

std::string
StringMember(const json& aBody, const char* aName)
{
  if (!aBody.is_object()) {
    return {};
  }
  const auto found = aBody.find(aName);
  return found != aBody.end() && found->is_string() ? found->get<std::string>()
                                                    : std::string();
}

/** Returns the value as one line of text. Replaces control characters, so that
 *  an answer cannot send escape sequences to the terminal. */
std::string
SingleLine(const json& aValue)
{
  std::string text =
    aValue.is_string() ? aValue.get<std::string>() : Dump(aValue);
  std::replace_if(
    text.begin(),
    text.end(),
    [](char aCharacter) {
      return (aCharacter >= 0 && aCharacter < ' ') || aCharacter == '\x7f';
    },
    ' ');
  return text;
}

bool
IsTable(const json& aValue)
{
  return aValue.is_array() && !aValue.empty() &&
         std::all_of(aValue.begin(), aValue.end(), [](const json& aRow) {
           return aRow.is_object();
         });
}

/** Returns the value as text of a table cell. Truncates long values, such as
 *  the statement of a change. */
std::string
Cell(const json& aValue)
{
  constexpr std::size_t kMaxCellWidth = 60;
  constexpr std::string_view kEllipsis = "...";
  std::string text = SingleLine(aValue);
  if (text.size() > kMaxCellWidth) {
    text.resize(kMaxCellWidth - kEllipsis.size());
    text += kEllipsis;
  }
  return text;
}

/** Returns the column names: those that identify a row first, then the others
 *  in alphabetical order. */
std::vector<std::string>
ColumnNames(const json& aRows)
{
  std::set<std::string> names;
  for (const json& row : aRows) {
    for (const auto& [name, value] : row.items()) {
      names.insert(name);
    }
  }
  std::vector<std::string> columns;
  for (const char* name : { "host", "id", "name", "revision", "state" }) {
    if (names.erase(name) > 0) {
      columns.emplace_back(name);
    }
  }
  columns.insert(columns.end(), names.begin(), names.end());
  return columns;
}

std::string
FormatTable(const json& aRows)
{
  const std::vector<std::string> columns = ColumnNames(aRows);
  std::vector<std::vector<std::string>> lines{ columns };
  for (const json& row : aRows) {
    std::vector<std::string> line;
    for (const std::string& name : columns) {
      line.push_back(row.contains(name) ? Cell(row.at(name)) : "");
    }
    lines.push_back(std::move(line));
  }
  std::vector<std::size_t> widths(columns.size());
  for (const auto& line : lines) {
    for (std::size_t i = 0; i < line.size(); ++i) {
      widths[i] = std::max(widths[i], line[i].size());
    }
  }
  std::string text;
  for (auto& line : lines) {
    std::string joined;
    for (std::size_t i = 0; i < line.size(); ++i) {
      line[i].resize(widths[i], ' ');
      joined += "  " + line[i];
    }
    joined.erase(joined.find_last_not_of(' ') + 1);
    text += joined + "\n";
  }
  return text;
}

json
MakeProblem(std::string_view aError, const std::string& aDetail, Ran aRan)
{
  return { { "error", aError },
           { "detail", aDetail },
           { "ran", NameOf(aRan) } };
}

} // namespace

std::string
Answer::ErrorName() const
{
  return StringMember(m_body, "error");
}

Answer
ReadAnswer(const std::string& aHost, const Response& aResponse)
{
  Answer answer;
  answer.m_host = aHost;
  if (aResponse.m_delivery != Delivery::Answered) {
    const bool lost = aResponse.m_delivery == Delivery::Lost;
    answer.m_ran = lost ? Ran::Unknown : Ran::No;
    answer.m_body = MakeProblem(
      lost ? "answer_lost" : "unreachable", aResponse.m_detail, answer.m_ran);
    return answer;
  }
  answer.m_status = aResponse.m_status;
  answer.m_body = json::parse(aResponse.m_body, nullptr, false);
  if (answer.m_body.is_discarded()) {
    answer.m_ran = Ran::Unknown;
    answer.m_status = answer.Succeeded() ? 0 : answer.m_status;
    answer.m_body =
      MakeProblem("bad_answer", "the answer is not JSON", answer.m_ran);
    return answer;
  }
  answer.m_ran =
    answer.Succeeded()
      ? Ran::Yes
      : RanFromName(StringMember(answer.m_body, "ran")).value_or(Ran::Unknown);
  return answer;
}

ExitCode
ExitCodeOf(const Answer& aAnswer)
{
  if (aAnswer.Succeeded()) {
    constexpr int kAccepted = 202;
    return aAnswer.m_status == kAccepted ? ExitCode::Pending
                                         : ExitCode::Success;
  }
  switch (aAnswer.m_ran) {
    case Ran::No:
      return aAnswer.m_status == 0 ? ExitCode::Unreachable : ExitCode::NotRun;
    case Ran::Unknown:
      return ExitCode::Unknown;
    case Ran::Yes:
      return ExitCode::Failed;
  }
  return ExitCode::Unknown;
}

std::string
DescribeProblem(const Answer& aAnswer)
{
  const json& body = aAnswer.m_body;
  std::string text = "error: " + SingleLine(aAnswer.ErrorName());
  for (const char* name : { "title", "detail" }) {
    if (const std::string member = StringMember(body, name); !member.empty()) {
      text += ": " + SingleLine(member);
    }
  }
  text += "\n  ran: " + std::string(NameOf(aAnswer.m_ran));
  static const std::set<std::string> kShownMembers{
    "type", "title", "detail", "error", "ran", "status"
  };
  if (body.is_object()) {
    for (const auto& [name, value] : body.items()) {
      if (!kShownMembers.contains(name)) {
        text += "\n  " + name + ": " + SingleLine(value);
      }
    }
  }
  text += "\n  host: " + aAnswer.m_host;
  if (aAnswer.m_attempts > 1) {
    text += ", after " + std::to_string(aAnswer.m_attempts) + " attempts";
  }
  return text;
}

std::string
DescribeBody(const json& aBody)
{
  if (IsTable(aBody)) {
    return FormatTable(aBody);
  }
  if (!aBody.is_object()) {
    return SingleLine(aBody) + "\n";
  }
  std::string text;
  std::string tables;
  for (const auto& [name, value] : aBody.items()) {
    if (IsTable(value)) {
      tables += name + ":\n" + FormatTable(value);
    } else {
      text += name + ": " + SingleLine(value) + "\n";
    }
  }
  return text + tables;
}

std::string
Dump(const json& aValue, int aIndent)
{
  return aValue.dump(aIndent, ' ', false, json::error_handler_t::replace);
}

} // namespace goldcrestkeel::gkctl
