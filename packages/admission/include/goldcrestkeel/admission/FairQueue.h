#pragma once

#include <goldcrestkeel/core/Time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace goldcrestkeel {

/** One in this many dispatches goes to a lower priority while one waits. One in
 *  eight keeps a priority with half of the demand above a quarter of the
 * overall served share at 2.5 times the capacity. */
inline constexpr std::uint32_t kLowerPriorityInterval = 8;

/** A request, or one shard of it, that waits for a backend server. */
struct WaitingRequest
{
  std::uint64_t m_request = 0;
  /** Index of the sub-request in the request. */
  std::uint32_t m_part = 0;
  /** 0 is the highest. */
  std::uint32_t m_priority = 0;
  TimePoint m_deadline;
  TimePoint m_since;
  /** Empty for requests without a tenant; these are one flow. */
  std::string m_tenant;
};

/** Orders the requests that wait for a backend server: by priority; within a
 *  priority by the recent service of each tenant relative to its usual demand;
 *  within a tenant by deadline, then by arrival. Not thread-safe. */
class FairQueue
{
public:
  /** Whether tenants share the servers, and lower priorities get some
   *  dispatches. Otherwise the order is priority, deadline, arrival,
   *  and nothing is counted. */
  void SetSharing(bool aSharing) { m_sharing = aSharing; }

  /** Counts a request of a tenant, queued or not. aRateLimit is the most that
   *  counts as its usual demand, in requests a second; 0 for no limit. */
  void CountDemand(TimePoint aNow,
                   const std::string& aTenant,
                   double aRateLimit);
  /** Counts a request of a tenant that was dispatched, queued or not. */
  void CountServed(TimePoint aNow, const std::string& aTenant);
  /** A request that was counted as served has not run. */
  void CountNotRun(TimePoint aNow, const std::string& aTenant);

  void Add(const WaitingRequest& aRequest);
  /** Returns whether the request was queued. */
  bool Remove(std::uint64_t aRequest, std::uint32_t aPart);
  bool Contains(std::uint64_t aRequest, std::uint32_t aPart) const
  {
    return m_places.contains({ aRequest, aPart });
  }

  /** Begins a pass over the queue, with no request skipped. */
  void BeginPass() { ++m_pass; }
  /** Returns the request to dispatch next, or nullptr if all are skipped. Valid
   *  until the next call of a non-const method. */
  const WaitingRequest* Next(TimePoint aNow);
  /** Leaves out aRequest, which Next() returned, for the rest of the pass. */
  void Skip(const WaitingRequest& aRequest);
  /** Removes aRequest, which Next() returned, and counts it as served. */
  void Serve(TimePoint aNow, const WaitingRequest& aRequest);

  /** Estimates how many requests are dispatched before aRequest, queued or not,
   *  if no other arrives. Rather too low than too high. */
  double Ahead(TimePoint aNow, const WaitingRequest& aRequest) const;
  /** Requests of aPriority and of higher ones. */
  std::size_t AtLeast(std::uint32_t aPriority) const;

  std::size_t size() const { return m_places.size(); }
  bool empty() const { return m_places.empty(); }

private:
  /** Deadline and number of the arrival. */
  using Place = std::pair<TimePoint, std::uint64_t>;

  struct Flow
  {
    std::map<Place, WaitingRequest> m_waiting;
    /** Last place that was skipped in the pass m_pass. */
    Place m_skipped;
    std::uint64_t m_pass = 0;

    std::map<Place, WaitingRequest>::const_iterator First(
      std::uint64_t aPass) const;
  };

  struct Level
  {
    /** By tenant. */
    std::map<std::string, Flow> m_flows;
    std::size_t m_size = 0;
  };

  /** Service and demand of a tenant. Kept while it has no request here, so that
   *  a tenant gains nothing by leaving early. */
  struct Usage
  {
    /** Decayed number of requests that were served. */
    double m_served = 0;
    TimePoint m_servedAt;
    /** Counts of the time slice that began at m_sliceAt. */
    TimePoint m_sliceAt;
    std::uint32_t m_sliceDemand = 0;
    std::uint32_t m_sliceServed = 0;
    /** Demand of the latest slices that have ended, and the number of all. */
    std::array<std::uint32_t, 9> m_slices{};
    std::uint64_t m_sliceCount = 0;
    double m_rateLimit = 0;
  };

  /** The tenant with the lowest ratio is served next. */
  struct Standing
  {
    /** Recent service, in requests. */
    double m_served = 0;
    /** Usual demand, in requests a second. */
    double m_demand = 1;

    double Ratio() const { return m_served / m_demand; }
  };

  struct Location
  {
    std::uint32_t m_priority = 0;
    std::string m_tenant;
    Place m_place;
  };

  const WaitingRequest* NextOf(TimePoint aNow, const Level& aLevel) const;
  /** Lower priority that was served longest ago, with a request to dispatch, if
   *  its turn has come. */
  const WaitingRequest* NextOfLower(TimePoint aNow,
                                    std::uint32_t aHighest) const;
  Usage& UsageOf(TimePoint aNow, const std::string& aTenant);
  /** Usual demand, in requests a second. */
  static double DemandOf(const Usage& aUsage);
  Standing StandingOf(TimePoint aNow, const std::string& aTenant) const;
  void EraseIdleUsage(TimePoint aNow);

  bool m_sharing = false;
  /** By priority. */
  std::map<std::uint32_t, Level> m_levels;
  std::map<std::pair<std::uint64_t, std::uint32_t>, Location> m_places;
  std::unordered_map<std::string, Usage> m_usage;
  std::uint64_t m_arrivals = 0;
  std::uint64_t m_pass = 1;
  /** Dispatches since the last one to a lower priority. */
  std::uint32_t m_sinceLower = 0;
  /** Number of the last dispatch of each priority. */
  std::map<std::uint32_t, std::uint64_t> m_lastServed;
  std::uint64_t m_dispatches = 0;
  TimePoint m_usageErasedAt;
};

} // namespace goldcrestkeel
