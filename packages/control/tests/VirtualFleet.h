#pragma once

#include <goldcrestkeel/Control.h>
#include <goldcrestkeel/Core.h>
#include <goldcrestkeel/testing/EventQueue.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace goldcrestkeel {

/** In-memory fake of the platform's store with a single key and injectable
 *  faults. */
struct FakeStore
{
  std::string m_value;
  std::uint64_t m_index = 0;
  bool m_down = false;
  Duration m_delay = std::chrono::milliseconds{ 5 };
  /** Probability that the reply to a write is lost. Half of these writes take
   *  effect, after a random delay. */
  double m_replyLossProbability = 0;
  std::uint64_t m_calls = 0;
  std::uint64_t m_reads = 0;
  std::uint64_t m_writes = 0;
};

/** Simulation of entry hosts with fakes of the network, the store and the host
 *  list under one virtual clock. After each event it checks the configuration
 *  invariants of section 1.2. Hosts are named "h0", "h1" and so on; the name is
 *  also the address. */
class VirtualFleet
{
public:
  struct Options
  {
    std::size_t m_hosts = 7;
    std::size_t m_dataCentres = 3;
    /** Minimum one-way network delay. */
    Duration m_delay = std::chrono::milliseconds{ 4 };
    /** Probability that a message is lost. */
    double m_loss = 0;
    std::uint64_t m_seed = 1;
  };

  struct Host
  {
    std::string m_name;
    std::unique_ptr<RandomSource> m_random;
    std::unique_ptr<ControlNode> m_node;
    bool m_up = false;
    bool m_paused = false;
    /** Partition of the network to which the host belongs. */
    int m_group = 0;
    /** Incremented by each start and stop, so that events for an earlier
     *  process are dropped. */
    std::uint64_t m_processId = 0;
    Revision m_revision = 0;
    TimePoint m_timerAt = TimePoint::max();
    /** Events that arrived while the host was paused. */
    std::vector<std::function<void()>> m_deferred;
    /** Sender and probe of each received probe without an answer. */
    std::map<std::uint64_t, std::pair<std::size_t, ProbeId>> m_requests;
  };

  explicit VirtualFleet(const Options& aOptions);

  void StartHost(std::size_t aHost);
  void StartAllHosts();
  /** Ends the process of the host; connections to it are refused. */
  void KillHost(std::size_t aHost);
  /** Suspends the process of the host; events for it wait until
   *  ResumeHost(). */
  void PauseHost(std::size_t aHost);
  void ResumeHost(std::size_t aHost);
  /** Assigns host i to group aGroups[i]. Hosts of different groups cannot reach
   *  each other, and group aGroupWithoutStore cannot reach the store. */
  void Partition(const std::vector<int>& aGroups, int aGroupWithoutStore = -1);
  void Heal();
  /** Adds a host to the host list, which hosts read once a second, or removes
   *  it. */
  void SetInHostList(std::size_t aHost, bool aListed);

  void Run(Duration aTime);
  /** Runs until aDone() returns true or aLimit has passed. Returns the last
   *  value of aDone(). */
  bool RunUntil(const std::function<bool()>& aDone, Duration aLimit);
  /** Schedules aAction at aTime. */
  void At(TimePoint aTime, std::function<void()> aAction);

  /** Injects or ends one random fault. */
  void InjectFault();
  /** Ends all faults and starts all stopped hosts. */
  void ClearFaults();

  /** Submits a configuration change through aHost. */
  void Change(std::size_t aHost,
              const std::string& aOperation,
              const std::string& aService,
              double aCoverage);
  ServiceSpec Service(const std::string& aName, double aCoverage) const;

