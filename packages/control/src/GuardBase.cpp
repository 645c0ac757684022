#include "GuardBase.h"

#include <array>

namespace goldcrestkeel {

namespace {

/** Latest start of an attempt, in milliseconds from now, for strategies without
 *  a lease. The deadline of the attempt is earlier and applies. */
constexpr WallTime kMaxStartDelay = 3600000;

constexpr std::array<std::string_view, 3> kGuardNames{ "host_memory",
                                                       "store_claim",
                                                       "leased_range" };

bool
IsRead(StoreOperation aOperation)
{
  return aOperation == StoreOperation::Get ||
         aOperation == StoreOperation::Watch ||
         aOperation == StoreOperation::List;
}

} // namespace

StoreCalls::StoreCalls(CommandGuardCounters& aCounters)
  : m_counters(aCounters)
{
}

GuardCallId
StoreCalls::Send(StoreCall aCall, GuardActions& aActions)
{
  ++(IsRead(aCall.m_operation) ? m_counters.m_storeReads
                               : m_counters.m_storeWrites);
  const GuardCallId call = NextId();
  aActions.emplace_back(CallStore{ call, std::move(aCall) });
  return call;
}

GuardBase::GuardBase(const CommandGuardOptions& aOptions)
  : m_options(aOptions)
  , m_calls(m_counters)
  , m_ledger(*this, m_counters)
{
}

void
GuardBase::Handle(TimePoint aNow,
                  WallTime aWall,
                  const BackendReply& aEvent,
                  GuardActions& aActions)
{
  m_ledger.Handle(aNow, aWall, aEvent, aActions);
}

void
GuardBase::Handle(TimePoint aNow,
                  WallTime aWall,
                  const BackendFailure& aEvent,
                  GuardActions& aActions)
{
  m_ledger.Handle(aNow, aWall, aEvent, aActions);
}

void
GuardBase::Handle(TimePoint aNow,
                  WallTime aWall,
                  const NoReplicaForCommand& aEvent,
                  GuardActions& aActions)
{
  m_ledger.Handle(aNow, aWall, aEvent, aActions);
}

void
GuardBase::Handle(TimePoint, WallTime, const StoreReply&, GuardActions&)
{
}

void
GuardBase::Handle(TimePoint, WallTime, const ForwardReply&, GuardActions&)
{
}

void
GuardBase::Handle(TimePoint, WallTime, const PeerFailure&, GuardActions&)
{
}

void
GuardBase::Handle(TimePoint, WallTime, const MemberListChanged&, GuardActions&)
{
}

void
GuardBase::Handle(TimePoint,
                  WallTime,
                  const ReceiveHandover& aEvent,
                  GuardActions& aActions)
{
  aActions.emplace_back(
    AnswerHandover{ aEvent.m_request, false, "this host owns no ranges" });
}

void
GuardBase::Handle(TimePoint, WallTime, const HandoverReply&, GuardActions&)
{
}

void
GuardBase::Handle(TimePoint, WallTime, const BeginShutdown&, GuardActions&)
{
  m_shutdown = true;
}

void
GuardBase::FireTimers(TimePoint aNow, WallTime aWall, GuardActions& aActions)
{
  m_ledger.FireTimers(aNow, aWall, aActions);
}

std::optional<TimePoint>
GuardBase::NextTimer() const
{
  return m_ledger.NextTimer();
}

bool
GuardBase::Drained() const
{
  return m_shutdown && m_ledger.Running() == 0;
}

CommandGuardCounters
GuardBase::Counters() const
{
  CommandGuardCounters counters = m_counters;
  counters.m_trackedKeys = m_ledger.Size();
  return counters;
}

std::optional<WallTime>
GuardBase::LatestStart(TimePoint, WallTime aWall, const std::string&) const
{
  return aWall + kMaxStartDelay;
}

void
GuardBase::OnOutcome(TimePoint,
                     WallTime,
                     const std::string&,
                     const CommandOutcome&,
                     GuardActions&)
{
}

void
GuardBase::AnswerUnknown(CommandRequestId aRequest,
                         ErrorKind aKind,
                         std::string aDetail,
                         GuardActions& aActions)
{
  AppendAnswer(aRequest,
               ErrorOutcome(aKind, Ran::Unknown, std::move(aDetail)),
               m_counters,
               aActions);
}

bool
GuardBase::RejectInvalidKey(WallTime aWall,
                            const SubmitCommand& aEvent,
                            GuardActions& aActions)
{
  const auto time = TimeOfKey(aEvent.m_command.m_key);
  if (!time) {
    AppendAnswer(
      aEvent.m_request,
      ErrorOutcome(ErrorKind::BadIdempotencyKey,
                   Ran::No,
                   "the key must be <unix milliseconds>-<random>, with 1 to 64 "
                   "letters, digits, hyphens or underscores after the hyphen"),
      m_counters,
      aActions);
    return true;
  }
  if (*time > aWall + kMaxClockSkew) {
    // The key may have run: a host whose clock is ahead may have accepted it.
    AnswerUnknown(aEvent.m_request,
                  ErrorKind::BadIdempotencyKey,
                  "the timestamp in the key is " +
                    std::to_string(*time - aWall) +
                    " ms ahead of this host's clock; at most " +
                    std::to_string(kMaxClockSkew) + " ms are allowed",
                  aActions);
    return true;
  }
  return false;
}

WallTime
GuardBase::Retention() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           m_options.m_retention)
    .count();
}

std::vector<std::string_view>
CommandGuardNames()
{
  return { kGuardNames.begin(), kGuardNames.end() };
}

std::unique_ptr<CommandGuard>
MakeCommandGuard(std::string_view aName,
                 const CommandGuardOptions& aOptions,
                 RandomSource& aRandom)
{
  if (aName == kGuardNames[0]) {
    return MakeHostMemoryGuard(aOptions);
  }
  if (aName == kGuardNames[1]) {
    return MakeStoreClaimGuard(aOptions, aRandom);
  }
  if (aName == kGuardNames[2]) {
    return MakeLeasedRangeGuard(aOptions, aRandom);
  }
  throw Error(ErrorKind::InvalidConfiguration,
              "unknown command guard \"" + std::string(aName) +
                "\"; allowed: host_memory, store_claim, leased_range",
              "command_guard");
}

} // namespace goldcrestkeel
