#pragma once

#include <goldcrestkeel/language/Statement.h>

#include <stdexcept>
#include <string>

namespace goldcrestkeel {

using GrammarIterator = const char*;

/** Syntax error at a position of the text. what() is the expected input. */
class GrammarError : public std::runtime_error
{
public:
  GrammarError(GrammarIterator aPosition, const std::string& aExpected);

  GrammarIterator Position() const { return m_position; }

private:
  GrammarIterator m_position;
};

/** Advances aFirst past white space and comments. */
void
SkipWhitespaceAndComments(GrammarIterator& aFirst, GrammarIterator aLast);

/** Parses one statement and the semicolon after it, if there is one, and
 *  advances aFirst past them. Without a semicolon, the text must end after the
 *  statement. Throws GrammarError. */
Statement
ParseNextStatement(GrammarIterator& aFirst, GrammarIterator aLast);

} // namespace goldcrestkeel
