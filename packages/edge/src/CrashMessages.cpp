#include "CrashMessages.h"

#include "QuarantineJson.h"

#include <goldcrestkeel/core/StableHash.h>
#include <goldcrestkeel/edge/JsonNumbers.h>
#include <goldcrestkeel/edge/QuarantineRecord.h>

#include <algorithm>

namespace goldcrestkeel {

namespace {

using nlohmann::json;

/** Longer summaries are cut, in bytes. */
constexpr std::size_t kMaxSummaryBytes = 200;

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
        { "started_at_ms", crash.m_startedAt } });
  }
  json quarantined = json::array();
  for (const SuspectReport& suspect : aMessage.m_quarantined) {
    quarantined.push_back(ToJson(suspect));
  }
  return json{ { "crashes", crashes }, { "quarantined", quarantined } }.dump(
    -1, ' ', false, json::error_handler_t::replace);
}

CrashMessage
DecodeCrashMessage(std::string_view aBody)
{
  const json document = json::parse(aBody);
  CrashMessage message;
  for (const json& entry : document.at("crashes")) {
    CrashReport crash;
    crash.m_fingerprint =
      ParseFingerprint(entry.at("fingerprint").get<std::string>());
    crash.m_summary = entry.at("request").get<std::string>();
    crash.m_service = entry.at("service").get<std::string>();
    crash.m_replica = entry.at("replica").get<std::string>();
    crash.m_startedAt =
      static_cast<WallTime>(UnsignedOf(entry.at("started_at_ms")));
    message.m_crashes.push_back(std::move(crash));
  }
  for (const json& entry : document.at("quarantined")) {
    message.m_quarantined.push_back(QuarantineFromJson(entry));
  }
  return message;
}

} // namespace goldcrestkeel
