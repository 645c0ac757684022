#include <goldcrestkeel/control/ConfigurationChange.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace goldcrestkeel {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxLines = 40;
constexpr std::size_t kMaxValue = 80;
/** Where the fields of a service start in the paths of a diff. */
constexpr std::string_view kPrefix = "/services/0/";

Json
Document(const ServiceSpec& aSpec)
{
  return Json::parse(FormatServices({ { aSpec.m_name, aSpec } }));
}

std::string
Shown(const Json& aValue)
{
  std::string text = aValue.dump();
  if (text.size() > kMaxValue) {
    text = text.substr(0, kMaxValue) + "...";
  }
  return text;
}

/** "/services/0/policy/hedge" becomes "policy.hedge". */
std::string
FieldPath(const std::string& aPointer)
{
  std::string path = aPointer.substr(std::min(kPrefix.size(), aPointer.size()));
  std::replace(path.begin(), path.end(), '/', '.');
  return path;
}

void
AddDifferences(const ServiceSpec& aOld,
               const ServiceSpec& aNew,
               std::vector<std::string>& aLines)
{
  const Json before = Document(aOld);
  for (const Json& step : Json::diff(before, Document(aNew))) {
    const auto pointer = step.at("path").get<std::string>();
    const auto operation = step.at("op").get<std::string>();
    std::string line = aOld.m_name + "." + FieldPath(pointer) + ": ";
    line += operation == "add" ? "absent"
                               : Shown(before.at(Json::json_pointer(pointer)));
    line += " -> ";
    line += operation == "remove" ? "absent" : Shown(step.at("value"));
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
    const auto other = aNew.find(name);
    if (other == aNew.end()) {
      lines.push_back(name + ": removed");
    } else if (other->second != spec) {
      AddDifferences(spec, other->second, lines);
    }
  }
  for (const auto& [name, spec] : aNew) {
    if (!aOld.contains(name)) {
      lines.push_back(name + ": added");
    }
  }
  std::string text;
  for (std::size_t i = 0; i < std::min(lines.size(), kMaxLines); ++i) {
    text += lines[i] + "\n";
  }
  if (lines.size() > kMaxLines) {
    text += std::to_string(lines.size() - kMaxLines) + " more differences\n";
  }
  return text;
}

} // namespace goldcrestkeel
