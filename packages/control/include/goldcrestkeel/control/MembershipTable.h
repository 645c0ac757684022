#pragma once

#include <goldcrestkeel/control/ControlActions.h>
#include <goldcrestkeel/control/DisseminationQueue.h>
#include <goldcrestkeel/control/Membership.h>
#include <goldcrestkeel/core/Random.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace goldcrestkeel {

/** Why a probe failed. */
enum class ProbeFailure
{
  /** The connection was refused: no process listens at the address. */
  Refused,
  /** No reply was received in time. */
  NoReply,
};

/** Membership table and failure detector similar to SWIM. Its gossip also
 *  carries suspect statements and drain notices. The table is advisory: no
 *  guarantee depends on two hosts having the same view. Owned by one thread;
 *  methods append the actions to be executed to aActions. */
class MembershipTable : public HostDirectory
{
public:
  /** aSelf describes this process; its incarnation is the start time of the
   *  process. aRandom must outlive the table. */
  MembershipTable(MemberEntry aSelf, RandomSource& aRandom);

  /** Applies the latest host list. Adds new hosts and starts the grace period
   *  of removed ones. */
  void SetHostList(TimePoint aNow,
                   const std::vector<ListedHost>& aHosts,
                   ControlActions& aActions);
  /** Sets the configuration revision that this host reports to its peers. */
  void SetRevision(Revision aRevision);
  /** Marks this host as draining; every later message says so. */
  void StartDraining();

  /** Records reports on suspect statements from this host. If one is new or
   *  newer, probes up to kUrgentProbeFanout peers at once to send it. */
  void ReportSuspects(TimePoint aNow,
                      const std::vector<SuspectReport>& aReports,
                      ControlActions& aActions);
  /** Records a drain notice from this host; it is sent with the next probes. */
  void ReportDrain(TimePoint aNow, const DrainNotice& aNotice);

  /** Probes aHost outside the schedule. Does nothing if the host is unknown. */
  void ProbeNow(TimePoint aNow,
                const std::string& aHost,
                ControlActions& aActions);

  /** Handles a probe of this host, or, if aTarget is set, a request to probe
   *  that address. AnswerProbe with aRequest follows, in the second case after
   *  the probe of aTarget. */
  void ProbeReceived(TimePoint aNow,
                     std::uint64_t aRequest,
                     const GossipMessage& aMessage,
                     const std::string& aTarget,
                     ControlActions& aActions);
  /** Returns the send time of the probe; nothing if the probe is no longer
   *  pending. */
  std::optional<TimePoint> ProbeReplied(TimePoint aNow,
                                        ProbeId aProbe,
                                        const GossipMessage& aMessage,
                                        std::optional<bool> aTargetAlive,
                                        ControlActions& aActions);
  void ProbeFailed(TimePoint aNow,
                   ProbeId aProbe,
                   ProbeFailure aFailure,
                   ControlActions& aActions);
  /** Handles a refused connection to aHost outside a probe. */
  void ConnectionRefused(TimePoint aNow,
                         const std::string& aHost,
                         ControlActions& aActions);

  void FireTimers(TimePoint aNow, ControlActions& aActions);
  TimePoint NextTimer() const;

  std::vector<HostStatus> Hosts(TimePoint aNow) const override;
  std::uint64_t Generation() const override;
  bool Replaced() const override;
  bool Discoverable() const override;
  const MemberEntry& Self() const;
  /** Number of hosts that are not dead, including this one. */
  std::uint32_t LiveHosts() const;

private:
  struct Member
  {
    MemberEntry m_entry;
    /** Whether the host list contains the host. */
    bool m_listed = false;
    /** Whether a connection was refused since the last message from the host.
     */
    bool m_refused = false;
    /** Send time of the latest probe that was answered or refused. */
    std::optional<TimePoint> m_verifiedAt;
    /** When the host left the host list, or was first learned by gossip without
     *  being listed; unset while it is listed. */
    std::optional<TimePoint> m_removedAt;
    std::optional<TimePoint> m_suspectedAt;
    std::optional<TimePoint> m_deadAt;
    /** When the last message from the host itself was received. */
    std::optional<TimePoint> m_lastMessageAt;
  };

  enum class ProbePurpose
  {
    Scheduled,
    /** Outside the schedule. */
    Extra,
    /** Asks a peer to probe the target of a scheduled probe. */
    Indirect,
    /** Probes the target of an indirect probe that was received. */
    Relay,
  };

