#pragma once

#include <goldcrestkeel/language/Statement.h>

#include <stdexcept>
#include <string>

namespace goldcrestkeel {

using GrammarIterator = const char*;

/** Fault that the grammar found at a place of the text. */
class GrammarFault : public std::runtime_error
{
public:
  GrammarFault(GrammarIterator aWhere, const std::string& aExpected);

  GrammarIterator Where() const { return m_where; }

private:
  GrammarIterator m_where;
};

/** Advances aFirst over white space and comments. */
void
SkipBlanks(GrammarIterator& aFirst, GrammarIterator aLast);

/** Reads one statement and the semicolon after it, if there is one, and
 *  advances aFirst past them. Without a semicolon, the text must end. Throws
 *  GrammarFault. */
Statement
ParseNext(GrammarIterator& aFirst, GrammarIterator aLast);

} // namespace goldcrestkeel
