#pragma once

#include <goldcrestkeel/control/CommandGuard.h>
#include <goldcrestkeel/net/BackendClient.h>
#include <goldcrestkeel/net/EventLoop.h>
#include <goldcrestkeel/net/SearchDriver.h>

#include <functional>
#include <string>
#include <unordered_map>

namespace goldcrestkeel {

/** Calls of a command guard to other entry hosts. Callbacks come once, from the
 *  loop thread, never from within the call. */
class CommandPeerClient
{
public:
  virtual ~CommandPeerClient() = default;
  /** The event's m_call is already set. */
  using Done =
    std::function<void(const std::variant<ForwardReply, PeerFailure>&)>;
  using HandoverDone =
    std::function<void(const std::variant<HandoverReply, PeerFailure>&)>;

  virtual void Forward(const ForwardCommand& aForward,
                       Duration aTimeLeft,
                       Done aDone) = 0;
  virtual void Handover(const SendHandover& aHandover, HandoverDone aDone) = 0;
};

/** Connects the command guard to store, peers and backend servers. Belongs to
 *  the loop thread. */
class CommandDriver
{
public:
  using Done = std::function<void(const AnswerCommand&)>;
  using HandoverDone = std::function<void(const AnswerHandover&)>;

  /** All arguments must outlive the driver. */
  CommandDriver(EventLoop& aLoop,
                CommandGuard& aGuard,
                SearchDriver& aSearches,
                BackendClient& aBackend,
                Store& aStore,
                CommandPeerClient& aPeers);
  ~CommandDriver();
  CommandDriver(const CommandDriver&) = delete;
  CommandDriver& operator=(const CommandDriver&) = delete;

  /** aForwarded is set for a command from another entry host. */
  void Submit(Command aCommand,
              Duration aDeadline,
              bool aForwarded,
              Done aDone);
  /** The driver sets the event's m_request. */
  void Receive(ReceiveHandover aHandover, HandoverDone aDone);
  void SetMembers(const std::vector<std::string>& aAlive);
  void BeginShutdown();

  CommandGuard& Guard() { return m_guard; }

private:
  template<typename Event>
  void Raise(const Event& aEvent);
  void Execute(GuardActions& aActions);
  void Execute(const CallStore& aAction);
  void Execute(const ForwardCommand& aAction);
  void Execute(const SendCommand& aAction);
  void Execute(const AnswerCommand& aAction);
  void Execute(const SendHandover& aAction);
  void Execute(const AnswerHandover& aAction);
  void ArmTimer();

  EventLoop& m_loop;
  CommandGuard& m_guard;
  SearchDriver& m_searches;
  BackendClient& m_backend;
  Store& m_store;
  CommandPeerClient& m_peers;
  CommandRequestId m_nextRequest = 1;
  std::unordered_map<CommandRequestId, Done> m_requests;
  std::unordered_map<CommandRequestId, HandoverDone> m_handovers;
  TimerId m_timer = 0;
  std::optional<TimePoint> m_timerAt;
};

} // namespace goldcrestkeel
