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
  /** One JSON object a line. */
  Json,
  /** Time, severity, message and name=value pairs. */
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

/** Sends records of at least aSeverity to standard error. */
void
SetUpLogging(LogFormat aFormat, Severity aSeverity);

/** Changes the smallest severity that is written. */
void
SetLogSeverity(Severity aSeverity);

/** Writes one structured record. Thread-safe. */
void
Log(Severity aSeverity, std::string_view aMessage, LogFields aFields = {});

/** Text of one record without the time, as the sinks write it. */
std::string
FormatRecord(LogFormat aFormat,
             Severity aSeverity,
             std::string_view aMessage,
             const nlohmann::json& aFields,
             std::string_view aTime);

} // namespace goldcrestkeel
