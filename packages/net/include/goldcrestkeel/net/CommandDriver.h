#pragma once

#include <goldcrestkeel/control/CommandGuard.h>
#include <goldcrestkeel/net/BackendClient.h>
#include <goldcrestkeel/net/EventLoop.h>
#include <goldcrestkeel/net/SearchDriver.h>

#include <functional>
#include <string>
#include <unordered_map>

namespace goldcrestkeel {

/** Calls of a command guard to other entry hosts. Each callback runs once, on
 *  the loop thread, never before the method returns. */
class CommandPeerClient
{
public:
  virtual ~CommandPeerClient() = default;
  /** The implementation sets m_call of the event that it passes on. */
  using Done =
    std::function<void(const std::variant<ForwardReply, PeerFailure>&)>;
  using HandoverDone =
    std::function<void(const std::variant<HandoverReply, PeerFailure>&)>;

  virtual void Forward(const ForwardCommand& aForward,
                       Duration aTimeLeft,
                       Done aDone) = 0;
  virtual void Handover(const SendHandover& aHandover, HandoverDone aDone) = 0;
};

/** Executes the actions of the command guard on the store, the other entry
 *  hosts and the backend servers, and passes the results and timers back to it.
 *  Not thread-safe; used on the loop thread only. */
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

  /** Submits a command to the guard. aForwarded is true if another entry host
   *  forwarded it. aDone is called once with the outcome. */
  void Submit(Command aCommand,
              Duration aDeadline,
              bool aForwarded,
              Done aDone);
  /** Passes a range handover from another entry host to the guard. The driver
   *  sets aHandover.m_request. */
  void Receive(ReceiveHandover aHandover, HandoverDone aDone);
  /** Tells the guard which entry hosts are alive. */
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
