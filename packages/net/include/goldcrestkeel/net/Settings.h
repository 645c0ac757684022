#pragma once

#include <goldcrestkeel/core/Time.h>
#include <goldcrestkeel/net/Log.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** Secret shared by the entry hosts to authenticate their messages. */
struct PeerKey
{
  std::string m_id;
  std::string m_secret;
};

/** Settings of one daemon, read from its settings file. */
struct Settings
{
  std::string m_hostId;
  std::string m_dataCentre;
  std::string m_region;

  /** Address that the HTTP server for callers listens on, "IP:port". */
  std::string m_httpAddress;
  std::uint32_t m_httpThreads = 2;
  /** Maximum size of a request body. */
  std::uint32_t m_maxBodyBytes = 65536;
  /** Maximum deadline that a caller may request. */
  Duration m_maxDeadline{ 30000000 }; // 30 s

  /** Address that the peer server listens on and that other hosts connect to,
   *  "IP:port". */
  std::string m_peerAddress;
  /** One or two keys; the first one signs, all are accepted. Two allow a
   *  rotation without downtime. */
  std::vector<PeerKey> m_peerKeys;

  /** Addresses of the store and of the platform's host list, "IP:port". */
  std::string m_storeAddress;
  Duration m_storeTimeout{ 2000000 }; // 2 s
  std::string m_hostListAddress;
  Duration m_hostListInterval{ 1000000 }; // 1 s

  /** Path of a file with services that are used until the store has a
   *  configuration. Empty if there is none. */
  std::string m_servicesFile;

  std::uint32_t m_maxRunningQueries = 512;
  std::uint32_t m_maxQueuedQueries = 2048;
  /** Interval at which the status of the replicas is polled. */
  Duration m_statusInterval{ 500000 }; // 0.5 s

  /** Time between the change to "not ready" and the refusal of new requests, so
   *  that the load balancer can remove this host first. */
  Duration m_drainWait{ 5000000 }; // 5 s
  /** Name of a CommandGuard strategy. */
  std::string m_commandGuard = "leased_range";

  LogFormat m_logFormat = LogFormat::Json;
  Severity m_logSeverity = Severity::Info;
};

/** Parses settings from JSON with comments. Throws Error
 *  (InvalidConfiguration) with one line per error, each with the path of the
 *  setting and the allowed range. */
Settings
ParseSettings(std::string_view aText);

/** Reads a whole file. Throws Error (InvalidConfiguration) if it cannot be
 *  read or is empty. */
std::string
ReadFile(const std::string& aPath);

/** Names of the changed settings that take effect only after a restart. The log
 *  severity, the drain wait and the peer keys take effect on reload. */
std::vector<std::string>
RestartOnlyChanges(const Settings& aOld, const Settings& aNew);

} // namespace goldcrestkeel
