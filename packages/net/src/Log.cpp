#include <goldcrestkeel/net/Log.h>

#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/manipulators/add_value.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>

#include <array>
#include <iostream>

namespace goldcrestkeel {

namespace {

namespace logging = boost::log;

// Indexed by the values of the enums.
constexpr std::array<std::string_view, 4> kSeverityNames{ "debug",
                                                          "info",
                                                          "warning",
                                                          "error" };
constexpr std::array<std::string_view, 2> kFormatNames{ "json", "text" };

template<typename Enum, std::size_t N>
std::optional<Enum>
FromName(const std::array<std::string_view, N>& aNames, std::string_view aName)
{
  for (std::size_t i = 0; i < N; ++i) {
    if (aNames[i] == aName) {
      return static_cast<Enum>(i);
    }
  }
  return std::nullopt;
}

using Sink =
  logging::sinks::synchronous_sink<logging::sinks::text_ostream_backend>;

std::string
UtcTimestamp()
{
  return boost::posix_time::to_iso_extended_string(
           boost::posix_time::microsec_clock::universal_time()) +
         "Z";
}

nlohmann::json
FieldsOf(const logging::record_view& aRecord)
{
  const auto fields = logging::extract<nlohmann::json>("Fields", aRecord);
  return fields ? *fields : nlohmann::json::object();
}

void
Format(LogFormat aFormat,
       const logging::record_view& aRecord,
       logging::formatting_ostream& aStream)
{
  const auto severity = logging::extract<Severity>("Severity", aRecord);
  const auto message = logging::extract<std::string>("Message", aRecord);
  aStream << FormatRecord(aFormat,
                          severity ? *severity : Severity::Info,
                          message ? *message : std::string(),
                          FieldsOf(aRecord),
                          UtcTimestamp());
}

} // namespace

std::string_view
NameOf(Severity aSeverity)
{
  return kSeverityNames.at(static_cast<std::size_t>(aSeverity));
}

std::optional<Severity>
SeverityFromName(std::string_view aName)
{
  return FromName<Severity>(kSeverityNames, aName);
}

std::string_view
NameOf(LogFormat aFormat)
{
  return kFormatNames.at(static_cast<std::size_t>(aFormat));
}

std::optional<LogFormat>
LogFormatFromName(std::string_view aName)
{
  return FromName<LogFormat>(kFormatNames, aName);
}

void
SetUpLogging(LogFormat aFormat, Severity aSeverity)
{
  auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
  // std::clog is not owned, so the deleter does nothing.
  backend->add_stream(
    boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream*) {}));
  backend->auto_flush(true);
  auto sink = boost::make_shared<Sink>(backend);
  sink->set_formatter([aFormat](const logging::record_view& aRecord,
                                logging::formatting_ostream& aStream) {
    Format(aFormat, aRecord, aStream);
  });
  logging::core::get()->remove_all_sinks();
  logging::core::get()->add_sink(sink);
  SetLogSeverity(aSeverity);
}

void
SetLogSeverity(Severity aSeverity)
{
  logging::core::get()->set_filter(
    [aSeverity](const logging::attribute_value_set& aValues) {
      const auto severity = logging::extract<Severity>("Severity", aValues);
      return severity && *severity >= aSeverity;
    });
}

void
Log(Severity aSeverity, std::string_view aMessage, LogFields aFields)
{
  thread_local logging::sources::severity_logger<Severity> sLogger;
  logging::record record =
    sLogger.open_record(logging::keywords::severity = aSeverity);
  if (!record) {
    return;
  }
  nlohmann::json fields = nlohmann::json::object();
  for (const auto& [name, value] : aFields) {
    fields[std::string(name)] = value;
  }
  logging::record_ostream stream(record);
  stream << logging::add_value("Fields", fields);
  stream << aMessage;
  stream.flush();
  sLogger.push_record(std::move(record));
}

std::string
FormatRecord(LogFormat aFormat,
             Severity aSeverity,
             std::string_view aMessage,
             const nlohmann::json& aFields,
             std::string_view aTime)
{
  constexpr auto kReplace = nlohmann::json::error_handler_t::replace;
  if (aFormat == LogFormat::Json) {
    nlohmann::json line = aFields;
    line["time"] = aTime;
    line["severity"] = NameOf(aSeverity);
    line["message"] = aMessage;
    return line.dump(-1, ' ', false, kReplace);
  }
  std::string line(aTime);
  line.append(" ").append(NameOf(aSeverity)).append(" ").append(aMessage);
  for (const auto& [name, value] : aFields.items()) {
    line.append(" ").append(name).append("=").append(
      value.dump(-1, ' ', false, kReplace));
  }
  return line;
}

} // namespace goldcrestkeel
