#include "FuzzTarget.h"

#include <goldcrestkeel/Control.h>

#include <optional>

using namespace goldcrestkeel;

namespace {

std::map<std::string, ServiceSpec>
SeedServices()
{
  ServiceSpec spec;
  spec.m_name = "spares";
  spec.m_shards = { "s0", "s1" };
  spec.m_replicas = {
    { "r0", "127.0.0.1:9101", "d", "r", "s0", 2, 25, Duration{ 6000 } },
    { "r1", "[::1]:9102", "d", "r", "s1", 2, 25, Duration{ 1500 } }
  };
  spec.m_policy.m_minCoverage = 0.95;
  return { { spec.m_name, spec } };
}

/** Returns the result of aParse, or nothing if it throws InvalidConfiguration.
 *  Any other error violates a property. */
template<typename Parse>
auto
TryParse(Parse aParse, const std::string& aText)
  -> std::optional<decltype(aParse(aText))>
{
  try {
    return aParse(aText);
  } catch (const Error& error) {
    fuzz::Require(
      error.Kind() == ErrorKind::InvalidConfiguration &&
        error.what()[0] != '\0',
      "a rejected document reports an invalid configuration with a message");
    return std::nullopt;
  }
}

} // namespace

std::vector<std::string>
fuzz::SeedCorpus()
{
  Configuration configuration;
  configuration.m_revision = 12;
  configuration.m_services = SeedServices();
  configuration.m_audit.push_back(
    { 12, "ana", 1790000000000, "127.0.0.1", "op-1", "SET", "accepted" });
  return { "// services\n" + FormatServices(SeedServices()),
           "{\"services\": []}",
           SerializeConfiguration(configuration),
           SerializeConfiguration({}) };
}

/** Property: any text is either rejected as an invalid configuration, or is a
 *  document whose services pass validation and that round-trips through its
 *  serialized form. */
int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  if (const auto services = TryParse(ParseServices, text)) {
    for (const auto& [name, spec] : *services) {
      fuzz::Require(Check(spec).empty(),
                    "an accepted service passes validation");
    }
    fuzz::Require(ParseServices(FormatServices(*services)) == *services,
                  "formatted services parse to equal services");
  }
  if (const auto configuration = TryParse(ParseConfiguration, text)) {
    fuzz::Require(
      ParseConfiguration(SerializeConfiguration(*configuration)) ==
        *configuration,
      "a serialized configuration parses to an equal configuration");
  }
  return 0;
}
