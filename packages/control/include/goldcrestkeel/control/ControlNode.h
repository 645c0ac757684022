#pragma once

#include <goldcrestkeel/control/ConfigurationManager.h>
#include <goldcrestkeel/control/MembershipTable.h>

#include <string>
#include <vector>

namespace goldcrestkeel {

/** Combines the membership table and the configuration manager of one entry
 *  host: passes the revisions of peers from the table to the manager, and the
 *  probe requests of the manager to the table. Owned by one thread; methods
 *  append the actions to be executed to aActions. */
class ControlNode
{
public:
  /** aSelf describes this process; its incarnation is the start time of the
   *  process. aRandom must outlive the node. */
  ControlNode(MemberEntry aSelf, RandomSource& aRandom);

  /** Applies the latest host list. The first list starts the node, unless a
   *  probe was received before. */
  void SetHostList(TimePoint aNow,
                   const std::vector<ListedHost>& aHosts,
                   ControlActions& aActions);
  // The methods below forward an event to the table, to the manager, or to
  // both, and are documented there.
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
  /** aRefused states that the connection was refused, which proves that the
   *  process is gone. */
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
  /** Publishes the current revision to the membership table and executes the
   *  ProbeHost actions among those from index aFirst on. */
  void HandleInternalActions(TimePoint aNow,
                             std::size_t aFirst,
                             ControlActions& aActions);

  MembershipTable m_members;
  ConfigurationManager m_manager;
  bool m_started = false;
};

} // namespace goldcrestkeel
