#pragma once

#include <goldcrestkeel/core/QueryEngine.h>

#include <array>
#include <cstdint>
#include <map>
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

  /** Adds aSearch. Returns the entry that has no place: the last one of the
   *  lowest class. */
  std::optional<QueuedSearch> Push(QueuedSearch aSearch);

  /** Next entry to start: the earliest deadline of the highest class. */
  std::optional<QueuedSearch> Pop();

  /** Removes the entries that would end after their deadline if they started
   *  now and ran for aRunTime. */
  std::vector<QueuedSearch> TakeExpired(TimePoint aNow, Duration aRunTime);

  /** Nothing if the queue is empty. */
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
  /** Entries of each CallerClass, the highest first, by deadline. */
  std::array<std::multimap<TimePoint, QueuedSearch>, 2> m_queues;
  double m_runTime = 0;
};

} // namespace goldcrestkeel
