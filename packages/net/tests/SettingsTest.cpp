#include <goldcrestkeel/Core.h>
#include <goldcrestkeel/Net.h>

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using Catch::Matchers::Contains;

namespace {

const std::string kValidSettings = R"({
  // Comments are allowed.
  "host": { "id": "h1", "data_centre": "vigo", "region": "galicia" },
  "http": { "address": "127.0.0.1:8080" },
  "peer": { "address": "127.0.0.1:9090",
            "keys": [{ "id": "k1", "secret": "0123456789abcdef" }] },
  "store": { "address": "127.0.0.1:8500" },
  "host_list": { "address": "127.0.0.1:8500" }
})";

std::string
ReplaceFirst(std::string aText,
             const std::string& aOld,
             const std::string& aNew)
{
  return aText.replace(aText.find(aOld), aOld.size(), aNew);
}

std::string
ErrorsOf(const std::string& aText)
{
  try {
    ParseSettings(aText);
  } catch (const Error& error) {
    return error.what();
  }
  return {};
}

} // namespace

// Guards against settings errors that are reported one at a time or not at all.
TEST_CASE("All errors of the settings are reported together", "[settings]")
{
  REQUIRE(ErrorsOf(kValidSettings).empty());

  SECTION("each error has the path of the setting and the allowed range")
  {
    std::string text = ReplaceFirst(kValidSettings, "\"id\": \"h1\", ", "");
    text =
      ReplaceFirst(text, "127.0.0.1:8080\"", "localhost:80\", \"threads\": 0");
    text = ReplaceFirst(text, "0123456789abcdef", "short");
    text = ReplaceFirst(text, "\"store\"", "\"stoer\"");
    const std::string errors = ErrorsOf(text);
    REQUIRE_THAT(errors, Contains("host.id: is missing"));
    REQUIRE_THAT(errors, Contains("http.address: must be \"IP:port\""));
    REQUIRE_THAT(errors,
                 Contains("http.threads: must be an integer from 1 to 64"));
    REQUIRE_THAT(
      errors, Contains("peer.keys[0].secret: must be a string of 16 to 256"));
    REQUIRE_THAT(errors, Contains("store: is missing"));
    REQUIRE_THAT(errors, Contains("stoer: is unknown"));
  }
  SECTION("a negative number, a port above 65535 and a wrong type are refused")
  {
    std::string text =
      ReplaceFirst(kValidSettings,
                   "127.0.0.1:8080\"",
                   "127.0.0.1:65536\", \"max_body_bytes\": -1");
    text = ReplaceFirst(text, "{ \"id\": \"k1\"", "7, { \"id\": \"k1\"");
    const std::string errors = ErrorsOf(text);
    REQUIRE_THAT(errors, Contains("http.address"));
    REQUIRE_THAT(errors, Contains("http.max_body_bytes"));
    REQUIRE_THAT(errors, Contains("peer.keys[0]: must be an object"));
  }
  SECTION("text that is not a JSON object is refused")
  {
    REQUIRE_THAT(ErrorsOf("{"), Contains("must be JSON"));
    REQUIRE_THAT(ErrorsOf("[]"), Contains("must be an object"));
  }
  SECTION("changed settings that need a restart are listed")
  {
    const Settings old = ParseSettings(kValidSettings);
    Settings changed = old;
    changed.m_logSeverity = Severity::Debug;
    REQUIRE(RestartOnlyChanges(old, changed).empty());
    changed.m_httpAddress = "127.0.0.1:1";
    REQUIRE(RestartOnlyChanges(old, changed) ==
            std::vector<std::string>{ "http" });
  }
}

// Guards against a record with a line break or invalid UTF-8, which a log
// collector cannot parse.
TEST_CASE("A log record is formatted as one line", "[log]")
{
  const nlohmann::json fields{ { "path", "a\nb" }, { "bytes", "\xff" } };
  const std::string json = FormatRecord(
    LogFormat::Json, Severity::Info, "request \"x\"", fields, "now");
  REQUIRE(json.find('\n') == std::string::npos);
  REQUIRE(nlohmann::json::parse(json).at("path") == "a\nb");
  const std::string text =
    FormatRecord(LogFormat::Text, Severity::Info, "request", fields, "now");
  REQUIRE(text.find('\n') == std::string::npos);
}
