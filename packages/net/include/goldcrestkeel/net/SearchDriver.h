#pragma once

#include <goldcrestkeel/core/QueryEngine.h>
#include <goldcrestkeel/net/BackendClient.h>
#include <goldcrestkeel/net/EventLoop.h>

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace goldcrestkeel {

/** Receives crash suspects and drains that this host detects, to report them to
 *  the other entry hosts. */
class SearchObserver
{
public:
  virtual ~SearchObserver() = default;
  /** Called with the suspects that are new or have changed on this host. */
  virtual void OnSuspectsChanged(
    const std::vector<SuspectReport>& aReports) = 0;
  /** Called once for each incarnation of a replica whose status says that it is
   *  draining. */
  virtual void OnReplicaDraining(const std::string& aReplica,
                                 std::uint64_t aIncarnation) = 0;
};

/** Connects the query engine to the backend servers: executes its actions, runs
 *  its timer and polls the status of the replicas. Not thread-safe; used on the
 *  loop thread only. */
class SearchDriver
{
public:
  using Done = std::function<void(FinishSearch&&)>;

  /** All arguments must outlive the driver. */
  SearchDriver(EventLoop& aLoop, QueryEngine& aEngine, BackendClient& aBackend);
  ~SearchDriver();
  SearchDriver(const SearchDriver&) = delete;
  SearchDriver& operator=(const SearchDriver&) = delete;

  /** Replaces the services of the engine: adds or updates those in aServices
   *  and drops all others. */
  void SetServices(const std::map<std::string, ServiceSpec>& aServices);
  const std::map<std::string, ServiceSpec>& Services() const
  {
    return m_services;
  }

  /** Starts a search and returns its id, which the driver assigns. aDone is
   *  called once, possibly before Search() returns. */
  QueryId Search(StartSearch aSearch, Done aDone);
  /** Cancels a search after its caller disconnected; its callback is not
   *  called. */
  void Cancel(QueryId aQuery);

  /** Starts to poll the status of every replica; a replica is polled again
   *  aInterval after its last reply or failure. */
  void StartPolling(Duration aInterval);

  /** Sets the observer, which must outlive the driver. */
  void SetObserver(SearchObserver* aObserver) { m_observer = aObserver; }
  /** Passes the suspects that have changed since the last report to the
   *  observer. */
  void ReportSuspects();
  /** Merges the suspects that another entry host has reported. */
  void MergeSuspectReports(const std::vector<SuspectReport>& aReports);
  /** Marks a replica as draining after the report of another entry host. */
  void MarkReplicaDraining(const std::string& aReplica,
                           std::uint64_t aIncarnation);

  /** Number of running searches. */
  std::size_t Running() const { return m_running.size(); }
  /** Address of a replica; empty if the replica is unknown. */
  std::string AddressOf(const std::string& aReplica) const;
  QueryEngine& Engine() { return m_engine; }
  /** Executes actions that a direct call of Engine() has returned. */
  void Execute(Actions& aActions);

private:
  void Send(const SendSubRequest& aRequest);
  void Finish(FinishSearch&& aFinish);
  void ArmTimer();
  void PollStatus(const std::string& aReplica);
  void ScheduleStatusPoll(const std::string& aReplica);
  bool IsConfigured(const std::string& aReplica) const;

  EventLoop& m_loop;
  QueryEngine& m_engine;
  BackendClient& m_backend;
  std::map<std::string, ServiceSpec> m_services;
  std::unordered_map<std::string, std::string> m_addresses;
  std::unordered_map<std::string, TimerId> m_pollTimers;
  std::unordered_map<QueryId, Done> m_running;
  void HandleStatus(const ReplicaStatus& aStatus, Actions& aActions);

  SearchObserver* m_observer = nullptr;
  std::unordered_map<std::uint64_t, std::uint64_t> m_knownSuspectVersions;
  std::unordered_map<std::string, std::uint64_t> m_reportedDrains;
  QueryId m_nextQuery = 1;
  TimerId m_timer = 0;
  std::optional<TimePoint> m_timerAt;
  Duration m_pollInterval{ 0 };
};

} // namespace goldcrestkeel
