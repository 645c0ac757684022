#include "ShutdownSchedule.h"

#include <algorithm>

namespace goldcrestkeel {

namespace {

/** How long requests are taken after a shutdown has started. The load balancer
 *  checks readiness once a second and removes a host after two failures. */
constexpr Duration kTakeTime{ 2800000 };
/** The process ends this long before the platform kills it, to allow for delays
 *  on a slow host. */
constexpr Duration kEndMargin{ 500000 };
/** Time for the last answers to leave. */
constexpr Duration kFlushTime{ 250000 };
/** Upper limit of each of these two times, as a part of the grace time. */
constexpr int kGraceParts = 8;

} // namespace

bool
ShutdownSchedule::TakesRequests(TimePoint aNow) const
{
  return !m_startedAt || aNow < *m_startedAt + std::min(kTakeTime, m_grace / 2);
}

TimePoint
ShutdownSchedule::AnswerAllAt() const
{
  return EndAt() - std::min(kFlushTime, m_grace / kGraceParts);
}

TimePoint
ShutdownSchedule::EndAt() const
{
  return m_startedAt.value() + m_grace -
         std::min(kEndMargin, m_grace / kGraceParts);
}

} // namespace goldcrestkeel
