#include "CommandFleet.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace goldcrestkeel::benchmark {

namespace {

using Json = nlohmann::json;

/** Wall clock at the virtual time zero, in Unix milliseconds. */
constexpr WallTime kWallClockStart = 1800000000000;
/** Time-outs of calls to the store and to a peer. */
constexpr Duration kStoreTimeout{ 1000000 };
constexpr Duration kPeerTimeout{ 1500000 };
/** Time until the store client reports a refused connection. */
constexpr Duration kRefusalDelay{ 1000 };
/** Maximum time from the time-out of a call to the arrival of a late
 *  request. */
constexpr std::uint64_t kMaxLateDelayUs = 6000000;
/** Time between the reads of the sessions and of the ranges, so that a list is
 *  not an atomic snapshot. */
constexpr Duration kListReadGap{ 1000 };
/** A command runs for 1000 microseconds plus a random time below this. */
constexpr std::uint64_t kServiceTimeRangeUs = 20000;
/** Maximum time that a session outlives its TTL, as a fraction of the TTL. */
constexpr double kMaxSessionOverrun = 0.2;

WallTime
ToWallTime(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

StoreResult
StatusOnly(StoreStatus aStatus)
{
  StoreResult result;
  result.m_status = aStatus;
  return result;
}

std::string
ResultFor(const Command& aCommand)
{
  return "done " + aCommand.m_key + " " + aCommand.m_body;
}

} // namespace

CommandFleet::CommandFleet(const FleetOptions& aOptions)
  : m_options(aOptions)
  , m_random(MakeSeededRandom(aOptions.m_seed))
{
  for (std::size_t i = 0; i < aOptions.m_hosts; ++i) {
    m_hosts.push_back(std::make_unique<Host>());
    m_hosts.back()->m_id = "host-" + std::to_string(i);
    Restart(i);
  }
  PublishMembers(Duration{ 0 });
}

// ---- Time -----------------------------------------------------------------

WallTime
CommandFleet::TrueWallTime() const
{
  return kWallClockStart + ToWallTime(Now().time_since_epoch());
}

WallTime
CommandFleet::HostWallTime(const Host& aHost) const
{
  return TrueWallTime() + aHost.m_clockError;
}

void
CommandFleet::After(Duration aDelay, std::function<void()> aTask)
{
  m_queue.After(aDelay, std::move(aTask));
}

void
CommandFleet::RunFor(Duration aDuration)
{
  const TimePoint end = Now() + aDuration;
  while (m_queue.RunNext(end)) {
    ++m_events;
  }
  m_queue.RunUntil(end);
}

// ---- Hosts ----------------------------------------------------------------

void
CommandFleet::PostToHost(std::size_t aHost,
                         std::uint64_t aIncarnation,
                         Duration aDelay,
                         std::function<void(Host&)> aTask)
{
  After(aDelay, [this, aHost, aIncarnation, task = std::move(aTask)] {
    Host& host = *m_hosts[aHost];
    if (!host.m_running || host.m_incarnation != aIncarnation) {
      return;
    }
    if (host.m_pausedUntil > Now()) {
      PostToHost(aHost, aIncarnation, host.m_pausedUntil - Now(), task);
      return;
    }
    task(host);
  });
}

template<typename Event>
void
CommandFleet::DeliverToGuard(std::size_t aHost, const Event& aEvent)
{
  Host& host = *m_hosts[aHost];
  GuardActions actions;
  host.m_guard->Handle(Now(), HostWallTime(host), aEvent, actions);
  Execute(aHost, host.m_incarnation, std::move(actions));
}

void
CommandFleet::FireTimers(std::size_t aHost)
{
  Host& host = *m_hosts[aHost];
  GuardActions actions;
  host.m_guard->FireTimers(Now(), HostWallTime(host), actions);
  Execute(aHost, host.m_incarnation, std::move(actions));
}

void
CommandFleet::ScheduleTimer(std::size_t aHost)
{
  Host& host = *m_hosts[aHost];
  const auto next = host.m_guard->NextTimer();
  if (!next || *next >= host.m_timerAt) {
    return;
  }
  const TimePoint due = std::max(*next, Now() + Duration{ 1 });
  host.m_timerAt = due;
  PostToHost(
    aHost, host.m_incarnation, due - Now(), [this, aHost, due](Host& aTarget) {
      if (aTarget.m_timerAt == due) {
        aTarget.m_timerAt = TimePoint::max();
        FireTimers(aHost);
      }
    });
}

void
CommandFleet::Execute(std::size_t aHost,
                      std::uint64_t aIncarnation,
                      GuardActions aActions)
{
  Host& host = *m_hosts[aHost];
  if (host.m_pauseAfterDecision.count() != 0 && !aActions.empty()) {
    const Duration pause = host.m_pauseAfterDecision;
    host.m_pauseAfterDecision = Duration{ 0 };
    Pause(aHost, pause);
    PostToHost(aHost, aIncarnation, Duration{ 0 }, [=, this](Host&) {
      Execute(aHost, aIncarnation, aActions);
    });
    return;
  }
  for (const GuardAction& action : aActions) {
    std::visit([&](const auto& aAction) { ExecuteAction(aHost, aAction); },
               action);
  }
  if (host.m_running && host.m_incarnation == aIncarnation) {
    ScheduleTimer(aHost);
  }
}

bool
CommandFleet::Running(std::size_t aHost) const
{
  return m_hosts[aHost]->m_running;
}

void
CommandFleet::Crash(std::size_t aHost)
{
  Host& host = *m_hosts[aHost];
  host.m_running = false;
  host.m_requests.clear();
  host.m_handovers.clear();
  host.m_calls.clear();
  host.m_attempts.clear();
}

void
CommandFleet::Restart(std::size_t aHost)
{
  Host& host = *m_hosts[aHost];
  Crash(aHost);
  CommandGuardOptions options = m_options.m_guard;
  options.m_host = host.m_id;
  host.m_random = MakeSeededRandom(m_random->Next());
  host.m_guard =
    MakeCommandGuard(m_options.m_strategy, options, *host.m_random);
  host.m_incarnation = m_nextIncarnation++;
  host.m_running = true;
  host.m_draining = false;
  host.m_pausedUntil = Now();
  host.m_pauseAfterDecision = Duration{ 0 };
  host.m_timerAt = TimePoint::max();
  PostToHost(aHost, host.m_incarnation, Duration{ 0 }, [this, aHost](Host&) {
    FireTimers(aHost);
  });
}

void
CommandFleet::Pause(std::size_t aHost, Duration aDuration)
{
  Host& host = *m_hosts[aHost];
  host.m_pausedUntil = std::max(host.m_pausedUntil, Now() + aDuration);
}

void
CommandFleet::PauseAfterDecision(std::size_t aHost, Duration aDuration)
{
  m_hosts[aHost]->m_pauseAfterDecision = aDuration;
}

void
CommandFleet::Shutdown(std::size_t aHost)
{
  Host& host = *m_hosts[aHost];
  host.m_draining = true;
  PostToHost(aHost, host.m_incarnation, Duration{ 0 }, [this, aHost](Host&) {
    DeliverToGuard(aHost, BeginShutdown{});
  });
}

void
CommandFleet::SetClockError(std::size_t aHost, WallTime aError)
{
  m_hosts[aHost]->m_clockError = aError;
}

const CommandGuard&
CommandFleet::Guard(std::size_t aHost) const
{
  return *m_hosts[aHost]->m_guard;
}

void
CommandFleet::PublishMembers(Duration aLag)
{
  MemberListChanged event;
  for (const auto& host : m_hosts) {
    if (host->m_running && !host->m_draining) {
      event.m_alive.push_back(host->m_id);
    }
  }
  for (std::size_t i = 0; i < m_hosts.size(); ++i) {
    const Duration lag{ aLag.count() == 0
                          ? 0
                          : m_random->Below(
                              static_cast<std::uint64_t>(aLag.count())) };
    PostToHost(i, m_hosts[i]->m_incarnation, lag, [this, i, event](Host&) {
      DeliverToGuard(i, event);
    });
  }
}

std::size_t
CommandFleet::OwnerOf(const std::string& aKey) const
{
  const std::string key = m_options.m_guard.m_storePrefix + "ranges/" +
                          std::to_string(RangeOfKey(aKey));
  const auto item = m_items.find(key);
  if (item == m_items.end()) {
    return m_hosts.size();
  }
  return IndexOf(Json::parse(item->second.m_value).at("owner"));
}

std::size_t
CommandFleet::IndexOf(const std::string& aId) const
{
  const auto host = std::find_if(
    m_hosts.begin(), m_hosts.end(), [&](const std::unique_ptr<Host>& aHost) {
      return aHost->m_id == aId;
    });
  return static_cast<std::size_t>(host - m_hosts.begin());
}

// ---- Callers --------------------------------------------------------------

std::string
CommandFleet::NewKey(WallTime aError)
{
  return std::to_string(TrueWallTime() + aError) + "-" +
         std::to_string(m_nextKey++);
}

bool
CommandFleet::Submit(std::size_t aHost,
                     const Command& aCommand,
                     Duration aDeadline,
                     Done aDone)
{
  Host& host = *m_hosts[aHost];
  if (!host.m_running) {
    return false;
  }
  const SubmitCommand event{ m_nextRequest++, aCommand, aDeadline, false };
  PostToHost(
    aHost,
    host.m_incarnation,
    Duration{ 0 },
    [this, aHost, event, done = std::move(aDone)](Host& aTarget) {
      const std::string key = event.m_command.m_key;
      aTarget.m_requests[event.m_request] =
        [this, key, done, start = Now()](const AnswerCommand& aAnswer) {
          const CommandOutcome& outcome = aAnswer.m_outcome;
          if (outcome.m_ran == Ran::No) {
            m_answeredNotRun.insert(key);
            if (Runs(key) != 0) {
              ++m_falseNotRunAnswers;
            }
            GK_INVARIANT(!m_options.m_assertInvariants || Runs(key) == 0,
                         InvariantId::NotRunIsAccurate,
                         key + " was answered \"not run\" but has run");
          }
          if (outcome.m_ran == Ran::Yes) {
            GK_INVARIANT(Runs(key) != 0,
                         InvariantId::ReplyMatchesRequest,
                         key + " was answered \"ran\" but has not run");
            const Duration added = Now() - start - m_attemptDuration[key];
            m_addedLatencyMs.push_back(
              std::max(0.0, static_cast<double>(added.count()) / 1000));
          }
          done(outcome);
        };
      DeliverToGuard(aHost, event);
    });
  return true;
}

std::optional<CommandOutcome>
CommandFleet::SubmitAndWait(std::size_t aHost,
                            const Command& aCommand,
                            Duration aDeadline)
{
  auto answer = std::make_shared<std::optional<CommandOutcome>>();
  Submit(aHost, aCommand, aDeadline, [answer](const CommandOutcome& aOutcome) {
    *answer = aOutcome;
  });
  const TimePoint end = Now() + aDeadline + Duration{ 100000 };
  while (!*answer && Now() < end) {
    RunFor(Duration{ 1000 });
  }
  return *answer;
}

void
CommandFleet::ExecuteAction(std::size_t aHost, const AnswerCommand& aAction)
{
  Host& host = *m_hosts[aHost];
  const auto request = host.m_requests.extract(aAction.m_request);
  GK_INVARIANT(!request.empty(),
               InvariantId::ReplyMatchesRequest,
               "a request was answered twice");
  request.mapped()(aAction);
}

// ---- Peers ----------------------------------------------------------------

DeliveryOutcome
CommandFleet::PeerDeliveryOutcome(std::size_t aFrom, std::size_t aTo)
{
  if (aTo >= m_hosts.size() || !m_hosts[aTo]->m_running) {
    return DeliveryOutcome::Refused;
  }
  return m_peerFaultHook ? m_peerFaultHook(aFrom, aTo)
                         : DeliveryOutcome::Delivered;
}

template<typename Event>
void
CommandFleet::CompleteCall(const Call& aCall,
                           Duration aDelay,
                           const Event& aEvent)
{
  PostToHost(aCall.m_host,
             aCall.m_incarnation,
             aDelay,
             [this, aCall, aEvent](Host& aTarget) {
               if (aTarget.m_calls.erase(aCall.m_call) != 0) {
                 DeliverToGuard(aCall.m_host, aEvent);
               }
             });
}

void
CommandFleet::FailPeerCall(const Call& aCall, Duration aDelay, bool aNeverSent)
{
  CompleteCall(aCall, aDelay, PeerFailure{ aCall.m_call, aNeverSent });
}

void
CommandFleet::ExecuteAction(std::size_t aHost, const ForwardCommand& aAction)
{
  Host& host = *m_hosts[aHost];
  const Call call{ aHost, host.m_incarnation, aAction.m_call };
  host.m_calls.insert(aAction.m_call);
  const std::size_t to = IndexOf(aAction.m_host);
  const DeliveryOutcome deliveryOutcome = PeerDeliveryOutcome(aHost, to);
  if (deliveryOutcome == DeliveryOutcome::Refused) {
    FailPeerCall(call, m_options.m_peerDelay, true);
    return;
  }
  FailPeerCall(call, kPeerTimeout, false);
  if (deliveryOutcome == DeliveryOutcome::RequestLost) {
    return;
  }
  const Duration delay =
    deliveryOutcome == DeliveryOutcome::Late
      ? kPeerTimeout + Duration{ m_random->Below(kMaxLateDelayUs) }
      : m_options.m_peerDelay;
  SubmitCommand event{
    m_nextRequest++, aAction.m_command, aAction.m_deadline - Now(), true
  };
  PostToHost(to, m_hosts[to]->m_incarnation, delay, [=, this](Host& aTarget) {
    aTarget.m_requests[event.m_request] = [=,
                                           this](const AnswerCommand& aAnswer) {
      if (deliveryOutcome != DeliveryOutcome::ReplyLost) {
        CompleteCall(call,
                     m_options.m_peerDelay,
                     ForwardReply{ call.m_call,
                                   aAnswer.m_notOwner,
                                   aAnswer.m_owner,
                                   aAnswer.m_outcome });
      }
    };
    DeliverToGuard(to, event);
  });
}

void
CommandFleet::ExecuteAction(std::size_t aHost, const SendHandover& aAction)
{
  Host& host = *m_hosts[aHost];
  const Call call{ aHost, host.m_incarnation, aAction.m_call };
  host.m_calls.insert(aAction.m_call);
  const std::size_t to = IndexOf(aAction.m_host);
  const DeliveryOutcome deliveryOutcome = PeerDeliveryOutcome(aHost, to);
  if (deliveryOutcome == DeliveryOutcome::Refused) {
    FailPeerCall(call, m_options.m_peerDelay, true);
    return;
  }
  FailPeerCall(call, kPeerTimeout, false);
  if (deliveryOutcome == DeliveryOutcome::RequestLost) {
    return;
  }
  const Duration delay =
    deliveryOutcome == DeliveryOutcome::Late
      ? kPeerTimeout + Duration{ m_random->Below(kMaxLateDelayUs) }
      : m_options.m_peerDelay;
  const ReceiveHandover event{ m_nextRequest++,        host.m_id,
                               aAction.m_range,        aAction.m_storeIndex,
                               aAction.m_lowWatermark, aAction.m_records };
  PostToHost(to, m_hosts[to]->m_incarnation, delay, [=, this](Host& aTarget) {
    aTarget.m_handovers[event.m_request] = [=, this](bool aAccepted) {
      if (deliveryOutcome != DeliveryOutcome::ReplyLost) {
        CompleteCall(
          call, m_options.m_peerDelay, HandoverReply{ call.m_call, aAccepted });
      }
    };
    DeliverToGuard(to, event);
  });
}

void
CommandFleet::ExecuteAction(std::size_t aHost, const AnswerHandover& aAction)
{
  Host& host = *m_hosts[aHost];
  const auto request = host.m_handovers.extract(aAction.m_request);
  GK_INVARIANT(!request.empty(),
               InvariantId::ReplyMatchesRequest,
               "a handover was answered twice");
  request.mapped()(aAction.m_accepted);
}

// ---- Store ----------------------------------------------------------------

std::string
CommandFleet::LiveSession(const std::string& aSession) const
{
  const auto session = m_sessions.find(aSession);
  const bool alive =
    session != m_sessions.end() && session->second.m_end > Now();
  return alive ? aSession : std::string();
}

void
CommandFleet::ExecuteAction(std::size_t aHost, const CallStore& aAction)
{
  Host& host = *m_hosts[aHost];
  const Call call{ aHost, host.m_incarnation, aAction.m_call };
  host.m_calls.insert(aAction.m_call);
  const StoreCall storeCall = aAction.m_store;
  const bool read = storeCall.m_operation == StoreOperation::Get ||
                    storeCall.m_operation == StoreOperation::List;
  ++(read ? m_storeReads : m_storeWrites);
  DeliveryOutcome deliveryOutcome = m_storeFaultHook
                                      ? m_storeFaultHook(aHost, storeCall)
                                      : DeliveryOutcome::Delivered;
  if (IsStoreDown()) {
    deliveryOutcome = m_random->Below(2) == 0 ? DeliveryOutcome::Refused
                                              : DeliveryOutcome::RequestLost;
  }
  if (deliveryOutcome == DeliveryOutcome::Refused) {
    CompleteCall(call,
                 kRefusalDelay,
                 StoreReply{ call.m_call, StatusOnly(StoreStatus::Failed) });
    return;
  }
  CompleteCall(call,
               kStoreTimeout,
               StoreReply{ call.m_call, StatusOnly(StoreStatus::Unknown) });
  if (deliveryOutcome == DeliveryOutcome::RequestLost) {
    return;
  }
  const Duration delay =
    deliveryOutcome == DeliveryOutcome::Late
      ? kStoreTimeout + Duration{ m_random->Below(kMaxLateDelayUs) }
      : m_options.m_storeDelay;
  After(delay, [=, this] {
    const auto answer = [=, this](const StoreResult& aResult) {
      if (deliveryOutcome != DeliveryOutcome::ReplyLost) {
        CompleteCall(
          call, m_options.m_storeDelay, StoreReply{ call.m_call, aResult });
      }
    };
    if (storeCall.m_operation != StoreOperation::List) {
      answer(ApplyStoreCall(storeCall));
      return;
    }
    // The keys of the sessions are read before the keys of the ranges.
    Json list = Json::parse(ListJson(storeCall.m_key + "hosts/"));
    After(kListReadGap, [=, this]() mutable {
      for (Json& item : Json::parse(ListJson(storeCall.m_key + "ranges/"))) {
        list.push_back(std::move(item));
      }
      answer(StoreResult{ StoreStatus::Ok, list.dump(), 0, {} });
    });
  });
}

std::string
CommandFleet::ListJson(const std::string& aPrefix) const
{
  Json list = Json::array();
  for (auto item = m_items.lower_bound(aPrefix);
       item != m_items.end() && item->first.starts_with(aPrefix);
       ++item) {
    list.push_back({ { "key", item->first },
                     { "value", item->second.m_value },
                     { "index", item->second.m_index },
                     { "session", LiveSession(item->second.m_session) } });
  }
  return list.dump();
}

StoreResult
CommandFleet::ApplyStoreCall(const StoreCall& aCall)
{
  const auto item = m_items.find(aCall.m_key);
  switch (aCall.m_operation) {
    case StoreOperation::Get:
      if (item == m_items.end()) {
        return StatusOnly(StoreStatus::NotFound);
      }
      return { StoreStatus::Ok,
               item->second.m_value,
               item->second.m_index,
               LiveSession(item->second.m_session) };
    case StoreOperation::CompareAndSwap: {
      const std::uint64_t index =
        item == m_items.end() ? 0 : item->second.m_index;
      if (index != aCall.m_index) {
        return StatusOnly(StoreStatus::Conflict);
      }
      Item& target = m_items[aCall.m_key];
      target.m_value = aCall.m_value;
      target.m_index = ++m_index;
      // Not all stores report the new index: every fourth reply omits it.
      return { StoreStatus::Ok, {}, m_index % 4 == 0 ? 0 : m_index, {} };
    }
    case StoreOperation::Acquire: {
      if (LiveSession(aCall.m_session).empty()) {
        return StatusOnly(StoreStatus::NotFound);
      }
      Item& target = m_items[aCall.m_key];
      const std::string holder = LiveSession(target.m_session);
      if (!holder.empty() && holder != aCall.m_session) {
        return StatusOnly(StoreStatus::Conflict);
      }
      target = Item{ aCall.m_value, ++m_index, aCall.m_session };
      return { StoreStatus::Ok, {}, m_index, aCall.m_session };
    }
    case StoreOperation::CreateSession: {
      const std::string id = "session-" + std::to_string(m_nextSession++);
      m_sessions[id] = Session{ aCall.m_ttl, Now() + aCall.m_ttl };
      return { StoreStatus::Ok, {}, 0, id };
    }
    case StoreOperation::RenewSession: {
      if (LiveSession(aCall.m_session).empty()) {
        return StatusOnly(StoreStatus::NotFound);
      }
      Session& session = m_sessions[aCall.m_session];
      const auto slack = static_cast<std::uint64_t>(
        kMaxSessionOverrun * static_cast<double>(session.m_ttl.count()));
      session.m_end =
        Now() + session.m_ttl + Duration{ m_random->Below(slack + 1) };
      return StatusOnly(StoreStatus::Ok);
    }
    case StoreOperation::DestroySession:
      m_sessions.erase(aCall.m_session);
      return StatusOnly(StoreStatus::Ok);
    case StoreOperation::Watch:
    case StoreOperation::Release:
    case StoreOperation::List:
      break;
  }
  return StatusOnly(StoreStatus::Failed);
}

// ---- Backend servers ------------------------------------------------------

template<typename Event>
void
CommandFleet::CompleteAttempt(std::size_t aHost,
                              std::uint64_t aIncarnation,
                              CommandAttemptId aAttempt,
                              Duration aDelay,
                              const Event& aEvent)
{
  PostToHost(aHost, aIncarnation, aDelay, [=, this](Host& aTarget) {
    if (aTarget.m_attempts.erase(aAttempt) != 0) {
      DeliverToGuard(aHost, aEvent);
    }
  });
}

void
CommandFleet::ExecuteAction(std::size_t aHost, const SendCommand& aAction)
{
  Host& host = *m_hosts[aHost];
  const std::uint64_t incarnation = host.m_incarnation;
  const CommandAttemptId attempt = aAction.m_attempt;
  host.m_attempts.insert(attempt);
  std::vector<std::string> replicas;
  for (std::size_t i = 0; i < m_options.m_replicas; ++i) {
    const std::string replica = "replica-" + std::to_string(i);
    if (std::find(aAction.m_exclude.begin(),
                  aAction.m_exclude.end(),
                  replica) == aAction.m_exclude.end()) {
      replicas.push_back(replica);
    }
  }
  if (replicas.empty()) {
    CompleteAttempt(aHost,
                    incarnation,
                    attempt,
                    Duration{ 0 },
                    NoReplicaForCommand{ attempt });
    return;
  }
  const std::string replica = replicas[m_random->Below(replicas.size())];
  const DeliveryOutcome deliveryOutcome = m_backendFaultHook
                                            ? m_backendFaultHook(aHost, aAction)
                                            : DeliveryOutcome::Delivered;
  const Duration delay = m_options.m_backendDelay;
  const auto fail = [&](Duration aDelay, SubFailureKind aKind) {
    CompleteAttempt(aHost,
                    incarnation,
                    attempt,
                    aDelay,
                    BackendFailure{ attempt, replica, aKind });
  };
  switch (deliveryOutcome) {
    case DeliveryOutcome::Refused:
      fail(delay, SubFailureKind::ConnectFailed);
      return;
    case DeliveryOutcome::Shed:
      fail(2 * delay, SubFailureKind::Shed);
      return;
    case DeliveryOutcome::RequestLost:
      fail(2 * delay, SubFailureKind::Reset);
      return;
    case DeliveryOutcome::ReplyLost:
    case DeliveryOutcome::Late:
      fail(3 * delay, SubFailureKind::Reset);
      break;
    case DeliveryOutcome::Delivered:
    case DeliveryOutcome::MismatchedReply:
      fail(aAction.m_replyDeadline - Now(), SubFailureKind::TimedOut);
      break;
  }
  const Duration queued = m_queueTime ? m_queueTime() : Duration{ 0 };
  After(delay + queued, [=, this, sentAt = Now()] {
    const WallTime error = m_backendClockError ? m_backendClockError() : 0;
    if (TrueWallTime() + error > aAction.m_startBefore ||
        Now() > aAction.m_deadline) {
      CompleteAttempt(
        aHost,
        incarnation,
        attempt,
        m_options.m_backendDelay,
        BackendFailure{ attempt, replica, SubFailureKind::DeadlinePassed });
      return;
    }
    StartOnBackend(aHost, incarnation, aAction, sentAt, deliveryOutcome);
  });
}

void
CommandFleet::StartOnBackend(std::size_t aHost,
                             std::uint64_t aIncarnation,
                             const SendCommand& aAction,
                             TimePoint aSentAt,
                             DeliveryOutcome aDeliveryOutcome)
{
  const std::string& key = aAction.m_command.m_key;
  const std::uint32_t runs = ++m_runs[key];
  if (runs > 1) {
    ++m_duplicates;
  }
  GK_INVARIANT(!m_options.m_assertInvariants || runs == 1,
               InvariantId::AtMostOnce,
               key + " ran more than once");
  if (m_answeredNotRun.contains(key)) {
    ++m_falseNotRunAnswers;
    GK_INVARIANT(!m_options.m_assertInvariants,
                 InvariantId::NotRunIsAccurate,
                 key + " ran after it was answered \"not run\"");
  }
  const Duration service{ 1000 + m_random->Below(kServiceTimeRangeUs) };
  const Duration delay = service + m_options.m_backendDelay;
  m_attemptDuration[key] = Now() + delay - aSentAt;
  BackendReply reply{
    aAction.m_attempt, aAction.m_attempt, key, ResultFor(aAction.m_command)
  };
  if (aDeliveryOutcome == DeliveryOutcome::MismatchedReply) {
    reply.m_echoKey = "1-other";
  }
  CompleteAttempt(aHost, aIncarnation, aAction.m_attempt, delay, reply);
}

std::uint32_t
CommandFleet::Runs(const std::string& aKey) const
{
  const auto runs = m_runs.find(aKey);
  return runs == m_runs.end() ? 0 : runs->second;
}

} // namespace goldcrestkeel::benchmark
