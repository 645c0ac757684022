#pragma once

#include <goldcrestkeel/admission/LoadShedder.h>
#include <goldcrestkeel/core/CrashGuard.h>
#include <goldcrestkeel/core/Errors.h>
#include <goldcrestkeel/core/Random.h>
#include <goldcrestkeel/core/Time.h>
#include <goldcrestkeel/forward/CrashReport.h>
#include <goldcrestkeel/forward/HostRecord.h>
#include <goldcrestkeel/forward/ReplicaPace.h>
#include <goldcrestkeel/forward/ReplicaRecord.h>
#include <goldcrestkeel/forward/RoutingTable.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace goldcrestkeel {

/** Identifier of a request within a forwarder; never 0. */
using ForwardId = std::uint64_t;
/** Identifier of a copy of a request, sent to one replica or entry host; never
 *  0 and never reused. */
using CopyId = std::uint64_t;

using HeaderField = std::pair<std::string, std::string>;

/** The part of a request that an entry host serves on behalf of another one. */
struct RelayedShards
{
  /** Indexes into the route's list of shards or, without m_gather, the index of
   *  the service in its list of services. */
  std::vector<std::uint32_t> m_shards;
  /** Maximum number of these shards that the answer may lack. */
  std::uint32_t m_maxMissingShards = 0;
  /** When a partial answer is sent if it covers enough shards. */
  TimePoint m_targetAt;
  /** Maximum number of replicas of one service that may still run the request;
   *  not set if no replica may have run it yet. */
  std::optional<std::uint32_t> m_attemptsLeft{};
};

/** A caller's request. */
struct ForwardRequest
{
  ForwardId m_id = 0;
  /** Table that owns m_route; held until the request ends. */
  std::shared_ptr<const RoutingTable> m_table;
  const Route* m_route = nullptr;
  /** When the caller must have an answer or an error. */
  TimePoint m_deadline;
  /** Set if another entry host accepted the request from the caller and relayed
   *  these shards. */
  std::optional<RelayedShards> m_relayedShards;
  /** Equal for requests that ask replicas for the same; 0 to exempt the request
   *  from the crash guard. */
  std::uint64_t m_fingerprint = 0;
  /** Tenant of the caller, owned by m_table; nullptr if it has none. */
  const Tenant* m_tenant = nullptr;

  /** Priority under overload; 0 is the highest. */
  std::uint32_t Priority() const
  {
    return m_tenant && m_tenant->m_priority ? *m_tenant->m_priority
                                            : m_route->m_priority;
  }
};

/** A complete answer of a replica, or of an entry host to a relayed request. */
struct ReplicaAnswer
{
  int m_status = 0;
  /** Header fields for the caller, without hop-by-hop fields. */
  std::vector<HeaderField> m_fields;
  std::string m_body;
  /** Proof of origin that the replica adds to its answers; empty if absent. */
  std::string m_stamp;
  /** The replica states that it did not run the request. */
  bool m_notRun = false;
  /** The request reached another instance than the one it was addressed to. */
  bool m_wrongInstance = false;
  /** In the answer to a health check: id of the replica; empty if absent. */
  std::string m_instance{};
  std::optional<LoadReport> m_load;
  /** In the answer to a health check: how long the replica stays cold. */
  std::optional<Duration> m_warmupLeft{};
  /** Requests a second that the replica takes from all entry hosts together;
   *  not set if it names no limit. */
  std::optional<double> m_requestLimit;
  /** It names a limit that is not a number; the previous one stays in force. */
  bool m_invalidRequestLimit = false;
  /** The replica is about to leave. */
  bool m_leaving = false;
  /** With status 503: how long the replica wants no request from this host. */
  std::optional<Duration> m_restFor{};
  /** For the answer of another entry host: the shards that it covers, as
   *  indexes into the route's list, and the stamp of each. */
  std::vector<std::uint32_t> m_shards;
  std::vector<std::string> m_shardStamps;
  /** For a refusal of another entry host: it takes no such requests at the
   *  moment, whatever their service. */
  bool m_hostUnavailable = false;
  /** For a refusal of another entry host: the request is in quarantine. */
  bool m_quarantined = false;
};

/** Why a copy ended without an answer. */
enum class CopyFailure
{
  /** The connection was refused. */
  Refused,
  /** No connection was established in time; nothing was sent. */
  NotSent,
  /** The connection broke after the first byte had been sent. */
  Broken,
  /** The received bytes are not a valid answer. */
  Malformed,
  /** This host had no descriptor left for a connection; nothing was sent. It
   *  says nothing of the replica. */
  NoConnection,
};

