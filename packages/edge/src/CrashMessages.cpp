#include "CrashMessages.h"

#include "QuarantineJson.h"

#include <goldcrestkeel/core/StableHash.h>
#include <goldcrestkeel/edge/JsonNumbers.h>
#include <goldcrestkeel/edge/JsonText.h>
#include <goldcrestkeel/edge/QuarantineRecord.h>

#include <algorithm>
#include <stdexcept>

namespace goldcrestkeel {

namespace {

using nlohmann::json;

/** Longest name of a service or replica, in bytes. */
constexpr std::size_t kMaxNameBytes = 200;
/** Larger ages are clamped; no host remembers crashes for longer. */
constexpr std::uint64_t kMaxAgeUs = 600000000;

json
ToJson(const std::vector<SuspectReport>& aReports)
{
  json entries = json::array();
  for (const SuspectReport& report : aReports) {
    entries.push_back(goldcrestkeel::ToJson(report));
  }
  return entries;
}

std::string
NameOf(const json& aName)
{
  std::string name = aName.get<std::string>();
  if (name.size() > kMaxNameBytes) {
    throw std::runtime_error("a name is too long");
  }
  return name;
}

std::optional<Duration>
AgeOf(const json& aEntry, const char* aName)
{
  const auto found = aEntry.find(aName);
  if (found == aEntry.end()) {
    return std::nullopt;
  }
  return Duration(std::min(UnsignedOf(*found), kMaxAgeUs));
}

} // namespace

std::uint64_t
FingerprintOf(const RequestMessage& aRequest)
{
  StableHash hash;
  hash.Add(aRequest.m_method).Add('\n');
  hash.Add(FieldValue(aRequest.m_fields, "host")).Add('\n');
  hash.Add(aRequest.m_target).Add('\n').Add(aRequest.m_body);
  return std::max<std::uint64_t>(1, hash.Mixed());
}

std::string
SummaryOf(const RequestMessage& aRequest)
{
  return (aRequest.m_method + " " + aRequest.m_target)
    .substr(0, kMaxSummaryBytes);
}

std::string
EncodeCrashMessage(const CrashMessage& aMessage)
{
  json crashes = json::array();
  for (const CrashReport& crash : aMessage.m_crashes) {
    crashes.push_back(
      { { "fingerprint", FormatFingerprint(crash.m_fingerprint) },
        { "request", crash.m_summary },
        { "service", crash.m_service },
        { "replica", crash.m_replica },
        { "started_at_ms", crash.m_startedAt },
        { "crashed_us_ago", crash.m_sinceCrash.count() },
        { "sent_us_ago", crash.m_sinceSent.count() },
        { "services", crash.m_services } });
    if (crash.m_sinceServed) {
      crashes.back()["served_us_ago"] = crash.m_sinceServed->count();
    }
  }
  json answered = json::array();
  for (const std::uint64_t fingerprint : aMessage.m_answered) {
    answered.push_back(FormatFingerprint(fingerprint));
  }
  return json{
    { "crashes", crashes },
    { "quarantined", ToJson(aMessage.m_quarantined) },
    { "suspects", ToJson(aMessage.m_suspects) },
    { "answered", answered }
  }.dump(-1, ' ', false, json::error_handler_t::replace);
}

CrashMessage
DecodeCrashMessage(std::string_view aBody)
{
  const json document = ParseHostMessage(aBody, kMaxCrashMessageBytes);
  CrashMessage message;
  for (const json& entry : document.at("crashes")) {
    CrashReport crash;
    crash.m_fingerprint =
      ParseFingerprint(entry.at("fingerprint").get<std::string>());
    crash.m_summary =
      entry.at("request").get<std::string>().substr(0, kMaxSummaryBytes);
    crash.m_service = NameOf(entry.at("service"));
    crash.m_replica = NameOf(entry.at("replica"));
    crash.m_startedAt =
      static_cast<WallTime>(UnsignedOf(entry.at("started_at_ms")));
    // Hosts of an earlier version do not name these.
    crash.m_sinceCrash = AgeOf(entry, "crashed_us_ago").value_or(Duration(0));
    crash.m_sinceSent = AgeOf(entry, "sent_us_ago").value_or(Duration(0));
    crash.m_sinceServed = AgeOf(entry, "served_us_ago");
    crash.m_services = Unsigned32Of(entry.value("services", json(1U)));
    message.m_crashes.push_back(std::move(crash));
  }
  for (const json& entry : document.at("quarantined")) {
    message.m_quarantined.push_back(QuarantineFromJson(entry));
  }
  // Hosts of an earlier version do not name these.
  for (const json& entry : document.value("suspects", json::array())) {
    message.m_suspects.push_back(QuarantineFromJson(entry));
    message.m_suspects.back().m_quarantined = false;
  }
  for (const json& entry : document.value("answered", json::array())) {
    message.m_answered.push_back(ParseFingerprint(entry.get<std::string>()));
  }
  return message;
}

} // namespace goldcrestkeel
