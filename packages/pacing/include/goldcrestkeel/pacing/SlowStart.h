#pragma once

#include <goldcrestkeel/core/Random.h>
#include <goldcrestkeel/core/Time.h>

#include <cstdint>
#include <optional>

namespace goldcrestkeel {

/** Where a slow start begins and ends. */
struct SlowStartPlan
{
  /** Concurrent requests of this host at first. With less than one, the host
   *  sends single requests with gaps, so that many hosts together do not fill
   *  the queue of the replica. */
  double m_first = 1;
  /** Concurrent requests of this host at which the slow start is over. */
  double m_last = 1;
  /** Usual time of an answer; 0 if it is not known yet. */
  Duration m_usualLatency{ 0 };
};

/** Limit of the concurrent requests that this host gives a replica after its
 *  start, its recovery or its warm-up. It grows with each answer in the usual
 *  time and shrinks with each that is late, refused or failed, until the
 * replica gets its usual share or the time for a slow start is over. */
class SlowStart
{
public:
  /** Begins at aNow. The first request may be sent at a random time within the
   *  first gap, so that the hosts are not in step. A slow start that had no
   *  answer in the usual time begins lower and with longer gaps each time. */
  void Begin(TimePoint aNow, const SlowStartPlan& aPlan, RandomSource& aRandom);
  /** Begins another one at aAt, in place of one that is still on then. */
  void BeginAt(TimePoint aAt,
               const SlowStartPlan& aPlan,
               RandomSource& aRandom);

  bool IsOn(TimePoint aNow) const;
  /** Concurrent requests of this host; only while it is on. */
  double Limit(TimePoint aNow) const { return CurrentAt(aNow)->m_limit; }
  /** Whether a replica with aInFlight requests of this host may get another. */
  bool Allows(TimePoint aNow, std::uint32_t aInFlight) const;

  void OnSent(TimePoint aNow);
  /** The replica has answered after aLatency. */
  void OnAnswered(TimePoint aNow, Duration aLatency);
  /** The replica refused a request or failed to answer it. */
  void OnFailed(TimePoint aNow);

private:
  struct Phase
  {
    TimePoint m_beginsAt;
    SlowStartPlan m_plan;
    double m_limit = 1;
    /** Earliest time of the next request while the limit is below one. */
    TimePoint m_nextAt;
    TimePoint m_sentAt;
    /** When the limit was last reduced. */
    TimePoint m_reducedAt;
    /** Number of slow starts in a row without an answer in the usual time. */
    std::uint32_t m_fruitless = 0;
    bool m_hasGoodAnswer = false;
  };

  static Duration GapOf(const Phase& aPhase);
  static Phase MakePhase(TimePoint aAt,
                         const SlowStartPlan& aPlan,
                         std::uint32_t aFruitless,
                         RandomSource& aRandom);
  /** The phase in force; nullptr if none is on. */
  const Phase* CurrentAt(TimePoint aNow) const;
  Phase* Current(TimePoint aNow);

  std::optional<Phase> m_phase;
  std::optional<Phase> m_next;
};

} // namespace goldcrestkeel
