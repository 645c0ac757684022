#pragma once

#include <goldcrestkeel/control/ConfigurationManager.h>
#include <goldcrestkeel/control/MembershipTable.h>

#include <string>
#include <vector>

namespace goldcrestkeel {

/** Membership and configuration of one entry host, connected: the member table
 *  tells the manager the revisions of peers, and the manager's requests for
 *  probes go to the table. Owned by one thread. */
class ControlNode
{
public:
  /** aRandom must outlive the node. */
  ControlNode(MemberEntry aSelf, RandomSource& aRandom);

  /** The first list starts the node, unless a probe did so before. */
  void SetHostList(TimePoint aNow,
                   const std::vector<ListedHost>& aHosts,
                   ControlActions& aActions);
  void ProbeReceived(TimePoint aNow,
                     std::uint64_t aRequest,
                     const GossipMessage& aMessage,
                     const std::string& aTarget,
                     ControlActions& aActions);
  void ProbeReplied(TimePoint aNow,
                    ProbeId aProbe,
                    const GossipMessage& aMessage,
                    std::optional<bool> aTargetAlive,
                    ControlActions& aActions);
  void ProbeFailed(TimePoint aNow,
                   ProbeId aProbe,
                   ProbeFailure aFailure,
                   ControlActions& aActions);
  void StoreReplied(TimePoint aNow,
                    StoreToken aToken,
                    const StoreResult& aResult,
                    ControlActions& aActions);
  bool PushReceived(TimePoint aNow,
                    Revision aRevision,
                    const std::string& aDocument,
                    ControlActions& aActions);
  /** aRefused: the connection was refused, which proves the host gone. */
  void PushFinished(TimePoint aNow,
                    const std::string& aHost,
                    Revision aRevision,
                    bool aDelivered,
                    bool aRefused,
                    ControlActions& aActions);
  void FetchFinished(TimePoint aNow,
                     const std::string& aHost,
                     const std::optional<std::string>& aDocument,
                     ControlActions& aActions);
  void Change(TimePoint aNow, ChangeRequest aRequest, ControlActions& aActions);
  void Refresh(TimePoint aNow, ControlActions& aActions);
  void ReportSuspects(TimePoint aNow,
                      const std::vector<SuspectReport>& aReports,
                      ControlActions& aActions);
  void ReportDrain(TimePoint aNow, const DrainNotice& aNotice);
  void StartDraining();

  void FireTimers(TimePoint aNow, ControlActions& aActions);
  TimePoint NextTimer() const;

  const MembershipTable& Members() const { return m_members; }
  const ConfigurationManager& Manager() const { return m_manager; }

private:
  /** Carries out what the two parts ask of each other, from aFirst on. */
  void Connect(TimePoint aNow, std::size_t aFirst, ControlActions& aActions);

  MembershipTable m_members;
  ConfigurationManager m_manager;
  bool m_started = false;
};

} // namespace goldcrestkeel
