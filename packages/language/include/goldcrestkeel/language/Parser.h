#pragma once

#include <goldcrestkeel/core/Errors.h>
#include <goldcrestkeel/language/Statement.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** Thrown if a text is not a valid statement. The kind is
 *  ErrorKind::StatementSyntax; what() contains the line, the column and the
 *  expected input. */
class SyntaxError : public Error
{
public:
  SyntaxError(std::size_t aLine, std::size_t aColumn, std::string aExpected);

  /** Line of the error, counted from 1. */
  std::size_t Line() const { return m_line; }
  /** Column of the error in bytes, counted from 1. */
  std::size_t Column() const { return m_column; }
  /** Input that the grammar allows at this position, for example "a name". */
  const std::string& Expected() const { return m_expected; }

private:
  std::size_t m_line;
  std::size_t m_column;
  std::string m_expected;
};

/** A statement of a script and its position. */
struct ScriptStatement
{
  Statement m_statement;
  /** Line of its first character, counted from 1. */
  std::size_t m_line = 1;
};

/** Parses exactly one statement; a semicolon after it is optional. Throws
 *  SyntaxError. */
Statement
ParseStatement(std::string_view aText);

/** Parses statements that are separated by semicolons; the last semicolon is
 *  optional. Returns an empty vector if the text has only white space and
 *  comments. Throws SyntaxError at the first invalid statement. */
std::vector<ScriptStatement>
ParseScript(std::string_view aText);

} // namespace goldcrestkeel
