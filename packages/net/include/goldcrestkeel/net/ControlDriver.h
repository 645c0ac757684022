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

/** Receives the events of the control node. Called on the loop thread. */
class ControlListener
{
public:
  virtual ~ControlListener() = default;
  /** aConfiguration is in force from now on. */
  virtual void OnConfigurationActivated(
    const Configuration& aConfiguration) = 0;
  /** aCount is the number of entry hosts not known to be dead. */
  virtual void OnLiveHostsChanged(std::uint32_t aCount) = 0;
  /** Reports of other hosts about statements that may crash replicas. */
  virtual void OnSuspectReports(const std::vector<SuspectReport>& aReports) = 0;
  /** Notices of other hosts about draining replicas. */
  virtual void OnDrainNotices(const std::vector<DrainNotice>& aNotices) = 0;
};

/** Connects the control node to the store, the peers and the timers of the
 *  event loop. Used on the loop thread only. */
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
  /** Submits a configuration change; aDone is called once with its result. The
   *  driver sets aRequest.m_request. */
  void Change(ChangeRequest aRequest, ChangeCallback aDone);
  /** Reads the configuration from the store. */
  void Refresh();
  /** Passes reports of this host on to its peers by gossip. */
  void ReportSuspects(const std::vector<SuspectReport>& aReports);
  /** Passes a draining replica on to the peers by gossip. */
  void ReportDrain(const DrainNotice& aNotice);
  /** Announces to the peers that this host is draining. */
  void StartDraining();

  // Handlers of peer requests. They throw FrameRefused if the request cannot be
  // decoded.
  void HandleProbe(const peer::ProbeRequest& aRequest, ProbeCallback aDone);
  peer::Ack HandleConfigPush(const peer::ConfigPush& aPush);
  peer::ConfigReply HandleConfigFetch(const peer::ConfigFetch& aFetch) const;

  const ControlNode& Node() const { return m_node; }
  /** Peer address "IP:port" of a host; empty if the host is unknown. */
  std::string AddressOf(const std::string& aHost) const;
  /** Ids of the hosts that are alive and not draining. This host is included
   *  unless it is draining. */
  std::vector<std::string> AliveHosts() const;

private:
  /** Calls aEvent(now, actions) and executes the actions. */
  template<typename Event>
  void Raise(Event aEvent);
  void Execute(ControlActions& aActions);
  void Execute(const SendProbe& aAction);
  void Execute(const AnswerProbe& aAction);
  void Execute(const ProbeHost& aAction);
  void Execute(const LiveHostsChanged& aAction);
  void Execute(const SuspectReportsReceived& aAction);
  void Execute(const DrainNoticesReceived& aAction);
  void Execute(const SendStoreCall& aAction);
  void Execute(const PushDocument& aAction);
  void Execute(const FetchDocument& aAction);
  void Execute(const ConfigurationActivated& aAction);
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
