#include "Grammar.h"

#include "Elements.h"

namespace goldcrestkeel {

GrammarFault::GrammarFault(GrammarIterator aWhere, const std::string& aExpected)
  : std::runtime_error(aExpected)
  , m_where(aWhere)
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
    Word("DROP") > Word("SERVICE") >
    kName[Set<&DropServiceStatement::m_service>{}] > End("");
  return Run(kDefinition, aFirst, aLast, aValue);
}

/** Sets the subject of the enclosing SHOW. */
auto
Subject(const char* aWord, ShowSubject aSubject)
{
  return Word(aWord) >> x3::eps[([aSubject](auto& aContext) {
           x3::_val(aContext).m_subject = aSubject;
         })];
}

bool
ParseShowSubject(GrammarIterator& aFirst,
                 GrammarIterator aLast,
                 ShowStatement& aValue)
{
  const auto service = kName[Set<&ShowStatement::m_service>{}];
  static const auto kService =
    Subject("SERVICE", ShowSubject::Service) > service;
  static const auto kReplicas =
    Subject("REPLICAS", ShowSubject::Replicas) >> -(Word("OF") > service);
  static const auto kAudit =
    Subject("AUDIT", ShowSubject::Audit) >>
    -Clause<&ShowStatement::m_limit>("LIMIT", kPositive);
  static const auto kOthers =
    Subject("SERVICES", ShowSubject::Services) |
    Subject("MEMBERS", ShowSubject::Members) |
    Subject("SUSPECTS", ShowSubject::Suspects) |
    Subject("CONFIGURATION", ShowSubject::Configuration);
  return Run(kService | kReplicas | kAudit | kOthers, aFirst, aLast, aValue);
}

const Rule<ShowStatement> kShowSubject{
  "SERVICES, SERVICE, REPLICAS, MEMBERS, SUSPECTS, AUDIT or CONFIGURATION",
  ParseShowSubject
};

bool
ParseShow(GrammarIterator& aFirst, GrammarIterator aLast, ShowStatement& aValue)
{
  static const auto kDefinition =
    Word("SHOW") > kShowSubject[Set<>{}] > End("");
  return Run(kDefinition, aFirst, aLast, aValue);
}

bool
ParseLift(GrammarIterator& aFirst,
          GrammarIterator aLast,
          LiftQuarantineStatement& aValue)
{
  static const auto kDefinition =
    Word("LIFT") > Word("QUARANTINE") >
    kNumber[Set<&LiftQuarantineStatement::m_fingerprint>{}] > End("");
  return Run(kDefinition, aFirst, aLast, aValue);
}

template<typename Value>
auto
Alternative(const char* aName, typename Rule<Value>::Function aFunction)
{
  return Rule<Value>(aName, aFunction)[Set<>{}];
}

bool
ParseAny(GrammarIterator& aFirst, GrammarIterator aLast, Statement& aValue)
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
  return Run(kDefinition, aFirst, aLast, aValue);
}

const Rule<Statement> kAny{
  "SEARCH, HOLD, INVOICE, CREATE, ALTER, DROP, SHOW, LIFT or EXPLAIN",
  ParseAny
};

} // namespace

void
SkipBlanks(GrammarIterator& aFirst, GrammarIterator aLast)
{
  while (Blanks::ParseBlanks(aFirst, aLast)) {
  }
}

Statement
ParseNext(GrammarIterator& aFirst, GrammarIterator aLast)
{
  static const auto kDefinition =
    x3::eps > kAny[Set<>{}] >
    Named("a semicolon or the end of the statement", x3::lit(';') | x3::eoi);
  Statement statement;
  try {
    Run(kDefinition, aFirst, aLast, statement);
  } catch (const x3::expectation_failure<GrammarIterator>& failure) {
    throw GrammarFault(failure.where(), failure.which());
  }
  return statement;
}

} // namespace goldcrestkeel
