#include <goldcrestkeel/core/Errors.h>
#include <goldcrestkeel/edge/EdgeSettings.h>

#include <nlohmann/json.hpp>

#include <vector>

namespace goldcrestkeel {

namespace {

using nlohmann::json;

/** Upper limit of every duration in the settings, in seconds. */
constexpr double kMaxSeconds = 3600;
/** Upper limit of every size in the settings, in bytes. */
constexpr double kMaxBytes = 1e12;
/** Upper limit of every count in the settings. */
constexpr double kMaxCount = 1e6;

// Reads values by JSON pointer and collects the faults, so that all are
// reported together.
class SettingsReader
{
public:
  explicit SettingsReader(const json& aDocument)
    : m_document(aDocument)
  {
  }

  void ReadString(const std::string& aPath, std::string& aValue, bool aRequired)
  {
    const json* value = Find(aPath, aRequired);
    if (!value) {
      return;
    }
    if (!value->is_string() ||
        (aRequired && value->get_ref<const std::string&>().empty())) {
      AddFault(aPath, "must be a non-empty string");
      return;
    }
    aValue = value->get<std::string>();
  }

  void ReadStringMap(const std::string& aPath,
                     std::map<std::string, std::string>& aValues)
  {
    const json* value = Find(aPath, false);
    if (!value) {
      return;
    }
    if (!value->is_object()) {
      AddFault(aPath, "must be an object whose values are strings");
      return;
    }
    for (const auto& [name, member] : value->items()) {
      if (member.is_string()) {
        aValues[name] = member.get<std::string>();
      } else {
        AddFault(aPath + "/" + name, "must be a string");
      }
    }
  }

  void ReadBool(const std::string& aPath, bool& aValue)
  {
    const json* value = Find(aPath, false);
    if (value && !value->is_boolean()) {
      AddFault(aPath, "must be true or false");
    } else if (value) {
      aValue = value->get<bool>();
    }
  }

  void ReadNumber(const std::string& aPath, double& aValue, double aMax)
  {
    const json* value = Find(aPath, false);
    if (!value) {
      return;
    }
    if (!value->is_number() || value->get<double>() < 0 ||
        value->get<double>() > aMax) {
      AddFault(aPath, "must be a number from 0 to " + std::to_string(aMax));
      return;
    }
    aValue = value->get<double>();
  }

  void ReadBytes(const std::string& aPath, std::uint64_t& aValue)
  {
    ReadInteger(aPath, kMaxBytes, aValue);
  }

  void ReadCount(const std::string& aPath, std::uint64_t& aValue)
  {
    ReadInteger(aPath, kMaxCount, aValue);
  }

  void ReadSeconds(const std::string& aPath, Duration& aValue)
  {
    ReadDuration(aPath, 1e6, aValue);
  }

  void ReadMilliseconds(const std::string& aPath, Duration& aValue)
  {
    ReadDuration(aPath, 1e3, aValue);
  }

  void ThrowFaults() const
  {
    if (m_faults.empty()) {
      return;
    }
    std::string text = "invalid settings:";
    for (const std::string& fault : m_faults) {
      text += "\n  " + fault;
    }
    throw Error(ErrorKind::InvalidConfiguration, text);
  }

private:
  void ReadInteger(const std::string& aPath, double aMax, std::uint64_t& aValue)
  {
    double value = static_cast<double>(aValue);
    ReadNumber(aPath, value, aMax);
    aValue = static_cast<std::uint64_t>(value);
  }

  /** aUnit: unit of the setting, in microseconds. */
  void ReadDuration(const std::string& aPath, double aUnit, Duration& aValue)
  {
    double value = static_cast<double>(aValue.count()) / aUnit;
    ReadNumber(aPath, value, kMaxSeconds * 1e6 / aUnit);
    aValue = Duration(static_cast<Duration::rep>(value * aUnit));
  }

  const json* Find(const std::string& aPath, bool aRequired)
  {
    const json::json_pointer pointer(aPath);
    if (m_document.contains(pointer) && !m_document.at(pointer).is_null()) {
      return &m_document.at(pointer);
    }
    if (aRequired) {
      AddFault(aPath, "is missing");
    }
    return nullptr;
  }

  void AddFault(const std::string& aPath, const std::string& aMessage)
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
                std::string("settings are not valid JSON: ") + error.what());
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
  SettingsReader reader(document);
  reader.ReadString("/host/id", settings.m_hostId, true);
  reader.ReadString("/host/data_centre", settings.m_dataCentre, true);
  reader.ReadBool("/host/first_start", settings.m_firstStart);
  reader.ReadStringMap("/regions", settings.m_regions);
  reader.ReadString("/listen/callers", settings.m_callerAddress, true);
  reader.ReadString("/listen/readiness", settings.m_readinessAddress, true);
  reader.ReadString("/listen/hosts", settings.m_relayAddress, false);
  reader.ReadNumber("/host/cores", settings.m_cores, kMaxCores);
  reader.ReadString("/listen/metrics", settings.m_metricsAddress, false);
  reader.ReadString("/store/address", settings.m_storeAddress, true);
  reader.ReadNumber("/repeats/ratio", settings.m_repeatRatio, 1);
  reader.ReadNumber("/repeats/slack", settings.m_repeatSlack, kMaxSlack);
  reader.ReadSeconds("/repeats/window_s", settings.m_repeatWindow);
  reader.ReadSeconds("/rate_limits/window_s", settings.m_rateLimitWindow);
  reader.ReadNumber("/rate_limits/overshoot", settings.m_rateLimitOvershoot, 1);
  reader.ReadMilliseconds("/limits/drain_ms", settings.m_drainLimit);
  reader.ReadMilliseconds("/limits/apply_ms", settings.m_applyLimit);
  reader.ReadCount("/feeds/min_shared_hosts", settings.m_minSharedHosts);
  reader.ReadBytes("/limits/answer_bytes",
                   settings.m_answerLimits.m_answerBytes);
  reader.ReadBytes("/limits/answers_bytes",
                   settings.m_answerLimits.m_totalBytes);
  reader.ReadBytes("/limits/callers_bytes",
                   settings.m_sessionLimits.m_totalBytes);
  reader.ReadBytes("/limits/read_ahead_bytes",
                   settings.m_sessionLimits.m_readAheadBytes);
  reader.ReadMilliseconds("/limits/unread_answer_ms",
                          settings.m_sessionLimits.m_unreadTimeout);
  reader.ReadSeconds("/shutdown/grace_s", settings.m_grace);
  reader.ThrowFaults();
  return settings;
}

} // namespace goldcrestkeel
