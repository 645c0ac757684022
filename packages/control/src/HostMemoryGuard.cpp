#include "GuardBase.h"

namespace goldcrestkeel {

namespace {

/** Baseline: each host remembers only the keys that came to it. A command that
 *  is sent through two hosts runs twice, and "not run" speaks of this host
 *  alone. */
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
    if (AnswerBadKey(aWall, aEvent, aActions)) {
      return;
    }
    const std::string& key = aEvent.m_command.m_key;
    const WallTime floor = aWall - Retention();
    m_ledger.ForgetUntil(RangeOfKey(key), floor);
    if (m_ledger.Knows(key)) {
      m_ledger.Join(aNow, aEvent, aActions);
    } else if (TimeOfKey(key).value_or(0) <= floor) {
      AnswerUnknown(aEvent.m_request,
                    ErrorKind::OutcomeUnknown,
                    "the key is older than the memory of this host",
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
