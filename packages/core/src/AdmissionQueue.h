#pragma once

#include <goldcrestkeel/core/QueryEngine.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace goldcrestkeel {

/** A search that has not started yet. */
struct QueuedSearch
{
  StartSearch m_request;
  TimePoint m_arrivedAt;
  TimePoint m_deadline;
};

/** Searches that wait to start. An entry is refused when it could not end
 *  before its deadline. Beyond the maximum length, the lowest caller class is
 *  refused first. */
class AdmissionQueue
{
public:
  explicit AdmissionQueue(std::size_t aLimit);

  /** Adds aSearch. If the queue is then too long, removes and returns the entry
   *  of the lowest class with the latest deadline. */
  std::optional<QueuedSearch> Push(QueuedSearch aSearch);

  /** Removes and returns the next entry to start: the earliest deadline of the
   *  highest class. */
  std::optional<QueuedSearch> Pop();

  /** Removes and returns the entries that would miss their deadline if they
   *  started now and ran for aRunTime. */
  std::vector<QueuedSearch> TakeExpired(TimePoint aNow, Duration aRunTime);

  /** Nothing if the queue is empty. */
  std::optional<TimePoint> EarliestDeadline() const;

  bool Remove(QueryId aQuery);
  std::size_t size() const;
  bool empty() const { return size() == 0; }

  /** Adds a sample to the average run time of a query. */
  void ObserveRunTime(Duration aRunTime);
  /** Time to allow for a query after its start: the average run time with a
   *  safety margin. */
  Duration ExpectedRunTime() const;

private:
  std::size_t m_limit;
  /** Entries of each CallerClass, the highest first, by deadline. */
  std::array<std::multimap<TimePoint, QueuedSearch>, 2> m_queues;
  /** Moving average in microseconds; 0 before the first sample. */
  double m_runTime = 0;
};

} // namespace goldcrestkeel
