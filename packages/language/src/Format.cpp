#include "UpperCase.h"

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
FormatName(const std::string& aName)
{
  return IsBareName(aName) ? aName : Quote(aName);
}

/** Returns the shortest decimal fraction that parses to the same value. */
std::string
FormatFraction(double aValue)
{
  // Without an exponent, a double in [0, 1] has at most 325 zeros and 17
  // digits.
  char buffer[400];
  const auto result = std::to_chars(
    buffer, buffer + sizeof(buffer), aValue, std::chars_format::fixed);
  return { buffer, result.ptr };
}

std::string
FormatDuration(Duration aDuration)
{
  constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;
  constexpr std::int64_t kMicrosecondsPerSecond =
    1000 * kMicrosecondsPerMillisecond;
  const std::int64_t count = aDuration.count();
  if (count % kMicrosecondsPerSecond == 0 && count != 0) {
    return std::to_string(count / kMicrosecondsPerSecond) + " s";
  }
  if (count % kMicrosecondsPerMillisecond == 0) {
    return std::to_string(count / kMicrosecondsPerMillisecond) + " ms";
  }
  return std::to_string(count) + " us";
}

/** Visitor that appends a statement in canonical form to m_text. */
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
  void AppendClause(const char* aKeyword, const std::string& aValue);
  template<typename Value, typename ToText>
  void AppendClause(const char* aKeyword,
                    const std::optional<Value>& aValue,
                    ToText aToText);
  void AppendReplica(const ReplicaSpec& aReplica);
  void AppendPolicy(const PolicyChange& aChange);
};

constexpr auto kFormatNumber = [](auto aNumber) {
  return std::to_string(aNumber);
};

constexpr auto kFormatEnum = [](auto aValue) {
  return ToUpperCase(NameOf(aValue));
};

void
Formatter::AppendClause(const char* aKeyword, const std::string& aValue)
{
  m_text += " ";
  m_text += aKeyword;
  m_text += " " + aValue;
}

template<typename Value, typename ToText>
void
Formatter::AppendClause(const char* aKeyword,
                        const std::optional<Value>& aValue,
                        ToText aToText)
{
  if (aValue) {
    AppendClause(aKeyword, aToText(*aValue));
  }
}

void
Formatter::operator()(const SearchStatement& aSearch)
{
  m_text += "SEARCH " + FormatName(aSearch.m_service);
  AppendClause("FOR", Quote(aSearch.m_text));
  AppendClause("LIMIT", aSearch.m_limit, kFormatNumber);
  AppendClause("OFFSET", aSearch.m_offset, kFormatNumber);
  AppendClause("DEADLINE", aSearch.m_deadline, FormatDuration);
  AppendClause("COVERAGE", aSearch.m_coverage, FormatFraction);
  AppendClause("SNAPSHOT", aSearch.m_snapshot, kFormatNumber);
  AppendClause("CLASS", aSearch.m_class, kFormatEnum);
}

void
Formatter::operator()(const HoldStatement& aHold)
{
  m_text += "HOLD " + FormatName(aHold.m_service);
  AppendClause("ITEM", Quote(aHold.m_item));
  AppendClause("QUANTITY", std::to_string(aHold.m_quantity));
  AppendClause("MEMBER", Quote(aHold.m_member));
  AppendClause("KEY", aHold.m_key, Quote);
}

void
Formatter::operator()(const InvoiceStatement& aInvoice)
{
  m_text += "INVOICE " + FormatName(aInvoice.m_service);
  AppendClause("NUMBER", Quote(aInvoice.m_number));
  AppendClause("ACTION", FormatName(aInvoice.m_action));
  AppendClause("KEY", aInvoice.m_key, Quote);
}

void
Formatter::AppendReplica(const ReplicaSpec& aReplica)
{
  m_text += FormatName(aReplica.m_id);
  AppendClause("AT", Quote(aReplica.m_address));
  AppendClause("SHARD", FormatName(aReplica.m_shard));
  AppendClause("DATA CENTRE", FormatName(aReplica.m_dataCentre));
  AppendClause("REGION", FormatName(aReplica.m_region));
  AppendClause("SLOTS", std::to_string(aReplica.m_slots));
  AppendClause("CONNECTIONS", std::to_string(aReplica.m_connections));
  AppendClause("CONNECT COST", FormatDuration(aReplica.m_connectCost));
}

void
Formatter::AppendPolicy(const PolicyChange& aChange)
{
  AppendClause("DEADLINE", aChange.m_deadline, FormatDuration);
  AppendClause("RESPONSE TARGET", aChange.m_responseTarget, FormatDuration);
  AppendClause("COVERAGE", aChange.m_minCoverage, FormatFraction);
  AppendClause("PREFERENCE", aChange.m_preference, kFormatEnum);
  AppendClause("EXTRA LOAD", aChange.m_extraLoad, FormatFraction);
  AppendClause("SELECTOR", aChange.m_selector, FormatName);
  AppendClause("HEDGE", aChange.m_hedge, FormatName);
}

void
Formatter::operator()(const CreateServiceStatement& aCreate)
{
  m_text += "CREATE SERVICE " + FormatName(aCreate.m_service);
  AppendClause("KIND", kFormatEnum(aCreate.m_kind));
  m_text += " SHARDS (";
  const char* separator = "";
  for (const std::string& shard : aCreate.m_shards) {
    m_text += separator + FormatName(shard);
    separator = ", ";
  }
  m_text += ") REPLICAS (";
  separator = "";
  for (const ReplicaSpec& replica : aCreate.m_replicas) {
    m_text += separator;
    AppendReplica(replica);
    separator = ", ";
  }
  m_text += ")";
  AppendPolicy(aCreate.m_policy);
}

void
Formatter::operator()(const AlterServiceStatement& aAlter)
{
  m_text += "ALTER SERVICE " + FormatName(aAlter.m_service);
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
  AppendPolicy(aChange);
}

void
Formatter::operator()(const AddReplica& aAdd)
{
  m_text += "ADD REPLICA ";
  AppendReplica(aAdd.m_replica);
}

void
Formatter::operator()(const DropReplica& aDrop)
{
  m_text += "DROP REPLICA " + FormatName(aDrop.m_replica);
}

void
Formatter::operator()(const AddShard& aAdd)
{
  m_text += "ADD SHARD " + FormatName(aAdd.m_shard);
}

void
Formatter::operator()(const DropShard& aDrop)
{
  m_text += "DROP SHARD " + FormatName(aDrop.m_shard);
}

void
Formatter::operator()(const DropServiceStatement& aDrop)
{
  m_text += "DROP SERVICE " + FormatName(aDrop.m_service);
}

void
Formatter::operator()(const ShowStatement& aShow)
{
  switch (aShow.m_subject) {
    case ShowSubject::Services:
      m_text += "SHOW SERVICES";
      break;
    case ShowSubject::Service:
      m_text += "SHOW SERVICE " + FormatName(aShow.m_service);
      break;
    case ShowSubject::Replicas:
      m_text += "SHOW REPLICAS";
      if (!aShow.m_service.empty()) {
        AppendClause("OF", FormatName(aShow.m_service));
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
      AppendClause("LIMIT", aShow.m_limit, kFormatNumber);
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
