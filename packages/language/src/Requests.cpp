#include "Elements.h"

namespace goldcrestkeel::grammar {

namespace {

bool
ParseCallerClass(GrammarIterator& aFirst,
                 GrammarIterator aLast,
                 CallerClass& aValue)
{
  static const auto kDefinition =
    Word("INTERACTIVE") >> x3::attr(CallerClass::Interactive) |
    Word("BATCH") >> x3::attr(CallerClass::Batch);
  return Run(kDefinition, aFirst, aLast, aValue);
}

const Rule<CallerClass> kCallerClass{ "INTERACTIVE or BATCH",
                                      ParseCallerClass };

const Rule<SearchStatement> kSearch{ "SEARCH", ParseSearch };

/** Clauses of HOLD while they are read. */
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
    *(Clause<&HoldClauses::m_item>("ITEM", kText) |
      Clause<&HoldClauses::m_quantity>("QUANTITY", kPositive) |
      Clause<&HoldClauses::m_member>("MEMBER", kText) |
      Clause<&HoldClauses::m_key>("KEY", kText)) >
    End("ITEM, QUANTITY, MEMBER, KEY");
  return Run(kDefinition, aFirst, aLast, aValue);
}

const Rule<HoldClauses> kHoldClauses{ "the clauses of HOLD", ParseHoldClauses };

/** Clauses of INVOICE while they are read. */
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
    *(Clause<&InvoiceClauses::m_number>("NUMBER", kText) |
      Clause<&InvoiceClauses::m_action>("ACTION", kName) |
      Clause<&InvoiceClauses::m_key>("KEY", kText)) >
    End("NUMBER, ACTION, KEY");
  return Run(kDefinition, aFirst, aLast, aValue);
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
    Word("SEARCH") > kName[Set<&Value::m_service>{}] > Word("FOR") >
    kText[Set<&Value::m_text>{}] >
    *(Clause<&Value::m_limit>("LIMIT", kCount) |
      Clause<&Value::m_offset>("OFFSET", kCount) |
      Clause<&Value::m_deadline>("DEADLINE", kDuration) |
      Clause<&Value::m_coverage>("COVERAGE", kFraction) |
      Clause<&Value::m_snapshot>("SNAPSHOT", kNumber) |
      Clause<&Value::m_class>("CLASS", kCallerClass)) >
    End("LIMIT, OFFSET, DEADLINE, COVERAGE, SNAPSHOT, CLASS");
  return Run(kDefinition, aFirst, aLast, aValue);
}

bool
ParseExplain(GrammarIterator& aFirst,
             GrammarIterator aLast,
             ExplainStatement& aValue)
{
  static const auto kDefinition =
    Word("EXPLAIN") > kSearch[Set<&ExplainStatement::m_search>{}];
  return Run(kDefinition, aFirst, aLast, aValue);
}

bool
ParseHold(GrammarIterator& aFirst, GrammarIterator aLast, HoldStatement& aValue)
{
  const auto finish = [](auto& aContext) {
    const HoldClauses& clauses = x3::_attr(aContext);
    HoldStatement& hold = x3::_val(aContext);
    hold.m_item = Required(aContext, clauses.m_item, "ITEM");
    hold.m_quantity = Required(aContext, clauses.m_quantity, "QUANTITY");
    hold.m_member = Required(aContext, clauses.m_member, "MEMBER");
    hold.m_key = clauses.m_key;
  };
  static const auto kDefinition = Word("HOLD") >
                                  kName[Set<&HoldStatement::m_service>{}] >
                                  kHoldClauses[finish];
  return Run(kDefinition, aFirst, aLast, aValue);
}

bool
ParseInvoice(GrammarIterator& aFirst,
             GrammarIterator aLast,
             InvoiceStatement& aValue)
{
  const auto finish = [](auto& aContext) {
    const InvoiceClauses& clauses = x3::_attr(aContext);
    InvoiceStatement& invoice = x3::_val(aContext);
    invoice.m_number = Required(aContext, clauses.m_number, "NUMBER");
    invoice.m_action = Required(aContext, clauses.m_action, "ACTION");
    invoice.m_key = clauses.m_key;
  };
  static const auto kDefinition = Word("INVOICE") >
                                  kName[Set<&InvoiceStatement::m_service>{}] >
                                  kInvoiceClauses[finish];
  return Run(kDefinition, aFirst, aLast, aValue);
}

} // namespace goldcrestkeel::grammar
