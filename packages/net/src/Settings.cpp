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

// Reads the members of one object and collects all faults.
class ObjectReader
{
public:
  ObjectReader(const json& aObject,
               std::string aPath,
               std::vector<std::string>& aFaults)
    : m_object(aObject)
    , m_path(std::move(aPath))
    , m_faults(aFaults)
  {
    if (!m_object.is_object()) {
      Fault(m_path.empty() ? "settings" : m_path, "must be an object");
    }
  }

  const json* Find(const std::string& aName, bool aRequired)
  {
    m_known.insert(aName);
    if (m_object.is_object() && m_object.contains(aName)) {
      return &m_object.at(aName);
    }
    if (aRequired && m_object.is_object()) {
      Fault(PathOf(aName), "is missing");
    }
    return nullptr;
  }

  void Name(const std::string& aName, std::string& aValue)
  {
    Text(aName, aValue, 1, kMaxNameLength, true);
  }

  void Text(const std::string& aName,
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
      Fault(PathOf(aName),
            "must be a string of " + std::to_string(aMin) + " to " +
              std::to_string(aMax) + " characters");
      return;
    }
    aValue = value->get<std::string>();
  }

  void Address(const std::string& aName, std::string& aValue, bool aRequired)
  {
    const json* value = Find(aName, aRequired);
    if (value == nullptr) {
      return;
    }
    if (!value->is_string() || !ParseSocketAddress(value->get<std::string>())) {
      Fault(PathOf(aName), "must be \"IP:port\" with a port from 0 to 65535");
      return;
    }
    aValue = value->get<std::string>();
  }

  void Number(const std::string& aName,
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
      Fault(PathOf(aName),
            "must be an integer from " + std::to_string(aMin) + " to " +
              std::to_string(aMax));
      return;
    }
    aValue = value->get<std::uint32_t>();
  }

  void Milliseconds(const std::string& aName,
                    Duration& aValue,
                    std::uint32_t aMin,
                    std::uint32_t aMax)
  {
    auto count = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(aValue).count());
    Number(aName, count, aMin, aMax);
    aValue = std::chrono::milliseconds(count);
  }

  template<typename Enum>
  void Choice(const std::string& aName,
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
      Fault(PathOf(aName), "must be one of " + aAllowed);
      return;
    }
    aValue = *chosen;
  }

  // To be called last: names members that no setting has read.
  void RejectUnknown()
  {
    if (!m_object.is_object()) {
      return;
    }
    for (const auto& [name, value] : m_object.items()) {
      if (!m_known.contains(name)) {
        Fault(PathOf(name), "is unknown");
      }
    }
  }

  void Fault(const std::string& aPath, const std::string& aMessage)
  {
    m_faults.push_back(aPath + ": " + aMessage);
  }

  std::string PathOf(const std::string& aName) const
  {
    return m_path.empty() ? aName : m_path + "." + aName;
  }

private:
  const json& m_object;
  std::string m_path;
  std::vector<std::string>& m_faults;
  std::set<std::string> m_known;
};

// Reads a section with aRead; a missing one leaves the defaults unless it is
// required.
template<typename Read>
void
Section(ObjectReader& aRoot,
        std::vector<std::string>& aFaults,
        const std::string& aName,
        bool aRequired,
        Read aRead)
{
  if (const json* value = aRoot.Find(aName, aRequired)) {
    ObjectReader reader(*value, aName, aFaults);
    aRead(reader);
    reader.RejectUnknown();
  }
}

void
ReadKeys(ObjectReader& aPeer,
         std::vector<std::string>& aFaults,
         std::vector<PeerKey>& aKeys)
{
  const json* list = aPeer.Find("keys", true);
  if (list == nullptr) {
    return;
  }
  if (!list->is_array() || list->empty() || list->size() > kMaxPeerKeys) {
    aPeer.Fault("peer.keys", "must be a list of 1 to 2 keys");
    return;
  }
  std::set<std::string> ids;
  for (std::size_t i = 0; i < list->size(); ++i) {
    const std::string path = "peer.keys[" + std::to_string(i) + "]";
    ObjectReader reader((*list)[i], path, aFaults);
    PeerKey key;
    reader.Name("id", key.m_id);
    reader.Text(
      "secret", key.m_secret, kMinSecretLength, kMaxSecretLength, true);
    reader.RejectUnknown();
    if (!ids.insert(key.m_id).second) {
      reader.Fault(path + ".id", "must differ from the other key's id");
    }
    aKeys.push_back(std::move(key));
  }
}

std::optional<std::string>
GuardFromName(std::string_view aName)
{
  if (aName == "host_memory" || aName == "store_claim" ||
      aName == "leased_range") {
    return std::string(aName);
  }
  return std::nullopt;
}

