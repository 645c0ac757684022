#include "OptionTable.h"

#include <getopt.h>

#include <charconv>

namespace goldcrestkeel::gkctl {

namespace {

std::string
FormatNumber(double aNumber)
{
  char buffer[32];
  const auto result = std::to_chars(buffer, buffer + sizeof(buffer), aNumber);
  return { buffer, result.ptr };
}

double
ParseNumber(const std::string& aName,
            const std::string& aText,
            double aMin,
            double aMax)
{
  double number = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end ||
      !(number >= aMin && number <= aMax)) {
    throw UsageError("--" + aName + " must be a number from " +
                     FormatNumber(aMin) + " to " + FormatNumber(aMax));
  }
  return number;
}

} // namespace

void
OptionTable::Flag(std::string aName, std::string aHelp, bool& aValue)
{
  m_rows.push_back(
    { std::move(aName), "", std::move(aHelp), [&aValue](const std::string&) {
       aValue = true;
     } });
}

void
OptionTable::Value(std::string aName,
                   std::string aPlaceholder,
                   std::string aHelp,
                   std::function<void(const std::string&)> aHandler)
{
  m_rows.push_back({ std::move(aName),
                     std::move(aPlaceholder),
                     std::move(aHelp),
                     std::move(aHandler) });
}

void
OptionTable::Text(std::string aName,
                  std::string aPlaceholder,
                  std::string aHelp,
                  std::string& aValue)
{
  Value(std::move(aName),
        std::move(aPlaceholder),
        std::move(aHelp),
        [&aValue](const std::string& aText) { aValue = aText; });
}

void
OptionTable::Number(std::string aName,
                    std::string aPlaceholder,
                    std::string aHelp,
                    double aMin,
                    double aMax,
                    std::function<void(double)> aHandler)
{
  const auto handler =
    [=, handler = std::move(aHandler)](const std::string& aText) {
      handler(ParseNumber(aName, aText, aMin, aMax));
    };
  Value(aName, std::move(aPlaceholder), std::move(aHelp), handler);
}

std::vector<std::string>
OptionTable::Parse(std::vector<std::string> aArguments) const
{
  std::vector<option> options;
  for (const Row& row : m_rows) {
    options.push_back(
      { row.m_name.c_str(),
        row.m_placeholder.empty() ? no_argument : required_argument,
        nullptr,
        0 });
  }
  options.push_back({ nullptr, 0, nullptr, 0 });
  std::vector<char*> arguments;
  for (std::string& argument : aArguments) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);

  const int count = static_cast<int>(aArguments.size());
  // 0 resets the state of getopt_long, because tests parse several command
  // lines in one process.
  optind = 0;
  opterr = 0;
  int index = 0;
  int result = 0;
  while ((result = getopt_long(
            count, arguments.data(), ":", options.data(), &index)) != -1) {
    if (result == ':') {
      throw UsageError(std::string(arguments[optind - 1]) + " needs a value");
    }
    if (result == '?') {
      throw UsageError("unknown option " + std::string(arguments[optind - 1]));
    }
    m_rows[static_cast<std::size_t>(index)].m_handler(
      optarg == nullptr ? std::string() : std::string(optarg));
  }
  // getopt_long has moved the positional arguments to the end.
  return { arguments.begin() + optind, arguments.begin() + count };
}

std::string
OptionTable::Help() const
{
  constexpr std::size_t kHelpColumn = 26;
  std::string help;
  for (const Row& row : m_rows) {
    std::string line = "  --" + row.m_name;
    if (!row.m_placeholder.empty()) {
      line += " " + row.m_placeholder;
    }
    line.resize(std::max(line.size() + 2, kHelpColumn), ' ');
    help += line + row.m_help + "\n";
  }
  return help;
}

} // namespace goldcrestkeel::gkctl
