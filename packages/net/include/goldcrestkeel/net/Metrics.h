#pragma once

#include <goldcrestkeel/control/CommandGuard.h>
#include <goldcrestkeel/core/Errors.h>
#include <goldcrestkeel/core/Invariant.h>
#include <goldcrestkeel/core/QueryEngine.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrestkeel {

/** Metrics of one daemon, exported in the Prometheus text format.
 *  Thread-safe. */
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /** Counts a finished request and its latency. aKind is "search", "command" or
   *  "statement"; aError is empty on success. */
  void CountRequest(std::string_view aKind,
                    std::optional<ErrorKind> aError,
                    Duration aTime);
  /** Records the coverage of one search answer, from 0 to 1. */
  void ObserveCoverage(double aFraction);
  void CountViolation(InvariantId aId);
  /** Counts a frame from another host that was dropped. */
  void CountDroppedFrame(std::string_view aReason);

  /** Sets the gauges of the query engine; aRunning is the number of running
   *  queries. */
  void SetEngineMetrics(const EngineCounters& aCounters, std::size_t aRunning);
  /** Sets the gauges of the command guard. */
  void SetCommandMetrics(const CommandGuardCounters& aCounters);
  /** Sets the gauge "goldcrestkeel_" + aName and registers it at first use. */
  void SetGauge(std::string_view aName, std::string_view aHelp, double aValue);

  /** All metrics in the Prometheus text format. */
  std::string Text() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/** Counts and logs invariant violations instead of throwing. */
class CountingInvariantHandler : public InvariantHandler
{
public:
  /** aMetrics must outlive the handler. */
  explicit CountingInvariantHandler(Metrics& aMetrics);
  void Violated(InvariantId aId, const std::string& aDetail) override;

private:
  Metrics& m_metrics;
};

} // namespace goldcrestkeel
