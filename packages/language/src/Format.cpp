#include "Letters.h"

#include <goldcrestkeel/language/Statement.h>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace goldcrestkeel {

namespace {

bool
IsNameStart(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '_';
}

bool
IsBareName(std::string_view aText)
{
  return !aText.empty() && IsNameStart(aText.front()) &&
         std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
           return IsNameStart(aCharacter) || aCharacter == '.' ||
                  aCharacter == '-';
         });
}

std::string
Quote(std::string_view aText)
{
  std::string quoted = "\"";
  for (char character : aText) {
    switch (character) {
      case '\n':
        quoted += "\\n";
        break;
      case '\t':
        quoted += "\\t";
        break;
      case '"':
      case '\\':
        quoted += '\\';
        [[fallthrough]];
      default:
        quoted += character;
    }
  }
  return quoted + '"';
}

std::string
Name(const std::string& aName)
{
  return IsBareName(aName) ? aName : Quote(aName);
}

/** Shortest decimal fraction that reads back to the same value. */
std::string
Fraction(double aValue)
{
  // The longest one in [0, 1] without an exponent has 325 zeros and 17 digits.
  char buffer[400];
  const auto result = std::to_chars(
    buffer, buffer + sizeof(buffer), aValue, std::chars_format::fixed);
  return { buffer, result.ptr };
}

std::string
Text(Duration aDuration)
{
  constexpr std::int64_t kMillisecond = 1000;
  constexpr std::int64_t kSecond = 1000 * kMillisecond;
  const std::int64_t count = aDuration.count();
  if (count % kSecond == 0 && count != 0) {
    return std::to_string(count / kSecond) + " s";
  }
  if (count % kMillisecond == 0) {
    return std::to_string(count / kMillisecond) + " ms";
  }
  return std::to_string(count) + " us";
}

/** Appends statements in canonical form to a text. */
class Formatter
{
public:
  void operator()(const SearchStatement& aSearch);
  void operator()(const HoldStatement& aHold);
  void operator()(const InvoiceStatement& aInvoice);
  void operator()(const CreateServiceStatement& aCreate);
  void operator()(const AlterServiceStatement& aAlter);
  void operator()(const DropServiceStatement& aDrop);
  void operator()(const ShowStatement& aShow);
  void operator()(const LiftQuarantineStatement& aLift);
  void operator()(const ExplainStatement& aExplain);

  void operator()(const PolicyChange& aChange);
  void operator()(const AddReplica& aAdd);
  void operator()(const DropReplica& aDrop);
  void operator()(const AddShard& aAdd);
  void operator()(const DropShard& aDrop);

  std::string m_text;

private:
  void Clause(const char* aKeyword, const std::string& aValue);
  template<typename Value, typename ToText>
  void Clause(const char* aKeyword,
              const std::optional<Value>& aValue,
              ToText aToText);
  void Replica(const ReplicaSpec& aReplica);
  void Policy(const PolicyChange& aChange);
};

constexpr auto kNumberText = [](auto aNumber) {
  return std::to_string(aNumber);
};

constexpr auto kEnumText = [](auto aValue) {
  return UpperCase(NameOf(aValue));
};

void
Formatter::Clause(const char* aKeyword, const std::string& aValue)
{
  m_text += " ";
  m_text += aKeyword;
  m_text += " " + aValue;
}

template<typename Value, typename ToText>
void
Formatter::Clause(const char* aKeyword,
                  const std::optional<Value>& aValue,
                  ToText aToText)
{
  if (aValue) {
    Clause(aKeyword, aToText(*aValue));
  }
}

void
Formatter::operator()(const SearchStatement& aSearch)
{
  m_text += "SEARCH " + Name(aSearch.m_service);
  Clause("FOR", Quote(aSearch.m_text));
  Clause("LIMIT", aSearch.m_limit, kNumberText);
  Clause("OFFSET", aSearch.m_offset, kNumberText);
  Clause("DEADLINE", aSearch.m_deadline, Text);
  Clause("COVERAGE", aSearch.m_coverage, Fraction);
  Clause("SNAPSHOT", aSearch.m_snapshot, kNumberText);
  Clause("CLASS", aSearch.m_class, kEnumText);
}

void
Formatter::operator()(const HoldStatement& aHold)
{
  m_text += "HOLD " + Name(aHold.m_service);
  Clause("ITEM", Quote(aHold.m_item));
  Clause("QUANTITY", std::to_string(aHold.m_quantity));
  Clause("MEMBER", Quote(aHold.m_member));
  Clause("KEY", aHold.m_key, Quote);
}

