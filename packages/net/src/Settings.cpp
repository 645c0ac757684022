#include <goldcrestkeel/core/Errors.h>
#include <goldcrestkeel/net/Address.h>
#include <goldcrestkeel/net/Settings.h>

#include <nlohmann/json.hpp>

#include <fstream>
#include <set>
#include <sstream>

namespace goldcrestkeel {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMinSecretLength = 16;
constexpr std::size_t kMaxSecretLength = 256;
constexpr std::size_t kMaxPeerKeys = 2;

// Reads the members of a JSON object and collects all errors.
class ObjectReader
{
public:
  ObjectReader(const json& aObject,
               std::string aPath,
               std::vector<std::string>& aErrors)
    : m_object(aObject)
    , m_path(std::move(aPath))
    , m_errors(aErrors)
  {
    if (!m_object.is_object()) {
      AddError(m_path.empty() ? "settings" : m_path, "must be an object");
    }
  }

  const json* Find(const std::string& aName, bool aRequired)
  {
    m_knownNames.insert(aName);
    if (m_object.is_object() && m_object.contains(aName)) {
      return &m_object.at(aName);
    }
    if (aRequired && m_object.is_object()) {
      AddError(PathOf(aName), "is missing");
    }
    return nullptr;
  }

  void ReadName(const std::string& aName, std::string& aValue)
  {
    ReadText(aName, aValue, 1, kMaxNameLength, true);
  }

  void ReadText(const std::string& aName,
                std::string& aValue,
                std::size_t aMin,
                std::size_t aMax,
                bool aRequired)
  {
    const json* value = Find(aName, aRequired);
    if (value == nullptr) {
      return;
    }
    if (!value->is_string() ||
        value->get_ref<const std::string&>().size() < aMin ||
        value->get_ref<const std::string&>().size() > aMax) {
      AddError(PathOf(aName),
               "must be a string of " + std::to_string(aMin) + " to " +
                 std::to_string(aMax) + " characters");
      return;
    }
    aValue = value->get<std::string>();
  }

  void ReadAddress(const std::string& aName,
                   std::string& aValue,
                   bool aRequired)
  {
    const json* value = Find(aName, aRequired);
    if (value == nullptr) {
      return;
    }
    if (!value->is_string() || !ParseSocketAddress(value->get<std::string>())) {
      AddError(PathOf(aName),
               "must be \"IP:port\" with a port from 0 to 65535");
      return;
    }
    aValue = value->get<std::string>();
  }

  void ReadNumber(const std::string& aName,
                  std::uint32_t& aValue,
                  std::uint32_t aMin,
                  std::uint32_t aMax)
  {
    const json* value = Find(aName, false);
    if (value == nullptr) {
      return;
    }
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() < aMin ||
        value->get<std::uint64_t>() > aMax) {
      AddError(PathOf(aName),
               "must be an integer from " + std::to_string(aMin) + " to " +
                 std::to_string(aMax));
      return;
    }
    aValue = value->get<std::uint32_t>();
  }

  void ReadMilliseconds(const std::string& aName,
                        Duration& aValue,
                        std::uint32_t aMin,
                        std::uint32_t aMax)
  {
    auto count = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(aValue).count());
    ReadNumber(aName, count, aMin, aMax);
    aValue = std::chrono::milliseconds(count);
  }

  template<typename Enum>
  void ReadEnum(const std::string& aName,
                Enum& aValue,
                std::optional<Enum> (*aFromName)(std::string_view),
                const std::string& aAllowed)
  {
    const json* value = Find(aName, false);
    if (value == nullptr) {
      return;
    }
    const auto chosen = value->is_string()
                          ? aFromName(value->get_ref<const std::string&>())
                          : std::nullopt;
    if (!chosen) {
      AddError(PathOf(aName), "must be one of " + aAllowed);
      return;
    }
    aValue = *chosen;
  }

  // Adds an error for each member that was not read. Call it last.
  void RejectUnknown()
  {
    if (!m_object.is_object()) {
      return;
    }
    for (const auto& [name, value] : m_object.items()) {
      if (!m_knownNames.contains(name)) {
        AddError(PathOf(name), "is unknown");
      }
    }
  }

  void AddError(const std::string& aPath, const std::string& aMessage)
  {
    m_errors.push_back(aPath + ": " + aMessage);
  }

  std::string PathOf(const std::string& aName) const
  {
    return m_path.empty() ? aName : m_path + "." + aName;
  }

