#pragma once

#include <nlohmann/json.hpp>

#include <initializer_list>
#include <optional>
#include <string_view>
#include <utility>

namespace goldcrestkeel {

enum class Severity
{
  Debug,
  Info,
  Warning,
  Error,
};

enum class LogFormat
{
  /** One JSON object per line. */
  Json,
  /** One line per record: time, severity, message and name=value pairs. */
  Text,
};

std::string_view
NameOf(Severity aSeverity);
std::optional<Severity>
SeverityFromName(std::string_view aName);
std::string_view
NameOf(LogFormat aFormat);
std::optional<LogFormat>
LogFormatFromName(std::string_view aName);

using LogFields =
  std::initializer_list<std::pair<std::string_view, nlohmann::json>>;

/** Writes records of at least aSeverity to standard error and replaces an
 *  earlier setup. */
void
SetUpLogging(LogFormat aFormat, Severity aSeverity);

/** Changes the minimum severity of the records that are written. */
void
SetLogSeverity(Severity aSeverity);

/** Writes one structured record. Thread-safe. */
void
Log(Severity aSeverity, std::string_view aMessage, LogFields aFields = {});

/** Formats one record as a single line without a line break at its end. Bytes
 *  that are not valid UTF-8 are replaced. aTime is written as it is. */
std::string
FormatRecord(LogFormat aFormat,
             Severity aSeverity,
             std::string_view aMessage,
             const nlohmann::json& aFields,
             std::string_view aTime);

} // namespace goldcrestkeel
