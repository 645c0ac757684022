#pragma once

#include <goldcrestkeel/core/QueryEngine.h>
#include <goldcrestkeel/net/BackendClient.h>
#include <goldcrestkeel/net/EventLoop.h>

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace goldcrestkeel {

/** What the driver sees of crashes and drains, for the other entry hosts. */
class SearchObserver
{
public:
  virtual ~SearchObserver() = default;
  /** Suspects that are new or have changed here. */
  virtual void OnSuspectsChanged(
    const std::vector<SuspectReport>& aReports) = 0;
  /** A replica reports that it drains; called once for each incarnation. */
  virtual void OnReplicaDraining(const std::string& aReplica,
                                 std::uint64_t aIncarnation) = 0;
};

/** Connects the query engine to the backend servers: carries out its actions,
 *  keeps its timer and polls the status of the replicas. Belongs to the loop
 *  thread. */
class SearchDriver
{
public:
  using Done = std::function<void(FinishSearch&&)>;

  /** All arguments must outlive the driver. */
  SearchDriver(EventLoop& aLoop, QueryEngine& aEngine, BackendClient& aBackend);
  ~SearchDriver();
  SearchDriver(const SearchDriver&) = delete;
  SearchDriver& operator=(const SearchDriver&) = delete;

  /** Makes the services known to the engine, and drops those that are gone. */
  void SetServices(const std::map<std::string, ServiceSpec>& aServices);
  const std::map<std::string, ServiceSpec>& Services() const
  {
    return m_services;
  }

  /** Starts a search; the driver sets its number, which it returns. aDone may
   *  be called before Search() returns. */
  QueryId Search(StartSearch aSearch, Done aDone);
  /** The caller has gone away; aDone is not called any more. */
  void Cancel(QueryId aQuery);

  /** Polls the status of every replica once in each aInterval. */
  void StartPolling(Duration aInterval);

  /** Sets the observer; it must outlive the driver. */
  void SetObserver(SearchObserver* aObserver) { m_observer = aObserver; }
  /** Tells the observer of suspects that have changed. */
  void ReportSuspects();
  /** Takes over what other entry hosts have reported. */
  void MergeSuspectReports(const std::vector<SuspectReport>& aReports);
  void MarkReplicaDraining(const std::string& aReplica,
                           std::uint64_t aIncarnation);

  std::size_t Running() const { return m_running.size(); }
  /** Address of a replica, empty if there is no such replica. */
  std::string AddressOf(const std::string& aReplica) const;
  QueryEngine& Engine() { return m_engine; }
  /** Carries out actions that another event of the engine returned. */
  void Execute(Actions& aActions);

private:
  void Send(const SendSubRequest& aRequest);
  void Finish(FinishSearch&& aFinish);
  void ArmTimer();
  void PollStatus(const std::string& aReplica);
  void ScheduleStatus(const std::string& aReplica);
  bool IsConfigured(const std::string& aReplica) const;

  EventLoop& m_loop;
  QueryEngine& m_engine;
  BackendClient& m_backend;
  std::map<std::string, ServiceSpec> m_services;
  std::unordered_map<std::string, std::string> m_addresses;
  std::unordered_map<std::string, TimerId> m_polls;
  std::unordered_map<QueryId, Done> m_running;
  void HandleStatus(const ReplicaStatus& aStatus, Actions& aActions);

  SearchObserver* m_observer = nullptr;
  std::unordered_map<std::uint64_t, std::uint64_t> m_suspectVersions;
  std::unordered_map<std::string, std::uint64_t> m_drains;
  QueryId m_nextQuery = 1;
  TimerId m_timer = 0;
  std::optional<TimePoint> m_timerAt;
  Duration m_pollInterval{ 0 };
};

} // namespace goldcrestkeel
