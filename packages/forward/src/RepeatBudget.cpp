#include "RepeatBudget.h"

namespace goldcrestkeel {

namespace {

/** Parts of the window that are counted together. */
constexpr int kSlices = 20;
/** Part of the limit that is used: a slice is counted until its youngest entry
 *  has left the window, and copies arrive later than they are counted. */
constexpr double kUsedShare = 0.9;

} // namespace

RepeatBudget::RepeatBudget(double aRatio, double aSlack, Duration aWindow)
  : m_ratio(aRatio)
  , m_slack(aSlack)
  , m_window(aWindow)
{
}

void
RepeatBudget::AddRequest(TimePoint aNow)
{
  ++Current(aNow).m_requests;
  ++m_requests;
}

void
RepeatBudget::AddRepeat(TimePoint aNow)
{
  ++Current(aNow).m_repeats;
  ++m_repeats;
}

bool
RepeatBudget::Allows(TimePoint aNow, double aReserve)
{
  Current(aNow);
  const double limit =
    (m_ratio * m_requests + m_slack) * kUsedShare * (1 - aReserve);
  return m_repeats + 1 <= limit;
}

RepeatBudget::Slice&
RepeatBudget::Current(TimePoint aNow)
{
  const Duration slice = m_window / kSlices;
  while (!m_slices.empty() &&
         m_slices.front().m_start + m_window + slice <= aNow) {
    m_requests -= m_slices.front().m_requests;
    m_repeats -= m_slices.front().m_repeats;
    m_slices.pop_front();
  }
  if (m_slices.empty() || m_slices.back().m_start + slice <= aNow) {
    m_slices.push_back({ aNow });
  }
  return m_slices.back();
}

} // namespace goldcrestkeel
