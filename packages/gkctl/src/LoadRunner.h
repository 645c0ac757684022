#pragma once

#include "LoadReport.h"
#include "Transport.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace goldcrestkeel::gkctl {

/** Parameters of a load run. */
struct LoadPlan
{
  /** Entry hosts, to which the requests go in turn (round robin). */
  std::vector<std::string> m_hosts;
  /** Requests per second. */
  double m_rate = 1;
  std::uint64_t m_count = 0;
  /** Maximum number of requests in flight. Further ones wait, and their latency
   *  includes the wait. */
  std::size_t m_maxInFlight = 1000;
  /** Maximum number of hosts tried for one request. */
  std::size_t m_attempts = 1;
  /** Returns request number aIndex, counted from 0; the runner sets its
   *  host. */
  std::function<Request(std::uint64_t aIndex)> m_makeRequest;
};

struct LoadProgress
{
  Duration m_elapsed{ 0 };
  std::uint64_t m_sent = 0;
  std::uint64_t m_inFlight = 0;
};

/** Returns the scheduled send time of request number aIndex, relative to the
 *  start of the run. aRate is in requests per second. */
Duration
ScheduledTime(std::uint64_t aIndex, double aRate);

/** Sends the load with libcurl's multi interface, blocks until every request
 *  has a final answer and returns the elapsed time. Adds the outcomes to
 *  aReport. Calls aProgress about once a second. Throws std::runtime_error if
 *  libcurl fails. */
Duration
RunLoad(const LoadPlan& aPlan,
        LoadReport& aReport,
        const std::function<void(const LoadProgress&)>& aProgress);

} // namespace goldcrestkeel::gkctl