private:
  const json& m_object;
  std::string m_path;
  std::vector<std::string>& m_errors;
  std::set<std::string> m_knownNames;
};

// Reads a section with aRead and rejects its unknown members. Without an
// optional section the defaults stay.
template<typename Read>
void
ReadSection(ObjectReader& aRoot,
            std::vector<std::string>& aErrors,
            const std::string& aName,
            bool aRequired,
            Read aRead)
{
  if (const json* value = aRoot.Find(aName, aRequired)) {
    ObjectReader reader(*value, aName, aErrors);
    aRead(reader);
    reader.RejectUnknown();
  }
}

void
ReadKeys(ObjectReader& aPeer,
         std::vector<std::string>& aErrors,
         std::vector<PeerKey>& aKeys)
{
  const json* list = aPeer.Find("keys", true);
  if (list == nullptr) {
    return;
  }
  if (!list->is_array() || list->empty() || list->size() > kMaxPeerKeys) {
    aPeer.AddError("peer.keys", "must be a list of 1 to 2 keys");
    return;
  }
  std::set<std::string> ids;
  for (std::size_t i = 0; i < list->size(); ++i) {
    const std::string path = "peer.keys[" + std::to_string(i) + "]";
    ObjectReader reader((*list)[i], path, aErrors);
    PeerKey key;
    reader.ReadName("id", key.m_id);
    reader.ReadText(
      "secret", key.m_secret, kMinSecretLength, kMaxSecretLength, true);
    reader.RejectUnknown();
    if (!ids.insert(key.m_id).second) {
      reader.AddError(path + ".id", "must differ from the other key's id");
    }
    aKeys.push_back(std::move(key));
  }
}

std::optional<std::string>
CommandGuardFromName(std::string_view aName)
{
  if (aName == "host_memory" || aName == "store_claim" ||
      aName == "leased_range") {
    return std::string(aName);
  }
  return std::nullopt;
}

Settings
ReadSettings(const json& aDocument, std::vector<std::string>& aErrors)
{
  Settings settings;
  ObjectReader root(aDocument, "", aErrors);
  ReadSection(root, aErrors, "host", true, [&](ObjectReader& aReader) {
    aReader.ReadName("id", settings.m_hostId);
    aReader.ReadName("data_centre", settings.m_dataCentre);
    aReader.ReadName("region", settings.m_region);
  });
  ReadSection(root, aErrors, "http", true, [&](ObjectReader& aReader) {
    aReader.ReadAddress("address", settings.m_httpAddress, true);
    aReader.ReadNumber("threads", settings.m_httpThreads, 1, 64);
    aReader.ReadNumber(
      "max_body_bytes", settings.m_maxBodyBytes, 1024, 1048576);
    aReader.ReadMilliseconds(
      "max_deadline_ms", settings.m_maxDeadline, 100, 60000);
  });
  ReadSection(root, aErrors, "peer", true, [&](ObjectReader& aReader) {
    aReader.ReadAddress("address", settings.m_peerAddress, true);
    ReadKeys(aReader, aErrors, settings.m_peerKeys);
  });
  ReadSection(root, aErrors, "store", true, [&](ObjectReader& aReader) {
    aReader.ReadAddress("address", settings.m_storeAddress, true);
    aReader.ReadMilliseconds("timeout_ms", settings.m_storeTimeout, 10, 60000);
  });
  ReadSection(root, aErrors, "host_list", true, [&](ObjectReader& aReader) {
    aReader.ReadAddress("address", settings.m_hostListAddress, true);
    aReader.ReadMilliseconds(
      "interval_ms", settings.m_hostListInterval, 50, 60000);
  });
  ReadSection(root, aErrors, "searches", false, [&](ObjectReader& aReader) {
    aReader.ReadNumber("max_running", settings.m_maxRunningQueries, 1, 100000);
    aReader.ReadNumber("max_queued", settings.m_maxQueuedQueries, 0, 1000000);
    aReader.ReadMilliseconds(
      "status_interval_ms", settings.m_statusInterval, 20, 60000);
  });
  ReadSection(root, aErrors, "commands", false, [&](ObjectReader& aReader) {
    aReader.ReadEnum("guard",
                     settings.m_commandGuard,
                     CommandGuardFromName,
                     "host_memory, store_claim, leased_range");
  });
  ReadSection(root, aErrors, "drain", false, [&](ObjectReader& aReader) {
    aReader.ReadMilliseconds("wait_ms", settings.m_drainWait, 0, 300000);
  });
  ReadSection(root, aErrors, "log", false, [&](ObjectReader& aReader) {
    aReader.ReadEnum(
      "format", settings.m_logFormat, LogFormatFromName, "json, text");
    aReader.ReadEnum("severity",
                     settings.m_logSeverity,
                     SeverityFromName,
                     "debug, info, warning, error");
  });
  root.ReadText("services_file", settings.m_servicesFile, 1, 4096, false);
  root.RejectUnknown();
  return settings;
}

