#include "Grammar.h"

#include "Elements.h"

namespace goldcrestkeel {

GrammarError::GrammarError(GrammarIterator aPosition,
                           const std::string& aExpected)
  : std::runtime_error(aExpected)
  , m_position(aPosition)
{
}

namespace {

using namespace grammar;

bool
ParseDrop(GrammarIterator& aFirst,
          GrammarIterator aLast,
          DropServiceStatement& aValue)
{
  static const auto kDefinition =
    Keyword("DROP") > Keyword("SERVICE") >
    kName[Assign<&DropServiceStatement::m_service>{}] > StatementEnd("");
  return ParseDefinition(kDefinition, aFirst, aLast, aValue);
}

/** Keyword that sets the subject of the enclosing SHOW statement. */
auto
Subject(const char* aWord, ShowSubject aSubject)
{
  return Keyword(aWord) >> x3::eps[([aSubject](auto& aContext) {
           x3::_val(aContext).m_subject = aSubject;
         })];
}

bool
ParseShowSubject(GrammarIterator& aFirst,
                 GrammarIterator aLast,
                 ShowStatement& aValue)
{
  const auto service = kName[Assign<&ShowStatement::m_service>{}];
  static const auto kService =
    Subject("SERVICE", ShowSubject::Service) > service;
  static const auto kReplicas =
    Subject("REPLICAS", ShowSubject::Replicas) >> -(Keyword("OF") > service);
  static const auto kAudit =
    Subject("AUDIT", ShowSubject::Audit) >>
    -Clause<&ShowStatement::m_limit>("LIMIT", kPositiveUint32);
  static const auto kOthers =
    Subject("SERVICES", ShowSubject::Services) |
    Subject("MEMBERS", ShowSubject::Members) |
    Subject("SUSPECTS", ShowSubject::Suspects) |
    Subject("CONFIGURATION", ShowSubject::Configuration);
  return ParseDefinition(
    kService | kReplicas | kAudit | kOthers, aFirst, aLast, aValue);
}

const Rule<ShowStatement> kShowSubject{
  "SERVICES, SERVICE, REPLICAS, MEMBERS, SUSPECTS, AUDIT or CONFIGURATION",
  ParseShowSubject
};

bool
ParseShow(GrammarIterator& aFirst, GrammarIterator aLast, ShowStatement& aValue)
{
  static const auto kDefinition =
    Keyword("SHOW") > kShowSubject[Assign<>{}] > StatementEnd("");
  return ParseDefinition(kDefinition, aFirst, aLast, aValue);
}

bool
ParseLift(GrammarIterator& aFirst,
          GrammarIterator aLast,
          LiftQuarantineStatement& aValue)
{
  static const auto kDefinition =
    Keyword("LIFT") > Keyword("QUARANTINE") >
    kUint64[Assign<&LiftQuarantineStatement::m_fingerprint>{}] >
    StatementEnd("");
  return ParseDefinition(kDefinition, aFirst, aLast, aValue);
}

template<typename Value>
auto
Alternative(const char* aName, typename Rule<Value>::Function aFunction)
{
  return Rule<Value>(aName, aFunction)[Assign<>{}];
}

bool
ParseAnyStatement(GrammarIterator& aFirst,
                  GrammarIterator aLast,
                  Statement& aValue)
{
  static const auto kDefinition =
    Alternative<SearchStatement>("SEARCH", ParseSearch) |
    Alternative<HoldStatement>("HOLD", ParseHold) |
    Alternative<InvoiceStatement>("INVOICE", ParseInvoice) |
    Alternative<CreateServiceStatement>("CREATE", ParseCreate) |
    Alternative<AlterServiceStatement>("ALTER", ParseAlter) |
    Alternative<DropServiceStatement>("DROP", ParseDrop) |
    Alternative<ShowStatement>("SHOW", ParseShow) |
    Alternative<LiftQuarantineStatement>("LIFT", ParseLift) |
    Alternative<ExplainStatement>("EXPLAIN", ParseExplain);
  return ParseDefinition(kDefinition, aFirst, aLast, aValue);
}

const Rule<Statement> kAnyStatement{
  "SEARCH, HOLD, INVOICE, CREATE, ALTER, DROP, SHOW, LIFT or EXPLAIN",
  ParseAnyStatement
};

} // namespace

void
SkipWhitespaceAndComments(GrammarIterator& aFirst, GrammarIterator aLast)
{
  while (Skipper::SkipOne(aFirst, aLast)) {
  }
}

Statement
ParseNextStatement(GrammarIterator& aFirst, GrammarIterator aLast)
{
  static const auto kDefinition =
    x3::eps > kAnyStatement[Assign<>{}] >
    Named("a semicolon or the end of the statement", x3::lit(';') | x3::eoi);
  Statement statement;
  try {
    ParseDefinition(kDefinition, aFirst, aLast, statement);
  } catch (const x3::expectation_failure<GrammarIterator>& failure) {
    throw GrammarError(failure.where(), failure.which());
  }
  return statement;
}

} // namespace goldcrestkeel
