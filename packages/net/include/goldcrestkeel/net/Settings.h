#pragma once

#include <goldcrestkeel/core/Time.h>
#include <goldcrestkeel/net/Log.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** Shared secret of the entry hosts. */
struct PeerKey
{
  std::string m_id;
  std::string m_secret;
};

/** Settings of one daemon, from its settings file. */
struct Settings
{
  std::string m_hostId;
  std::string m_dataCentre;
  std::string m_region;

  /** Address that the HTTP front listens on. */
  std::string m_httpAddress;
  std::uint32_t m_httpThreads = 2;
  /** Largest request body that is accepted. */
  std::uint32_t m_maxBodyBytes = 65536;
  /** Deadlines that a caller may ask for. */
  Duration m_maxDeadline{ 30000000 };

  /** Address that the peer server listens on and other hosts reach. */
  std::string m_peerAddress;
  /** At least one key; the first one signs, all are accepted. */
  std::vector<PeerKey> m_peerKeys;

  /** Address of the store and of the platform's host list. */
  std::string m_storeAddress;
  Duration m_storeTimeout{ 2000000 };
  std::string m_hostListAddress;
  Duration m_hostListInterval{ 1000000 };

  /** Service list used until the store has a configuration; may be empty. */
  std::string m_servicesFile;

  std::uint32_t m_maxRunningQueries = 512;
  std::uint32_t m_maxQueuedQueries = 2048;
  Duration m_statusInterval{ 500000 };

  /** Time between "not ready" and the refusal of new requests, for the load
   *  balancer to notice. */
  Duration m_drainWait{ 5000000 };
  /** Name of a CommandGuard strategy. */
  std::string m_commandGuard = "leased_range";

  LogFormat m_logFormat = LogFormat::Json;
  Severity m_logSeverity = Severity::Info;
};

/** Reads settings from JSON with comments. Throws Error (InvalidConfiguration)
 *  whose text lists all faults, each with its path and the allowed range. */
Settings
ParseSettings(std::string_view aText);

/** Reads a whole file. Throws Error (InvalidConfiguration) if it cannot be
 *  read. */
std::string
ReadFile(const std::string& aPath);

/** Names of the settings that differ and that only a restart applies. The
 *  log severity, the drain wait and the peer keys apply at once. */
std::vector<std::string>
RestartOnlyChanges(const Settings& aOld, const Settings& aNew);

} // namespace goldcrestkeel
