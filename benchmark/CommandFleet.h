#pragma once

#include <goldcrestkeel/Control.h>
#include <goldcrestkeel/Core.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace goldcrestkeel::benchmark {

/** What happens to one message or call. */
enum class DeliveryOutcome
{
  Delivered,
  /** The request is lost; its sender waits for the time-out. */
  RequestLost,
  /** The request takes effect, the reply is lost. */
  ReplyLost,
  /** The request takes effect after its sender has given it up. */
  Late,
  /** No connection is made. */
  Refused,
  /** Refused by the receiver without effect. */
  Shed,
  /** The reply belongs to another request. */
  MismatchedReply,
};

struct FleetOptions
{
  std::string m_strategy = "leased_range";
  std::size_t m_hosts = 7;
  std::size_t m_replicas = 5;
  std::uint64_t m_seed = 1;
  /** One-way delays. */
  Duration m_peerDelay{ 8000 };
  Duration m_storeDelay{ 2000 };
  Duration m_backendDelay{ 1000 };
  /** Violations throw; otherwise they are only counted. */
  bool m_assertInvariants = true;
  CommandGuardOptions m_guard;
};

/** Command guards on a virtual clock, with small fakes of the store, the peer
 *  transport, the backend servers and the member list. Faults are set by hand
 *  or by hooks. */
class CommandFleet
{
public:
  using Done = std::function<void(const CommandOutcome&)>;

  explicit CommandFleet(const FleetOptions& aOptions);
  CommandFleet(const CommandFleet&) = delete;
  CommandFleet& operator=(const CommandFleet&) = delete;

  // Time.
  TimePoint Now() const { return m_now; }
  /** Wall clock without error. */
  WallTime TrueWallTime() const;
  void After(Duration aDelay, std::function<void()> aWork);
  void RunFor(Duration aTime);
  RandomSource& Random() { return *m_random; }

  // Callers.
  /** Sends a command to a host; aDone is called at most once, not at all if
   *  the host is lost. Returns false if no connection can be made. */
  bool Submit(std::size_t aHost,
              const Command& aCommand,
              Duration aDeadline,
              Done aDone);
  /** Submits and runs until the answer or the deadline; nothing if no answer
   *  came. */
  std::optional<CommandOutcome> SubmitAndWait(std::size_t aHost,
                                              const Command& aCommand,
                                              Duration aDeadline = Duration{
                                                2000000 });
  /** Key generated at the true time plus aError. */
  std::string NewKey(WallTime aError = 0);

  // Hosts.
  std::size_t Hosts() const { return m_hosts.size(); }
  bool Running(std::size_t aHost) const;
  /** Stops a host at once; its messages are lost. */
  void Crash(std::size_t aHost);
  /** Starts a fresh process with the host's id. */
  void Restart(std::size_t aHost);
  /** Stops the host's process for a time; events wait. */
  void Pause(std::size_t aHost, Duration aTime);
  /** The next event is decided on before a pause, and its actions are carried
   *  out after it. */
  void PauseAfterDecision(std::size_t aHost, Duration aTime);
  void Shutdown(std::size_t aHost);
  /** Leaves a host that runs out of the published member list. */
  void OmitFromMemberList(std::size_t aHost)
  {
    m_hosts[aHost]->m_draining = true;
  }
  void SetClockError(std::size_t aHost, WallTime aError);
  const CommandGuard& Guard(std::size_t aHost) const;
  /** Sends the true member list to all hosts, each after up to aLag. */
  void PublishMembers(Duration aLag);
  /** Host that has aKey's range active, or Hosts(). */
  std::size_t OwnerOf(const std::string& aKey) const;

  // Faults.
  void InjectStoreOutage(Duration aTime) { m_storeDownUntil = m_now + aTime; }
  bool IsStoreDown() const { return m_now < m_storeDownUntil; }
  std::function<DeliveryOutcome(std::size_t aHost, const StoreCall&)>
    m_storeFaultHook;
  std::function<DeliveryOutcome(std::size_t aFrom, std::size_t aTo)>
    m_peerFaultHook;
  std::function<DeliveryOutcome(std::size_t aHost, const SendCommand&)>
    m_backendFaultHook;
  /** Time that a command waits in a backend server before it starts. */
  std::function<Duration()> m_queueTime;
  std::function<WallTime()> m_backendClockError;

