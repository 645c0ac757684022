#pragma once

#include <goldcrestkeel/core/Time.h>

#include <optional>

namespace goldcrestkeel {

/** Divides the grace time of a planned stop. */
class ShutdownSchedule
{
public:
  /** aGrace: time from the shutdown request until the process is killed. */
  explicit ShutdownSchedule(Duration aGrace)
    : m_grace(aGrace)
  {
  }

  /** The shutdown was requested. */
  void Start(TimePoint aNow) { m_startedAt = aNow; }
  bool IsStarted() const { return m_startedAt.has_value(); }

  /** Whether new connections, and requests that are complete by now, are taken.
   *  Later requests might not be finished before the process ends. */
  bool TakesRequests(TimePoint aNow) const;
  /** When the requests in progress get their answer, whatever it is; only after
   *  Start(). */
  TimePoint AnswerAllAt() const;
  /** When the process ends; only after Start(). */
  TimePoint EndAt() const;

private:
  Duration m_grace;
  std::optional<TimePoint> m_startedAt;
};

} // namespace goldcrestkeel
