#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace goldcrestkeel {

/** The promises that the program asserts about itself; docs/design.md 1.2
 *  states each. */
enum class InvariantId
{
  SingleSnapshot,
  AccurateCoverage,
  ReplyMatchesQuery,
  NotRunIsAccurate,
  AtMostOnce,
  NoRequestsAfterDrain,
  ShutdownCompletesRequests,
  RevisionMonotonic,
  WithinConnectionLimits,
  HedgeWithinBudget,
};

inline constexpr std::size_t kInvariantCount = 10;

std::string_view
NameOf(InvariantId aId);

/** Receives violations. The default handler throws InvariantViolation, as
 *  tests and benchmarks want; the daemon installs one that counts and logs. */
class InvariantHandler
{
public:
  virtual ~InvariantHandler() = default;
  virtual void Violated(InvariantId aId, const std::string& aDetail) = 0;
};

class InvariantViolation : public std::logic_error
{
public:
  InvariantViolation(InvariantId aId, const std::string& aDetail);
  InvariantId Id() const { return m_id; }

private:
  InvariantId m_id;
};

/** Installs aHandler for the whole process; nullptr restores the default. The
 *  handler must outlive its use. Returns the previous handler. */
InvariantHandler*
SetInvariantHandler(InvariantHandler* aHandler);

/** Reports a violation to the installed handler. */
void
ReportViolation(InvariantId aId, const std::string& aDetail);

} // namespace goldcrestkeel

/** Checks an invariant; aDetail is evaluated only on a violation. */
#define GK_INVARIANT(aCondition, aId, aDetail)                                 \
  do {                                                                         \
    if (!(aCondition)) [[unlikely]] {                                          \
      ::goldcrestkeel::ReportViolation((aId), (aDetail));                      \
    }                                                                          \
  } while (false)
