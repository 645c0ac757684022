#pragma once

#include <goldcrestkeel/Core.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestkeel::benchmark {

/** Shape of the fake replicas and of the network between data centres. */
struct SimulationOptions
{
  std::uint64_t m_seed = 1;
  int m_engines = 1;
  int m_shards = 10;
  int m_replicas = 3;
  std::uint32_t m_slots = 3;
  std::uint32_t m_connections = 30;
  /** One-way delay from the engine's data centre to that of each copy. Engines
   *  are spread over the data centres in turn. */
  std::vector<Duration> m_delays{ Duration{ 250 },
                                  Duration{ 4000 },
                                  Duration{ 8000 } };
  /** Mean time in which a replica answers a sub-request. */
  Duration m_service{ 5000 };
  double m_stragglers = 0;
  double m_stragglerFactor = 20;
  /** Messages lost; TCP sends them again after kRetransmission. */
  double m_loss = 0;
  /** A replica whose queue is this long refuses. */
  std::size_t m_maxQueue = 100;
  ServicePolicy m_policy;
  bool m_crashGuard = true;
  bool m_admission = true;
  Duration m_statusInterval{ 1000000 };
  /** Propagation of suspects between engines. */
  Duration m_suspectDelay{ 50000 };
  /** Time that a replica needs to start again after a crash. */
  Duration m_restart{ 2000000 };
  /** Replies and statuses report draining. */
  bool m_drainSignals = true;
};

/** One search as its caller sees it. */
struct Outcome
{
  TimePoint m_sentAt;
  TimePoint m_endedAt;
  FinishSearch m_answer;
};

/** A replica with slots, a queue and the faults of the experiment. */
struct FakeReplica
{
  std::string m_id;
  std::string m_shard;
  int m_dataCentre = 0;
  double m_slowness = 1;
  bool m_alive = true;
  bool m_draining = false;
  bool m_cold = false;
  std::uint64_t m_incarnation = 1;
  int m_deaths = 0;
  std::uint64_t m_arrived = 0;
  TimePoint m_lastArrival;
};

/** Engines and fake replicas in virtual time. All randomness comes from the
 *  seed. */
class Simulation
{
public:
  explicit Simulation(const SimulationOptions& aOptions);
  ~Simulation();

  using Callback = std::function<void(const Outcome&)>;

  TimePoint Now() const { return m_now; }
  RandomSource& Random() { return *m_random; }
  QueryEngine& Engine(int aEngine) { return *m_engines[aEngine].m_engine; }
  std::vector<FakeReplica>& Replicas() { return m_replicas; }

  void At(TimePoint aTime, std::function<void()> aAction);
  void After(Duration aDelay, std::function<void()> aAction);

  /** Sends a search to an engine; aDone is called with the answer. */
  void Search(int aEngine, const StartSearch& aRequest, Callback aDone);
  /** Searches at random times with aRate per second on each engine. */
  void Load(double aRate, TimePoint aEnd, const StartSearch& aRequest);
  /** Runs until no event is left or aEnd is reached. */
  void Run(TimePoint aEnd);

  /** Statement that crashes each replica which runs it. */
  void SetCrashing(const std::string& aStatement) { m_crashing = aStatement; }
  void Kill(std::size_t aReplica);
  void Revive(std::size_t aReplica);

  /** Runs one request on a replica without an engine; aDone gets true for a
   *  reply. */
  void Direct(std::size_t aReplica,
              int aDataCentre,
              std::function<void(bool)> aDone);
  Duration Delay(int aFrom, int aTo) const;
  std::size_t Busy(std::size_t aReplica) const;

  /** Answers to the searches of Load(). */
  const std::vector<Outcome>& Outcomes() const { return m_outcomes; }
  /** Sub-requests sent by the engines. */
  std::uint64_t Sent() const { return m_sent; }
  std::uint64_t SentTo(const std::string& aShard) const;
  EngineCounters Totals() const;
  /** Searches of an engine without an answer. */
  std::size_t Waiting(int aEngine) const;
  /** Source of the statements of Load(). */
  void SetStatements(std::function<std::string()> aStatements)
  {
    m_statements = std::move(aStatements);
  }

private:
  struct Node;
  struct Work;
  struct Host
  {
    std::unique_ptr<RandomSource> m_random;
    std::unique_ptr<QueryEngine> m_engine;
    std::unordered_map<QueryId, std::pair<TimePoint, Callback>> m_waiting;
    TimePoint m_timer = TimePoint::max();
    std::uint64_t m_suspects = 0;
    int m_dataCentre = 0;
  };
  struct Event
  {
    TimePoint m_at;
    std::uint64_t m_order = 0;
    std::function<void()> m_action;
    bool operator<(const Event& aOther) const
    {
      return m_at != aOther.m_at ? m_at > aOther.m_at
                                 : m_order > aOther.m_order;
    }
  };

  void Apply(int aEngine, Actions& aActions);
  void ArmTimer(int aEngine);
  void Send(int aEngine, const SendSubRequest& aSend);
  void Arrive(std::size_t aReplica, std::shared_ptr<Work> aWork);
  void StartNext(std::size_t aReplica);
  void Complete(std::size_t aReplica, const std::shared_ptr<Work>& aWork);
  void Deliver(const std::shared_ptr<Work>& aWork, Duration aDelay);
  void Poll(int aEngine);
  void ShareSuspects(int aEngine);
  Duration Network(int aFrom, int aTo);
  Duration ServiceTime(const FakeReplica& aReplica);
  void Arrivals(int aEngine,
                double aRate,
                TimePoint aEnd,
                const StartSearch& aRequest);

  SimulationOptions m_options;
  std::unique_ptr<RandomSource> m_random;
  TimePoint m_now{ Duration{ 0 } };
  std::uint64_t m_order = 0;
  std::priority_queue<Event> m_events;
  std::vector<Host> m_engines;
  std::vector<FakeReplica> m_replicas;
  std::vector<Node> m_nodes;
  std::unordered_map<std::string, std::size_t> m_indices;
  std::vector<Outcome> m_outcomes;
  std::string m_crashing;
  QueryId m_nextQuery = 1;
  std::uint64_t m_sent = 0;
  std::unordered_map<std::string, std::uint64_t> m_sentTo;
  std::function<std::string()> m_statements;
};

TimePoint
Seconds(double aSeconds);

/** Milliseconds from the start to the answer of each outcome. */
std::vector<double>
Latencies(const std::vector<Outcome>& aOutcomes);

/** Mean coverage of the answers; a refusal counts as 0. */
double
MeanCoverage(const std::vector<Outcome>& aOutcomes);

} // namespace goldcrestkeel::benchmark
