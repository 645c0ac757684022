#pragma once

#include "Grammar.h"
#include "UpperCase.h"

#include <boost/spirit/home/x3.hpp>

#include <optional>
#include <string>
#include <type_traits>

/** Building blocks of the grammar rules. Keyword, Skipper and Rule hide their
 *  Spirit definition behind a plain function: with nested template types,
 *  compiling the grammar took more than three minutes. */
namespace goldcrestkeel::grammar {

namespace x3 = boost::spirit::x3;
// This encoding classifies all 256 byte values. The standard one passes
// negative characters, as in UTF-8 sequences, to std::isalnum(), which is
// undefined.
namespace encoding = boost::spirit::x3::iso8859_1;

// NOLINTBEGIN(readability-identifier-naming): names that Spirit requires

/** Skips white space and comments between the elements of a rule. */
struct Skipper : x3::parser<Skipper>
{
  using attribute_type = x3::unused_type;
  static const bool has_attribute = false;

  template<typename Context, typename RContext, typename Attribute>
  bool parse(GrammarIterator& aFirst,
             const GrammarIterator& aLast,
             const Context&,
             const RContext&,
             Attribute&) const
  {
    return SkipOne(aFirst, aLast);
  }

  /** Skips one white-space character or comment; returns false if there is
   *  none. */
  static bool SkipOne(GrammarIterator& aFirst, GrammarIterator aLast);
};

/** Keyword, or several separated by white space or comments. Case is
 *  ignored. */
struct Keyword : x3::parser<Keyword>
{
  using attribute_type = x3::unused_type;
  static const bool has_attribute = false;

  /** aKeywords are in upper case, separated by one space. */
  Keyword(std::string aKeywords)
    : m_name(std::move(aKeywords))
  {
  }

  template<typename Context, typename RContext, typename Attribute>
  bool parse(GrammarIterator& aFirst,
             const GrammarIterator& aLast,
             const Context&,
             const RContext&,
             Attribute&) const
  {
    return ParseKeywords(aFirst, aLast);
  }

  bool ParseKeywords(GrammarIterator& aFirst, GrammarIterator aLast) const;

  std::string m_name;
};

/** Grammar rule with an attribute of type Value. */
template<typename Value>
struct Rule : x3::parser<Rule<Value>>
{
  using attribute_type = Value;
  static const bool has_attribute = true;
  using Function = bool (*)(GrammarIterator&, GrammarIterator, Value&);

  /** aName completes the error message "expected ...". */
  Rule(const char* aName, Function aFunction)
    : m_name(aName)
    , m_function(aFunction)
  {
  }

  template<typename Context, typename RContext, typename Attribute>
  bool parse(GrammarIterator& aFirst,
             const GrammarIterator& aLast,
             const Context&,
             const RContext&,
             Attribute& aAttribute) const
  {
    Value value{};
    if (!m_function(aFirst, aLast, value)) {
      return false;
    }
    x3::traits::move_to(value, aAttribute);
    return true;
  }

  const char* m_name;
  Function m_function;
};

/** Parser with a name that completes the error message "expected ...". */
template<typename Subject>
struct NamedParser : x3::unary_parser<Subject, NamedParser<Subject>>
{
  using Base = x3::unary_parser<Subject, NamedParser<Subject>>;
  static const bool is_pass_through_unary = true;

  NamedParser(std::string aName, const Subject& aSubject)
    : Base(aSubject)
    , m_name(std::move(aName))
  {
  }

  template<typename Context, typename RContext, typename Attribute>
  bool parse(GrammarIterator& aFirst,
             const GrammarIterator& aLast,
             const Context& aContext,
             RContext& aRContext,
             Attribute& aAttribute) const
  {
    return this->subject.parse(aFirst, aLast, aContext, aRContext, aAttribute);
  }

  std::string m_name;
};

// NOLINTEND(readability-identifier-naming)

/** Gives aSubject a name for error messages. */
template<typename Subject>
auto
Named(std::string aName, const Subject& aSubject)
{
  const auto subject = x3::as_parser(aSubject);
  return NamedParser<std::remove_const_t<decltype(subject)>>(std::move(aName),
                                                             subject);
}

} // namespace goldcrestkeel::grammar

namespace boost::spirit::x3 {

template<>
struct get_info<goldcrestkeel::grammar::Keyword>
{
  using result_type = std::string;
  std::string operator()(const goldcrestkeel::grammar::Keyword& aParser) const
  {
    return aParser.m_name;
  }
};

template<typename Value>
struct get_info<goldcrestkeel::grammar::Rule<Value>>
{
  using result_type = std::string;
  std::string operator()(
    const goldcrestkeel::grammar::Rule<Value>& aParser) const
  {
    return aParser.m_name;
  }
};

/** A parser with a semantic action has the name of the parser without it. */
template<typename Subject, typename Action>
struct get_info<action<Subject, Action>>
{
  using result_type = std::string;
  std::string operator()(const action<Subject, Action>& aParser) const
  {
    return what(aParser.subject);
  }
};

template<typename Subject>
struct get_info<goldcrestkeel::grammar::NamedParser<Subject>>
{
  using result_type = std::string;
  std::string operator()(
    const goldcrestkeel::grammar::NamedParser<Subject>& aParser) const
  {
    return aParser.m_name;
  }
};

} // namespace boost::spirit::x3

