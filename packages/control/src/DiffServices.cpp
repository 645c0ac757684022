#include <goldcrestkeel/control/ConfigurationChange.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace goldcrestkeel {

namespace {

using Json = nlohmann::json;

/** Lines of a diff, and characters of a value in it. */
constexpr std::size_t kMaxDiffLines = 40;
constexpr std::size_t kMaxValueLength = 80;
/** Prefix of the JSON pointers to the fields of the service. */
constexpr std::string_view kServicePointerPrefix = "/services/0/";

Json
ToDocument(const ServiceSpec& aSpec)
{
  return Json::parse(FormatServices({ { aSpec.m_name, aSpec } }));
}

std::string
FormatValue(const Json& aValue)
{
  std::string text = aValue.dump();
  if (text.size() > kMaxValueLength) {
    text = text.substr(0, kMaxValueLength) + "...";
  }
  return text;
}

/** Converts the JSON pointer "/services/0/policy/hedge" to "policy.hedge". */
std::string
ToFieldPath(const std::string& aPointer)
{
  std::string path =
    aPointer.substr(std::min(kServicePointerPrefix.size(), aPointer.size()));
  std::replace(path.begin(), path.end(), '/', '.');
  return path;
}

void
AppendDifferences(const ServiceSpec& aOld,
                  const ServiceSpec& aNew,
                  std::vector<std::string>& aLines)
{
  const Json before = ToDocument(aOld);
  for (const Json& step : Json::diff(before, ToDocument(aNew))) {
    const auto pointer = step.at("path").get<std::string>();
    const auto operation = step.at("op").get<std::string>();
    std::string line = aOld.m_name + "." + ToFieldPath(pointer) + ": ";
    line += operation == "add"
              ? "absent"
              : FormatValue(before.at(Json::json_pointer(pointer)));
    line += " -> ";
    line += operation == "remove" ? "absent" : FormatValue(step.at("value"));
    aLines.push_back(std::move(line));
  }
}

} // namespace

std::string
DiffServices(const std::map<std::string, ServiceSpec>& aOld,
             const std::map<std::string, ServiceSpec>& aNew)
{
  std::vector<std::string> lines;
  for (const auto& [name, spec] : aOld) {
    const auto changed = aNew.find(name);
    if (changed == aNew.end()) {
      lines.push_back(name + ": removed");
    } else if (changed->second != spec) {
      AppendDifferences(spec, changed->second, lines);
    }
  }
  for (const auto& [name, spec] : aNew) {
    if (!aOld.contains(name)) {
      lines.push_back(name + ": added");
    }
  }
  std::string text;
  for (std::size_t i = 0; i < std::min(lines.size(), kMaxDiffLines); ++i) {
    text += lines[i] + "\n";
  }
  if (lines.size() > kMaxDiffLines) {
    text +=
      std::to_string(lines.size() - kMaxDiffLines) + " more differences\n";
  }
  return text;
}

} // namespace goldcrestkeel
