#pragma once

#include "Answer.h"

#include <goldcrestkeel/core/Time.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace goldcrestkeel::gkctl {

/** Collects the outcomes and latencies of a load run. */
class LoadReport
{
public:
  /** Adds the outcome of one request. aLatency starts at the scheduled time of
   *  the request, so that a slow answer also counts against the requests that
   *  it delays. aSendLag is the time from the scheduled time to the first
   *  send. */
  void Add(const Answer& aAnswer, Duration aLatency, Duration aSendLag);

  std::uint64_t Total() const { return m_total; }
  std::uint64_t Succeeded() const { return m_latencies.size(); }
  /** Requests that a host answered, with success or an error. */
  std::uint64_t Answered() const { return m_answered; }

  /** Returns the figures of a run that took aElapsed. aRate is the scheduled
   *  rate in requests per second. */
  nlohmann::json ToJson(Duration aElapsed, double aRate) const;
  /** Returns the same figures as readable lines. */
  std::string ToText(Duration aElapsed, double aRate) const;

private:
  /** Returns the latency in milliseconds that the fraction aQuantile of the
   *  successful requests did not exceed; 0 if there are none. */
  double PercentileMs(double aQuantile) const;

  std::uint64_t m_total = 0;
  std::uint64_t m_answered = 0;
  /** Latencies of the successful requests, in the order of completion. */
  std::vector<Duration> m_latencies;
  Duration m_maxSendLag{ 0 };
  /** Number of requests by outcome: "ok", the name of the error, or the HTTP
   *  status of an unnamed error. */
  std::map<std::string, std::uint64_t> m_outcomes;
  std::map<std::string, std::uint64_t> m_ran;
  std::uint64_t m_coverageCount = 0;
  double m_coverageSum = 0;
  double m_minCoverage = 1;
};

} // namespace goldcrestkeel::gkctl
