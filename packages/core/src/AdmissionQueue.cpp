#include "AdmissionQueue.h"

#include <algorithm>
#include <iterator>

namespace goldcrestkeel {

namespace {

/** Weight of a new sample in the moving average of the run time. */
constexpr double kRunTimeWeight = 0.05;
/** An entry is refused unless this multiple of the average run time is left
 *  before its deadline. Run times under load vary by about this factor, and a
 *  search that misses its deadline wastes capacity. */
constexpr double kRunTimeMargin = 2;

} // namespace

AdmissionQueue::AdmissionQueue(std::size_t aLimit)
  : m_limit(aLimit)
{
}

std::optional<QueuedSearch>
AdmissionQueue::Push(QueuedSearch aSearch)
{
  const auto position = static_cast<std::size_t>(aSearch.m_request.m_class);
  const TimePoint deadline = aSearch.m_deadline;
  m_queues.at(position).emplace(deadline, std::move(aSearch));
  if (size() <= m_limit) {
    return std::nullopt;
  }
  for (auto queue = m_queues.rbegin(); queue != m_queues.rend(); ++queue) {
    if (!queue->empty()) {
      const auto end = std::prev(queue->end());
      QueuedSearch last = std::move(end->second);
      queue->erase(end);
      return last;
    }
  }
  return std::nullopt;
}

std::optional<QueuedSearch>
AdmissionQueue::Pop()
{
  for (auto& queue : m_queues) {
    if (!queue.empty()) {
      QueuedSearch first = std::move(queue.begin()->second);
      queue.erase(queue.begin());
      return first;
    }
  }
  return std::nullopt;
}

std::vector<QueuedSearch>
AdmissionQueue::TakeExpired(TimePoint aNow, Duration aRunTime)
{
  std::vector<QueuedSearch> expired;
  for (auto& queue : m_queues) {
    while (!queue.empty() && queue.begin()->first <= aNow + aRunTime) {
      expired.push_back(std::move(queue.begin()->second));
      queue.erase(queue.begin());
    }
  }
  return expired;
}

std::optional<TimePoint>
AdmissionQueue::EarliestDeadline() const
{
  std::optional<TimePoint> earliest;
  for (const auto& queue : m_queues) {
    if (!queue.empty() && (!earliest || queue.begin()->first < *earliest)) {
      earliest = queue.begin()->first;
    }
  }
  return earliest;
}

bool
AdmissionQueue::Remove(QueryId aQuery)
{
  return std::any_of(m_queues.begin(), m_queues.end(), [&](auto& aQueue) {
    return std::erase_if(aQueue, [&](const auto& aItem) {
             return aItem.second.m_request.m_query == aQuery;
           }) > 0;
  });
}

std::size_t
AdmissionQueue::size() const
{
  std::size_t total = 0;
  for (const auto& queue : m_queues) {
    total += queue.size();
  }
  return total;
}

void
AdmissionQueue::ObserveRunTime(Duration aRunTime)
{
  const auto sample = static_cast<double>(aRunTime.count());
  m_runTime += (m_runTime == 0 ? 1 : kRunTimeWeight) * (sample - m_runTime);
}

Duration
AdmissionQueue::ExpectedRunTime() const
{
  return Duration{ static_cast<Duration::rep>(kRunTimeMargin * m_runTime) };
}

} // namespace goldcrestkeel