void
Formatter::operator()(const InvoiceStatement& aInvoice)
{
  m_text += "INVOICE " + Name(aInvoice.m_service);
  Clause("NUMBER", Quote(aInvoice.m_number));
  Clause("ACTION", Name(aInvoice.m_action));
  Clause("KEY", aInvoice.m_key, Quote);
}

void
Formatter::Replica(const ReplicaSpec& aReplica)
{
  m_text += Name(aReplica.m_id);
  Clause("AT", Quote(aReplica.m_address));
  Clause("SHARD", Name(aReplica.m_shard));
  Clause("DATA CENTRE", Name(aReplica.m_dataCentre));
  Clause("REGION", Name(aReplica.m_region));
  Clause("SLOTS", std::to_string(aReplica.m_slots));
  Clause("CONNECTIONS", std::to_string(aReplica.m_connections));
  Clause("CONNECT COST", Text(aReplica.m_connectCost));
}

void
Formatter::Policy(const PolicyChange& aChange)
{
  Clause("DEADLINE", aChange.m_deadline, Text);
  Clause("RESPONSE TARGET", aChange.m_responseTarget, Text);
  Clause("COVERAGE", aChange.m_minCoverage, Fraction);
  Clause("PREFERENCE", aChange.m_preference, kEnumText);
  Clause("EXTRA LOAD", aChange.m_extraLoad, Fraction);
  Clause("SELECTOR", aChange.m_selector, Name);
  Clause("HEDGE", aChange.m_hedge, Name);
}

void
Formatter::operator()(const CreateServiceStatement& aCreate)
{
  m_text += "CREATE SERVICE " + Name(aCreate.m_service);
  Clause("KIND", kEnumText(aCreate.m_kind));
  m_text += " SHARDS (";
  const char* separator = "";
  for (const std::string& shard : aCreate.m_shards) {
    m_text += separator + Name(shard);
    separator = ", ";
  }
  m_text += ") REPLICAS (";
  separator = "";
  for (const ReplicaSpec& replica : aCreate.m_replicas) {
    m_text += separator;
    Replica(replica);
    separator = ", ";
  }
  m_text += ")";
  Policy(aCreate.m_policy);
}

void
Formatter::operator()(const AlterServiceStatement& aAlter)
{
  m_text += "ALTER SERVICE " + Name(aAlter.m_service);
  const char* separator = " ";
  for (const Alteration& alteration : aAlter.m_alterations) {
    m_text += separator;
    std::visit(*this, alteration);
    separator = ", ";
  }
}

void
Formatter::operator()(const PolicyChange& aChange)
{
  m_text += "SET";
  Policy(aChange);
}

void
Formatter::operator()(const AddReplica& aAdd)
{
  m_text += "ADD REPLICA ";
  Replica(aAdd.m_replica);
}

void
Formatter::operator()(const DropReplica& aDrop)
{
  m_text += "DROP REPLICA " + Name(aDrop.m_replica);
}

void
Formatter::operator()(const AddShard& aAdd)
{
  m_text += "ADD SHARD " + Name(aAdd.m_shard);
}

void
Formatter::operator()(const DropShard& aDrop)
{
  m_text += "DROP SHARD " + Name(aDrop.m_shard);
}

void
Formatter::operator()(const DropServiceStatement& aDrop)
{
  m_text += "DROP SERVICE " + Name(aDrop.m_service);
}

void
Formatter::operator()(const ShowStatement& aShow)
{
  switch (aShow.m_subject) {
    case ShowSubject::Services:
      m_text += "SHOW SERVICES";
      break;
    case ShowSubject::Service:
      m_text += "SHOW SERVICE " + Name(aShow.m_service);
      break;
    case ShowSubject::Replicas:
      m_text += "SHOW REPLICAS";
      if (!aShow.m_service.empty()) {
        Clause("OF", Name(aShow.m_service));
      }
      break;
    case ShowSubject::Members:
      m_text += "SHOW MEMBERS";
      break;
    case ShowSubject::Suspects:
      m_text += "SHOW SUSPECTS";
      break;
    case ShowSubject::Audit:
      m_text += "SHOW AUDIT";
      Clause("LIMIT", aShow.m_limit, kNumberText);
      break;
    case ShowSubject::Configuration:
      m_text += "SHOW CONFIGURATION";
      break;
  }
}

void
Formatter::operator()(const LiftQuarantineStatement& aLift)
{
  m_text += "LIFT QUARANTINE " + std::to_string(aLift.m_fingerprint);
}

void
Formatter::operator()(const ExplainStatement& aExplain)
{
  m_text += "EXPLAIN ";
  (*this)(aExplain.m_search);
}

} // namespace

std::string
Format(const Statement& aStatement)
{
  Formatter formatter;
  std::visit(formatter, aStatement);
  return std::move(formatter.m_text);
}

} // namespace goldcrestkeel
