#pragma once

#include <goldcrestkeel/language/Statement.h>

#include <stdexcept>
#include <string>

namespace goldcrestkeel {

using GrammarIterator = const char*;

/** Fault that the grammar found at a place of the text. */
class GrammarError : public std::runtime_error
{
public:
  GrammarError(GrammarIterator aPosition, const std::string& aExpected);

  GrammarIterator Position() const { return m_position; }

private:
  GrammarIterator m_position;
};

/** Advances aFirst over white space and comments. */
void
SkipWhitespaceAndComments(GrammarIterator& aFirst, GrammarIterator aLast);

/** Reads one statement and the semicolon after it, if there is one, and
 *  advances aFirst past them. Without a semicolon, the text must end. Throws
 *  GrammarFault. */
Statement
ParseNextStatement(GrammarIterator& aFirst, GrammarIterator aLast);

} // namespace goldcrestkeel
