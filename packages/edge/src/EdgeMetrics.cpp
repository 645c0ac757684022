#include "EdgeMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace goldcrestkeel {

namespace {

/** Bucket bounds in seconds, dense around the target latencies of the users'
 *  requests, 0.12 to 0.6 s. */
const prometheus::Histogram::BucketBoundaries kLatencyBounds{
  0.01, 0.02, 0.04, 0.08, 0.12, 0.15, 0.2, 0.25, 0.4, 0.6, 1, 2, 4, 8
};

} // namespace

class EdgeMetrics::Impl
{
public:
  void Set(const std::string& aName, const std::string& aHelp, double aValue)
  {
    prometheus::BuildGauge()
      .Name("goldcrestkeel_edge_" + aName)
      .Help(aHelp)
      .Register(m_registry)
      .Add({})
      .Set(aValue);
  }

  prometheus::Registry m_registry;
  prometheus::Family<prometheus::Counter>& m_answers =
    prometheus::BuildCounter()
      .Name("goldcrestkeel_edge_answers_total")
      .Help("Answers to callers by outcome")
      .Register(m_registry);
  prometheus::Counter& m_unauthorized =
    prometheus::BuildCounter()
      .Name("goldcrestkeel_edge_unauthorized_total")
      .Help("Requests refused for want of a valid key")
      .Register(m_registry)
      .Add({});
  prometheus::Family<prometheus::Counter>& m_refusals =
    prometheus::BuildCounter()
      .Name("goldcrestkeel_edge_connections_refused_total")
      .Help("Requests refused while they were read, and connections closed")
      .Register(m_registry);
  prometheus::Family<prometheus::Histogram>& m_latency =
    prometheus::BuildHistogram()
      .Name("goldcrestkeel_edge_answer_seconds")
      .Help("Time from the arrival of a request to its answer")
      .Register(m_registry);
};

EdgeMetrics::EdgeMetrics()
  : m_impl(std::make_unique<Impl>())
{
}

EdgeMetrics::~EdgeMetrics() = default;

void
EdgeMetrics::CountAnswer(std::string_view aOutcome, Duration aTime)
{
  const std::map<std::string, std::string> labels{ { "outcome",
                                                     std::string(aOutcome) } };
  m_impl->m_answers.Add(labels).Increment();
  m_impl->m_latency.Add(labels, kLatencyBounds)
    .Observe(static_cast<double>(aTime.count()) / 1e6);
}

void
EdgeMetrics::CountUnauthorized()
{
  m_impl->m_unauthorized.Increment();
}

void
EdgeMetrics::CountRefusal(std::string_view aReason)
{
  m_impl->m_refusals.Add({ { "reason", std::string(aReason) } }).Increment();
}

