#pragma once

#include <goldcrestkeel/Core.h>
#include <goldcrestkeel/testing/EventQueue.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestkeel::benchmark {

/** Configuration of the engines, the fake replicas and the network between data
 *  centres. */
struct SimulationOptions
{
  std::uint64_t m_seed = 1;
  int m_engines = 1;
  int m_shards = 10;
  /** Replicas of each shard, one in each of the first data centres. */
  int m_replicas = 3;
  /** Requests that a replica runs at the same time. */
  std::uint32_t m_slots = 3;
  std::uint32_t m_connections = 30;
  /** One-way network delays: element i is the delay from a data centre to the
   *  i-th one after it, counted cyclically. There is one data centre for each
   *  element, and engines are assigned to the data centres in turn. */
  std::vector<Duration> m_dataCentreDelays{ Duration{ 250 },
                                            Duration{ 4000 },
                                            Duration{ 8000 } };
  /** Mean time that a replica takes to run a sub-request. */
  Duration m_meanServiceTime{ 5000 };
  /** Probability that a sub-request takes m_stragglerFactor times as long. */
  double m_stragglerProbability = 0;
  double m_stragglerFactor = 20;
  /** Probability that a message is lost. TCP retransmits it after
   *  kRetransmissionTimeout. */
  double m_lossProbability = 0;
  /** A replica with this many queued requests sheds new ones. */
  std::size_t m_maxQueueLength = 100;
  ServicePolicy m_policy;
  bool m_crashGuard = true;
  bool m_admission = true;
  /** Interval at which each engine reads the status of all replicas. */
  Duration m_statusInterval{ 1000000 };
  /** Time until the suspect reports of an engine reach the other engines. */
  Duration m_suspectPropagationDelay{ 50000 };
  /** Time that a replica takes to restart after a crash. */
  Duration m_restartDelay{ 2000000 };
  /** Whether replies and statuses report that the replica is draining. */
  bool m_reportDraining = true;
};

/** Start, end and answer of one search as seen by its caller. */
struct SearchOutcome
{
  TimePoint m_sentAt;
  TimePoint m_answeredAt;
  FinishSearch m_answer;
};

/** A simulated replica. Benchmarks set the fields to inject faults. */
struct FakeReplica
{
  std::string m_id;
  std::string m_shard;
  int m_dataCentre = 0;
  /** Factor on the service time. */
  double m_slowdown = 1;
  bool m_alive = true;
  bool m_draining = false;
  bool m_cold = false;
  std::uint64_t m_incarnation = 1;
  int m_crashCount = 0;
  /** Requests that arrived while the replica was running, and the time of the
   *  last one. */
  std::uint64_t m_arrived = 0;
  TimePoint m_lastArrival;
};

/** Discrete-event simulation of query engines and fake replicas under one
 *  virtual clock. The same seed gives the same run. */
class Simulation
{
public:
  explicit Simulation(const SimulationOptions& aOptions);
  ~Simulation();

  using Callback = std::function<void(const SearchOutcome&)>;

  TimePoint Now() const { return m_events.Now(); }
  RandomSource& Random() { return *m_random; }
  QueryEngine& Engine(int aEngine) { return *m_engines[aEngine].m_engine; }
  std::vector<FakeReplica>& Replicas() { return m_replicas; }

  /** Schedules aAction at aTime, or now if aTime has passed. */
  void At(TimePoint aTime, std::function<void()> aAction);
  void After(Duration aDelay, std::function<void()> aAction);

  /** Submits a search to an engine. aDone is called with the answer. */
  void Search(int aEngine, const StartSearch& aRequest, Callback aDone);
  /** Submits searches to each engine until aEnd as a Poisson process with aRate
   *  searches per second. */
  void GenerateLoad(double aRate, TimePoint aEnd, const StartSearch& aRequest);
  /** Processes all events up to aEnd and advances the clock to aEnd. */
  void Run(TimePoint aEnd);

