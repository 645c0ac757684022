#pragma once

#include <goldcrestkeel/core/CrashGuard.h>
#include <goldcrestkeel/core/Errors.h>
#include <goldcrestkeel/core/Random.h>
#include <goldcrestkeel/core/Time.h>
#include <goldcrestkeel/core/Topology.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace goldcrestkeel {

/** Identifier of a query, unique within one engine. */
using QueryId = std::uint64_t;
/** Identifier of one sub-request to one replica, unique within one engine. */
using AttemptId = std::uint64_t;

/** A document that matches the statement. */
struct Hit
{
  std::string m_id;
  std::string m_title;
  double m_score = 0;

  bool operator==(const Hit&) const = default;
};

// ---- Events ---------------------------------------------------------------

/** Starts a search. The deadline is relative to the time of the event. */
struct StartSearch
{
  QueryId m_query = 0;
  std::string m_service;
  std::string m_statement;
  Duration m_deadline{ 0 };
  /** Overrides the service's minimum coverage if set. */
  std::optional<double> m_minCoverage;
  CallerClass m_class = CallerClass::Interactive;
  std::uint32_t m_limit = 10;
  /** Hits to skip, for paging through one result. */
  std::uint32_t m_offset = 0;
  /** Index version of an earlier page, or nothing to let the engine choose. */
  std::optional<VersionId> m_snapshot;
};

/** A decoded reply of a replica. The echoed fields hold the received values;
 *  the engine compares them with the request. The codec has verified length and
 *  checksum and reports the result in m_intact. */
struct SubReply
{
  AttemptId m_attempt = 0;
  std::uint64_t m_incarnation = 0;
  QueryId m_echoQuery = 0;
  AttemptId m_echoAttempt = 0;
  std::string m_echoShard;
  VersionId m_echoVersion = 0;
  DocumentCount m_documentsSearched = 0;
  /** False if the replica stopped early. */
  bool m_complete = true;
  /** False if the length or the checksum is wrong. */
  bool m_intact = true;
  bool m_draining = false;
  std::vector<Hit> m_hits;
};

/** Reason why a sub-request has no usable reply. */
enum class SubFailureKind
{
  /** The connection could not be opened: the request cannot have run. */
  ConnectFailed,
  /** The connection was reset after the request was sent. */
  Reset,
  /** The backend server refused the request under load without running it. */
  Shed,
  /** The backend server refused the request because it is draining. */
  Draining,
  /** The replica no longer holds the index version. */
  VersionGone,
  /** The backend server refused the request because its deadline had passed. */
  DeadlinePassed,
  /** The reply could not be decoded. */
  Malformed,
  /** The transport timed out waiting for the reply. */
  TimedOut,
};

std::string_view
NameOf(SubFailureKind aKind);

/** Returns true if aKind proves that the request has not run and will not
 *  run. */
bool
ProvesNotRun(SubFailureKind aKind);

/** A sub-request that ended without a usable reply. */
struct SubFailure
{
  AttemptId m_attempt = 0;
  SubFailureKind m_kind = SubFailureKind::Reset;
};

/** The caller has disconnected; no answer is sent. */
struct CancelSearch
{
  QueryId m_query = 0;
};

// ---- Actions --------------------------------------------------------------

/** Sends one sub-request. */
struct SendSubRequest
{
  AttemptId m_attempt = 0;
  QueryId m_query = 0;
  std::string m_replica;
  std::string m_shard;
  VersionId m_version = 0;
  std::string m_statement;
  std::uint32_t m_limit = 0;
  TimePoint m_deadline;
  bool m_hedge = false;
};

/** Cancels a sub-request whose reply is no longer needed. The engine ignores
 *  any later event for the attempt. */
struct CancelSubRequest
{
  AttemptId m_attempt = 0;
  std::string m_replica;
};

/** Part of the snapshot that an answer covers. */
struct CoverageReport
{
  /** Searched documents divided by all documents of the snapshot, in [0, 1]. */
  double m_fraction = 0;
  DocumentCount m_documentsSearched = 0;
  DocumentCount m_documentsTotal = 0;
  std::uint32_t m_shardsAnswered = 0;
  std::uint32_t m_shardsTotal = 0;
  std::vector<std::string> m_missingShards;
};

/** Ends a search with an answer, or with an error and the coverage reached. */
struct FinishSearch
{
  QueryId m_query = 0;
  std::optional<ErrorKind> m_error;
  std::string m_detail;
  Ran m_ran = Ran::Yes;
  /** Index version searched; 0 if the search was refused. */
  VersionId m_snapshot = 0;
  CoverageReport m_coverage;
  std::vector<Hit> m_hits;
  std::uint32_t m_hedges = 0;
  std::uint32_t m_retries = 0;
};

using Action = std::variant<SendSubRequest, CancelSubRequest, FinishSearch>;
using Actions = std::vector<Action>;

// ---- Engine ---------------------------------------------------------------

/** Totals since the start of the engine, for metrics. */
struct EngineCounters
{
  std::uint64_t m_queries = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_subRequests = 0;
  std::uint64_t m_hedges = 0;
  std::uint64_t m_retries = 0;
  std::uint64_t m_discardedReplies = 0;
  std::uint64_t m_restarts = 0;
  std::uint64_t m_ejections = 0;
  std::uint64_t m_quarantined = 0;
};

