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
  /** No reply, or none in time. */
  NoReply,
};

/** Failure detector similar to SWIM, which also carries suspects and drain
 *  notices. Advisory: no guarantee depends on two hosts agreeing. Owned by one
 *  thread; methods append what is to be done to aActions. */
class MembershipTable : public HostDirectory
{
public:
  /** aSelf describes this process; its incarnation is the time of its start.
   *  aRandom must outlive the table. */
  MembershipTable(MemberEntry aSelf, RandomSource& aRandom);

  /** The host list as last read. It only adds hosts and starts the grace time
   *  of removed ones. */
  void SetHostList(TimePoint aNow,
                   const std::vector<ListedHost>& aHosts,
                   ControlActions& aActions);
  void SetRevision(Revision aRevision);
  /** This host drains: announced with every message from now on. */
  void StartDraining();

  /** A suspect changed here; it is sent to the peers at once. */
  void ReportSuspects(TimePoint aNow,
                      const std::vector<SuspectReport>& aReports,
                      ControlActions& aActions);
  /** A replica was seen draining here. */
  void ReportDrain(TimePoint aNow, const DrainNotice& aNotice);

  /** Probes aHost outside the schedule. */
  void ProbeNow(TimePoint aNow,
                const std::string& aHost,
                ControlActions& aActions);

  /** Another host probes this one, or, if aTarget is set, asks for a probe of
   *  that address. AnswerProbe with aRequest follows, at once or later. */
  void ProbeReceived(TimePoint aNow,
                     std::uint64_t aRequest,
                     const GossipMessage& aMessage,
                     const std::string& aTarget,
                     ControlActions& aActions);
  /** Returns when the probe was sent, nothing if it is no longer known. */
  std::optional<TimePoint> ProbeReplied(TimePoint aNow,
                                        ProbeId aProbe,
                                        const GossipMessage& aMessage,
                                        std::optional<bool> aTargetAlive,
                                        ControlActions& aActions);
  void ProbeFailed(TimePoint aNow,
                   ProbeId aProbe,
                   ProbeFailure aFailure,
                   ControlActions& aActions);
  /** A connection to aHost was refused outside a probe. */
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
  /** Hosts not known to be dead, this one included. */
  std::uint32_t LiveHosts() const;

private:
  struct Member
  {
    MemberEntry m_entry;
    bool m_listed = false;
    bool m_refused = false;
    std::optional<TimePoint> m_verifiedAt;
    /** Set when a listed host left the list. */
    std::optional<TimePoint> m_removedAt;
    std::optional<TimePoint> m_suspectedAt;
    std::optional<TimePoint> m_deadAt;
    /** Last message received from the host itself. */
    std::optional<TimePoint> m_heardAt;
  };

  enum class ProbePurpose
  {
    Scheduled,
    Extra,
    Indirect,
    Relay,
  };

  struct Probe
  {
    ProbePurpose m_purpose = ProbePurpose::Scheduled;
    std::string m_host;
    TimePoint m_sentAt;
    /** The scheduled probe that an indirect one serves. */
    ProbeId m_origin = 0;
    /** Request that a relayed probe answers. */
    std::uint64_t m_request = 0;
    bool m_askedOthers = false;
  };

  struct Drain
  {
    std::uint64_t m_incarnation = 0;
    TimePoint m_at;
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
  bool Store(const SuspectReport& aReport);
  bool Store(TimePoint aNow, const DrainNotice& aNotice);
  void Heard(TimePoint aNow, const MemberEntry& aSender);
  void SetState(TimePoint aNow, Member& aMember, MemberState aState);
  void Changed(const std::string& aHost);
  GossipMessage MessageFor(const std::string& aHost);
  void AddMembers(const std::string& aReceiver,
                  std::size_t aBudget,
                  GossipMessage& aMessage);
  ProbeId SendDirect(TimePoint aNow,
                     ProbePurpose aPurpose,
                     const std::string& aHost,
                     const std::string& aAddress,
                     ControlActions& aActions);
  void AskOthers(TimePoint aNow, ProbeId aProbe, ControlActions& aActions);
  void StartRound(TimePoint aNow, ControlActions& aActions);
  void FinishRelay(const Probe& aProbe, bool aAlive, ControlActions& aActions);
  std::string NextTarget();
  std::vector<std::string> RandomPeers(std::size_t aCount,
                                       const std::string& aExclude);
  void CheckProbes(TimePoint aNow, ControlActions& aActions);
  void CheckSuspicions(TimePoint aNow);
  void ForgetOld(TimePoint aNow);
  void ReportLiveHosts(ControlActions& aActions);
  void Verified(const Probe& aProbe);
  bool Removed(TimePoint aNow, const Member& aMember) const;
  bool ProvenGone(TimePoint aNow, const Member& aMember) const;
  Duration SuspicionTime() const;
  std::uint32_t RetransmitLimit() const;

  MemberEntry m_self;
  RandomSource& m_random;
  std::map<std::string, Member> m_members;
  std::map<std::uint64_t, SuspectReport> m_suspects;
  std::deque<std::uint64_t> m_suspectOrder;
  std::map<std::string, Drain> m_drains;
  DisseminationQueue<std::string> m_memberNews;
  DisseminationQueue<std::uint64_t> m_suspectNews;
  DisseminationQueue<std::string> m_drainNews;
  std::map<ProbeId, Probe> m_probes;
  std::vector<std::string> m_order;
  ProbeId m_lastProbe = 0;
  std::uint64_t m_rounds = 0;
  std::uint64_t m_generation = 0;
  std::uint64_t m_reportedGeneration = 0;
  std::uint32_t m_reportedLive = 0;
  TimePoint m_nextRound;
  std::optional<TimePoint> m_startedAt;
  bool m_replaced = false;
  bool m_introduced = false;
};

} // namespace goldcrestkeel