std::string
EdgeMetrics::Text(const ForwarderCounters& aCounters,
                  const RateLimitClientCounters& aLimits,
                  const RateLimitOwnerCounters& aGrants,
                  const EdgeGauges& aGauges)
{
  Impl& impl = *m_impl;
  impl.Set(
    "requests", "Requests forwarded since the start", aCounters.m_requests);
  impl.Set("copies", "Copies sent to replicas", aCounters.m_copies);
  impl.Set(
    "hedges", "Copies sent because others were late", aCounters.m_hedges);
  impl.Set("retries", "Copies sent because others failed", aCounters.m_retries);
  impl.Set("hedges_without_budget",
           "Hedges left out for lack of budget",
           aCounters.m_hedgesWithoutBudget);
  impl.Set("partial_answers",
           "Answers that left shards out",
           aCounters.m_partialAnswers);
  impl.Set("relays",
           "Parts of requests that other entry hosts were to gather",
           aCounters.m_relays);
  impl.Set("relays_refused",
           "Of these, parts that this host gathered instead",
           aCounters.m_relaysRefused);
  impl.Set("fallback_relays",
           "Relays because this host reached no replica",
           aCounters.m_fallbackRelays);
  impl.Set("contact_losses",
           "Times that this host reached no replica",
           aCounters.m_contactLosses);
  impl.Set(
    "refused", "Requests refused without having run", aCounters.m_refused);
  impl.Set("queued",
           "Parts of requests that waited for a replica",
           aCounters.m_queued);
  impl.Set("queue_wait_us",
           "Sum of the times that these waited, in microseconds",
           static_cast<std::uint64_t>(aCounters.m_queueTime.count()));
  for (std::size_t i = 0; i < kRejectReasons; ++i) {
    impl.Set("rejected_" + std::string(NameOf(static_cast<RejectReason>(i))),
             "Requests rejected before their deadline for this reason",
             aCounters.m_rejected.at(i));
  }
  impl.Set("crashes_attributed",
           "Crashes of replicas that were attributed to requests",
           aCounters.m_crashes);
  impl.Set("quarantined",
           "Requests refused because they are in quarantine",
           aCounters.m_quarantined);
  impl.Set("slow_starts", "Slow starts of replicas", aCounters.m_slowStarts);
  impl.Set("cold_replicas",
           "Times that a replica turned cold",
           aCounters.m_coldReplicas);
  impl.Set("paced_waits",
           "Sub-requests that waited for the slow start of a replica",
           aCounters.m_pacedWaits);
  impl.Set("replica_checks",
           "Health checks of replicas that had failed",
           aCounters.m_replicaChecks);
  impl.Set("rate_limit_admitted",
           "Requests admitted by the rate limits of tenants",
           aLimits.m_admitted);
  impl.Set(
    "rate_limit_refused", "Requests refused with 429", aLimits.m_refused);
  impl.Set("rate_limit_waited",
           "Requests that waited for the reply of an owner",
           aLimits.m_waited);
  impl.Set("rate_limit_fallbacks",
           "Requests admitted although no owner answered",
           aLimits.m_fallbacks);
  impl.Set("rate_limit_messages",
           "Messages to owners of rate limits",
           aLimits.m_messages);
  impl.Set("rate_limit_messages_failed",
           "Of these, messages without a usable reply",
           aLimits.m_failedMessages);
  impl.Set("rate_limit_tokens_granted",
           "Tokens that this host granted",
           aGrants.m_granted);
  impl.Set("rate_limit_tokens_denied",
           "Tokens that this host denied to waiting requests",
           aGrants.m_denied);
  impl.Set("rate_limit_tokens_returned",
           "Tokens that were returned to this host unused",
           aGrants.m_returned);
  impl.Set("table_version", "Routing table in force", aGauges.m_tableVersion);
  impl.Set(
    "live_hosts", "Entry hosts counted in the store", aGauges.m_liveHosts);
  impl.Set("running_requests",
           "Requests without an answer",
           static_cast<double>(aGauges.m_runningRequests));
  impl.Set("caller_connections",
           "Open connections of callers",
           static_cast<double>(aGauges.m_callerConnections));
  impl.Set("session_bytes",
           "Memory of the connections of callers and hosts",
           static_cast<double>(aGauges.m_sessionBytes));
  impl.Set("replica_connections",
           "Open connections to replicas",
           static_cast<double>(aGauges.m_replicaConnections));
  impl.Set("replica_connections_opened",
           "Connections to replicas since the start",
           aGauges.m_replicaConnectionsOpened);
  impl.Set("log_lines_left_out",
           "Log lines that were not written",
           aGauges.m_logLinesDropped);
  for (const FeedGauges& feed : aGauges.m_feeds) {
    impl.Set("feed_" + feed.m_name + "_revision",
             "Revision of the store up to which the feed is complete",
             static_cast<double>(feed.m_revision.m_number));
    impl.Set("feed_" + feed.m_name + "_era",
             "Number of restores of the store that the feed knows of",
             static_cast<double>(feed.m_revision.m_era));
    impl.Set("feed_" + feed.m_name + "_age_seconds",
             "Time since the feed was proved to be up to date; -1 if never",
             feed.m_ageSeconds);
    impl.Set("feed_" + feed.m_name + "_from_host",
             "1 while the feed is learned from another host",
             feed.m_fromHost);
  }
  impl.Set("ready", "1 while the host reports itself ready", aGauges.m_ready);
  return prometheus::TextSerializer().Serialize(impl.m_registry.Collect());
}

} // namespace goldcrestkeel
