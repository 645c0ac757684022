#pragma once

#include <goldcrestkeel/core/Time.h>

#include <cstdint>
#include <deque>

namespace goldcrestkeel {

/** Limits the repeats (hedges and retries) of a service to a ratio of its
 *  requests plus a fixed slack in any time window. Each host counts its own
 *  requests and has an equal fraction of the slack, so that the sum over all
 *  hosts stays within the limit of the service without coordination. */
class RepeatBudget
{
public:
  RepeatBudget(double aRatio, double aSlack, Duration aWindow);

  void SetSlack(double aSlack) { m_slack = aSlack; }
  void AddRequest(TimePoint aNow);
  void AddRepeat(TimePoint aNow);

  /** Whether one more repeat is within the budget while the fraction aReserve,
   *  in [0, 1], of it is reserved for repeats of higher priority. */
  bool Allows(TimePoint aNow, double aReserve);

private:
  /** Counts of one sub-interval of the window. */
  struct Slice
  {
    TimePoint m_start;
    std::uint32_t m_requests = 0;
    std::uint32_t m_repeats = 0;
  };

  /** Drops slices that have left the window and returns the latest one. */
  Slice& CurrentSlice(TimePoint aNow);

  double m_ratio;
  double m_slack;
  Duration m_window;
  std::deque<Slice> m_slices;
  std::uint32_t m_requests = 0;
  std::uint32_t m_repeats = 0;
};

} // namespace goldcrestkeel
