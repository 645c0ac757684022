#include "Grammar.h"

#include <goldcrestkeel/language/Parser.h>

#include <algorithm>

namespace goldcrestkeel {

namespace {

std::size_t
LineOf(std::string_view aText, GrammarIterator aPosition)
{
  return 1 +
         static_cast<std::size_t>(std::count(aText.data(), aPosition, '\n'));
}

std::size_t
ColumnOf(std::string_view aText, GrammarIterator aPosition)
{
  GrammarIterator start = aPosition;
  while (start != aText.data() && start[-1] != '\n') {
    --start;
  }
  return 1 + static_cast<std::size_t>(aPosition - start);
}

SyntaxError
ErrorAt(std::string_view aText,
        GrammarIterator aPosition,
        const std::string& aExpected)
{
  SkipWhitespaceAndComments(aPosition, aText.data() + aText.size());
  return { LineOf(aText, aPosition), ColumnOf(aText, aPosition), aExpected };
}

/** Parses the next statement. Converts a GrammarError to a SyntaxError with
 *  line and column. */
Statement
ReadStatement(std::string_view aText, GrammarIterator& aFirst)
{
  try {
    return ParseNextStatement(aFirst, aText.data() + aText.size());
  } catch (const GrammarError& error) {
    throw ErrorAt(aText, error.Position(), error.what());
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
  Statement statement = ReadStatement(aText, first);
  SkipWhitespaceAndComments(first, last);
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
  for (SkipWhitespaceAndComments(first, last); first != last;
       SkipWhitespaceAndComments(first, last)) {
    const std::size_t line = LineOf(aText, first);
    script.push_back({ ReadStatement(aText, first), line });
  }
  return script;
}

} // namespace goldcrestkeel
