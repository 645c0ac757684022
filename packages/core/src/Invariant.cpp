#include <goldcrestkeel/core/Invariant.h>

namespace goldcrestkeel {

namespace {

/** Labels in metrics and logs, in the order of InvariantId. They stay the same
 *  when a constant is renamed. */
constexpr std::array<std::string_view, kInvariantCount> kNames{
  "single_snapshot",       "true_coverage",      "own_answer",
  "not_run_is_true",       "at_most_once",       "no_work_after_drain",
  "shutdown_cuts_nothing", "revision_monotonic", "within_caps",
  "hedge_within_budget",
};

std::atomic<InvariantHandler*> sHandler{ nullptr };

} // namespace

std::string_view
NameOf(InvariantId aId)
{
  return kNames.at(static_cast<std::size_t>(aId));
}

InvariantViolation::InvariantViolation(InvariantId aId,
                                       const std::string& aDetail)
  : std::logic_error(std::string(NameOf(aId)) + ": " + aDetail)
  , m_id(aId)
{
}

InvariantHandler*
SetInvariantHandler(InvariantHandler* aHandler)
{
  return sHandler.exchange(aHandler);
}

void
ReportViolation(InvariantId aId, const std::string& aDetail)
{
  InvariantHandler* handler = sHandler.load();
  if (handler == nullptr) {
    throw InvariantViolation(aId, aDetail);
  }
  handler->Violated(aId, aDetail);
}

} // namespace goldcrestkeel