  struct Probe
  {
    ProbePurpose m_purpose = ProbePurpose::Scheduled;
    std::string m_host;
    TimePoint m_sentAt;
    /** For an indirect probe: the scheduled probe that it belongs to. */
    ProbeId m_origin = 0;
    /** For a relayed probe: the request that is to be answered. */
    std::uint64_t m_request = 0;
    /** Whether indirect probes have been sent. */
    bool m_indirectSent = false;
  };

  struct DrainRecord
  {
    std::uint64_t m_incarnation = 0;
    TimePoint m_recordedAt;
  };

  void Merge(TimePoint aNow,
             const GossipMessage& aMessage,
             ControlActions& aActions);
  void MergeEntry(TimePoint aNow, const MemberEntry& aEntry);
  void MergeSelf(TimePoint aNow, const MemberEntry& aEntry);
  void MergeSuspects(TimePoint aNow,
                     const std::vector<SuspectReport>& aReports,
                     ControlActions& aActions);
  void MergeDrains(TimePoint aNow,
                   const std::vector<DrainNotice>& aNotices,
                   ControlActions& aActions);
  /** Returns whether aReport is new or newer than the recorded one. */
  bool Record(const SuspectReport& aReport);
  /** Returns whether aNotice is new or newer and was recorded. */
  bool Record(TimePoint aNow, const DrainNotice& aNotice);
  void MergeSender(TimePoint aNow, const MemberEntry& aSender);
  void SetState(TimePoint aNow, Member& aMember, MemberState aState);
  void MarkChanged(const std::string& aHost);
  /** Builds the message to aHost, within kMaxGossipBytes. */
  GossipMessage BuildMessage(const std::string& aHost);
  void AddMembers(const std::string& aReceiver,
                  std::size_t aMaxBytes,
                  GossipMessage& aMessage);
  ProbeId SendDirectProbe(TimePoint aNow,
                          ProbePurpose aPurpose,
                          const std::string& aHost,
                          const std::string& aAddress,
                          ControlActions& aActions);
  void SendIndirectProbes(TimePoint aNow,
                          ProbeId aProbe,
                          ControlActions& aActions);
  void StartRound(TimePoint aNow, ControlActions& aActions);
  void FinishRelay(const Probe& aProbe, bool aAlive, ControlActions& aActions);
  /** Next host in a random order that contains each host once; empty if all
   *  hosts are dead or none is known. */
  std::string NextProbeTarget();
  std::vector<std::string> RandomPeers(std::size_t aCount,
                                       const std::string& aExclude);
  void CheckProbes(TimePoint aNow, ControlActions& aActions);
  void CheckSuspicions(TimePoint aNow);
  void EvictExpired(TimePoint aNow);
  void ReportLiveHosts(ControlActions& aActions);
  void RecordVerification(const Probe& aProbe);
  bool Removed(TimePoint aNow, const Member& aMember) const;
  bool ProvenGone(TimePoint aNow, const Member& aMember) const;
  Duration SuspicionTime() const;
  /** Number of transmissions of each update. */
  std::uint32_t RetransmitLimit() const;

  MemberEntry m_self;
  RandomSource& m_random;
  std::map<std::string, Member> m_members;
  std::map<std::uint64_t, SuspectReport> m_suspects;
  /** Fingerprints in the order of their arrival; the oldest is evicted first.
   */
  std::deque<std::uint64_t> m_suspectOrder;
  std::map<std::string, DrainRecord> m_drains;
  DisseminationQueue<std::string> m_memberQueue;
  DisseminationQueue<std::uint64_t> m_suspectQueue;
  DisseminationQueue<std::string> m_drainQueue;
  std::map<ProbeId, Probe> m_probes;
  /** Hosts that are still to be probed in this pass. */
  std::vector<std::string> m_probeOrder;
  ProbeId m_lastProbe = 0;
  std::uint64_t m_rounds = 0;
  std::uint64_t m_generation = 0;
  std::uint64_t m_reportedGeneration = 0;
  std::uint32_t m_reportedLive = 0;
  TimePoint m_nextRound;
  std::optional<TimePoint> m_startedAt;
  bool m_replaced = false;
  bool m_discoverable = false;
};

} // namespace goldcrestkeel
