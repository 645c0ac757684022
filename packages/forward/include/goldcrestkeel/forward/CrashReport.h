#pragma once

#include <goldcrestkeel/core/Time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrestkeel {

/** A replica crashed while a request ran on it, and no replica has answered the
 *  request. */
struct CrashReport
{
  /** Of the request. */
  std::uint64_t m_fingerprint = 0;
  /** Method and target of the request, for logs. */
  std::string m_summary;
  std::string m_service;
  /** Id of the replica, and the time of its start in milliseconds. */
  std::string m_replica;
  WallTime m_startedAt = 0;
  /** Time since the replica crashed, and since the request was sent to it. */
  Duration m_sinceCrash{ 0 };
  Duration m_sinceSent{ 0 };
  /** Time since the service had last answered another request before the crash;
   *  not set if it had answered none. */
  std::optional<Duration> m_sinceServed{};
  /** Number of services whose replicas broke off, or fell silent, while they
   * had the request. */
  std::uint32_t m_services = 1;

  bool operator==(const CrashReport&) const = default;
};

/** What became of the suspicion that a request has crashed a replica. */
enum class CrashOutcome
{
  /** It is one more crash of such requests. */
  Counted,
  /** It belongs to a crash that was counted before. */
  CountedBefore,
  /** The replica has answered its health check. */
  ReplicaAlive,
  /** The replica has not answered, but too few others have to tell its crash
   *  from a network that is cut. */
  NoAnswer,
  /** The replica is down, but no other one has answered either. */
  NoContact,
  /** Too many health checks were under way. */
  NotChecked,
  /** A replica has answered such a request. */
  RequestAnswered,
};

std::string_view
NameOf(CrashOutcome aOutcome);

/** A crash was attributed to a request or not, for the log. The views are valid
 *  only during LogCrash(). */
struct CrashDecision
{
  CrashOutcome m_outcome = CrashOutcome::Counted;
  /** Time since the replica broke off. */
  Duration m_age{ 0 };
  std::string_view m_summary;
  std::uint64_t m_fingerprint = 0;
  std::string_view m_service;
  std::string_view m_replica;
  /** Crashes attributed to such requests so far. */
  std::uint32_t m_crashes = 0;
  bool m_quarantined = false;
  /** Another host has observed it. */
  bool m_reported = false;
};

} // namespace goldcrestkeel
