#pragma once

#include <goldcrestkeel/control/Configuration.h>
#include <goldcrestkeel/core/QueryEngine.h>
#include <goldcrestkeel/core/Time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** State of an entry host. Of two entries with the same incarnation the one
 *  with the larger state wins. */
enum class MemberState
{
  Alive,
  Draining,
  Suspect,
  Dead,
};

std::string_view
NameOf(MemberState aState);

/** What one host knows of another. */
struct MemberEntry
{
  std::string m_host;
  /** "IP:port" of the peer protocol; may be empty in entries about a host that
   *  has not been heard yet. */
  std::string m_address;
  /** Empty until the host has been heard. */
  std::string m_dataCentre;
  /** Milliseconds since the Unix epoch at the start of the process, raised by
   *  each refutation; 0 until the host has been heard. */
  std::uint64_t m_incarnation = 0;
  MemberState m_state = MemberState::Alive;
  /** Revision in force at this incarnation. */
  Revision m_revision = 0;

  bool operator==(const MemberEntry&) const = default;
};

/** A replica that was seen draining. */
struct DrainNotice
{
  std::string m_replica;
  std::uint64_t m_incarnation = 0;

  bool operator==(const DrainNotice&) const = default;
};

/** Part of each probe and of each reply. Its size is bounded by
 *  kMaxGossipBytes. */
struct GossipMessage
{
  MemberEntry m_sender;
  std::vector<MemberEntry> m_members;
  std::vector<SuspectReport> m_suspects;
  std::vector<DrainNotice> m_draining;
};

/** Entry of the platform's host list. */
struct ListedHost
{
  std::string m_host;
  std::string m_address;
  bool m_leaving = false;
};

/** State of another host for decisions about the configuration. */
struct HostStatus
{
  MemberEntry m_entry;
  /** No process with the known incarnation can still serve; docs/design.md 4.1
   *  states the rules. */
  bool m_provenGone = false;
  /** Proven gone by its removal from the host list. */
  bool m_removed = false;
  /** When the last probe of this host was sent that was answered or refused. */
  std::optional<TimePoint> m_verifiedAt;
};

/** Read access to the known hosts. */
class HostDirectory
{
public:
  virtual ~HostDirectory() = default;
  /** All known hosts but this one, ordered by name. */
  virtual std::vector<HostStatus> Hosts(TimePoint aNow) const = 0;
  /** Grows whenever a host appears, disappears or changes its state. */
  virtual std::uint64_t Generation() const = 0;
  /** Whether a newer process runs under the name of this host. */
  virtual bool Replaced() const = 0;
  /** Whether others can know of this process: it has seen itself on the host
   *  list, or a peer has answered it. Until then a change could be accepted
   *  without it. */
  virtual bool Discoverable() const = 0;
};

/** Gossip is bounded so that a probe fits into one packet of 1,500 bytes. */
inline constexpr std::size_t kMaxGossipBytes = 1200;
inline constexpr Duration kProbePeriod = std::chrono::seconds{ 1 };
/** Time for a direct reply before other hosts are asked to probe. */
inline constexpr Duration kProbeTimeout = std::chrono::milliseconds{ 400 };
/** Hosts asked to probe on behalf of this one. With 5% loss three of them all
 *  fail in about 0.6% of the rounds in which the direct probe failed. */
inline constexpr std::size_t kIndirectProbes = 3;
/** Suspicion lasts this long times log10 of the fleet (at least once), so that
 *  the suspect hears of it and refutes before it is declared dead. */
inline constexpr Duration kSuspicionTimeout = std::chrono::seconds{ 4 };
/** The host list lags: a removal counts only after this time. */
inline constexpr Duration kRemovalGracePeriod = std::chrono::seconds{ 30 };
/** A process that hears of a higher incarnation of itself this soon after its
 *  start has a clock behind that of its predecessor, and raises its own; later
 *  it takes the other one for its successor and stops serving. */
inline constexpr Duration kRestartWindow = std::chrono::seconds{ 5 };
/** Time for which a dead host that is no longer listed is remembered, so that
 *  late gossip does not bring it back. */
inline constexpr Duration kDeadMemberRetention = std::chrono::seconds{ 60 };
/** A replica's drain notice is forgotten after this time. */
inline constexpr Duration kDrainNoticeRetention = std::chrono::minutes{ 10 };
/** Hosts that receive a new suspect at once; larger fleets pass it on. */
inline constexpr std::size_t kUrgentProbeFanout = 16;
/** Bounds of the table, several times the target scale. */
inline constexpr std::size_t kMaxMembers = 4096;
inline constexpr std::size_t kMaxSuspectReports = 1024;
inline constexpr std::size_t kMaxDrainNotices = 16384;

} // namespace goldcrestkeel
