#include "QuarantineJson.h"

#include <goldcrestkeel/edge/JsonNumbers.h>
#include <goldcrestkeel/edge/QuarantineRecord.h>

#include <charconv>
#include <stdexcept>

namespace goldcrestkeel {

namespace {

using nlohmann::json;

constexpr int kHexadecimal = 16;

} // namespace

std::string
FormatFingerprint(std::uint64_t aFingerprint)
{
  std::string text(kHexadecimal, '0');
  const auto end = std::to_chars(
    text.data(), text.data() + text.size(), aFingerprint, kHexadecimal);
  text.resize(static_cast<std::size_t>(end.ptr - text.data()));
  return text;
}

std::uint64_t
ParseFingerprint(std::string_view aText)
{
  std::uint64_t value = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value, kHexadecimal);
  if (parsed.ec != std::errc() || parsed.ptr != end || value == 0) {
    throw std::runtime_error("not a fingerprint");
  }
  return value;
}

json
ToJson(const SuspectReport& aReport)
{
  return { { "fingerprint", FormatFingerprint(aReport.m_fingerprint) },
           { "request", aReport.m_statement },
           { "crashes", aReport.m_crashes },
           { "version", aReport.m_version } };
}

SuspectReport
QuarantineFromJson(const json& aEntry)
{
  SuspectReport report;
  report.m_fingerprint =
    ParseFingerprint(aEntry.at("fingerprint").get<std::string>());
  report.m_statement =
    aEntry.at("request").get<std::string>().substr(0, kMaxSummaryBytes);
  report.m_crashes = Unsigned32Of(aEntry.at("crashes"));
  report.m_version = UnsignedOf(aEntry.at("version"));
  report.m_quarantined = true;
  return report;
}

std::string
EncodeQuarantine(const SuspectReport& aReport)
{
  return ToJson(aReport).dump(-1, ' ', false, json::error_handler_t::replace);
}

SuspectReport
DecodeQuarantine(std::string_view aText)
{
  return QuarantineFromJson(json::parse(aText));
}

} // namespace goldcrestkeel
