#pragma once

#include "Answer.h"

#include <goldcrestkeel/core/Time.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace goldcrestkeel::gkctl {

/** Collects the outcomes of a load run. */
class LoadReport
{
public:
  /** aLatency counts from the scheduled time of the request, so that a slow
   *  answer also counts against the requests that it delays; aLag is the time
   *  from the schedule to the first send. */
  void Add(const Answer& aAnswer, Duration aLatency, Duration aSendLag);

  std::uint64_t Total() const { return m_total; }
  std::uint64_t Succeeded() const { return m_latencies.size(); }
  /** Requests to which a host answered anything. */
  std::uint64_t Answered() const { return m_answered; }

  /** Figures of a run of aElapsed at the scheduled rate aRate. */
  nlohmann::json ToJson(Duration aElapsed, double aRate) const;
  /** The same figures in readable lines. */
  std::string ToText(Duration aElapsed, double aRate) const;

private:
  /** Latency in milliseconds that the share aShare of the answers kept. */
  double PercentileMs(double aQuantile) const;

  std::uint64_t m_total = 0;
  std::uint64_t m_answered = 0;
  /** Of the successful requests, in the order of their ends. */
  std::vector<Duration> m_latencies;
  Duration m_maxSendLag{ 0 };
  /** "ok" or the name of the error. */
  std::map<std::string, std::uint64_t> m_outcomes;
  std::map<std::string, std::uint64_t> m_ran;
  std::uint64_t m_coverageCount = 0;
  double m_coverageSum = 0;
  double m_minCoverage = 1;
};

} // namespace goldcrestkeel::gkctl
