#pragma once

#include <goldcrestkeel/core/Random.h>
#include <goldcrestkeel/core/Time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace goldcrestkeel {

/** Why a request is rejected before its deadline. */
enum class RejectReason
{
  /** Its turn in the queue comes too late. */
  QueueTooLong,
  /** Less time is left than a backend server takes. */
  TooLittleTime,
  /** It would be answered after its latency target, and make others late. */
  QueuePastTarget,
};

inline constexpr std::size_t kRejectReasons = 3;

std::string_view
NameOf(RejectReason aReason);

/** What the backend servers of a service can do for this host. */
struct ServiceCapacity
{
  /** Requests a second of all usable servers together, by their slots and usual
   *  time; 0 if that is not known. */
  double m_perSecond = 0;
  /** Hosts that share the servers. */
  std::uint32_t m_hosts = 1;
  /** Least time that a server takes for a request that is sent now, including
   *  the wait that it reports; not set if none has answered recently. */
  std::optional<Duration> m_completion;
};

/** When a request could be answered, counted from now. */
struct AnswerEstimate
{
  /** At least, if this host can have an equal share of the servers. */
  Duration m_wait{ 0 };
  /** At the rate of the last seconds. */
  Duration m_likelyWait{ 0 };
  Duration m_completion{ 0 };
};

/** Tells which requests cannot be answered by their deadlines. Its estimates
 * are optimistic, since a request that is rejected although it could have been
 *  served costs more than one that is rejected late. One for each service. */
class LoadShedder
{
public:
  /** A server has run a request of this host. */
  void OnServed(TimePoint aNow);
  /** Requests began or ceased to wait. */
  void OnQueueChanged(TimePoint aNow, bool aWaiting);

  /** Estimates the answer of a request with aAhead others before it. Nothing
   *  without evidence: requests have waited for kMinBacklogTime, enough were
   *  served, and servers have answered recently. */
  std::optional<AnswerEstimate> Estimate(
    TimePoint aNow,
    double aAhead,
    const ServiceCapacity& aCapacity) const;

  /** Why a request with aLeft until its deadline cannot be answered; nothing if
   *  it may be. */
  static std::optional<RejectReason> Judge(
    const std::optional<AnswerEstimate>& aEstimate,
    Duration aLeft);

  /** The same for a request that others wait behind: it is also rejected if it
   *  cannot meet its latency target aTarget, of which aTargetLeft is left, as
   *  serving it late would make the others late, too. */
  static std::optional<RejectReason> JudgeByTarget(
    const std::optional<AnswerEstimate>& aEstimate,
    Duration aTarget,
    Duration aTargetLeft,
    Duration aLeft);

  /** When a rejected caller may return: when room is expected, and over the
   * time in which the queue is served, so that callers do not return together.
   *  aLeft is the time that the request had left. */
  static Duration RetryAfter(const AnswerEstimate& aEstimate,
                             Duration aLeft,
                             RandomSource& aRandom);

private:
  /** Decayed number of requests that were served. */
  double ServedAt(TimePoint aNow) const;

  double m_served = 0;
  TimePoint m_servedAt;
  std::optional<TimePoint> m_waitingSince;
  /** When the queue became empty; not set while requests wait. */
  std::optional<TimePoint> m_emptyAt;
};

} // namespace goldcrestkeel