std::string_view
NameOf(CopyFailure aFailure);

/** What is known of the connection that a copy is sent on. */
enum class ConnectionState
{
  /** It has brought no answer yet. An established connection alone proves
   *  little, since something on the way may have accepted it. */
  New,
  /** It has brought an answer. */
  Proven,
};

/** Outcome of a request, for the caller. */
struct ForwardResult
{
  /** Not set if m_answer is valid. */
  std::optional<ErrorKind> m_error;
  std::string m_detail;
  /** When the caller may retry; set only if no replica ran the request. */
  std::optional<Duration> m_retryAfter;

  /** Answer of one replica, or merged answer of several shards. */
  ReplicaAnswer m_answer;
  bool m_gathered = false;
  std::vector<std::string> m_stamps;
  /** Shards that m_stamps belong to, as indexes into the route's list. */
  std::vector<std::uint32_t> m_shards;
  std::uint32_t m_missingShards = 0;
  /** Comma-separated services that the answer lacks or, with an error, that did
   *  not answer. */
  std::string m_missingServices;
  std::uint32_t m_copies = 0;
};

/** A decision of the forwarder, for the log. The views are valid only during
 *  LogDecision(). */
struct ForwardDecision
{
  /** Name of the decision, for example "no_hedge". */
  std::string_view m_decision;
  ForwardId m_request = 0;
  std::string_view m_service;
  std::string_view m_replica;
  std::string_view m_reason;
  /** Age of the copy, request or last answer that led to the decision; 0 if
   *  there is none. */
  Duration m_age{ 0 };
};

/** Whether the replicas can be reached from this host. */
enum class ContactState
{
  Reached,
  /** Several replicas failed in a row; probes are under way. */
  Suspected,
  /** New connections bring no answer, but replicas answer on proven ones; other
   *  entry hosts serve what these cannot carry. */
  Limited,
  /** No replica can be reached; other entry hosts serve the requests. */
  Lost,
};

std::string_view
NameOf(ContactState aState);

/** A change of the contact with the replicas, for the log. */
struct ContactReport
{
  ContactState m_state = ContactState::Reached;
  ContactState m_before = ContactState::Reached;
  /** How long the state before lasted. */
  Duration m_lasted{ 0 };
  /** Replicas whose copies are late, with no answer of any replica since. */
  std::size_t m_silentReplicas = 0;
  /** Replicas of which no new connection brought an answer, with no such answer
   *  since. */
  std::size_t m_unconnectableReplicas = 0;
};

/** A replica names a request limit in its answers, for the log. The views are
 *  valid only during LogRequestLimit(). */
struct RequestLimitReport
{
  std::string_view m_service;
  std::string_view m_replica;
  /** Requests a second from all hosts together; not set once the replica names
   *  no limit any more. */
  std::optional<double> m_limit;
  /** Copies that this host has sent to the replica since the last report. */
  std::uint32_t m_copies = 0;
  /** Time since the last report; 0 if the replica has just named a limit. */
  Duration m_since{ 0 };
  /** The replica named a limit that is not a number. */
  bool m_invalid = false;
};

/** What a replica says of itself in an answer. */
enum class ReplicaNotice
{
  Leaving,
  /** It wants no request from this host for a time. */
  Rest,
};

std::string_view
NameOf(ReplicaNotice aNotice);

/** A replica gives a notice, for the log. The views are valid only during
 *  LogReplicaNotice(). */
struct ReplicaNoticeReport
{
  ReplicaNotice m_notice = ReplicaNotice::Leaving;
  std::string_view m_service;
  std::string_view m_replica;
  /** How long the replica wants no request; 0 if it leaves. */
  Duration m_restFor{ 0 };
  /** Copies that it has from this host. */
  std::uint32_t m_inFlight = 0;
};

/** Performs the I/O for a forwarder. From within these methods only
 *  Forwarder::CopySent() and ProvenConnectionEnded() may be called back. */
class ForwardSink
{
public:
  virtual ~ForwardSink() = default;

