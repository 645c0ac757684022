#include <goldcrestkeel/control/ControlNode.h>

#include <utility>

namespace goldcrestkeel {

ControlNode::ControlNode(MemberEntry aSelf, RandomSource& aRandom)
  : m_members(aSelf, aRandom)
  , m_manager({ aSelf.m_host, aSelf.m_dataCentre }, m_members, aRandom)
{
}

void
ControlNode::HandleInternalActions(TimePoint aNow,
                                   std::size_t aFirst,
                                   ControlActions& aActions)
{
  m_members.SetRevision(m_manager.Current()->m_revision);
  ControlActions added(
    std::make_move_iterator(aActions.begin() +
                            static_cast<std::ptrdiff_t>(aFirst)),
    std::make_move_iterator(aActions.end()));
  aActions.resize(aFirst);
  for (ControlAction& action : added) {
    if (const auto* probe = std::get_if<ProbeHost>(&action)) {
      m_members.ProbeNow(aNow, probe->m_host, aActions);
    } else {
      aActions.push_back(std::move(action));
    }
  }
}

void
ControlNode::SetHostList(TimePoint aNow,
                         const std::vector<ListedHost>& aHosts,
                         ControlActions& aActions)
{
  const std::size_t first = aActions.size();
  m_members.SetHostList(aNow, aHosts, aActions);
  if (!std::exchange(m_started, true)) {
    m_manager.Start(aNow, aActions);
  }
  HandleInternalActions(aNow, first, aActions);
}

void
ControlNode::ProbeReceived(TimePoint aNow,
                           std::uint64_t aRequest,
                           const GossipMessage& aMessage,
                           const std::string& aTarget,
                           ControlActions& aActions)
{
  const std::size_t first = aActions.size();
  m_members.ProbeReceived(aNow, aRequest, aMessage, aTarget, aActions);
  if (!std::exchange(m_started, true)) {
    m_manager.Start(aNow, aActions);
  }
  m_manager.PeerRevisionReceived(aNow,
                                 aMessage.m_sender.m_host,
                                 aMessage.m_sender.m_revision,
                                 std::nullopt,
                                 aActions);
  HandleInternalActions(aNow, first, aActions);
}

void
ControlNode::ProbeReplied(TimePoint aNow,
                          ProbeId aProbe,
                          const GossipMessage& aMessage,
                          std::optional<bool> aTargetAlive,
                          ControlActions& aActions)
{
  const std::size_t first = aActions.size();
  const auto probeSentAt =
    m_members.ProbeReplied(aNow, aProbe, aMessage, aTargetAlive, aActions);
  m_manager.PeerRevisionReceived(aNow,
                                 aMessage.m_sender.m_host,
                                 aMessage.m_sender.m_revision,
                                 probeSentAt,
                                 aActions);
  HandleInternalActions(aNow, first, aActions);
}

void
ControlNode::ProbeFailed(TimePoint aNow,
                         ProbeId aProbe,
                         ProbeFailure aFailure,
                         ControlActions& aActions)
{
  const std::size_t first = aActions.size();
  m_members.ProbeFailed(aNow, aProbe, aFailure, aActions);
  HandleInternalActions(aNow, first, aActions);
}

void
ControlNode::StoreReplied(TimePoint aNow,
                          StoreToken aToken,
                          const StoreResult& aResult,
                          ControlActions& aActions)
{
  const std::size_t first = aActions.size();
  m_manager.StoreReplied(aNow, aToken, aResult, aActions);
  HandleInternalActions(aNow, first, aActions);
}

bool
ControlNode::PushReceived(TimePoint aNow,
                          Revision aRevision,
                          const std::string& aDocument,
                          ControlActions& aActions)
{
  const std::size_t first = aActions.size();
  const bool inForce =
    m_manager.PushReceived(aNow, aRevision, aDocument, aActions);
  HandleInternalActions(aNow, first, aActions);
  return inForce;
}

void
ControlNode::PushFinished(TimePoint aNow,
                          const std::string& aHost,
                          Revision aRevision,
                          bool aDelivered,
                          bool aRefused,
                          ControlActions& aActions)
{
  const std::size_t first = aActions.size();
  m_manager.PushFinished(aNow, aHost, aRevision, aDelivered, aActions);
  if (aRefused) {
    m_members.ConnectionRefused(aNow, aHost, aActions);
  }
  HandleInternalActions(aNow, first, aActions);
}

void
ControlNode::FetchFinished(TimePoint aNow,
                           const std::string& aHost,
                           const std::optional<std::string>& aDocument,
                           ControlActions& aActions)
{
  const std::size_t first = aActions.size();
  m_manager.FetchFinished(aNow, aHost, aDocument, aActions);
  HandleInternalActions(aNow, first, aActions);
}

void
ControlNode::Change(TimePoint aNow,
                    ChangeRequest aRequest,
                    ControlActions& aActions)
{
  const std::size_t first = aActions.size();
  m_manager.Change(aNow, std::move(aRequest), aActions);
  HandleInternalActions(aNow, first, aActions);
}

void
ControlNode::Refresh(TimePoint aNow, ControlActions& aActions)
{
  m_manager.Refresh(aNow, aActions);
}

void
ControlNode::ReportSuspects(TimePoint aNow,
                            const std::vector<SuspectReport>& aReports,
                            ControlActions& aActions)
{
  m_members.ReportSuspects(aNow, aReports, aActions);
}

void
ControlNode::ReportDrain(TimePoint aNow, const DrainNotice& aNotice)
{
  m_members.ReportDrain(aNow, aNotice);
}

void
ControlNode::StartDraining()
{
  m_members.StartDraining();
}

void
ControlNode::FireTimers(TimePoint aNow, ControlActions& aActions)
{
  const std::size_t first = aActions.size();
  m_members.FireTimers(aNow, aActions);
  m_manager.FireTimers(aNow, aActions);
  HandleInternalActions(aNow, first, aActions);
}

TimePoint
ControlNode::NextTimer() const
{
  return std::min(m_members.NextTimer(), m_manager.NextTimer());
}

} // namespace goldcrestkeel