  /** Sets a statement that crashes each replica that runs it. */
  void SetCrashingStatement(const std::string& aStatement)
  {
    m_crashingStatement = aStatement;
  }
  /** Crashes a replica: connections are refused, and its queued and running
   *  requests fail with a connection reset. */
  void KillReplica(std::size_t aReplica);
  /** Restarts a crashed replica with a new incarnation. */
  void RestartReplica(std::size_t aReplica);

  /** Sends one request from a data centre to a replica without an engine. aDone
   *  is called with true for a reply and with false for a failure. */
  void SendDirect(std::size_t aReplica,
                  int aDataCentre,
                  std::function<void(bool)> aDone);
  /** One-way network delay between two data centres without packet loss. */
  Duration OneWayDelay(int aFrom, int aTo) const;
  /** Number of queued and running requests of a replica. */
  std::size_t PendingRequests(std::size_t aReplica) const;

  /** Answers to the searches of GenerateLoad(). */
  const std::vector<SearchOutcome>& Outcomes() const { return m_outcomes; }
  /** Number of sub-requests sent by all engines, in total and to one shard. */
  std::uint64_t SentSubRequests() const { return m_sent; }
  std::uint64_t SentSubRequestsTo(const std::string& aShard) const;
  /** Sum of the counters of all engines; only those that the benchmarks use. */
  EngineCounters TotalCounters() const;
  /** Number of searches of an engine without an answer. */
  std::size_t UnansweredSearches(int aEngine) const;
  /** Sets a function that returns the statement of each search of
   *  GenerateLoad(). */
  void SetStatementSource(std::function<std::string()> aSource)
  {
    m_statementSource = std::move(aSource);
  }

private:
  struct ReplicaState;
  struct PendingRequest;
  struct EngineHost
  {
    std::unique_ptr<RandomSource> m_random;
    std::unique_ptr<QueryEngine> m_engine;
    std::unordered_map<QueryId, std::pair<TimePoint, Callback>> m_unanswered;
    TimePoint m_timerAt = TimePoint::max();
    std::uint64_t m_sharedSuspectsVersion = 0;
    int m_dataCentre = 0;
  };
  void ExecuteActions(int aEngine, Actions& aActions);
  void ScheduleTimer(int aEngine);
  void Send(int aEngine, const SendSubRequest& aSend);
  void Arrive(std::size_t aReplica, std::shared_ptr<PendingRequest> aPending);
  void StartNext(std::size_t aReplica);
  void Complete(std::size_t aReplica,
                const std::shared_ptr<PendingRequest>& aPending);
  void Deliver(const std::shared_ptr<PendingRequest>& aPending,
               Duration aDelay);
  void PollReplicaStatuses(int aEngine);
  void ShareSuspects(int aEngine);
  Duration SampleNetworkDelay(int aFrom, int aTo);
  Duration SampleServiceTime(const FakeReplica& aReplica);
  void ScheduleNextSearch(int aEngine,
                          double aRate,
                          TimePoint aEnd,
                          const StartSearch& aRequest);

  SimulationOptions m_options;
  std::unique_ptr<RandomSource> m_random;
  testing::EventQueue m_events{ TimePoint(Duration{ 0 }) };
  std::vector<EngineHost> m_engines;
  std::vector<FakeReplica> m_replicas;
  std::vector<ReplicaState> m_replicaStates;
  std::unordered_map<std::string, std::size_t> m_replicaIndices;
  std::vector<SearchOutcome> m_outcomes;
  std::string m_crashingStatement;
  QueryId m_nextQuery = 1;
  std::uint64_t m_sent = 0;
  std::unordered_map<std::string, std::uint64_t> m_sentTo;
  std::function<std::string()> m_statementSource;
};

/** Virtual time aSeconds after the start of a simulation. */
TimePoint
TimeAtSeconds(double aSeconds);

/** Latency of each search, in milliseconds. */
std::vector<double>
LatenciesMs(const std::vector<SearchOutcome>& aOutcomes);

/** Mean coverage of the answers; 0 for refused searches. */
double
MeanCoverage(const std::vector<SearchOutcome>& aOutcomes);

} // namespace goldcrestkeel::benchmark
