#pragma once

#include <goldcrestkeel/core/QueryEngine.h>

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace goldcrestkeel {

/** A search that has not started. */
struct QueuedSearch
{
  StartSearch m_request;
  TimePoint m_arrivedAt;
  TimePoint m_deadline;
};

/** Searches that wait to start. The queue is bounded by the deadline of each
 *  entry and by a number; the lowest caller class is refused first. */
class AdmissionQueue
{
public:
  explicit AdmissionQueue(std::size_t aLimit);

  /** Adds aSearch. Returns the entry that has no place: the newest one of the
   *  lowest class. */
  std::optional<QueuedSearch> Push(QueuedSearch aSearch);

  /** Next entry to start, of the highest class. */
  std::optional<QueuedSearch> Pop();

  /** Removes the entries that would end after their deadline if they started
   *  now and ran for aRunTime. */
  std::vector<QueuedSearch> TakeExpired(TimePoint aNow, Duration aRunTime);

  /** No entry has an earlier deadline; nothing if the queue is empty. */
  std::optional<TimePoint> EarliestDeadline() const;

  bool Remove(QueryId aQuery);
  std::size_t size() const;
  bool empty() const { return size() == 0; }

  /** Learns how long a query runs. */
  void ObserveRun(Duration aRunTime);
  /** Time that a query needs after its start. */
  Duration ExpectedRun() const;

private:
  std::size_t m_limit;
  /** One queue for each CallerClass, the highest first. */
  std::array<std::deque<QueuedSearch>, 2> m_queues;
  /** Lower bound of all deadlines; exact after TakeExpired(). */
  TimePoint m_earliest = TimePoint::max();
  double m_runTime = 0;
};

} // namespace goldcrestkeel
