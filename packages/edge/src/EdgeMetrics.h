#pragma once

#include <goldcrestkeel/Admission.h>
#include <goldcrestkeel/feed/FeedItem.h>
#include <goldcrestkeel/forward/Forwarder.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel {

/** State of a feed of the store's changes. */
struct FeedGauges
{
  std::string m_name;
  FeedRevision m_revision;
  /** -1 if it is unknown. */
  double m_ageSeconds = -1;
  bool m_fromHost = false;
};

/** Values sampled whenever the metrics are read. */
struct EdgeGauges
{
  std::vector<FeedGauges> m_feeds;
  RoutingVersion m_tableVersion = 0;
  std::uint32_t m_liveHosts = 0;
  std::size_t m_runningRequests = 0;
  std::size_t m_callerConnections = 0;
  /** Memory of the connections of callers and hosts, in bytes. */
  std::uint64_t m_sessionBytes = 0;
  std::size_t m_replicaConnections = 0;
  std::uint64_t m_replicaConnectionsOpened = 0;
  std::uint64_t m_logLinesDropped = 0;
  bool m_ready = false;
};

/** Metrics of an entry host in the Prometheus text format. */
class EdgeMetrics
{
public:
  EdgeMetrics();
  ~EdgeMetrics();

  /** Counts one answer and records its latency. aOutcome is "ok", "partial" or
   *  the name of an error kind. */
  void CountAnswer(std::string_view aOutcome, Duration aTime);

  /** Counts a request that was refused for want of a valid key. */
  void CountUnauthorized();
  /** Counts one request that was refused before it was read completely, or one
   *  connection that was closed. */
  void CountRefusal(std::string_view aReason);

  /** All metrics in the text format. */
  std::string Text(const ForwarderCounters& aCounters,
                   const RateLimitClientCounters& aLimits,
                   const RateLimitOwnerCounters& aGrants,
                   const EdgeGauges& aGauges);

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace goldcrestkeel