/** Maximum time for which the member lists of two entry hosts can differ. A
 *  host increases its share of connections and slots only after this time. */
inline constexpr Duration kShareGrowDelay{ 10000000 };

struct EngineOptions
{
  /** Data centre and region of this entry host. */
  std::string m_dataCentre;
  std::string m_region;
  /** Queries that run concurrently; further ones wait in the admission
   *  queue. */
  std::uint32_t m_maxRunningQueries = 512;
  /** Capacity of the admission queue of each service. */
  std::uint32_t m_maxQueuedQueries = 2048;
  /** Disabled only to measure the effect of the crash guard. */
  bool m_crashGuard = true;
  /** Disabled only to measure the effect of admission control: each search then
   *  starts immediately. */
  bool m_admission = true;
  /** Time at which this entry host joined others that already run. It uses no
   *  connections or slots until kShareGrowDelay later. Nothing if the host is
   *  the first or only one. */
  std::optional<TimePoint> m_joinedAt;
};

/** Decides how each search is distributed over the replicas. Not thread-safe:
 *  one event-loop thread owns it. The methods do no input or output; they
 *  append the actions to perform to aActions. */
class QueryEngine
{
public:
  virtual ~QueryEngine() = default;

  /** Adds or replaces a service. Running queries keep the previous
   *  definition. */
  virtual void SetService(TimePoint aNow, const ServiceSpec& aSpec) = 0;
  /** Removes a service. Running queries are finished. */
  virtual void DropService(TimePoint aNow, const std::string& aName) = 0;

  virtual void Handle(TimePoint aNow,
                      const StartSearch& aEvent,
                      Actions& aActions) = 0;
  virtual void Handle(TimePoint aNow,
                      const SubReply& aEvent,
                      Actions& aActions) = 0;
  virtual void Handle(TimePoint aNow,
                      const SubFailure& aEvent,
                      Actions& aActions) = 0;
  virtual void Handle(TimePoint aNow,
                      const CancelSearch& aEvent,
                      Actions& aActions) = 0;
  virtual void Handle(TimePoint aNow,
                      const ReplicaStatus& aEvent,
                      Actions& aActions) = 0;

  /** Runs all timers that are due at aNow. */
  virtual void FireTimers(TimePoint aNow, Actions& aActions) = 0;
  /** Time at which FireTimers() must be called next; nothing if no timer is
   *  set. */
  virtual std::optional<TimePoint> NextTimer() const = 0;

  /** Records that the /status of aReplica could not be read. */
  virtual void StatusUnavailable(TimePoint aNow,
                                 const std::string& aReplica) = 0;
  /** Records that the host list or another host reports aReplica as draining.
   *  The report is ignored if aIncarnation is not the current incarnation; 0
   *  matches any. */
  virtual void MarkDraining(TimePoint aNow,
                            const std::string& aReplica,
                            std::uint64_t aIncarnation) = 0;
  /** Sets the number of entry hosts, including this one, that share the
   *  connections and slots of the replicas. */
  virtual void SetLiveHosts(TimePoint aNow, std::uint32_t aLiveHosts) = 0;

  /** Selects a replica for one command, in the same way as for a search, except
   *  those in aExclude. Returns nothing if no replica is available. Occupies a
   *  slot of the replica until CommandDone(). */
  virtual std::optional<std::string> PickCommandReplica(
    TimePoint aNow,
    const std::string& aService,
    const std::vector<std::string>& aExclude) = 0;
  /** Ends a command on aReplica and frees its slot; aFailure is empty if a
   *  reply was received. */
  virtual void CommandDone(TimePoint aNow,
                           const std::string& aReplica,
                           Duration aLatency,
                           std::optional<SubFailureKind> aFailure) = 0;

  /** Returns the suspected and quarantined statements, including those received
   *  from other hosts. */
  virtual std::vector<SuspectReport> Suspects() const = 0;
  /** Merges the suspects reported by another host; the larger version of an
   *  entry replaces the smaller. Running queries with such a statement are no
   *  longer hedged or retried. */
  virtual void MergeSuspects(TimePoint aNow,
                             const std::vector<SuspectReport>& aReports,
                             Actions& aActions) = 0;
  /** Incremented whenever Suspects() changes, so that a new suspect can be sent
   *  to the other hosts immediately. */
  virtual std::uint64_t SuspectsVersion() const { return 0; }
  /** Lifts the quarantine of the statement with aFingerprint; returns false if
   *  it is not quarantined. */
  virtual bool LiftQuarantine(TimePoint aNow, std::uint64_t aFingerprint) = 0;

  /** Number of connections that this host may open to aReplica, 0 if the
   *  replica is unknown. */
  virtual std::uint32_t ConnectionShare(TimePoint, const std::string&)
  {
    return 0;
  }

  /** Refuses new searches with ShuttingDown from now on; running and queued
   *  searches are finished. The host may stop when Idle() returns true. */
  virtual void BeginShutdown(TimePoint) {}
  /** Returns true if no search is running or queued and no command is in
   *  flight. */
  virtual bool Idle() const { return RunningQueries() == 0; }

  virtual std::size_t RunningQueries() const = 0;
  virtual EngineCounters Counters() const = 0;
};

/** Creates an engine. aRandom must outlive it. */
std::unique_ptr<QueryEngine>
MakeQueryEngine(const EngineOptions& aOptions, RandomSource& aRandom);

} // namespace goldcrestkeel
