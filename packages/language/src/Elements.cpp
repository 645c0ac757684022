#include "Elements.h"

#include <algorithm>
#include <charconv>

namespace goldcrestkeel::grammar {

namespace {

const auto kWhitespaceOrComment = encoding::char_(" \t\r\n") |
                                  ("--" >> *(encoding::char_ - '\n')) |
                                  ("/*" >> *(encoding::char_ - "*/") >> "*/");

const auto kNameStart = encoding::char_("a-zA-Z0-9_");
const auto kNameCharacter = kNameStart | encoding::char_(".-");

const auto kEscape = x3::lit('\\') >>
                     (x3::lit('n') >> x3::attr('\n') |
                      x3::lit('t') >> x3::attr('\t') | encoding::char_("\"\\"));

bool
ParseString(GrammarIterator& aFirst, GrammarIterator aLast, std::string& aValue)
{
  static const auto kDefinition =
    x3::lexeme['"' >> *(kEscape | ~encoding::char_("\"\\")) >>
               x3::expect[Named("a closing quotation mark; a backslash stands "
                                "only before \", \\, n or t",
                                '"')]];
  return ParseDefinition(kDefinition, aFirst, aLast, aValue);
}

bool
ParseName(GrammarIterator& aFirst, GrammarIterator aLast, std::string& aValue)
{
  static const auto kBareName = x3::lexeme[kNameStart >> *kNameCharacter];
  if (ParseDefinition(kBareName, aFirst, aLast, aValue)) {
    return true;
  }
  aValue.clear();
  GrammarIterator position = aFirst;
  if (!ParseString(position, aLast, aValue) || aValue.empty()) {
    return false;
  }
  aFirst = position;
  return true;
}

/** Parses an unsigned number that is at least Min. */
template<typename Number, Number Min>
bool
ParseUnsigned(GrammarIterator& aFirst, GrammarIterator aLast, Number& aValue)
{
  static const auto kDefinition =
    x3::lexeme[x3::uint_parser<Number>{} >> !kNameCharacter];
  GrammarIterator position = aFirst;
  if (!ParseDefinition(kDefinition, position, aLast, aValue) || aValue < Min) {
    return false;
  }
  aFirst = position;
  return true;
}

/** Parses a decimal fraction in [0, 1] without sign or exponent.
 *  std::from_chars rounds to the nearest double. Spirit's parser of real
 *  numbers does not if there are many digits, so that Format() printed a
 *  different fraction. */
bool
ParseFraction(GrammarIterator& aFirst, GrammarIterator aLast, double& aValue)
{
  static const auto kDigits = +encoding::char_("0-9");
  static const auto kDefinition =
    x3::lexeme[kDigits >> -(encoding::char_('.') >> kDigits) >>
               !kNameCharacter];
  GrammarIterator position = aFirst;
  std::string text;
  if (!ParseDefinition(kDefinition, position, aLast, text)) {
    return false;
  }
  const auto result =
    std::from_chars(text.data(), text.data() + text.size(), aValue);
  if (result.ec != std::errc() || aValue > 1) {
    return false;
  }
  aFirst = position;
  return true;
}

/** Multiplies the enclosing rule's Duration by Factor. */
template<std::int64_t Factor>
struct MultiplyBy
{
  template<typename Context>
  void operator()(Context& aContext) const
  {
    x3::_val(aContext) *= Factor;
  }
};

bool
ParseDuration(GrammarIterator& aFirst, GrammarIterator aLast, Duration& aValue)
{
  // A 32-bit number of seconds does not overflow a Duration.
  static const auto kDefinition =
    x3::uint_parser<std::uint32_t>{}[([](auto& aContext) {
      x3::_val(aContext) = Duration{ x3::_attr(aContext) };
    })] >>
    (Keyword("US") | Keyword("MS")[MultiplyBy<1000>{}] |
     Keyword("S")[MultiplyBy<1000000>{}]);
  return ParseDefinition(kDefinition, aFirst, aLast, aValue);
}

} // namespace

bool
Skipper::SkipOne(GrammarIterator& aFirst, GrammarIterator aLast)
{
  return x3::parse(aFirst, aLast, kWhitespaceOrComment);
}

bool
Keyword::ParseKeywords(GrammarIterator& aFirst, GrammarIterator aLast) const
{
  GrammarIterator position = aFirst;
  std::size_t begin = 0;
  while (begin < m_name.size()) {
    const std::size_t end = std::min(m_name.find(' ', begin), m_name.size());
    const std::string word = m_name.substr(begin, end - begin);
    const auto definition =
      x3::lexeme[x3::no_case[encoding::lit(word)] >> !kNameCharacter];
    if (!x3::phrase_parse(position,
                          aLast,
                          definition,
                          Skipper{},
                          x3::skip_flag::dont_post_skip)) {
      return false;
    }
    begin = end + 1;
  }
  aFirst = position;
  return true;
}

const Rule<std::string> kString{ "a text in quotation marks", ParseString };
const Rule<std::string> kName{ "a name", ParseName };
const Rule<std::uint32_t> kUint32{ "a whole number from 0 to 4294967295",
                                   ParseUnsigned<std::uint32_t, 0> };
const Rule<std::uint32_t> kPositiveUint32{
  "a whole number from 1 to 4294967295",
  ParseUnsigned<std::uint32_t, 1>
};
const Rule<std::uint64_t> kUint64{ "a whole number",
                                   ParseUnsigned<std::uint64_t, 0> };
const Rule<double> kFraction{ "a number from 0 to 1", ParseFraction };
const Rule<Duration> kDuration{ "a duration such as 250 ms, in us, ms or s",
                                ParseDuration };

} // namespace goldcrestkeel::grammar
