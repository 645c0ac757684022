#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace goldcrestkeel {

/** Properties that the program checks at run time; docs/design.md 1.2 specifies
 *  each. NameOf() gives the label used in metrics and logs. */
enum class InvariantId
{
  /** All replies counted for one answer come from one index version. */
  SingleSnapshot,
  /** The reported coverage equals the documents searched. */
  AccurateCoverage,
  /** A request is answered once, and only from replies to itself. */
  ReplyMatchesRequest,
  /** A request reported as not run has not run on any backend server. */
  NotRunIsAccurate,
  /** A command runs at most once. */
  AtMostOnce,
  /** No request is sent to a replica that is known to be draining. */
  NoRequestsAfterDrain,
  /** A graceful shutdown completes the requests that it has accepted. */
  ShutdownCompletesRequests,
  /** The configuration revision of a host never decreases. */
  RevisionMonotonic,
  /** The connections and requests to a replica stay within its limits. */
  WithinConnectionLimits,
  /** Hedges and retries stay within the extra-load budget, and ejection leaves
   *  each shard a usable replica. */
  HedgeWithinBudget,
};

/** Number of InvariantId values. */
inline constexpr std::size_t kInvariantCount = 10;

std::string_view
NameOf(InvariantId aId);

/** Receives violations. The default handler throws InvariantViolation, as tests
 *  and benchmarks need; the daemon installs a handler that counts and logs
 *  them. */
class InvariantHandler
{
public:
  virtual ~InvariantHandler() = default;
  /** Called for each violation, on the thread that detected it. */
  virtual void Violated(InvariantId aId, const std::string& aDetail) = 0;
};

/** Thrown for a violation if no handler is installed. */
class InvariantViolation : public std::logic_error
{
public:
  InvariantViolation(InvariantId aId, const std::string& aDetail);
  InvariantId Id() const { return m_id; }

private:
  InvariantId m_id;
};

/** Installs aHandler for the whole process; nullptr restores the default. The
 *  handler must outlive its installation. Returns the previous handler.
 *  Thread-safe. */
InvariantHandler*
SetInvariantHandler(InvariantHandler* aHandler);

/** Reports a violation to the installed handler, or throws InvariantViolation
 *  if there is none. */
void
ReportViolation(InvariantId aId, const std::string& aDetail);

} // namespace goldcrestkeel

/** Checks an invariant; aDetail is evaluated only if it is violated. */
#define GK_INVARIANT(aCondition, aId, aDetail)                                 \
  do {                                                                         \
    if (!(aCondition)) [[unlikely]] {                                          \
      ::goldcrestkeel::ReportViolation((aId), (aDetail));                      \
    }                                                                          \
  } while (false)
