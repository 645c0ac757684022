#pragma once

#include "DecayingRate.h"
#include "ReplicaNotices.h"

#include <goldcrestkeel/Pacing.h>
#include <goldcrestkeel/forward/Forwarder.h>

#include <cstdint>
#include <optional>
#include <string>

namespace goldcrestkeel {

/** Weight of one copy in the failure rate of a replica, and the time constant
 *  of its decay, in microseconds; a failed replica is then tried again. */
inline constexpr double kFailureWeight = 0.15;
inline constexpr double kFailureTimeConstantUs = 3e6;
/** Availability of a replica; lower values are preferred. */
enum class ReplicaTier
{
  Healthy,
  /** It has a late copy, is being probed or has failed recently. */
  Degraded,
  /** It has what its slow start allows for now. */
  Paced,
  /** It drains or is no longer listed; used only if there is no other. */
  Draining,
  /** This host has reached its in-flight limit or its share of the request
   *  limit or warm-up limit, or the replica reports or signalled overload. */
  Full,
  /** It was replaced, is unreachable or unresponsive, wants no request for a
   *  time, its drain grace period has ended, or its data centre is evacuated.
   */
  Unavailable,
};

/** Network distance of a replica from this host. */
enum class Distance
{
  SameDataCentre,
  SameRegion,
  OtherRegion,
};

/** Distance of aDataCentre from the host with aOptions. */
Distance
DistanceBetween(const ForwarderOptions& aOptions,
                const std::string& aDataCentre);

/** Region of aDataCentre; empty if it belongs to none. */
std::string
RegionOf(const ForwarderOptions& aOptions, const std::string& aDataCentre);

/** State of a replica, or of an entry host in RelayPool. */
struct PooledReplica
{
  ReplicaRecord m_record;
  Distance m_distance = Distance::OtherRegion;
  /** Empty if its data centre belongs to none. */
  std::string m_region;

  /** Copies sent or waiting for a connection, including abandoned ones. */
  std::uint32_t m_inFlight = 0;
  /** Limit of m_inFlight: this host's share of the connections that the replica
   *  accepts. */
  std::uint32_t m_maxInFlight = 1;
  /** Open connections of this host that have brought an answer. */
  std::uint32_t m_openConnections = 0;
  /** New connections bring no answer; see ContactState::Limited. */
  bool m_openConnectionsOnly = false;
  /** Copies in flight that have exceeded the late threshold. */
  std::uint32_t m_lateCopies = 0;

  /** Set if the replica drains or is no longer listed: until when it may be
   *  used if there is no other. */
  std::optional<TimePoint> m_usableUntil;
  bool m_listed = true;
  /** Another replica, or another instance of this one, has its address. */
  bool m_replaced = false;
  /** Its data centre is evacuated. */
  bool m_evacuated = false;

  /** Moving average of the response time without queueing at the replica,
   *  including the network, in microseconds; 0 before the first sample. */
  double m_latency = 0;
  TimePoint m_latencyAt;
  /** Failure rate of copies. */
  DecayingRate m_failureRate{ kFailureWeight, kFailureTimeConstantUs };

  LoadReport m_load;
  /** m_inFlight when m_load was received; m_load includes these copies. */
  std::uint32_t m_inFlightAtReport = 0;
  TimePoint m_loadReportedAt;

  ReplicaNotices m_notices;

  /** As the last answer of the replica named it. */
  RequestLimit m_requestLimit;
  /** Copies sent since m_limitReportedAt, when the limit was last logged. */
  std::uint32_t m_copiesSinceReport = 0;
  TimePoint m_limitReportedAt;

  /** Until when the replica counts as full after it refused a request. */
  TimePoint m_fullUntil;

  WarmupLimit m_warmup;
  SlowStart m_slowStart;
  /** The last that was logged. */
  ReplicaPace m_loggedPace = ReplicaPace::Usual;

  /** Copies to the replica got no answer in time. It gets one copy at a time,
   *  as a probe, until it answers. */
  bool m_unresponsive = false;
  TimePoint m_backoffUntil;
  /** Consecutive backoffs; 0 after an answer. */
  std::uint32_t m_backoffs = 0;
  /** A health check is planned or under way. */
  bool m_checkPending = false;
  /** It has answered a health check since the last backoff. */
  bool m_checkAnswered = false;
  /** Time of the last answer; before the first one, time of discovery. */
  TimePoint m_lastAnswerAt;
  bool m_hasAnswered = false;

  /** Whether it has failed and not answered since. */
  bool IsProbed() const
  {
    return (m_unresponsive || m_backoffs > 0) && !m_checkAnswered;
  }
};

} // namespace goldcrestkeel