  /** Sends the request to a replica. */
  virtual void SendCopy(CopyId aCopy,
                        ForwardId aRequest,
                        const ReplicaRecord& aReplica,
                        TimePoint aDeadline) = 0;
  /** Asks another entry host to serve aShards until aDeadline. */
  virtual void SendRelay(CopyId aCopy,
                         ForwardId aRequest,
                         const ReplicaRecord& aHost,
                         TimePoint aDeadline,
                         const RelayedShards& aShards) = 0;
  /** Sends a health check to aReplica over a new connection. It ends like a
   *  copy, by any answer or a failure, or is aborted. */
  virtual void ProbeReplica(CopyId aProbe,
                            const ReplicaRecord& aReplica,
                            std::string_view aHealthPath) = 0;
  /** Closes the connection of the copy. The sink reports no further
   *  event of the copy. */
  virtual void AbortCopy(CopyId aCopy) = 0;
  /** Ends a request. Called once for each request that is not cancelled. */
  virtual void Finish(ForwardId aRequest, ForwardResult&& aResult) = 0;
  virtual void LogDecision(const ForwardDecision& aDecision) = 0;
  virtual void LogRequestLimit(const RequestLimitReport& aReport) = 0;
  virtual void LogContact(const ContactReport& aReport) = 0;
  virtual void LogReplicaNotice(const ReplicaNoticeReport& aReport) = 0;
  virtual void LogReplicaPace(const ReplicaPaceReport& aReport) = 0;
  virtual void LogCrash(const CrashDecision& aDecision) = 0;
  /** Method and target of a request in progress. */
  virtual std::string SummaryOf(ForwardId aRequest) const = 0;
  /** Tells the hosts that count the crashes of this fingerprint. */
  virtual void ReportCrash(const CrashReport& aReport) = 0;
  /** Asks all hosts whether replicas answer such requests, one crash before
   *  they are put in quarantine. */
  virtual void AnnounceSuspect(const SuspectReport& aReport) = 0;
  /** Tells the hosts that count the crashes of this fingerprint that a replica
   *  has answered such a request. */
  virtual void ReportAnswered(std::uint64_t aFingerprint) = 0;
  /** Tells all hosts that requests are in quarantine, also those that start
   *  later. */
  virtual void AnnounceQuarantine(const SuspectReport& aReport) = 0;
  /** Called if service discovery lists no replica, except draining ones, of a
   *  service that a request needs. */
  virtual void NoReplicaListed() = 0;
};

struct ForwarderOptions
{
  std::string m_hostId;
  std::string m_dataCentre;
  /** Region of each data centre. */
  std::map<std::string, std::string> m_regions;
  /** How long after a replica began to drain, or was removed from service
   *  discovery, requests may still arrive there. */
  Duration m_drainLimit{ 3000000 };
  /** Budget of repeats (hedges and retries) of each service, summed over all
   *  hosts: this ratio of its requests plus m_repeatSlack repeats in any
   *  m_repeatWindow. */
  double m_repeatRatio = 0.2;
  double m_repeatSlack = 0;
  Duration m_repeatWindow{ 10000000 };
};

struct ForwarderCounters
{
  std::uint64_t m_requests = 0;
  std::uint64_t m_copies = 0;
  std::uint64_t m_hedges = 0;
  std::uint64_t m_retries = 0;
  std::uint64_t m_hedgesWithoutBudget = 0;
  std::uint64_t m_partialAnswers = 0;
  std::uint64_t m_refused = 0;
  /** Requests to other entry hosts to gather some of the shards. */
  std::uint64_t m_relays = 0;
  /** Of these, requests that were refused or not sent, so that this host
   *  queried the shards itself. */
  std::uint64_t m_relaysRefused = 0;
  /** Requests to other entry hosts to serve what this host cannot, as it
   * reaches no replica. */
  std::uint64_t m_fallbackRelays = 0;
  /** Number of times that contact with all replicas was lost. */
  std::uint64_t m_contactLosses = 0;
  /** Crashes of replicas that were attributed to requests, also those that
   *  other hosts reported. */
  std::uint64_t m_crashes = 0;
  /** Sub-requests that waited for a replica until one had capacity, and the sum
   *  of the times that they waited. */
  std::uint64_t m_queued = 0;
  Duration m_queueTime{ 0 };
  /** Requests that could not be answered by their deadlines and were rejected
   *  before, by RejectReason. Also counted in m_refused. */
  std::array<std::uint64_t, kRejectReasons> m_rejected{};
  /** Requests that were refused because they are in quarantine. */
  std::uint64_t m_quarantined = 0;
  /** Slow starts of replicas, and times that one turned cold. */
  std::uint64_t m_slowStarts = 0;
  std::uint64_t m_coldReplicas = 0;
  /** Sub-requests that waited for the slow start of a replica. */
  std::uint64_t m_pacedWaits = 0;
  /** Health checks of replicas that had failed. */
  std::uint64_t m_replicaChecks = 0;
};

