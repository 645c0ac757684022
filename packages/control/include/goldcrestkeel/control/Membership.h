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

/** State of an entry host, in order of precedence: of two entries with the same
 *  incarnation the one with the larger state wins. */
enum class MemberState
{
  Alive,
  Draining,
  Suspect,
  Dead,
};

/** Name of the state on outside interfaces, such as "suspect". */
std::string_view
NameOf(MemberState aState);

/** Gossip entry about one host. */
struct MemberEntry
{
  std::string m_host;
  /** "IP:port" of the peer protocol. May be empty in entries about a host that
   *  no message has been received from. */
  std::string m_address;
  /** Empty until a message from the host has been received by some member. */
  std::string m_dataCentre;
  /** Start time of the process in milliseconds since the Unix epoch, increased
   *  by each refutation; 0 until a message from the host has been received by
   *  some member. */
  std::uint64_t m_incarnation = 0;
  MemberState m_state = MemberState::Alive;
  /** Configuration revision that the host uses, as reported by this
   *  incarnation. */
  Revision m_revision = 0;

  bool operator==(const MemberEntry&) const = default;
};

/** Notice that a replica is draining. */
struct DrainNotice
{
  /** Id of the replica. */
  std::string m_replica;
  std::uint64_t m_incarnation = 0;

  bool operator==(const DrainNotice&) const = default;
};

/** Payload of each probe and of each reply. Its encoded size is at most
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
  /** Whether the platform is about to stop the host. */
  bool m_leaving = false;
};

/** State of another host, as far as acceptance of a configuration depends on
 *  it. */
struct HostStatus
{
  MemberEntry m_entry;
  /** Whether no process with the known incarnation can still serve.
   *  docs/design.md 4.1 states the rules. */
  bool m_provenGone = false;
  /** Whether that is proven by the removal of the host from the host list. */
  bool m_removed = false;
  /** Send time of the latest probe of this host that was answered or refused.
   */
  std::optional<TimePoint> m_verifiedAt;
};

/** Read access to the membership of the fleet. */
class HostDirectory
{
public:
  virtual ~HostDirectory() = default;
  /** Returns all known hosts except this one, ordered by name. */
  virtual std::vector<HostStatus> Hosts(TimePoint aNow) const = 0;
  /** Increases whenever a host is added, is removed or changes its state. */
  virtual std::uint64_t Generation() const = 0;
  /** Whether a newer process runs under the name of this host. This process
   *  must then stop serving. */
  virtual bool Replaced() const = 0;
  /** Whether other hosts can know of this process: it has seen itself on the
   *  host list, or a peer has replied to it. Until then a change could be
   *  accepted without it. */
  virtual bool Discoverable() const = 0;
};

/** Maximum encoded size of a gossip message, so that a probe fits into one
 *  packet of 1,500 bytes. */
inline constexpr std::size_t kMaxGossipBytes = 1200;
/** Interval between scheduled probes. A probe without a reply within this time
 *  has failed. */
inline constexpr Duration kProbePeriod = std::chrono::seconds{ 1 };
/** A direct probe without a reply within this time is followed by indirect
 *  probes. */
inline constexpr Duration kProbeTimeout = std::chrono::milliseconds{ 400 };
/** Number of peers that send an indirect probe. With 5% packet loss all three
 *  fail in about 0.6% of the rounds in which the direct probe failed. */
inline constexpr std::size_t kIndirectProbes = 3;
/** A suspect host is declared dead after this time multiplied by log10 of the
 *  fleet size (at least by 1), so that it can receive the suspicion and refute
 *  it. */
inline constexpr Duration kSuspicionTimeout = std::chrono::seconds{ 4 };
/** The host list lags, so the removal of a host takes effect only after this
 *  time. */
inline constexpr Duration kRemovalGracePeriod = std::chrono::seconds{ 30 };
/** A process that receives a higher incarnation of itself within this time
 *  after its start assumes that its clock is behind that of its predecessor,
 *  and raises its own incarnation. Later it assumes that a successor has
 *  started, and stops serving. */
inline constexpr Duration kRestartWindow = std::chrono::seconds{ 5 };
/** A dead host that is no longer listed is kept for this time, so that late
 *  gossip does not add it again. */
inline constexpr Duration kDeadMemberRetention = std::chrono::seconds{ 60 };
/** A drain notice is removed after this time. */
inline constexpr Duration kDrainNoticeRetention = std::chrono::minutes{ 10 };
/** Number of peers that are probed at once with a new suspect statement; in
 *  larger fleets the peers forward it. */
inline constexpr std::size_t kUrgentProbeFanout = 16;
/** Maximum numbers of entries in the membership table, several times the target
 *  scale. */
inline constexpr std::size_t kMaxMembers = 4096;
inline constexpr std::size_t kMaxSuspectReports = 1024;
inline constexpr std::size_t kMaxDrainNotices = 16384;

} // namespace goldcrestkeel
