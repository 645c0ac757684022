#include "GuardBase.h"

namespace goldcrestkeel {

namespace {

/** Baseline strategy: each host tracks only the keys that it received itself. A
 *  command submitted through two hosts runs twice, and "not run" applies to
 *  this host only. */
class HostMemoryGuard : public GuardBase
{
public:
  using GuardBase::GuardBase;
  using GuardBase::Handle;

  std::string_view Name() const override { return "host_memory"; }

  void Handle(TimePoint aNow,
              WallTime aWall,
              const SubmitCommand& aEvent,
              GuardActions& aActions) override
  {
    ++m_counters.m_commands;
    if (RejectInvalidKey(aWall, aEvent, aActions)) {
      return;
    }
    const std::string& key = aEvent.m_command.m_key;
    const WallTime lowWatermark = aWall - Retention();
    m_ledger.EraseUntil(RangeOfKey(key), lowWatermark);
    if (m_ledger.Contains(key)) {
      m_ledger.AnswerOrWait(aNow, aEvent, aActions);
    } else if (TimeOfKey(key).value_or(0) <= lowWatermark) {
      AnswerUnknown(aEvent.m_request,
                    ErrorKind::OutcomeUnknown,
                    "the key is older than the retention time of this host",
                    aActions);
    } else {
      m_ledger.Admit(aNow, aWall, aEvent, aActions);
    }
  }
};

} // namespace

std::unique_ptr<CommandGuard>
MakeHostMemoryGuard(const CommandGuardOptions& aOptions)
{
  return std::make_unique<HostMemoryGuard>(aOptions);
}

} // namespace goldcrestkeel
