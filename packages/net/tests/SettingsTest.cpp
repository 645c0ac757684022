#include <goldcrestkeel/Core.h>
#include <goldcrestkeel/Net.h>

#include <catch2/catch.hpp>

using namespace goldcrestkeel;
using Catch::Matchers::Contains;

namespace {

const std::string kValid = R"({
  // One host of the co-op.
  "host": { "id": "h1", "data_centre": "vigo", "region": "galicia" },
  "http": { "address": "127.0.0.1:8080" },
  "peer": { "address": "127.0.0.1:9090",
            "keys": [{ "id": "k1", "secret": "0123456789abcdef" }] },
  "store": { "address": "127.0.0.1:8500" },
  "host_list": { "address": "127.0.0.1:8500" }
})";

std::string
Replaced(std::string aText, const std::string& aOld, const std::string& aNew)
{
  return aText.replace(aText.find(aOld), aOld.size(), aNew);
}

std::string
FaultsOf(const std::string& aText)
{
  try {
    ParseSettings(aText);
  } catch (const Error& error) {
    return error.what();
  }
  return {};
}

} // namespace

// Guards against faults that are found one at a time or not at all.
TEST_CASE("Settings are checked as a whole", "[settings]")
{
  REQUIRE(FaultsOf(kValid).empty());

  SECTION("all faults are named with path and allowed range")
  {
    std::string text = Replaced(kValid, "\"id\": \"h1\", ", "");
    text = Replaced(text, "127.0.0.1:8080\"", "localhost:80\", \"threads\": 0");
    text = Replaced(text, "0123456789abcdef", "short");
    text = Replaced(text, "\"store\"", "\"stoer\"");
    const std::string faults = FaultsOf(text);
    REQUIRE_THAT(faults, Contains("host.id: is missing"));
    REQUIRE_THAT(faults, Contains("http.address: must be \"IP:port\""));
    REQUIRE_THAT(faults,
                 Contains("http.threads: must be an integer from 1 to 64"));
    REQUIRE_THAT(
      faults, Contains("peer.keys[0].secret: must be a string of 16 to 256"));
    REQUIRE_THAT(faults, Contains("store: is missing"));
    REQUIRE_THAT(faults, Contains("stoer: is unknown"));
  }
  SECTION("a negative number, a port above 65535 and a wrong type")
  {
    std::string text = Replaced(
      kValid, "127.0.0.1:8080\"", "127.0.0.1:65536\", \"max_body_bytes\": -1");
    text = Replaced(text, "{ \"id\": \"k1\"", "7, { \"id\": \"k1\"");
    const std::string faults = FaultsOf(text);
    REQUIRE_THAT(faults, Contains("http.address"));
    REQUIRE_THAT(faults, Contains("http.max_body_bytes"));
    REQUIRE_THAT(faults, Contains("peer.keys[0]: must be an object"));
  }
  SECTION("text that is not JSON")
  {
    REQUIRE_THAT(FaultsOf("{"), Contains("must be JSON"));
    REQUIRE_THAT(FaultsOf("[]"), Contains("must be an object"));
  }
  SECTION("a change that needs a restart is named")
  {
    const Settings old = ParseSettings(kValid);
    Settings changed = old;
    changed.m_logSeverity = Severity::Debug;
    REQUIRE(RestartOnlyChanges(old, changed).empty());
    changed.m_httpAddress = "127.0.0.1:1";
    REQUIRE(RestartOnlyChanges(old, changed) ==
            std::vector<std::string>{ "http" });
  }
}

// Guards against a log line that a collector cannot read.
TEST_CASE("A log record is one line", "[log]")
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
