#pragma once

#include "Settings.h"

#include <goldcrestkeel/standins/HttpServer.h>
#include <goldcrestkeel/standins/ShardIndex.h>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <deque>
#include <fstream>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

namespace goldcrestkeel::standins {

/** One simulated replica. All state is confined to the thread that calls Run();
 *  the HTTP threads only post requests to its event loop. Delays are timers, so
 *  that no thread blocks. */
class Backend
{
public:
  /** Loads the shard files. Throws if one cannot be read or is malformed. */
  explicit Backend(BackendSettings aSettings);
  /** Runs the event loop until a signal ends the process. */
  void Run();

private:
  using SteadyTime = std::chrono::steady_clock::time_point;
  using Json = nlohmann::json;

  /** A search or command request, from its arrival to its reply. */
  struct Job
  {
    bool m_isCommand = false;
    std::shared_ptr<Responder> m_responder;
    std::string m_origin;
    std::uint64_t m_queryId = 0;
    std::uint64_t m_attemptId = 0;
    std::string m_shard;
    std::uint64_t m_version = 0;
    std::string m_statement;
    std::size_t m_maxHits = 0;
    std::string m_key;
    std::string m_body;
    /** Wall-clock time, in milliseconds since the epoch, after which a command
     *  must not start. */
    std::int64_t m_startBeforeMs = 0;
    SteadyTime m_deadline;
    /** Mean one-way network delay to the origin. */
    Microseconds m_linkDelay{ 0 };
    /** Fraction of the documents that the search reaches. */
    double m_searchedFraction = 1;
    bool m_queued = false;
    bool m_running = false;
    bool m_cancelled = false;
  };
  using JobPointer = std::shared_ptr<Job>;
  using VersionAndShard = std::pair<std::uint64_t, std::string>;

  struct Counters
  {
    std::uint64_t m_requests = 0;
    std::uint64_t m_searches = 0;
    std::uint64_t m_commands = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_overConnectionCap = 0;
    std::uint64_t m_maxConnections = 0;
    std::uint64_t m_maxInFlight = 0;
    /** Largest number of requests that waited for a slot at the same time. */
    std::uint64_t m_maxWaiting = 0;
    /** Requests that arrived after the drain grace period. */
    std::uint64_t m_workAfterDrain = 0;
    std::map<std::string, std::uint64_t> m_refused;
  };

  void OnRequest(HttpRequest aRequest);
  void OnJob(const HttpRequest& aRequest, bool aCommand);
  void OnCancel(const HttpRequest& aRequest);
  void OnStatus(const HttpRequest& aRequest);
  static JobPointer ReadJob(const HttpRequest& aRequest, bool aCommand);

  /** Queues the job, or refuses it if it was cancelled, the drain grace period
   *  has passed, or the queue is full. */
  void Admit(const JobPointer& aJob);
  void StartQueuedJobs();
  void Start(const JobPointer& aJob);
  /** Frees the slot and sends the reply, when the run ends or is cancelled. */
  void Finish(const JobPointer& aJob);
  /** Returns the reason to refuse the job instead of starting it, or null. */
  const char* StartRefusalReason(const Job& aJob) const;
  void Refuse(const JobPointer& aJob, const std::string& aReason);
  /** Counts the run, and appends its key to the runs file. */
  void RecordCommandRun(const std::string& aKey);
  Json SearchReply(const Job& aJob) const;
  Json CommandReply(const Job& aJob) const;
  /** Sends the reply after the network delay. */
  void ScheduleReply(const JobPointer& aJob, const Json& aBody);
  /** Sends the reply with the faults that apply to it. */
  void SendReply(const JobPointer& aJob, const Json& aBody);
  /** Sends a reply with shortened hits or a shortened body. */
  void SendTruncatedReply(const Job& aJob, Json aBody);

  /** Mean one-way delay for this origin or client address. */
  Microseconds LinkDelay(const std::string& aOrigin, const std::string& aPeer);
  /** Draws the one-way delay of one message, with jitter and retransmission. */
  Microseconds SampleTransitDelay(Microseconds aLinkDelay);
  Microseconds SampleServiceTime();
  /** Returns true with the given probability. */
  bool RandomBool(double aProbability);
  bool DrainGraceExpired() const;
  bool IsCold() const;
  /** Milliseconds since the epoch, with the simulated clock error. */
  std::int64_t WallClockMs() const;
  Json BuildStatus() const;
  void RecordStatusSample();

  void OnAdmin(HttpRequest aRequest);
  Json ApplyAdmin(const Json& aCommand);
  void ApplyAdminField(const std::string& aName, const Json& aValue);
  Json AdminState() const;
  void LoadIndex(const std::string& aPath);
  /** Runs aAction on the event loop after aDelay. */
  template<typename Action>
  void RunAfter(Microseconds aDelay, Action aAction);

  BackendSettings m_settings;
  boost::asio::io_context m_io;
  std::mt19937_64 m_random;
  std::uint64_t m_incarnation = 0;
  SteadyTime m_startTime;
  Faults m_faults;
  /** The process aborts when it has run a statement or command body that
   *  contains this text; empty for none. */
  std::string m_crashText;
  /** JSON merge patch that is applied to the replies of /status. */
  Json m_statusOverride = Json::object();
  std::optional<SteadyTime> m_drainingSince;
  std::map<VersionAndShard, std::shared_ptr<const ShardIndex>> m_indexes;
  std::deque<JobPointer> m_queuedJobs;
  /** Jobs that are in transit, queued or running, by origin and attempt. */
  std::map<std::pair<std::string, std::uint64_t>, JobPointer> m_activeJobs;
  std::uint32_t m_runningCount = 0;
  /** Number of runs of each command, by idempotency key. */
  std::map<std::string, std::uint64_t> m_commandRuns;
  std::ofstream m_runsFile;
  Counters m_counters;
  /** Last reply of each kind (search, command), for the fault "cross". */
  Json m_lastReply[2];
  /** Samples of the status, oldest first, for the fault "status_lag_ms". */
  std::deque<std::pair<SteadyTime, Json>> m_statusHistory;
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<HttpServer> m_admin;
};

} // namespace goldcrestkeel::standins