namespace goldcrestkeel::grammar {

/** Parses a text with aDefinition as a separate Spirit rule, whose attribute is
 *  aValue. */
template<typename Definition, typename Value>
bool
ParseDefinition(const Definition& aDefinition,
                GrammarIterator& aFirst,
                GrammarIterator aLast,
                Value& aValue)
{
  const auto rule = x3::rule<struct DefinitionTag, Value>{ "" } = aDefinition;
  return x3::phrase_parse(
    aFirst, aLast, rule, Skipper{}, aValue, x3::skip_flag::dont_post_skip);
}

// ---- Lexical elements -------------------------------------------------------

/** String in quotation marks. */
extern const Rule<std::string> kString;
/** Name, bare or in quotation marks; not empty. */
extern const Rule<std::string> kName;
extern const Rule<std::uint32_t> kUint32;
extern const Rule<std::uint32_t> kPositiveUint32;
extern const Rule<std::uint64_t> kUint64;
/** In [0, 1]. */
extern const Rule<double> kFraction;
extern const Rule<Duration> kDuration;

/** End of a statement. aAlternatives lists the clauses that are also allowed
 *  there, for the error message; empty if there are none. */
inline auto
StatementEnd(const std::string& aAlternatives)
{
  return Named(aAlternatives.empty()
                 ? "a semicolon or the end of the statement"
                 : aAlternatives + " or the end of the statement",
               &(x3::lit(';') | x3::eoi));
}

// ---- Statements -------------------------------------------------------------

bool
ParseSearch(GrammarIterator& aFirst,
            GrammarIterator aLast,
            SearchStatement& aValue);
bool
ParseExplain(GrammarIterator& aFirst,
             GrammarIterator aLast,
             ExplainStatement& aValue);
bool
ParseHold(GrammarIterator& aFirst,
          GrammarIterator aLast,
          HoldStatement& aValue);
bool
ParseInvoice(GrammarIterator& aFirst,
             GrammarIterator aLast,
             InvoiceStatement& aValue);
bool
ParseCreate(GrammarIterator& aFirst,
            GrammarIterator aLast,
            CreateServiceStatement& aValue);
bool
ParseAlter(GrammarIterator& aFirst,
           GrammarIterator aLast,
           AlterServiceStatement& aValue);

// ---- Semantic actions -------------------------------------------------------

template<auto... Member>
struct Assign;

/** Assigns the attribute to the enclosing rule's value. */
template<>
struct Assign<>
{
  template<typename Context>
  void operator()(Context& aContext) const
  {
    x3::_val(aContext) = x3::_attr(aContext);
  }
};

/** Assigns the attribute to one member of the enclosing rule's value. */
template<auto Member>
struct Assign<Member>
{
  template<typename Context>
  void operator()(Context& aContext) const
  {
    x3::_val(aContext).*Member = x3::_attr(aContext);
  }
};

/** Throws GrammarError if Member of the enclosing rule's value is set already,
 *  because its clause is repeated. */
template<auto Member>
struct RejectDuplicate
{
  std::string m_clause;

  template<typename Context>
  void operator()(Context& aContext) const
  {
    if (x3::_val(aContext).*Member) {
      throw GrammarError(x3::_where(aContext).begin(), m_clause + " only once");
    }
  }
};

/** Keyword and value that set an optional member of the enclosing rule's value.
 *  A repeated clause is a syntax error. */
template<auto Member, typename Value>
auto
Clause(const std::string& aKeyword, const Value& aValue)
{
  return (Keyword(aKeyword) >> x3::eps[RejectDuplicate<Member>{ aKeyword }]) >
         aValue[Assign<Member>{}];
}

/** Assigns Value{ attribute } to the enclosing rule's value. */
template<typename Value>
struct AssignAs
{
  template<typename Context>
  void operator()(Context& aContext) const
  {
    x3::_val(aContext) = Value{ x3::_attr(aContext) };
  }
};

/** Appends the attribute to the enclosing rule's value. */
struct Append
{
  template<typename Context>
  void operator()(Context& aContext) const
  {
    x3::_val(aContext).push_back(x3::_attr(aContext));
  }
};

/** Returns the value of a mandatory clause. Throws GrammarError if the
 *  statement lacks it. */
template<typename Context, typename Value>
const Value&
Required(const Context& aContext,
         const std::optional<Value>& aValue,
         const char* aClause)
{
  if (!aValue) {
    throw GrammarError(x3::_where(aContext).begin(), aClause);
  }
  return *aValue;
}

} // namespace goldcrestkeel::grammar