/** Forwards requests to replicas: selects replicas, hedges and retries, gathers
 *  the answers of several shards and refuses requests that cannot be served.
 *  Not thread-safe; the time is an argument of each event. */
class Forwarder
{
public:
  virtual ~Forwarder() = default;

  /** Sets the connection limits of the services. */
  virtual void SetTable(TimePoint aNow,
                        std::shared_ptr<const RoutingTable> aTable) = 0;
  /** Sets the number of hosts that share the connections of the replicas,
   *  including this one. */
  virtual void SetLiveHosts(std::uint32_t aHosts) = 0;
  /** Sets the entry hosts, some of which may gather shards for this one. */
  virtual void SetHosts(TimePoint aNow,
                        const std::vector<HostRecord>& aHosts) = 0;
  /** Sets the data centres whose replicas get no requests. */
  virtual void SetEvacuated(TimePoint aNow,
                            const std::set<std::string>& aDataCentres) = 0;

  /** Adds or updates a replica. aChangedAfter: the change was made after this
   *  time; not set if that is unknown. A replica that drains is then used only
   *  if its service has no other, and until m_drainLimit after that time. */
  virtual void UpdateReplica(TimePoint aNow,
                             const ReplicaRecord& aRecord,
                             std::optional<TimePoint> aChangedAfter) = 0;
  /** The replica is no longer listed by service discovery. aChangedAfter is as
   *  for UpdateReplica(). */
  virtual void RemoveReplica(TimePoint aNow,
                             const std::string& aId,
                             std::optional<TimePoint> aChangedAfter) = 0;

  virtual void Start(TimePoint aNow, const ForwardRequest& aRequest) = 0;
  /** Finishes all requests in progress as if their deadlines had passed. */
  virtual void FinishAll(TimePoint aNow) = 0;
  /** The caller has disconnected; ForwardSink::Finish() is not called. */
  virtual void Cancel(TimePoint aNow, ForwardId aRequest) = 0;

  /** A connection to a replica has brought its first answer. */
  virtual void ConnectionProven(const std::string& aId) = 0;
  /** A connection to a replica that had brought an answer has ended. */
  virtual void ProvenConnectionEnded(const std::string& aId) = 0;
  /** Whether replicas can be reached. Requests of other entry hosts are to be
   *  started only then. */
  virtual ContactState Contact() const = 0;

  /** Another host has observed a crash. */
  virtual void CrashReported(TimePoint aNow, const CrashReport& aReport) = 0;
  /** Another host suspects a request. Returns true if a replica has answered
   *  such a request to this host lately. */
  virtual bool SuspectReported(TimePoint aNow,
                               const SuspectReport& aReport) = 0;
  /** Another host tells that a replica has answered such a request. */
  virtual void AnswerReported(std::uint64_t aFingerprint) = 0;
  /** What is known of the crashes of such requests. */
  virtual SuspectReport SuspectOf(std::uint64_t aFingerprint) const = 0;
  /** Other hosts have put requests in quarantine. */
  virtual void MergeQuarantines(TimePoint aNow,
                                const std::vector<SuspectReport>& aReports) = 0;

  /** The first byte of the copy has been written to a connection. */
  virtual void CopySent(TimePoint aNow,
                        CopyId aCopy,
                        ConnectionState aConnection) = 0;
  virtual void CopyAnswered(TimePoint aNow,
                            CopyId aCopy,
                            ReplicaAnswer&& aAnswer) = 0;
  virtual void CopyFailed(TimePoint aNow,
                          CopyId aCopy,
                          CopyFailure aFailure) = 0;

  /** Returns when to call OnTimer() next; nothing if no timer is set. */
  virtual std::optional<TimePoint> NextTimer() const = 0;
  virtual void OnTimer(TimePoint aNow) = 0;

  /** Number of requests in progress. */
  virtual std::size_t Running() const = 0;
  virtual const ForwarderCounters& Counters() const = 0;
};

/** Creates a forwarder. aRandom and aSink must outlive it. */
std::unique_ptr<Forwarder>
MakeForwarder(const ForwarderOptions& aOptions,
              RandomSource& aRandom,
              ForwardSink& aSink);

} // namespace goldcrestkeel
