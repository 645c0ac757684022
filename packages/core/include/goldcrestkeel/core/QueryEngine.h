#pragma once

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

/** Number of a query within one engine. */
using QueryId = std::uint64_t;
/** Number of one sub-request to one replica, unique within one engine. */
using AttemptId = std::uint64_t;

/** One document found. */
struct Hit
{
  std::string m_id;
  std::string m_title;
  double m_score = 0;

  bool operator==(const Hit&) const = default;
};

// ---- Events ---------------------------------------------------------------

/** Starts a search. The deadline counts from the time of the event. */
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
  /** Hits to skip, for pages of one result. */
  std::uint32_t m_offset = 0;
  /** Snapshot of an earlier page, or nothing for the best one. */
  std::optional<VersionId> m_snapshot;
};

/** A well-formed reply of a replica. The echoed fields are as received; the
 *  engine compares them with what it sent. Length and checksum have been
 *  verified by the codec (m_intact). */
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
  /** False if length or checksum did not hold. */
  bool m_intact = true;
  bool m_draining = false;
  std::vector<Hit> m_hits;
};

enum class SubFailureKind
{
  /** No connection was made: the request cannot have run. */
  ConnectFailed,
  /** The connection broke after the request was sent. */
  Reset,
  /** Refused by the backend server without running. */
  Shed,
  Draining,
  VersionGone,
  DeadlinePassed,
  /** The reply could not be decoded. */
  Malformed,
  /** The transport gave up waiting. */
  TimedOut,
};

std::string_view
NameOf(SubFailureKind aKind);

/** Whether the failure is proof that the request did not run and will not. */
bool
ProvesNotRun(SubFailureKind aKind);

struct SubFailure
{
  AttemptId m_attempt = 0;
  SubFailureKind m_kind = SubFailureKind::Reset;
};

/** The caller has gone away. */
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

/** The reply is no longer needed. The engine still expects no further event
 *  for the attempt and ignores one that comes. */
struct CancelSubRequest
{
  AttemptId m_attempt = 0;
  std::string m_replica;
};

/** Coverage of one answer. */
struct CoverageReport
{
  /** Documents searched over all documents of the snapshot, in [0, 1]. */
  double m_fraction = 0;
  DocumentCount m_documentsSearched = 0;
  DocumentCount m_documentsTotal = 0;
  std::uint32_t m_shardsAnswered = 0;
  std::uint32_t m_shardsTotal = 0;
  std::vector<std::string> m_missingShards;
};

/** Ends a search: an answer, or an error with the coverage reached. */
struct FinishSearch
{
  QueryId m_query = 0;
  std::optional<ErrorKind> m_error;
  std::string m_detail;
  Ran m_ran = Ran::Yes;
  VersionId m_snapshot = 0;
  CoverageReport m_coverage;
  std::vector<Hit> m_hits;
  std::uint32_t m_hedges = 0;
  std::uint32_t m_retries = 0;
};

using Action = std::variant<SendSubRequest, CancelSubRequest, FinishSearch>;
using Actions = std::vector<Action>;

// ---- Engine ---------------------------------------------------------------

/** Totals since the start, for metrics. */
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

/** A statement under suspicion, exchanged between entry hosts. */
struct SuspectReport
{
  std::uint64_t m_fingerprint = 0;
  /** Runs of the statement during which replicas died. */
  std::uint32_t m_crashes = 0;
  bool m_quarantined = false;
  /** Grows with each change of this entry; the larger one wins. */
  std::uint64_t m_version = 0;
  bool m_lifted = false;
  std::string m_statement;
};

/** Longest time for which two entry hosts can disagree about the member list.
 *  A share of connections and slots grows only after this time. */
inline constexpr Duration kShareGrowDelay{ 10000000 };

struct EngineOptions
{
  /** Data centre and region of this entry host. */
  std::string m_dataCentre;
  std::string m_region;
  /** Queries that run at once; further ones wait in the admission queue. */
  std::uint32_t m_maxRunningQueries = 512;
  /** Queries that may wait. */
  std::uint32_t m_maxQueuedQueries = 2048;
  /** False only to measure what the crash guard achieves. */
  bool m_crashGuard = true;
  /** False only to measure what admission achieves: each search starts at
   *  once. */
  bool m_admission = true;
  /** Start of this entry host beside others that already run. It then takes no
   *  share of connections and slots for kShareGrowDelay. Nothing for a host
   *  that is the first or only one. */
  std::optional<TimePoint> m_joinedAt;
};

/** Decides how each search is spread over replicas. Not thread-safe: one loop
 *  thread owns it. All methods append what is to be done to aActions. */
class QueryEngine
{
public:
  virtual ~QueryEngine() = default;

  /** Adds or replaces a service. Running queries keep the old definition. */
  virtual void SetService(TimePoint aNow, const ServiceSpec& aSpec) = 0;
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
  /** When FireTimers() is to be called next, if ever. */
  virtual std::optional<TimePoint> NextTimer() const = 0;

  /** The replica's /status could not be read. */
  virtual void StatusUnavailable(TimePoint aNow,
                                 const std::string& aReplica) = 0;
  /** A replica is draining according to the host list or another host. */
  virtual void MarkDraining(TimePoint aNow,
                            const std::string& aReplica,
                            std::uint64_t aIncarnation) = 0;
  /** Number of entry hosts among which connections and slots are divided. */
  virtual void SetLiveHosts(TimePoint aNow, std::uint32_t aLiveHosts) = 0;

  /** Replica for one command, chosen like one for a search, without those in
   *  aExclude; nothing if none may be used. The slot counts as used until
   *  CommandDone(). */
  virtual std::optional<std::string> PickCommandReplica(
    TimePoint aNow,
    const std::string& aService,
    const std::vector<std::string>& aExclude) = 0;
  /** Ends a command on aReplica; aFailure is empty for a reply. */
  virtual void CommandDone(TimePoint aNow,
                           const std::string& aReplica,
                           Duration aLatency,
                           std::optional<SubFailureKind> aFailure) = 0;

  /** Suspects and quarantines known here, and those learned elsewhere. */
  virtual std::vector<SuspectReport> Suspects() const = 0;
  virtual void MergeSuspects(TimePoint aNow,
                             const std::vector<SuspectReport>& aReports,
                             Actions& aActions) = 0;
  /** Grows whenever Suspects() changes, so that a new suspect can be sent to
   *  the other hosts at once. */
  virtual std::uint64_t SuspectsVersion() const { return 0; }
  /** Lifts the quarantine of a fingerprint; false if there is none. */
  virtual bool LiftQuarantine(TimePoint aNow, std::uint64_t aFingerprint) = 0;

  /** Connections to aReplica that this host may hold, 0 if it is unknown. */
  virtual std::uint32_t ConnectionShare(TimePoint, const std::string&)
  {
    return 0;
  }

  /** Refuses new searches with ShuttingDown from now on; those that run or
   *  wait are finished. The host may stop when Idle(). */
  virtual void BeginShutdown(TimePoint) {}
  /** No search runs or waits, and no command is out. */
  virtual bool Idle() const { return RunningQueries() == 0; }

  virtual std::size_t RunningQueries() const = 0;
  virtual EngineCounters Counters() const = 0;
};

/** aRandom must outlive the engine. */
std::unique_ptr<QueryEngine>
MakeQueryEngine(const EngineOptions& aOptions, RandomSource& aRandom);

} // namespace goldcrestkeel