  TimePoint Now() const { return m_events.Now(); }
  Host& At(std::size_t aHost) { return m_hosts[aHost]; }
  const ControlNode& Node(std::size_t aHost) const;
  std::size_t Size() const { return m_hosts.size(); }
  FakeStore& GetFakeStore() { return m_store; }
  Configuration StoredConfiguration() const;
  /** True if all hosts that are up and not paused have at least this
   *  revision. */
  bool AllHostsHaveRevision(Revision aRevision) const;
  const std::multimap<std::string, ChangeResult>& Answers() const
  {
    return m_answers;
  }
  Revision AcceptedRevision() const { return m_accepted; }
  RandomSource& Random() { return *m_random; }
  /** Longest time from the write of a revision to the store until a host put it
   *  in force, over all running hosts. */
  Duration MaxPropagationTime() const { return m_maxPropagationTime; }
  /** Number of times that a host put an earlier revision in force. */
  std::uint64_t RevisionRollbacks() const { return m_revisionRollbacks; }
  /** Number of times that a host served a revision older than the latest
   *  accepted one. */
  std::uint64_t LostAcceptedChanges() const { return m_lostAcceptedChanges; }
  /** Number of changes that some serving host did not have when they were
   *  written to the store. They would have been lost for that host if they
   *  counted as accepted at the write. */
  std::uint64_t LostIfAcceptedAtWrite() const
  {
    return m_lostIfAcceptedAtWrite;
  }

  /** Called for each action of a host, with the index of the host. */
  std::function<void(std::size_t, const ControlAction&)> m_onSend;

private:
  using Handler = std::function<void(ControlNode&, ControlActions&)>;

  void After(Duration aDelay, std::function<void()> aAction);
  /** Calls aHandler on the host unless the process has ended; defers it while
   *  the host is paused. */
  void Deliver(std::size_t aHost, std::uint64_t aProcessId, Handler aHandler);
  void Execute(std::size_t aHost, ControlActions& aActions);
  void Execute(std::size_t aHost, const SendProbe& aAction);
  void Execute(std::size_t aHost, const AnswerProbe& aAction);
  void Execute(std::size_t aHost, const SendStoreCall& aAction);
  void Execute(std::size_t aHost, const PushDocument& aAction);
  void Execute(std::size_t aHost, const FetchDocument& aAction);
  void Execute(std::size_t aHost, const ConfigurationActivated& aAction);
  void Execute(std::size_t aHost, const ChangeAnswered& aAction);
  template<typename Other>
  void Execute(std::size_t, const Other&)
  {
  }
  void ExecuteWatch(std::size_t aHost, const SendStoreCall& aAction);
  StoreResult RunStoreCall(const StoreCall& aCall);
  void NotifyWatchers();
  void OnStoreWrite();
  void CheckServing(const Host& aHost);
  void ScheduleTimers(std::size_t aHost);
  /** Updates the host list entry of aHost after a random delay below aLag. */
  void UpdateHostListLater(std::size_t aHost, Duration aLag);
  /** Whether a message from aFrom arrives at aTo; random if messages may be
   *  lost. */
  bool IsDelivered(std::size_t aFrom, std::size_t aTo);
  std::size_t HostIndexOf(const std::string& aAddress) const;
  Duration RandomDelay();

  Options m_options;
  std::unique_ptr<RandomSource> m_random;
  std::vector<Host> m_hosts;
  std::set<std::size_t> m_listed;
  FakeStore m_store;
  int m_groupWithoutStore = -1;
  std::vector<std::function<void()>> m_watchers;
  std::uint64_t m_lastRequest = 0;
  testing::EventQueue m_events{ TimePoint(std::chrono::hours{ 1 }) };
  std::multimap<std::string, ChangeResult> m_answers;
  std::map<Revision, TimePoint> m_writtenAt;
  Duration m_maxPropagationTime{ 0 };
  Revision m_accepted = 0;
  std::uint64_t m_revisionRollbacks = 0;
  std::uint64_t m_lostAcceptedChanges = 0;
  std::uint64_t m_lostIfAcceptedAtWrite = 0;
};

} // namespace goldcrestkeel
