#pragma once

#include <goldcrestkeel/control/ControlNode.h>
#include <goldcrestkeel/net/EventLoop.h>
#include <goldcrestkeel/net/PeerClient.h>

#include <peer_types.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace goldcrestkeel {

/** What the control node reports to the rest of the host; called on the loop
 *  thread. */
class ControlListener
{
public:
  virtual ~ControlListener() = default;
  virtual void OnConfigurationActivated(
    const Configuration& aConfiguration) = 0;
  virtual void OnLiveHostsChanged(std::uint32_t aCount) = 0;
  virtual void OnSuspectReports(const std::vector<SuspectReport>& aReports) = 0;
  virtual void OnDrainNotices(const std::vector<DrainNotice>& aNotices) = 0;
};

/** Connects the control node to store and peers, and keeps its timer. Belongs
 *  to the loop thread. */
class ControlDriver
{
public:
  using ChangeCallback = std::function<void(const ChangeResult&)>;
  using ProbeCallback = std::function<void(const peer::ProbeReply&)>;

  /** All references must outlive the driver. */
  ControlDriver(EventLoop& aLoop,
                ControlNode& aNode,
                Store& aStore,
                PeerClient& aPeers,
                ControlListener& aListener);
  ~ControlDriver();
  ControlDriver(const ControlDriver&) = delete;
  ControlDriver& operator=(const ControlDriver&) = delete;

  void SetHostList(const std::vector<ListedHost>& aHosts);
  /** The driver sets aRequest.m_request. */
  void Change(ChangeRequest aRequest, ChangeCallback aDone);
  void Refresh();
  void ReportSuspects(const std::vector<SuspectReport>& aReports);
  void ReportDrain(const DrainNotice& aNotice);
  void StartDraining();

  // Requests of peers. Those that cannot be decoded throw FrameRefused.
  void HandleProbe(const peer::ProbeRequest& aRequest, ProbeCallback aDone);
  peer::Ack HandleConfigPush(const peer::ConfigPush& aPush);
  peer::ConfigReply HandleConfigFetch(const peer::ConfigFetch& aFetch) const;

  const ControlNode& Node() const { return m_node; }
  /** Peer address of a host, empty if it is unknown. */
  std::string AddressOf(const std::string& aHost) const;
  /** Hosts that are alive and not draining, this one included unless it
   *  drains. */
  std::vector<std::string> AliveHosts() const;

private:
  /** Calls aEvent(now, actions) and carries out the actions. */
  template<typename Event>
  void Raise(Event aEvent);
  void Execute(ControlActions& aActions);
  void Execute(const SendProbe& aAction);
  void Execute(const AnswerProbe& aAction);
  void Execute(const ProbeHost& aAction);
  void Execute(const LiveHostsChanged& aAction);
  void Execute(const SuspectsLearned& aAction);
  void Execute(const DrainsLearned& aAction);
  void Execute(const ControlStoreCall& aAction);
  void Execute(const PushDocument& aAction);
  void Execute(const FetchDocument& aAction);
  void Execute(const ConfigurationInForce& aAction);
  void Execute(const ChangeAnswered& aAction);
  void ProbeFinished(ProbeId aProbe, const PeerClient::Result& aResult);
  void ArmTimer();

  EventLoop& m_loop;
  ControlNode& m_node;
  Store& m_store;
  PeerClient& m_peers;
  ControlListener& m_listener;
  std::uint64_t m_nextRequest = 1;
  std::unordered_map<std::uint64_t, ProbeCallback> m_probes;
  std::unordered_map<std::uint64_t, ChangeCallback> m_changes;
  TimerId m_timer = 0;
  std::optional<TimePoint> m_timerAt;
};

} // namespace goldcrestkeel
