#include <goldcrestkeel/net/Log.h>
#include <goldcrestkeel/net/Metrics.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace goldcrestkeel {

namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

constexpr double kMicrosecondsPerSecond = 1e6;

// Seconds.
const Histogram::BucketBoundaries kLatencyBounds{ 0.005, 0.01, 0.02, 0.04, 0.06,
                                                  0.08,  0.11, 0.15, 0.25, 0.5,
                                                  1,     2.5,  5,    10 };
// Coverage from 0 to 1.
const Histogram::BucketBoundaries kCoverageBounds{ 0.5,  0.8,   0.9,   0.95,
                                                   0.99, 0.999, 0.9999 };

Family<Counter>&
MakeCounter(prometheus::Registry& aRegistry,
            const char* aName,
            const char* aHelp)
{
  return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(aRegistry);
}

Family<Histogram>&
MakeHistogram(prometheus::Registry& aRegistry,
              const char* aName,
              const char* aHelp)
{
  return prometheus::BuildHistogram().Name(aName).Help(aHelp).Register(
    aRegistry);
}

} // namespace

class Metrics::Impl
{
public:
  void SetGauge(std::string_view aName, std::string_view aHelp, double aValue)
  {
    prometheus::BuildGauge()
      .Name("goldcrestkeel_" + std::string(aName))
      .Help(std::string(aHelp))
      .Register(m_registry)
      .Add({})
      .Set(aValue);
  }

  prometheus::Registry m_registry;
  Family<Counter>& m_requests = MakeCounter(m_registry,
                                            "goldcrestkeel_requests_total",
                                            "Finished requests");
  Family<Histogram>& m_latency =
    MakeHistogram(m_registry,
                  "goldcrestkeel_request_seconds",
                  "Time from the arrival of a request to its answer");
  Family<Histogram>& m_coverage = MakeHistogram(m_registry,
                                                "goldcrestkeel_coverage",
                                                "Coverage of search answers");
  Family<Counter>& m_violations =
    MakeCounter(m_registry,
                "goldcrestkeel_invariant_violations_total",
                "Violations of an asserted invariant");
  Family<Counter>& m_droppedFrames =
    MakeCounter(m_registry,
                "goldcrestkeel_peer_frames_dropped_total",
                "Frames of other hosts that were dropped");
};

Metrics::Metrics()
  : m_impl(std::make_unique<Impl>())
{
  // Exports every invariant with 0 before its first violation.
  for (std::size_t i = 0; i < kInvariantCount; ++i) {
    const auto id = static_cast<InvariantId>(i);
    m_impl->m_violations.Add({ { "invariant", std::string(NameOf(id)) } });
  }
}

Metrics::~Metrics() = default;

void
Metrics::CountRequest(std::string_view aKind,
                      std::optional<ErrorKind> aError,
                      Duration aTime)
{
  const std::string outcome =
    aError ? std::string(InfoOf(*aError).m_name) : "ok";
  m_impl->m_requests
    .Add({ { "kind", std::string(aKind) }, { "outcome", outcome } })
    .Increment();
  m_impl->m_latency.Add({ { "kind", std::string(aKind) } }, kLatencyBounds)
    .Observe(static_cast<double>(aTime.count()) / kMicrosecondsPerSecond);
}

void
Metrics::ObserveCoverage(double aFraction)
{
  m_impl->m_coverage.Add({}, kCoverageBounds).Observe(aFraction);
}

void
Metrics::CountViolation(InvariantId aId)
{
  m_impl->m_violations.Add({ { "invariant", std::string(NameOf(aId)) } })
    .Increment();
}

void
Metrics::CountDroppedFrame(std::string_view aReason)
{
  m_impl->m_droppedFrames.Add({ { "reason", std::string(aReason) } })
    .Increment();
}

void
Metrics::SetEngineMetrics(const EngineCounters& aCounters, std::size_t aRunning)
{
  const auto set =
    [&](const char* aName, const char* aHelp, std::uint64_t aValue) {
      m_impl->SetGauge(aName, aHelp, static_cast<double>(aValue));
    };
  set("queries", "Queries since the start", aCounters.m_queries);
  set("queries_running", "Queries that run now", aRunning);
  set(
    "queries_refused", "Queries refused since the start", aCounters.m_refused);
  set("subrequests", "Sub-requests since the start", aCounters.m_subRequests);
  set("hedges", "Hedges since the start", aCounters.m_hedges);
  set("retries", "Retries since the start", aCounters.m_retries);
  set("discarded_replies",
      "Replies discarded since the start",
      aCounters.m_discardedReplies);
  set("restarts", "Queries restarted since the start", aCounters.m_restarts);
  set("ejections", "Replicas ejected since the start", aCounters.m_ejections);
  set("quarantined",
      "Statements quarantined since the start",
      aCounters.m_quarantined);
}

void
Metrics::SetCommandMetrics(const CommandGuardCounters& aCounters)
{
  const auto set =
    [&](const char* aName, const char* aHelp, std::uint64_t aValue) {
      m_impl->SetGauge(aName, aHelp, static_cast<double>(aValue));
    };
  set("commands", "Commands since the start", aCounters.m_commands);
  set("command_duplicates",
      "Commands with a known key since the start",
      aCounters.m_duplicates);
  set("command_attempts",
      "Commands sent to backend servers since the start",
      aCounters.m_attempts);
  set("commands_unknown",
      "Commands answered with an unknown outcome since the start",
      aCounters.m_answeredUnknown);
  set("command_ranges_owned", "Ranges owned now", aCounters.m_ownedRanges);
  set("command_leases_lost",
      "Leases lost since the start",
      aCounters.m_leasesLost);
  set("commands_remembered", "Keys remembered now", aCounters.m_trackedKeys);
}

void
Metrics::SetGauge(std::string_view aName, std::string_view aHelp, double aValue)
{
  m_impl->SetGauge(aName, aHelp, aValue);
}

std::string
Metrics::Text() const
{
  return prometheus::TextSerializer().Serialize(m_impl->m_registry.Collect());
}

CountingInvariantHandler::CountingInvariantHandler(Metrics& aMetrics)
  : m_metrics(aMetrics)
{
}

void
CountingInvariantHandler::Violated(InvariantId aId, const std::string& aDetail)
{
  m_metrics.CountViolation(aId);
  Log(Severity::Error,
      "invariant violated",
      { { "invariant", NameOf(aId) }, { "detail", aDetail } });
}

} // namespace goldcrestkeel
