#include "Elements.h"

namespace goldcrestkeel::grammar {

namespace {

bool
ParseCallerClass(GrammarIterator& aFirst,
                 GrammarIterator aLast,
                 CallerClass& aValue)
{
  static const auto kDefinition =
    Keyword("INTERACTIVE") >> x3::attr(CallerClass::Interactive) |
    Keyword("BATCH") >> x3::attr(CallerClass::Batch);
  return ParseDefinition(kDefinition, aFirst, aLast, aValue);
}

const Rule<CallerClass> kCallerClass{ "INTERACTIVE or BATCH",
                                      ParseCallerClass };

const Rule<SearchStatement> kSearch{ "SEARCH", ParseSearch };

/** Parsed clauses of HOLD, before the check for mandatory ones. */
struct HoldClauses
{
  std::optional<std::string> m_item;
  std::optional<std::uint32_t> m_quantity;
  std::optional<std::string> m_member;
  std::optional<std::string> m_key;
};

bool
ParseHoldClauses(GrammarIterator& aFirst,
                 GrammarIterator aLast,
                 HoldClauses& aValue)
{
  static const auto kDefinition =
    *(Clause<&HoldClauses::m_item>("ITEM", kString) |
      Clause<&HoldClauses::m_quantity>("QUANTITY", kPositiveUint32) |
      Clause<&HoldClauses::m_member>("MEMBER", kString) |
      Clause<&HoldClauses::m_key>("KEY", kString)) >
    StatementEnd("ITEM, QUANTITY, MEMBER, KEY");
  return ParseDefinition(kDefinition, aFirst, aLast, aValue);
}

const Rule<HoldClauses> kHoldClauses{ "the clauses of HOLD", ParseHoldClauses };

/** Parsed clauses of INVOICE, before the check for mandatory ones. */
struct InvoiceClauses
{
  std::optional<std::string> m_number;
  std::optional<std::string> m_action;
  std::optional<std::string> m_key;
};

bool
ParseInvoiceClauses(GrammarIterator& aFirst,
                    GrammarIterator aLast,
                    InvoiceClauses& aValue)
{
  static const auto kDefinition =
    *(Clause<&InvoiceClauses::m_number>("NUMBER", kString) |
      Clause<&InvoiceClauses::m_action>("ACTION", kName) |
      Clause<&InvoiceClauses::m_key>("KEY", kString)) >
    StatementEnd("NUMBER, ACTION, KEY");
  return ParseDefinition(kDefinition, aFirst, aLast, aValue);
}

const Rule<InvoiceClauses> kInvoiceClauses{ "the clauses of INVOICE",
                                            ParseInvoiceClauses };

} // namespace

bool
ParseSearch(GrammarIterator& aFirst,
            GrammarIterator aLast,
            SearchStatement& aValue)
{
  using Value = SearchStatement;
  static const auto kDefinition =
    Keyword("SEARCH") > kName[Assign<&Value::m_service>{}] > Keyword("FOR") >
    kString[Assign<&Value::m_text>{}] >
    *(Clause<&Value::m_limit>("LIMIT", kUint32) |
      Clause<&Value::m_offset>("OFFSET", kUint32) |
      Clause<&Value::m_deadline>("DEADLINE", kDuration) |
      Clause<&Value::m_coverage>("COVERAGE", kFraction) |
      Clause<&Value::m_snapshot>("SNAPSHOT", kUint64) |
      Clause<&Value::m_class>("CLASS", kCallerClass)) >
    StatementEnd("LIMIT, OFFSET, DEADLINE, COVERAGE, SNAPSHOT, CLASS");
  return ParseDefinition(kDefinition, aFirst, aLast, aValue);
}

bool
ParseExplain(GrammarIterator& aFirst,
             GrammarIterator aLast,
             ExplainStatement& aValue)
{
  static const auto kDefinition =
    Keyword("EXPLAIN") > kSearch[Assign<&ExplainStatement::m_search>{}];
  return ParseDefinition(kDefinition, aFirst, aLast, aValue);
}

bool
ParseHold(GrammarIterator& aFirst, GrammarIterator aLast, HoldStatement& aValue)
{
  const auto assignClauses = [](auto& aContext) {
    const HoldClauses& clauses = x3::_attr(aContext);
    HoldStatement& hold = x3::_val(aContext);
    hold.m_item = Required(aContext, clauses.m_item, "ITEM");
    hold.m_quantity = Required(aContext, clauses.m_quantity, "QUANTITY");
    hold.m_member = Required(aContext, clauses.m_member, "MEMBER");
    hold.m_key = clauses.m_key;
  };
  static const auto kDefinition = Keyword("HOLD") >
                                  kName[Assign<&HoldStatement::m_service>{}] >
                                  kHoldClauses[assignClauses];
  return ParseDefinition(kDefinition, aFirst, aLast, aValue);
}

bool
ParseInvoice(GrammarIterator& aFirst,
             GrammarIterator aLast,
             InvoiceStatement& aValue)
{
  const auto assignClauses = [](auto& aContext) {
    const InvoiceClauses& clauses = x3::_attr(aContext);
    InvoiceStatement& invoice = x3::_val(aContext);
    invoice.m_number = Required(aContext, clauses.m_number, "NUMBER");
    invoice.m_action = Required(aContext, clauses.m_action, "ACTION");
    invoice.m_key = clauses.m_key;
  };
  static const auto kDefinition =
    Keyword("INVOICE") > kName[Assign<&InvoiceStatement::m_service>{}] >
    kInvoiceClauses[assignClauses];
  return ParseDefinition(kDefinition, aFirst, aLast, aValue);
}

} // namespace goldcrestkeel::grammar