[[noreturn]] void
ThrowErrors(const std::vector<std::string>& aErrors)
{
  std::string text;
  for (const std::string& message : aErrors) {
    text += (text.empty() ? "" : "\n") + message;
  }
  throw Error(ErrorKind::InvalidConfiguration, text);
}

} // namespace

Settings
ParseSettings(std::string_view aText)
{
  json document;
  try {
    document = json::parse(aText, nullptr, true, true);
  } catch (const json::exception& error) {
    throw Error(ErrorKind::InvalidConfiguration,
                std::string("settings: must be JSON: ") + error.what());
  }
  std::vector<std::string> errors;
  Settings settings = ReadSettings(document, errors);
  if (!errors.empty()) {
    ThrowErrors(errors);
  }
  return settings;
}

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    throw Error(ErrorKind::InvalidConfiguration,
                aPath + ": the file cannot be read or is empty");
  }
  return text.str();
}

std::vector<std::string>
RestartOnlyChanges(const Settings& aOld, const Settings& aNew)
{
  std::vector<std::string> changes;
  const auto addIfChanged = [&](const char* aName, bool aSame) {
    if (!aSame) {
      changes.emplace_back(aName);
    }
  };
  addIfChanged("host",
               aOld.m_hostId == aNew.m_hostId &&
                 aOld.m_dataCentre == aNew.m_dataCentre &&
                 aOld.m_region == aNew.m_region);
  addIfChanged("http",
               aOld.m_httpAddress == aNew.m_httpAddress &&
                 aOld.m_httpThreads == aNew.m_httpThreads &&
                 aOld.m_maxBodyBytes == aNew.m_maxBodyBytes &&
                 aOld.m_maxDeadline == aNew.m_maxDeadline);
  addIfChanged("peer.address", aOld.m_peerAddress == aNew.m_peerAddress);
  addIfChanged("store",
               aOld.m_storeAddress == aNew.m_storeAddress &&
                 aOld.m_storeTimeout == aNew.m_storeTimeout);
  addIfChanged("host_list",
               aOld.m_hostListAddress == aNew.m_hostListAddress &&
                 aOld.m_hostListInterval == aNew.m_hostListInterval);
  addIfChanged("searches",
               aOld.m_maxRunningQueries == aNew.m_maxRunningQueries &&
                 aOld.m_maxQueuedQueries == aNew.m_maxQueuedQueries &&
                 aOld.m_statusInterval == aNew.m_statusInterval);
  addIfChanged("commands", aOld.m_commandGuard == aNew.m_commandGuard);
  addIfChanged("log.format", aOld.m_logFormat == aNew.m_logFormat);
  addIfChanged("services_file", aOld.m_servicesFile == aNew.m_servicesFile);
  return changes;
}

} // namespace goldcrestkeel
