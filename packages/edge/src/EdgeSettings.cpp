#include <goldcrestkeel/core/Errors.h>
#include <goldcrestkeel/edge/EdgeSettings.h>

#include <nlohmann/json.hpp>

#include <vector>

namespace goldcrestkeel {

namespace {

using nlohmann::json;

/** Longest time that a setting may name, in seconds. */
constexpr double kMaxSeconds = 3600;

// Reads members by JSON pointer and collects all faults.
class Reader
{
public:
  explicit Reader(const json& aDocument)
    : m_document(aDocument)
  {
  }

  void Text(const std::string& aPath, std::string& aValue, bool aRequired)
  {
    const json* value = Find(aPath, aRequired);
    if (!value) {
      return;
    }
    if (!value->is_string() ||
        (aRequired && value->get_ref<const std::string&>().empty())) {
      Fault(aPath, "must be a text that is not empty");
      return;
    }
    aValue = value->get<std::string>();
  }

  void Texts(const std::string& aPath,
             std::map<std::string, std::string>& aValues)
  {
    const json* value = Find(aPath, false);
    if (!value) {
      return;
    }
    if (!value->is_object()) {
      Fault(aPath, "must be an object of texts");
      return;
    }
    for (const auto& [name, member] : value->items()) {
      if (member.is_string()) {
        aValues[name] = member.get<std::string>();
      } else {
        Fault(aPath + "/" + name, "must be a text");
      }
    }
  }

  void Flag(const std::string& aPath, bool& aValue)
  {
    const json* value = Find(aPath, false);
    if (value && !value->is_boolean()) {
      Fault(aPath, "must be true or false");
    } else if (value) {
      aValue = value->get<bool>();
    }
  }

  void Number(const std::string& aPath, double& aValue, double aMax)
  {
    const json* value = Find(aPath, false);
    if (!value) {
      return;
    }
    if (!value->is_number() || value->get<double>() < 0 ||
        value->get<double>() > aMax) {
      Fault(aPath, "must be a number from 0 to " + std::to_string(aMax));
      return;
    }
    aValue = value->get<double>();
  }

  void Seconds(const std::string& aPath, Duration& aValue)
  {
    Time(aPath, 1e6, aValue);
  }

  void Milliseconds(const std::string& aPath, Duration& aValue)
  {
    Time(aPath, 1e3, aValue);
  }

  void ThrowFaults() const
  {
    if (m_faults.empty()) {
      return;
    }
    std::string text = "settings are not valid:";
    for (const std::string& fault : m_faults) {
      text += "\n  " + fault;
    }
    throw Error(ErrorKind::InvalidConfiguration, text);
  }

private:
  /** aUnit is the unit of the setting in microseconds. */
  void Time(const std::string& aPath, double aUnit, Duration& aValue)
  {
    double value = static_cast<double>(aValue.count()) / aUnit;
    Number(aPath, value, kMaxSeconds * 1e6 / aUnit);
    aValue = Duration(static_cast<Duration::rep>(value * aUnit));
  }

  const json* Find(const std::string& aPath, bool aRequired)
  {
    const json::json_pointer pointer(aPath);
    if (m_document.contains(pointer) && !m_document.at(pointer).is_null()) {
      return &m_document.at(pointer);
    }
    if (aRequired) {
      Fault(aPath, "is missing");
    }
    return nullptr;
  }

  void Fault(const std::string& aPath, const std::string& aMessage)
  {
    m_faults.push_back(aPath + " " + aMessage);
  }

  const json& m_document;
  std::vector<std::string> m_faults;
};

json
ParseDocument(std::string_view aText)
{
  try {
    return json::parse(aText, nullptr, true, true);
  } catch (const json::parse_error& error) {
    throw Error(ErrorKind::InvalidConfiguration,
                std::string("settings are no JSON: ") + error.what());
  }
}

} // namespace

EdgeSettings
ParseEdgeSettings(std::string_view aText)
{
  constexpr double kMaxSlack = 1e6;
  constexpr double kMaxCores = 1024;
  const json document = ParseDocument(aText);
  EdgeSettings settings;
  Reader reader(document);
  reader.Text("/host/id", settings.m_hostId, true);
  reader.Text("/host/data_centre", settings.m_dataCentre, true);
  reader.Flag("/host/first_start", settings.m_firstStart);
  reader.Texts("/regions", settings.m_regions);
  reader.Text("/listen/callers", settings.m_callerAddress, true);
  reader.Text("/listen/readiness", settings.m_readinessAddress, true);
  reader.Text("/listen/hosts", settings.m_relayAddress, false);
  reader.Number("/host/cores", settings.m_cores, kMaxCores);
  reader.Text("/listen/metrics", settings.m_metricsAddress, false);
  reader.Text("/store/address", settings.m_storeAddress, true);
  reader.Number("/repeats/ratio", settings.m_repeatRatio, 1);
  reader.Number("/repeats/slack", settings.m_repeatSlack, kMaxSlack);
  reader.Seconds("/repeats/window_s", settings.m_repeatWindow);
  reader.Milliseconds("/limits/drain_ms", settings.m_drainLimit);
  reader.Milliseconds("/limits/apply_ms", settings.m_applyLimit);
  reader.Seconds("/shutdown/grace_s", settings.m_grace);
  reader.ThrowFaults();
  return settings;
}

} // namespace goldcrestkeel
