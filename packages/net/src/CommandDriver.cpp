#include <goldcrestkeel/net/CommandDriver.h>

#include <algorithm>

namespace goldcrestkeel {

namespace {

// 1 ms.
constexpr Duration kMinTimeout{ 1000 };

std::optional<SubFailureKind>
FailureOf(const BackendOutcome& aOutcome)
{
  if (const auto* failure = std::get_if<BackendFailure>(&aOutcome)) {
    return failure->m_kind;
  }
  return std::nullopt;
}

} // namespace

CommandDriver::CommandDriver(EventLoop& aLoop,
                             CommandGuard& aGuard,
                             SearchDriver& aSearches,
                             BackendClient& aBackend,
                             Store& aStore,
                             CommandPeerClient& aPeers)
  : m_loop(aLoop)
  , m_guard(aGuard)
  , m_searches(aSearches)
  , m_backend(aBackend)
  , m_store(aStore)
  , m_peers(aPeers)
{
}

CommandDriver::~CommandDriver()
{
  m_loop.Cancel(m_timer);
}

void
CommandDriver::Submit(Command aCommand,
                      Duration aDeadline,
                      bool aForwarded,
                      Done aDone)
{
  SubmitCommand event;
  event.m_request = m_nextRequest++;
  event.m_command = std::move(aCommand);
  event.m_deadline = aDeadline;
  event.m_forwarded = aForwarded;
  m_requests.emplace(event.m_request, std::move(aDone));
  Raise(event);
}

void
CommandDriver::Receive(ReceiveHandover aHandover, HandoverDone aDone)
{
  aHandover.m_request = m_nextRequest++;
  m_handovers.emplace(aHandover.m_request, std::move(aDone));
  Raise(aHandover);
}

void
CommandDriver::SetMembers(const std::vector<std::string>& aAlive)
{
  Raise(MemberListChanged{ aAlive });
}

void
CommandDriver::BeginShutdown()
{
  Raise(goldcrestkeel::BeginShutdown{});
}

// CommandGuard requires the monotonic clock to be read before the wall clock.
template<typename Event>
void
CommandDriver::Raise(const Event& aEvent)
{
  const TimePoint now = m_loop.Now();
  const WallTime wall = m_loop.GetClock().WallNow();
  GuardActions actions;
  m_guard.Handle(now, wall, aEvent, actions);
  Execute(actions);
}

void
CommandDriver::Execute(GuardActions& aActions)
{
  for (const GuardAction& action : aActions) {
    std::visit([this](const auto& aAction) { Execute(aAction); }, action);
  }
  ArmTimer();
}

void
CommandDriver::Execute(const CallStore& aAction)
{
  m_store.Call(aAction.m_store,
               [this, call = aAction.m_call](const StoreResult& aResult) {
                 Raise(StoreReply{ call, aResult });
               });
}

void
CommandDriver::Execute(const ForwardCommand& aAction)
{
  const Duration timeLeft =
    std::max(aAction.m_deadline - m_loop.Now(), kMinTimeout);
  m_peers.Forward(
    aAction,
    timeLeft,
    [this](const std::variant<ForwardReply, PeerFailure>& aReply) {
      std::visit([this](const auto& aEvent) { Raise(aEvent); }, aReply);
    });
}

void
CommandDriver::Execute(const SendCommand& aAction)
{
  const TimePoint start = m_loop.Now();
  const std::optional<std::string> replica =
    m_searches.Engine().PickCommandReplica(
      start, aAction.m_command.m_service, aAction.m_exclude);
  if (!replica) {
    // Posted, because the guard must not be called while its actions are
    // executed.
    m_loop.Post([this, attempt = aAction.m_attempt] {
      Raise(NoReplicaForCommand{ attempt });
    });
    return;
  }
  BackendCommand command;
  command.m_attempt = aAction.m_attempt;
  command.m_replica = *replica;
  command.m_address = m_searches.AddressOf(*replica);
  command.m_key = aAction.m_command.m_key;
  command.m_body = aAction.m_command.m_body;
  command.m_startBefore = aAction.m_startBefore;
  command.m_deadline = std::max(aAction.m_deadline - start, kMinTimeout);
  command.m_replyTimeout =
    std::max(aAction.m_replyDeadline - start, command.m_deadline);
  m_backend.RunCommand(
    command, [this, start, replica = *replica](BackendOutcome&& aOutcome) {
      const TimePoint now = m_loop.Now();
      m_searches.Engine().CommandDone(
        now, replica, now - start, FailureOf(aOutcome));
      std::visit([this](const auto& aEvent) { Raise(aEvent); }, aOutcome);
    });
}

void
CommandDriver::Execute(const AnswerCommand& aAction)
{
  auto node = m_requests.extract(aAction.m_request);
  if (!node.empty()) {
    node.mapped()(aAction);
  }
}

void
CommandDriver::Execute(const SendHandover& aAction)
{
  m_peers.Handover(
    aAction, [this](const std::variant<HandoverReply, PeerFailure>& aReply) {
      std::visit([this](const auto& aEvent) { Raise(aEvent); }, aReply);
    });
}

void
CommandDriver::Execute(const AnswerHandover& aAction)
{
  auto node = m_handovers.extract(aAction.m_request);
  if (!node.empty()) {
    node.mapped()(aAction);
  }
}

void
CommandDriver::ArmTimer()
{
  const std::optional<TimePoint> next = m_guard.NextTimer();
  if (next == m_timerAt) {
    return;
  }
  m_loop.Cancel(m_timer);
  m_timerAt = next;
  m_timer = 0;
  if (next) {
    m_timer = m_loop.At(*next, [this] {
      m_timerAt.reset();
      const TimePoint now = m_loop.Now();
      const WallTime wall = m_loop.GetClock().WallNow();
      GuardActions actions;
      m_guard.FireTimers(now, wall, actions);
      Execute(actions);
    });
  }
}

} // namespace goldcrestkeel
