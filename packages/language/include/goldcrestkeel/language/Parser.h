#pragma once

#include <goldcrestkeel/core/Errors.h>
#include <goldcrestkeel/language/Statement.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** A text that is not a statement. The kind is ErrorKind::StatementSyntax and
 *  what() names line, column and what was expected. */
class SyntaxError : public Error
{
public:
  SyntaxError(std::size_t aLine, std::size_t aColumn, std::string aExpected);

  /** Line of the fault; the first is 1. */
  std::size_t Line() const { return m_line; }
  /** Column of the fault in bytes; the first is 1. */
  std::size_t Column() const { return m_column; }
  /** What the grammar allows at this place. */
  const std::string& Expected() const { return m_expected; }

private:
  std::size_t m_line;
  std::size_t m_column;
  std::string m_expected;
};

/** A statement of a script. */
struct ScriptStatement
{
  Statement m_statement;
  /** Line of its first character; the first is 1. */
  std::size_t m_line = 1;
};

/** Reads exactly one statement, with or without a semicolon after it. Throws
 *  SyntaxError. */
Statement
ParseStatement(std::string_view aText);

/** Reads statements that are separated by semicolons; the last semicolon is
 *  optional. A text of white space and comments is an empty script. Throws
 *  SyntaxError. */
std::vector<ScriptStatement>
ParseScript(std::string_view aText);

} // namespace goldcrestkeel
