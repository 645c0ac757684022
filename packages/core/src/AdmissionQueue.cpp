#include "AdmissionQueue.h"

#include <algorithm>
#include <iterator>

namespace goldcrestkeel {

namespace {

constexpr double kRunWeight = 0.05;
/** An entry is refused unless this multiple of the average run time is left.
 *  Runs under load vary by about that factor; a run that fails at its deadline
 *  has used up capacity for nothing. */
constexpr double kRunMargin = 2;

} // namespace

AdmissionQueue::AdmissionQueue(std::size_t aLimit)
  : m_limit(aLimit)
{
}

std::optional<QueuedSearch>
AdmissionQueue::Push(QueuedSearch aSearch)
{
  const auto position = static_cast<std::size_t>(aSearch.m_request.m_class);
  m_earliest = std::min(m_earliest, aSearch.m_deadline);
  m_queues.at(position).push_back(std::move(aSearch));
  if (size() <= m_limit) {
    return std::nullopt;
  }
  for (auto queue = m_queues.rbegin(); queue != m_queues.rend(); ++queue) {
    if (!queue->empty()) {
      QueuedSearch last = std::move(queue->back());
      queue->pop_back();
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
      QueuedSearch first = std::move(queue.front());
      queue.pop_front();
      return first;
    }
  }
  return std::nullopt;
}

std::vector<QueuedSearch>
AdmissionQueue::TakeExpired(TimePoint aNow, Duration aRunTime)
{
  std::vector<QueuedSearch> expired;
  if (empty() || aNow + aRunTime < m_earliest) {
    return expired;
  }
  m_earliest = TimePoint::max();
  for (auto& queue : m_queues) {
    const auto late = std::stable_partition(
      queue.begin(), queue.end(), [&](const QueuedSearch& aSearch) {
        return aNow + aRunTime < aSearch.m_deadline;
      });
    expired.insert(expired.end(),
                   std::make_move_iterator(late),
                   std::make_move_iterator(queue.end()));
    queue.erase(late, queue.end());
    for (const QueuedSearch& search : queue) {
      m_earliest = std::min(m_earliest, search.m_deadline);
    }
  }
  return expired;
}

std::optional<TimePoint>
AdmissionQueue::EarliestDeadline() const
{
  if (empty()) {
    return std::nullopt;
  }
  return m_earliest;
}

bool
AdmissionQueue::Remove(QueryId aQuery)
{
  return std::any_of(m_queues.begin(), m_queues.end(), [&](auto& aQueue) {
    return std::erase_if(aQueue, [&](const QueuedSearch& aSearch) {
             return aSearch.m_request.m_query == aQuery;
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
AdmissionQueue::ObserveRun(Duration aRunTime)
{
  const auto sample = static_cast<double>(aRunTime.count());
  m_runTime += (m_runTime == 0 ? 1 : kRunWeight) * (sample - m_runTime);
}

Duration
AdmissionQueue::ExpectedRun() const
{
  return Duration{ static_cast<Duration::rep>(kRunMargin * m_runTime) };
}

} // namespace goldcrestkeel
