#include "CommandKey.h"
#include "GuardBase.h"

#include <nlohmann/json.hpp>

#include <unordered_map>

namespace goldcrestkeel {

namespace {

using Json = nlohmann::json;

/** Delay before a failed store call is retried. */
constexpr Duration kStoreRetryDelay{ 200000 };
/** Interval at which the claim of another host is read until it contains the
 *  outcome. */
constexpr Duration kClaimPollInterval{ 250000 };
/** Maximum number of attempts to write an outcome. */
constexpr int kMaxOutcomeWrites = 3;

/** Claims each key in the store by compare-and-swap before the command is sent.
 *  Only the host whose claim succeeded ever sends the command; it then writes
 *  the outcome into the claim. */
class StoreClaimGuard : public GuardBase
{
public:
  StoreClaimGuard(const CommandGuardOptions& aOptions, RandomSource& aRandom);
  using GuardBase::Handle;

  std::string_view Name() const override { return "store_claim"; }

  void Handle(TimePoint aNow,
              WallTime aWall,
              const SubmitCommand& aEvent,
              GuardActions& aActions) override;
  void Handle(TimePoint aNow,
              WallTime aWall,
              const StoreReply& aEvent,
              GuardActions& aActions) override;
  void FireTimers(TimePoint aNow,
                  WallTime aWall,
                  GuardActions& aActions) override;
  std::optional<TimePoint> NextTimer() const override;
  bool Drained() const override;

protected:
  void OnOutcome(TimePoint aNow,
                 WallTime aWall,
                 const std::string& aKey,
                 const CommandOutcome& aOutcome,
                 GuardActions& aActions) override;

private:
  enum class State
  {
    /** The compare-and-swap is outstanding. */
    Claiming,
    /** The claim is read back: its result is uncertain, or another request has
     *  claimed the key. */
    Reading,
    /** Waits for the next read or claim. */
    Waiting,
  };

  /** A request whose key this host has not claimed. */
  struct Claim
  {
    SubmitCommand m_event;
    TimePoint m_deadline;
    std::string m_nonce;
    State m_state = State::Claiming;
    TimePoint m_retryAt;
    bool m_maybeWritten = false;
  };

  /** An outcome that is being written to the store. */
  struct OutcomeWrite
  {
    std::string m_key;
    std::string m_value;
    std::uint64_t m_index = 0;
    int m_attemptsLeft = kMaxOutcomeWrites;
  };

  std::string StoreKey(const std::string& aKey) const;
  void WriteClaim(Claim& aClaim, GuardActions& aActions);
  void ReadClaim(Claim& aClaim, GuardActions& aActions);
  void OnClaimWon(TimePoint aNow,
                  WallTime aWall,
                  const Claim& aClaim,
                  std::uint64_t aIndex,
                  GuardActions& aActions);
  /** Handles a claim of another host or process. Returns true if the request
   *  was answered, false if the claim has no outcome yet. */
  bool AnswerForeignClaim(TimePoint aNow,
                          const Claim& aClaim,
                          const Json& aValue,
                          GuardActions& aActions);
  /** Returns true if the request needs no claim any more. */
  bool HandleClaimReply(TimePoint aNow,
                        WallTime aWall,
                        Claim& aClaim,
                        const StoreResult& aResult,
                        GuardActions& aActions);
  void ScheduleRetry(TimePoint aNow, Claim& aClaim, Duration aDelay);

