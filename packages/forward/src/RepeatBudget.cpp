#include "RepeatBudget.h"

namespace goldcrestkeel {

namespace {

/** Number of slices that the window is divided into. */
constexpr int kSlices = 20;
/** Fraction of the limit that is used: a slice counts until its latest entry
 *  has left the window, and copies reach replicas after they are counted. */
constexpr double kUsableRatio = 0.9;

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
  ++CurrentSlice(aNow).m_requests;
  ++m_requests;
}

void
RepeatBudget::AddRepeat(TimePoint aNow)
{
  ++CurrentSlice(aNow).m_repeats;
  ++m_repeats;
}

bool
RepeatBudget::Allows(TimePoint aNow, double aReserve)
{
  CurrentSlice(aNow);
  const double limit =
    (m_ratio * m_requests + m_slack) * kUsableRatio * (1 - aReserve);
  return m_repeats + 1 <= limit;
}

RepeatBudget::Slice&
RepeatBudget::CurrentSlice(TimePoint aNow)
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
