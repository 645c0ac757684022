#pragma once

#include <goldcrestkeel/Control.h>
#include <goldcrestkeel/Core.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace goldcrestkeel {

/** Fake of the platform's store: one key, virtual time, faults. */
struct FakeStore
{
  std::string m_value;
  std::uint64_t m_index = 0;
  bool m_down = false;
  Duration m_delay = std::chrono::milliseconds{ 5 };
  /** Probability that the reply to a write is lost; half of these writes take
   *  effect, some of them late. */
  double m_lostReplies = 0;
  std::uint64_t m_calls = 0;
  std::uint64_t m_reads = 0;
  std::uint64_t m_writes = 0;
};

/** Entry hosts with fakes of the network, the store and the host list under one
 *  virtual clock. Each event checks the invariants of section 1.2 that concern
 *  the configuration. Hosts are named "h0", "h1"; the name is the address. */
class VirtualFleet
{
public:
  struct Options
  {
    std::size_t m_hosts = 7;
    std::size_t m_dataCentres = 3;
    Duration m_delay = std::chrono::milliseconds{ 4 };
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
    int m_group = 0;
    /** Grows with each start and stop, so that events for an earlier process
     *  are dropped. */
    std::uint64_t m_process = 0;
    Revision m_revision = 0;
    TimePoint m_wakeAt = TimePoint::max();
    std::vector<std::function<void()>> m_held;
    std::map<std::uint64_t, std::pair<std::size_t, ProbeId>> m_requests;
  };

  explicit VirtualFleet(const Options& aOptions);

  void StartHost(std::size_t aHost);
  void StartAll();
  /** The process ends; connections are refused. */
  void KillHost(std::size_t aHost);
  /** The process stops running; what reaches it waits until ResumeHost(). */
  void PauseHost(std::size_t aHost);
  void ResumeHost(std::size_t aHost);
  /** Hosts of different groups do not reach each other. Group aCutOff does not
   *  reach the store either. */
  void Partition(const std::vector<int>& aGroups, int aCutOff = -1);
  void Heal();
  /** The host list as hosts read it, once a second. */
  void SetListed(std::size_t aHost, bool aListed);

  void Run(Duration aTime);
  /** Runs until aDone() or aLimit has passed; returns whether it is done. */
  bool RunUntil(const std::function<bool()>& aDone, Duration aLimit);
  void At(TimePoint aTime, std::function<void()> aAction);

  /** Injects one random fault, or ends one. */
  void InjectFault();
  /** Ends all faults and starts all hosts. */
  void EndFaults();

  /** Sends a change through aHost. */
  void Change(std::size_t aHost,
              const std::string& aOperation,
              const std::string& aService,
              double aCoverage);
  ServiceSpec Service(const std::string& aName, double aCoverage) const;

  TimePoint Now() const { return m_now; }
  Host& At(std::size_t aHost) { return m_hosts[aHost]; }
  const ControlNode& Node(std::size_t aHost) const;
  std::size_t Size() const { return m_hosts.size(); }
  FakeStore& TheStore() { return m_store; }
  Configuration Stored() const;
  /** Hosts that are up and not paused have at least this revision. */
  bool AllHave(Revision aRevision) const;
  const std::multimap<std::string, ChangeResult>& Answers() const
  {
    return m_answers;
  }
  Revision Accepted() const { return m_accepted; }
  RandomSource& Random() { return *m_random; }
  /** Longest time from a write to its being in force on all running hosts. */
  Duration InForceMax() const { return m_inForceMax; }
  std::uint64_t Reverts() const { return m_reverts; }
  std::uint64_t LostAccepted() const { return m_lostAccepted; }
  /** Changes that would have been lost for some host if they counted as
   * accepted at their write. */
  std::uint64_t LostAtWrite() const { return m_lostAtWrite; }

  /** Called for each message sent, with the sender. */
  std::function<void(std::size_t, const ControlAction&)> m_onSend;

private:
  struct Event
  {
    TimePoint m_at;
    std::uint64_t m_number = 0;
    std::function<void()> m_run;
    bool operator>(const Event& aOther) const
    {
      return std::tie(m_at, m_number) > std::tie(aOther.m_at, aOther.m_number);
    }
  };
  using Handler = std::function<void(ControlNode&, ControlActions&)>;

  void After(Duration aDelay, std::function<void()> aAction);
  void Deliver(std::size_t aHost, std::uint64_t aProcess, Handler aHandler);
  void Carry(std::size_t aHost, ControlActions& aActions);
  void Carry(std::size_t aHost, const SendProbe& aAction);
  void Carry(std::size_t aHost, const AnswerProbe& aAction);
  void Carry(std::size_t aHost, const SendStoreCall& aAction);
  void Carry(std::size_t aHost, const PushDocument& aAction);
  void Carry(std::size_t aHost, const FetchDocument& aAction);
  void Carry(std::size_t aHost, const ConfigurationActivated& aAction);
  void Carry(std::size_t aHost, const ChangeAnswered& aAction);
  template<typename Other>
  void Carry(std::size_t, const Other&)
  {
  }
  void CarryWatch(std::size_t aHost, const SendStoreCall& aAction);
  StoreResult RunStoreCall(const StoreCall& aCall);
  void NotifyWatchers();
  void Written();
  void CheckServing(const Host& aHost);
  void Wake(std::size_t aHost);
  /** Brings the host list up to date for aHost after at most aLag. */
  void ListLate(std::size_t aHost, Duration aLag);
  bool Reaches(std::size_t aFrom, std::size_t aTo);
  std::size_t Find(const std::string& aAddress) const;
  Duration Delay();

  Options m_options;
  std::unique_ptr<RandomSource> m_random;
  std::vector<Host> m_hosts;
  std::set<std::size_t> m_listed;
  FakeStore m_store;
  int m_cutOff = -1;
  std::vector<std::function<void()>> m_watchers;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::uint64_t m_lastEvent = 0;
  std::uint64_t m_lastRequest = 0;
  TimePoint m_now{ std::chrono::hours{ 1 } };
  std::multimap<std::string, ChangeResult> m_answers;
  std::map<Revision, TimePoint> m_writtenAt;
  Duration m_inForceMax{ 0 };
  Revision m_accepted = 0;
  std::uint64_t m_reverts = 0;
  std::uint64_t m_lostAccepted = 0;
  std::uint64_t m_lostAtWrite = 0;
};

} // namespace goldcrestkeel
