#include "Grammar.h"

#include <goldcrestkeel/language/Parser.h>

#include <algorithm>

namespace goldcrestkeel {

namespace {

std::size_t
LineOf(std::string_view aText, GrammarIterator aWhere)
{
  return 1 + static_cast<std::size_t>(std::count(aText.data(), aWhere, '\n'));
}

std::size_t
ColumnOf(std::string_view aText, GrammarIterator aWhere)
{
  GrammarIterator start = aWhere;
  while (start != aText.data() && start[-1] != '\n') {
    --start;
  }
  return 1 + static_cast<std::size_t>(aWhere - start);
}

SyntaxError
ErrorAt(std::string_view aText,
        GrammarIterator aWhere,
        const std::string& aExpected)
{
  SkipBlanks(aWhere, aText.data() + aText.size());
  return { LineOf(aText, aWhere), ColumnOf(aText, aWhere), aExpected };
}

/** Reads the next statement; a fault becomes a SyntaxError. */
Statement
Next(std::string_view aText, GrammarIterator& aFirst)
{
  try {
    return ParseNext(aFirst, aText.data() + aText.size());
  } catch (const GrammarFault& fault) {
    throw ErrorAt(aText, fault.Where(), fault.what());
  }
}

} // namespace

SyntaxError::SyntaxError(std::size_t aLine,
                         std::size_t aColumn,
                         std::string aExpected)
  : Error(ErrorKind::StatementSyntax,
          "line " + std::to_string(aLine) + ", column " +
            std::to_string(aColumn) + ": expected " + aExpected,
          "statement")
  , m_line(aLine)
  , m_column(aColumn)
  , m_expected(std::move(aExpected))
{
}

Statement
ParseStatement(std::string_view aText)
{
  GrammarIterator first = aText.data();
  const GrammarIterator last = first + aText.size();
  Statement statement = Next(aText, first);
  SkipBlanks(first, last);
  if (first != last) {
    throw ErrorAt(aText, first, "the end of the statement");
  }
  return statement;
}

std::vector<ScriptStatement>
ParseScript(std::string_view aText)
{
  std::vector<ScriptStatement> script;
  GrammarIterator first = aText.data();
  const GrammarIterator last = first + aText.size();
  for (SkipBlanks(first, last); first != last; SkipBlanks(first, last)) {
    const std::size_t line = LineOf(aText, first);
    script.push_back({ Next(aText, first), line });
  }
  return script;
}

} // namespace goldcrestkeel
