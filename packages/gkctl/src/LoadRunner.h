#pragma once

#include "LoadReport.h"
#include "Transport.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace goldcrestkeel::gkctl {

/** Load to send. */
struct LoadPlan
{
  /** Targets; requests go to them in turn. */
  std::vector<std::string> m_hosts;
  /** Requests per second. */
  double m_rate = 1;
  std::uint64_t m_count = 0;
  /** Requests in flight at once; further ones wait, and their wait counts. */
  std::size_t m_maxInFlight = 1000;
  /** Hosts through which one request is sent until it has a final answer. */
  std::size_t m_attempts = 1;
  /** Request number aIndex; its host is set by the runner. */
  std::function<Request(std::uint64_t aIndex)> m_makeRequest;
};

struct LoadProgress
{
  Duration m_elapsed{ 0 };
  std::uint64_t m_sent = 0;
  std::uint64_t m_inFlight = 0;
};

/** Time after the start at which request number aIndex is due. */
Duration
ScheduledTime(std::uint64_t aIndex, double aRate);

/** Sends the load with libcurl's multi interface and waits for all answers.
 *  aProgress is called about once a second. Returns the elapsed time. Throws
 *  std::runtime_error if libcurl fails. */
Duration
RunLoad(const LoadPlan& aPlan,
        LoadReport& aReport,
        const std::function<void(const LoadProgress&)>& aProgress);

} // namespace goldcrestkeel::gkctl