Settings
Read(const json& aDocument, std::vector<std::string>& aFaults)
{
  Settings settings;
  ObjectReader root(aDocument, "", aFaults);
  Section(root, aFaults, "host", true, [&](ObjectReader& aReader) {
    aReader.Name("id", settings.m_hostId);
    aReader.Name("data_centre", settings.m_dataCentre);
    aReader.Name("region", settings.m_region);
  });
  Section(root, aFaults, "http", true, [&](ObjectReader& aReader) {
    aReader.Address("address", settings.m_httpAddress, true);
    aReader.Number("threads", settings.m_httpThreads, 1, 64);
    aReader.Number("max_body_bytes", settings.m_maxBodyBytes, 1024, 1048576);
    aReader.Milliseconds("max_deadline_ms", settings.m_maxDeadline, 100, 60000);
  });
  Section(root, aFaults, "peer", true, [&](ObjectReader& aReader) {
    aReader.Address("address", settings.m_peerAddress, true);
    ReadKeys(aReader, aFaults, settings.m_peerKeys);
  });
  Section(root, aFaults, "store", true, [&](ObjectReader& aReader) {
    aReader.Address("address", settings.m_storeAddress, true);
    aReader.Milliseconds("timeout_ms", settings.m_storeTimeout, 10, 60000);
  });
  Section(root, aFaults, "host_list", true, [&](ObjectReader& aReader) {
    aReader.Address("address", settings.m_hostListAddress, true);
    aReader.Milliseconds("interval_ms", settings.m_hostListInterval, 50, 60000);
  });
  Section(root, aFaults, "searches", false, [&](ObjectReader& aReader) {
    aReader.Number("max_running", settings.m_maxRunningQueries, 1, 100000);
    aReader.Number("max_queued", settings.m_maxQueuedQueries, 0, 1000000);
    aReader.Milliseconds(
      "status_interval_ms", settings.m_statusInterval, 20, 60000);
  });
  Section(root, aFaults, "commands", false, [&](ObjectReader& aReader) {
    aReader.Choice("guard",
                   settings.m_commandGuard,
                   GuardFromName,
                   "host_memory, store_claim, leased_range");
  });
  Section(root, aFaults, "drain", false, [&](ObjectReader& aReader) {
    aReader.Milliseconds("wait_ms", settings.m_drainWait, 0, 300000);
  });
  Section(root, aFaults, "log", false, [&](ObjectReader& aReader) {
    aReader.Choice(
      "format", settings.m_logFormat, LogFormatFromName, "json, text");
    aReader.Choice("severity",
                   settings.m_logSeverity,
                   SeverityFromName,
                   "debug, info, warning, error");
  });
  root.Text("services_file", settings.m_servicesFile, 1, 4096, false);
  root.RejectUnknown();
  return settings;
}

[[noreturn]] void
ThrowFaults(const std::vector<std::string>& aFaults)
{
  std::string text;
  for (const std::string& fault : aFaults) {
    text += (text.empty() ? "" : "\n") + fault;
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
  std::vector<std::string> faults;
  Settings settings = Read(document, faults);
  if (!faults.empty()) {
    ThrowFaults(faults);
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
                aPath + ": cannot be read or is empty");
  }
  return text.str();
}

std::vector<std::string>
RestartOnlyChanges(const Settings& aOld, const Settings& aNew)
{
  std::vector<std::string> changes;
  const auto compare = [&](const char* aName, bool aSame) {
    if (!aSame) {
      changes.emplace_back(aName);
    }
  };
  compare("host",
          aOld.m_hostId == aNew.m_hostId &&
            aOld.m_dataCentre == aNew.m_dataCentre &&
            aOld.m_region == aNew.m_region);
  compare("http",
          aOld.m_httpAddress == aNew.m_httpAddress &&
            aOld.m_httpThreads == aNew.m_httpThreads &&
            aOld.m_maxBodyBytes == aNew.m_maxBodyBytes &&
            aOld.m_maxDeadline == aNew.m_maxDeadline);
  compare("peer.address", aOld.m_peerAddress == aNew.m_peerAddress);
  compare("store",
          aOld.m_storeAddress == aNew.m_storeAddress &&
            aOld.m_storeTimeout == aNew.m_storeTimeout);
  compare("host_list",
          aOld.m_hostListAddress == aNew.m_hostListAddress &&
            aOld.m_hostListInterval == aNew.m_hostListInterval);
  compare("searches",
          aOld.m_maxRunningQueries == aNew.m_maxRunningQueries &&
            aOld.m_maxQueuedQueries == aNew.m_maxQueuedQueries &&
            aOld.m_statusInterval == aNew.m_statusInterval);
  compare("commands", aOld.m_commandGuard == aNew.m_commandGuard);
  compare("log.format", aOld.m_logFormat == aNew.m_logFormat);
  compare("services_file", aOld.m_servicesFile == aNew.m_servicesFile);
  return changes;
}

} // namespace goldcrestkeel