  // Results.
  std::uint32_t Runs(const std::string& aKey) const;
  std::uint64_t Duplicates() const { return m_duplicates; }
  std::uint64_t FalseNotRunAnswers() const { return m_falseNotRunAnswers; }
  std::uint64_t StoreReads() const { return m_storeReads; }
  std::uint64_t StoreWrites() const { return m_storeWrites; }
  /** For each answer "ran": time in the entry host less the time of the
   *  attempt on the backend server, in milliseconds. */
  const std::vector<double>& AddedLatencyMs() const { return m_addedLatencyMs; }
  std::uint64_t Events() const { return m_events; }

private:
  struct Call
  {
    std::size_t m_host = 0;
    std::uint64_t m_incarnation = 0;
    GuardCallId m_call = 0;
  };

  struct Host
  {
    std::string m_id;
    std::unique_ptr<RandomSource> m_random;
    std::unique_ptr<CommandGuard> m_guard;
    std::uint64_t m_incarnation = 0;
    bool m_running = false;
    bool m_draining = false;
    TimePoint m_pausedUntil;
    Duration m_pauseAfterDecision{ 0 };
    WallTime m_clockError = 0;
    TimePoint m_timerAt = TimePoint::max();
    std::map<CommandRequestId, std::function<void(const AnswerCommand&)>>
      m_requests;
    std::map<CommandRequestId, std::function<void(bool)>> m_handovers;
    std::set<GuardCallId> m_calls;
    std::set<CommandAttemptId> m_attempts;
  };

  struct Item
  {
    std::string m_value;
    std::uint64_t m_index = 0;
    std::string m_session;
  };

  struct Session
  {
    Duration m_ttl{ 0 };
    TimePoint m_end;
  };

  WallTime Wall(const Host& aHost) const;
  /** Runs aWork on a host unless it has been replaced by then. */
  void Post(std::size_t aHost,
            std::uint64_t aIncarnation,
            Duration aDelay,
            std::function<void(Host&)> aWork);
  template<typename Event>
  void Deliver(std::size_t aHost, const Event& aEvent);
  void FireTimers(std::size_t aHost);
  void Arm(std::size_t aHost);
  void Execute(std::size_t aHost,
               std::uint64_t aIncarnation,
               GuardActions aActions);
  void Do(std::size_t aHost, const CallStore& aAction);
  void Do(std::size_t aHost, const ForwardCommand& aAction);
  void Do(std::size_t aHost, const SendCommand& aAction);
  void Do(std::size_t aHost, const AnswerCommand& aAction);
  void Do(std::size_t aHost, const SendHandover& aAction);
  void Do(std::size_t aHost, const AnswerHandover& aAction);
  template<typename Event>
  void CompleteCall(const Call& aCall, Duration aDelay, const Event& aEvent);
  void FailPeer(const Call& aCall, Duration aDelay, bool aNeverSent);
  template<typename Event>
  void CompleteAttempt(std::size_t aHost,
                       std::uint64_t aIncarnation,
                       CommandAttemptId aAttempt,
                       Duration aDelay,
                       const Event& aEvent);
  StoreResult Apply(const StoreCall& aCall);
  std::string LiveSession(const std::string& aSession) const;
  std::string ListJson(const std::string& aPrefix) const;
  void Start(std::size_t aHost,
             std::uint64_t aIncarnation,
             const SendCommand& aAction,
             TimePoint aSentAt,
             DeliveryOutcome aFate);
  std::size_t IndexOf(const std::string& aId) const;
  DeliveryOutcome PeerDeliveryOutcome(std::size_t aFrom, std::size_t aTo);

  FleetOptions m_options;
  std::unique_ptr<RandomSource> m_random;
  TimePoint m_now;
  std::multimap<TimePoint, std::function<void()>> m_queue;
  std::vector<std::unique_ptr<Host>> m_hosts;
  CommandRequestId m_nextRequest = 1;
  std::uint64_t m_nextIncarnation = 1;
  std::uint64_t m_nextKey = 1;

  std::map<std::string, Item> m_items;
  std::map<std::string, Session> m_sessions;
  std::uint64_t m_index = 0;
  std::uint64_t m_nextSession = 1;
  TimePoint m_storeDownUntil;

  std::map<std::string, std::uint32_t> m_runs;
  std::set<std::string> m_toldNotRun;
  std::map<std::string, Duration> m_attemptTime;
  std::uint64_t m_duplicates = 0;
  std::uint64_t m_falseNotRunAnswers = 0;
  std::uint64_t m_storeReads = 0;
  std::uint64_t m_storeWrites = 0;
  std::uint64_t m_events = 0;
  std::vector<double> m_addedLatencyMs;
};

} // namespace goldcrestkeel::benchmark