  RandomSource& m_random;
  std::unordered_map<CommandRequestId, Claim> m_claims;
  std::unordered_map<GuardCallId, CommandRequestId> m_claimCalls;
  std::unordered_map<GuardCallId, OutcomeWrite> m_outcomeWrites;
  std::multimap<TimePoint, CommandRequestId> m_timers;
  /** Fingerprint and modification index of a claim that this host holds. */
  struct HeldClaim
  {
    std::uint64_t m_fingerprint = 0;
    std::uint64_t m_index = 0;
  };
  std::unordered_map<std::string, HeldClaim> m_heldClaims;
};

StoreClaimGuard::StoreClaimGuard(const CommandGuardOptions& aOptions,
                                 RandomSource& aRandom)
  : GuardBase(aOptions)
  , m_random(aRandom)
{
}

std::string
StoreClaimGuard::StoreKey(const std::string& aKey) const
{
  return m_options.m_storePrefix + "claims/" + aKey;
}

void
StoreClaimGuard::Handle(TimePoint aNow,
                        WallTime aWall,
                        const SubmitCommand& aEvent,
                        GuardActions& aActions)
{
  ++m_counters.m_commands;
  if (RejectInvalidKey(aWall, aEvent, aActions)) {
    return;
  }
  const std::string& key = aEvent.m_command.m_key;
  m_ledger.EraseUntil(RangeOfKey(key), aWall - Retention());
  if (m_ledger.Contains(key)) {
    m_ledger.AnswerOrWait(aNow, aEvent, aActions);
    return;
  }
  // Claims older than the retention may be deleted by the operator.
  if (TimeOfKey(key).value_or(0) <= aWall - Retention()) {
    AnswerUnknown(
      aEvent.m_request,
      ErrorKind::OutcomeUnknown,
      "the key is older than the retention time of the claims in the store",
      aActions);
    return;
  }
  Claim& claim = m_claims[aEvent.m_request];
  claim.m_event = aEvent;
  claim.m_deadline = aNow + aEvent.m_deadline;
  claim.m_nonce = std::to_string(m_random.Next());
  m_timers.emplace(claim.m_deadline, aEvent.m_request);
  WriteClaim(claim, aActions);
}

void
StoreClaimGuard::WriteClaim(Claim& aClaim, GuardActions& aActions)
{
  const Command& command = aClaim.m_event.m_command;
  const Json value{ { "host", m_options.m_host },
                    { "nonce", aClaim.m_nonce },
                    { "fingerprint", FingerprintOf(command) } };
  StoreCall call;
  call.m_operation = StoreOperation::CompareAndSwap;
  call.m_key = StoreKey(command.m_key);
  call.m_value = value.dump();
  aClaim.m_state = State::Claiming;
  m_claimCalls.emplace(m_calls.Send(std::move(call), aActions),
                       aClaim.m_event.m_request);
}

void
StoreClaimGuard::ReadClaim(Claim& aClaim, GuardActions& aActions)
{
  StoreCall call;
  call.m_key = StoreKey(aClaim.m_event.m_command.m_key);
  aClaim.m_state = State::Reading;
  m_claimCalls.emplace(m_calls.Send(std::move(call), aActions),
                       aClaim.m_event.m_request);
}

void
StoreClaimGuard::Handle(TimePoint aNow,
                        WallTime aWall,
                        const StoreReply& aEvent,
                        GuardActions& aActions)
{
  if (auto write = m_outcomeWrites.extract(aEvent.m_call)) {
    OutcomeWrite& outcome = write.mapped();
    const StoreStatus status = aEvent.m_result.m_status;
    if ((status == StoreStatus::Failed || status == StoreStatus::Unknown) &&
        --outcome.m_attemptsLeft > 0) {
      StoreCall call;
      call.m_operation = StoreOperation::CompareAndSwap;
      call.m_key = outcome.m_key;
      call.m_value = outcome.m_value;
      call.m_index = outcome.m_index;
      write.key() = m_calls.Send(std::move(call), aActions);
      m_outcomeWrites.insert(std::move(write));
    }
    return;
  }
  const auto call = m_claimCalls.find(aEvent.m_call);
  if (call == m_claimCalls.end()) {
    return;
  }
  const CommandRequestId request = call->second;
  m_claimCalls.erase(call);
  const auto claim = m_claims.find(request);
  if (claim == m_claims.end()) {
    return;
  }
  if (HandleClaimReply(aNow, aWall, claim->second, aEvent.m_result, aActions)) {
    m_claims.erase(request);
  }
}

bool
StoreClaimGuard::HandleClaimReply(TimePoint aNow,
                                  WallTime aWall,
                                  Claim& aClaim,
                                  const StoreResult& aResult,
                                  GuardActions& aActions)
{
  if (m_ledger.Contains(aClaim.m_event.m_command.m_key)) {
    // Another request on this host has claimed the key in the meantime.
    SubmitCommand event = aClaim.m_event;
    event.m_deadline = aClaim.m_deadline - aNow;
    m_ledger.AnswerOrWait(aNow, event, aActions);
    return true;
  }
  const bool claiming = aClaim.m_state == State::Claiming;
  switch (aResult.m_status) {
    case StoreStatus::Ok: {
      if (claiming && aResult.m_index != 0) {
        OnClaimWon(aNow, aWall, aClaim, aResult.m_index, aActions);
        return true;
      }
      if (claiming) {
        ReadClaim(aClaim, aActions);
        return false;
      }
      const Json value = Json::parse(aResult.m_value, nullptr, false);
      if (value.is_object() && value.value("nonce", "") == aClaim.m_nonce) {
        OnClaimWon(aNow, aWall, aClaim, aResult.m_index, aActions);
        return true;
      }
      if (AnswerForeignClaim(aNow, aClaim, value, aActions)) {
        return true;
      }
      ScheduleRetry(aNow, aClaim, kClaimPollInterval);
      return false;
    }
    case StoreStatus::Conflict:
      ReadClaim(aClaim, aActions);
      return false;
    case StoreStatus::NotFound:
      WriteClaim(aClaim, aActions);
      return false;
    case StoreStatus::Failed:
    case StoreStatus::Unknown:
      aClaim.m_maybeWritten =
        aClaim.m_maybeWritten ||
        (claiming && aResult.m_status != StoreStatus::Failed);
      ScheduleRetry(aNow, aClaim, kStoreRetryDelay);
      return false;
  }
  return false;
}

void
StoreClaimGuard::OnClaimWon(TimePoint aNow,
                            WallTime aWall,
                            const Claim& aClaim,
                            std::uint64_t aIndex,
                            GuardActions& aActions)
{
  SubmitCommand event = aClaim.m_event;
  event.m_deadline = aClaim.m_deadline - aNow;
  m_heldClaims[event.m_command.m_key] =
    HeldClaim{ FingerprintOf(event.m_command), aIndex };
  m_ledger.Admit(aNow, aWall, event, aActions);
}

bool
StoreClaimGuard::AnswerForeignClaim(TimePoint aNow,
                                    const Claim& aClaim,
                                    const Json& aValue,
                                    GuardActions& aActions)
{
  const Command& command = aClaim.m_event.m_command;
  const CommandRequestId request = aClaim.m_event.m_request;
  if (!aValue.is_object()) {
    AnswerUnknown(request,
                  ErrorKind::OutcomeUnknown,
                  "the claim in the store is not a JSON object",
                  aActions);
    return true;
  }
  if (aValue.value("fingerprint", std::uint64_t{ 0 }) !=
      FingerprintOf(command)) {
    AnswerUnknown(request,
                  ErrorKind::IdempotencyKeyReused,
                  "the key was used for another service or body",
                  aActions);
    return true;
  }
  if (aValue.contains("ran")) {
    ++m_counters.m_duplicates;
    const std::string error = aValue.value("error", "");
    AppendAnswer(request,
                 CommandOutcome{
                   ErrorKindFromName(error),
                   RanFromName(aValue.value("ran", "")).value_or(Ran::Unknown),
                   aValue.value("result", ""),
                   aValue.value("detail", "") },
                 m_counters,
                 aActions);
    return true;
  }
  if (aClaim.m_deadline <= aNow + kClaimPollInterval) {
    AnswerUnknown(request,
                  ErrorKind::CommandInProgress,
                  "host " + aValue.value("host", "") +
                    " has claimed the command but not reported an outcome",
                  aActions);
    return true;
  }
  return false;
}

void
StoreClaimGuard::ScheduleRetry(TimePoint aNow, Claim& aClaim, Duration aDelay)
{
  aClaim.m_state = State::Waiting;
  aClaim.m_retryAt = aNow + aDelay;
  m_timers.emplace(aClaim.m_retryAt, aClaim.m_event.m_request);
}

void
StoreClaimGuard::OnOutcome(TimePoint,
                           WallTime,
                           const std::string& aKey,
                           const CommandOutcome& aOutcome,
                           GuardActions& aActions)
{
  const auto held = m_heldClaims.find(aKey);
  if (held == m_heldClaims.end()) {
    return;
  }
  const Json value{
    { "host", m_options.m_host },
    { "fingerprint", held->second.m_fingerprint },
    { "error",
      aOutcome.m_error ? std::string(InfoOf(*aOutcome.m_error).m_name)
                       : std::string() },
    { "ran", std::string(NameOf(aOutcome.m_ran)) },
    { "result", aOutcome.m_result },
    { "detail", aOutcome.m_detail },
  };
  // The result from a backend server may be any bytes; JSON requires UTF-8.
  OutcomeWrite write{ StoreKey(aKey),
                      value.dump(
                        -1, ' ', false, Json::error_handler_t::replace),
                      held->second.m_index };
  m_heldClaims.erase(held);
  StoreCall call;
  call.m_operation = StoreOperation::CompareAndSwap;
  call.m_key = write.m_key;
  call.m_value = write.m_value;
  call.m_index = write.m_index;
  m_outcomeWrites.emplace(m_calls.Send(std::move(call), aActions),
                          std::move(write));
}

void
StoreClaimGuard::FireTimers(TimePoint aNow,
                            WallTime aWall,
                            GuardActions& aActions)
{
  GuardBase::FireTimers(aNow, aWall, aActions);
  while (!m_timers.empty() && m_timers.begin()->first <= aNow) {
    const CommandRequestId request = m_timers.begin()->second;
    m_timers.erase(m_timers.begin());
    const auto found = m_claims.find(request);
    if (found == m_claims.end()) {
      continue;
    }
    Claim& claim = found->second;
    if (claim.m_deadline <= aNow) {
      // The outstanding claim may still succeed, but this host will not use it.
      // The answer is "unknown" because another host may have sent the command.
      AnswerUnknown(request,
                    ErrorKind::DeadlineExceeded,
                    "the store did not confirm the claim of the key in time",
                    aActions);
      m_claims.erase(found);
    } else if (claim.m_state == State::Waiting && claim.m_retryAt <= aNow) {
      if (claim.m_maybeWritten) {
        ReadClaim(claim, aActions);
      } else {
        WriteClaim(claim, aActions);
      }
    }
  }
}

std::optional<TimePoint>
StoreClaimGuard::NextTimer() const
{
  const auto next = GuardBase::NextTimer();
  if (m_timers.empty()) {
    return next;
  }
  return next ? std::min(*next, m_timers.begin()->first)
              : m_timers.begin()->first;
}

bool
StoreClaimGuard::Drained() const
{
  return GuardBase::Drained() && m_claims.empty() && m_outcomeWrites.empty();
}

} // namespace

std::unique_ptr<CommandGuard>
MakeStoreClaimGuard(const CommandGuardOptions& aOptions, RandomSource& aRandom)
{
  return std::make_unique<StoreClaimGuard>(aOptions, aRandom);
}

} // namespace goldcrestkeel
