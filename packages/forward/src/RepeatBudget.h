#pragma once

#include <goldcrestkeel/core/Time.h>

#include <cstdint>
#include <deque>

namespace goldcrestkeel {

/** Limits the repeats to one service to a share of its requests plus a fixed
 *  number in any window of time. Each host keeps to its own requests and to its
 *  part of the fixed number, so that the sum over all hosts stays within the
 *  limit of the service without messages between them. */
class RepeatBudget
{
public:
  RepeatBudget(double aRatio, double aSlack, Duration aWindow);

  void SetSlack(double aSlack) { m_slack = aSlack; }
  void AddRequest(TimePoint aNow);
  void AddRepeat(TimePoint aNow);

  /** Whether one more repeat fits while aReserve, in [0, 1], of the budget is
   *  kept for repeats that matter more. */
  bool Allows(TimePoint aNow, double aReserve);

private:
  struct Slice
  {
    TimePoint m_start;
    std::uint32_t m_requests = 0;
    std::uint32_t m_repeats = 0;
  };

  Slice& Current(TimePoint aNow);

  double m_ratio;
  double m_slack;
  Duration m_window;
  std::deque<Slice> m_slices;
  std::uint32_t m_requests = 0;
  std::uint32_t m_repeats = 0;
};

} // namespace goldcrestkeel
