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

/** One simulated replica. All state belongs to the thread that calls Run();
 *  the HTTP threads only post to it. Delays are timers, so no thread waits. */
class Backend
{
public:
  /** Loads the shard files. */
  explicit Backend(BackendSettings aSettings);
  /** Serves until the process is ended by a signal. */
  void Run();

private:
  using SteadyTime = std::chrono::steady_clock::time_point;
  using Json = nlohmann::json;

  struct Job
  {
    bool m_command = false;
    std::shared_ptr<Responder> m_responder;
    std::string m_origin;
    std::uint64_t m_query = 0;
    std::uint64_t m_attempt = 0;
    std::string m_shard;
    std::uint64_t m_version = 0;
    std::string m_statement;
    std::size_t m_limit = 0;
    std::string m_key;
    std::string m_body;
    std::int64_t m_startBefore = 0;
    SteadyTime m_deadline;
    Microseconds m_link{ 0 };
    /** Share of the documents that the run reaches. */
    double m_searchedShare = 1;
    bool m_queued = false;
    bool m_running = false;
    bool m_cancelled = false;
  };
  using JobPointer = std::shared_ptr<Job>;
  using IndexKey = std::pair<std::uint64_t, std::string>;

  struct Counters
  {
    std::uint64_t m_requests = 0;
    std::uint64_t m_searches = 0;
    std::uint64_t m_commands = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_overConnectionCap = 0;
    std::uint64_t m_maxConnections = 0;
    std::uint64_t m_maxInFlight = 0;
    /** Most requests that waited for a slot at once. */
    std::uint64_t m_maxWaiting = 0;
    /** New work that arrived after the drain grace. */
    std::uint64_t m_workAfterDrain = 0;
    std::map<std::string, std::uint64_t> m_refused;
  };

  void OnRequest(HttpRequest aRequest);
  void OnJob(const HttpRequest& aRequest, bool aCommand);
  void OnCancel(const HttpRequest& aRequest);
  void OnStatus(const HttpRequest& aRequest);
  static JobPointer ReadJob(const HttpRequest& aRequest, bool aCommand);

  void Arrive(const JobPointer& aJob);
  void StartWaiting();
  void Start(const JobPointer& aJob);
  /** Ends the run, at its end or when it is cancelled. */
  void Finish(const JobPointer& aJob);
  /** Reason to refuse the job now, or null. */
  const char* RefusalAtStart(const Job& aJob) const;
  void Refuse(const JobPointer& aJob, const std::string& aReason);
  void RecordRun(const std::string& aKey);
  Json SearchReply(const Job& aJob) const;
  Json CommandReply(const Job& aJob) const;
  void Reply(const JobPointer& aJob, const Json& aBody);
  void Deliver(const JobPointer& aJob, const Json& aBody);
  void DeliverTruncated(const Job& aJob, Json aBody);

  Microseconds Link(const std::string& aOrigin, const std::string& aPeer);
  /** Link delay of one message with retransmissions. */
  Microseconds Transit(Microseconds aLink);
  Microseconds ServiceTime();
  bool Chance(double aShare);
  bool DrainGraceOver() const;
  bool Cold() const;
  std::int64_t WallNow() const;
  Json Status() const;
  void SampleStatus();

  void OnAdmin(HttpRequest aRequest);
  Json ApplyAdmin(const Json& aCommand);
  void ApplyAdminField(const std::string& aName, const Json& aValue);
  Json AdminState() const;
  void LoadIndex(const std::string& aPath);
  /** Runs aAction on the loop after aDelay. */
  template<typename Action>
  void After(Microseconds aDelay, Action aAction);

  BackendSettings m_settings;
  boost::asio::io_context m_io;
  std::mt19937_64 m_random;
  std::uint64_t m_incarnation = 0;
  SteadyTime m_started;
  Faults m_faults;
  std::string m_crashOn;
  Json m_statusOverride = Json::object();
  std::optional<SteadyTime> m_drainingSince;
  std::map<IndexKey, std::shared_ptr<const ShardIndex>> m_indexes;
  std::deque<JobPointer> m_waiting;
  std::map<std::pair<std::string, std::uint64_t>, JobPointer> m_jobs;
  std::uint32_t m_running = 0;
  std::map<std::string, std::uint64_t> m_runs;
  std::ofstream m_runsFile;
  Counters m_counters;
  /** Last reply of each kind (search, command), for crossed replies. */
  Json m_lastReply[2];
  std::deque<std::pair<SteadyTime, Json>> m_statusHistory;
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<HttpServer> m_admin;
};

} // namespace goldcrestkeel::standins
