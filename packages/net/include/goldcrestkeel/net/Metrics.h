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

/** Metrics of one daemon in the Prometheus text format. Thread-safe. */
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /** One finished request; aKind is "search", "command" or "statement". */
  void CountRequest(std::string_view aKind,
                    std::optional<ErrorKind> aError,
                    Duration aTime);
  void ObserveCoverage(double aFraction);
  void CountViolation(InvariantId aId);
  /** A frame of another host that was dropped. */
  void CountDroppedFrame(std::string_view aReason);

  void SetEngineMetrics(const EngineCounters& aCounters, std::size_t aRunning);
  void SetCommandMetrics(const CommandGuardCounters& aCounters);
  void SetGauge(std::string_view aName, std::string_view aHelp, double aValue);

  std::string Text() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/** Counts and logs violations instead of throwing. */
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
