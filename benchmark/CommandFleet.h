#pragma once

#include <goldcrestkeel/Control.h>
#include <goldcrestkeel/Core.h>
#include <goldcrestkeel/testing/EventQueue.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace goldcrestkeel::benchmark {

/** Simulated delivery of one message or call. */
enum class DeliveryOutcome
{
  Delivered,
  /** The request is lost and has no effect. */
  RequestLost,
  /** The request takes effect, but its reply is lost. */
  ReplyLost,
  /** The request takes effect after its sender has stopped waiting for the
   *  reply. */
  Late,
  /** The connection is refused; the sender can tell that nothing was sent. */
  Refused,
  /** The backend server rejects the request without running it. */
  Shed,
  /** The reply echoes the key of another request. */
  MismatchedReply,
};

/** Configuration of a CommandFleet. */
struct FleetOptions
{
  /** Name of the command guard strategy. */
  std::string m_strategy = "leased_range";
  std::size_t m_hosts = 7;
  std::size_t m_replicas = 5;
  std::uint64_t m_seed = 1;
  /** One-way network delays. */
  Duration m_peerDelay{ 8000 };
  Duration m_storeDelay{ 2000 };
  Duration m_backendDelay{ 1000 };
  /** Reports duplicate runs and false "not run" answers as invariant
   *  violations; otherwise they are only counted. */
  bool m_assertInvariants = true;
  CommandGuardOptions m_guard;
};

/** Simulation of entry hosts with one command guard each under one virtual
 *  clock, with fakes of the store, the peer transport, the backend servers and
 *  the member list. Faults are injected by methods and by hooks that choose the
 *  DeliveryOutcome of each call. Hosts are named "host-0", "host-1" and so
 *  on. */
class CommandFleet
{
public:
  using Done = std::function<void(const CommandOutcome&)>;

  explicit CommandFleet(const FleetOptions& aOptions);
  CommandFleet(const CommandFleet&) = delete;
  CommandFleet& operator=(const CommandFleet&) = delete;

  // Time.
  TimePoint Now() const { return m_queue.Now(); }
  /** Wall clock without a clock error, in Unix milliseconds. */
  WallTime TrueWallTime() const;
  /** Schedules aTask at Now() + aDelay. */
  void After(Duration aDelay, std::function<void()> aTask);
  /** Processes all events of the next aDuration and advances the clock. */
  void RunFor(Duration aDuration);
  RandomSource& Random() { return *m_random; }

  // Callers.
  /** Submits a command to a host. aDone is called at most once, and not at all
   *  if the host crashes first. Returns false if the host refuses the
   *  connection because it is not running. */
  bool Submit(std::size_t aHost,
              const Command& aCommand,
              Duration aDeadline,
              Done aDone);
  /** Submits a command and runs the simulation until the answer, or until
   *  100 ms after the deadline. Returns nothing if there was no answer. */
  std::optional<CommandOutcome> SubmitAndWait(std::size_t aHost,
                                              const Command& aCommand,
                                              Duration aDeadline = Duration{
                                                2000000 });
  /** Returns a new idempotency key with the timestamp TrueWallTime() + aError,
   *  in milliseconds. */
  std::string NewKey(WallTime aError = 0);

  // Hosts.
  /** Number of hosts, including stopped ones. */
  std::size_t Hosts() const { return m_hosts.size(); }
  bool Running(std::size_t aHost) const;
  /** Stops a host immediately; its open requests and calls are lost. */
  void Crash(std::size_t aHost);
  /** Starts a new process with the host's id and an empty state. A process that
   *  still runs crashes first. */
  void Restart(std::size_t aHost);
  /** Suspends the host's process for aDuration; its events are deferred. */
  void Pause(std::size_t aHost, Duration aDuration);
  /** Suspends the host's process for aDuration after the guard's next decision,
   *  before the actions of that decision are executed. */
  void PauseAfterDecision(std::size_t aHost, Duration aDuration);
  /** Begins a graceful shutdown of the host. */
  void Shutdown(std::size_t aHost);
  /** Omits a running host from the member lists published from now on. */
  void OmitFromMemberList(std::size_t aHost)
  {
    m_hosts[aHost]->m_draining = true;
  }
  /** Sets the deviation of the host's wall clock, in milliseconds. */
  void SetClockError(std::size_t aHost, WallTime aError);
  const CommandGuard& Guard(std::size_t aHost) const;
  /** Sends the current member list to each host after a random delay below
   *  aLag. */
  void PublishMembers(Duration aLag);
  /** Index of the host that owns the range of aKey according to the store, or
   *  Hosts() if there is none. */
  std::size_t OwnerOf(const std::string& aKey) const;

  // Faults.
  /** Makes all store calls of the next aDuration fail or time out. */
  void InjectStoreOutage(Duration aDuration)
  {
    m_storeDownUntil = Now() + aDuration;
  }
  bool IsStoreDown() const { return Now() < m_storeDownUntil; }
  /** Hooks that choose the outcome of each call; Delivered if not set. */
  std::function<DeliveryOutcome(std::size_t aHost, const StoreCall&)>
    m_storeFaultHook;
  std::function<DeliveryOutcome(std::size_t aFrom, std::size_t aTo)>
    m_peerFaultHook;
  std::function<DeliveryOutcome(std::size_t aHost, const SendCommand&)>
    m_backendFaultHook;
  /** Returns the time that a command is queued on a backend server; 0 if not
   *  set. */
  std::function<Duration()> m_queueTime;
  /** Returns the deviation of a backend server's wall clock, in milliseconds;
   *  0 if not set. */
  std::function<WallTime()> m_backendClockError;

  // Results.
  /** Number of times that the command with this key ran. */
  std::uint32_t Runs(const std::string& aKey) const;
  /** Number of runs of a command after its first run. */
  std::uint64_t Duplicates() const { return m_duplicates; }
  /** Number of times that a command was answered "not run" although it had run
   *  or ran later. */
  std::uint64_t FalseNotRunAnswers() const { return m_falseNotRunAnswers; }
  std::uint64_t StoreReads() const { return m_storeReads; }
  std::uint64_t StoreWrites() const { return m_storeWrites; }
  /** For each "ran" answer, the milliseconds from the submission to the answer
   *  minus the duration of the attempt on the backend server. */
  const std::vector<double>& AddedLatencyMs() const { return m_addedLatencyMs; }
  /** Number of processed events. */
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

  WallTime HostWallTime(const Host& aHost) const;
  /** Schedules aTask on the process aIncarnation of a host. It is dropped if
   *  that process no longer runs, and deferred while the host is paused. */
  void PostToHost(std::size_t aHost,
                  std::uint64_t aIncarnation,
                  Duration aDelay,
                  std::function<void(Host&)> aTask);
  template<typename Event>
  void DeliverToGuard(std::size_t aHost, const Event& aEvent);
  void FireTimers(std::size_t aHost);
  void ScheduleTimer(std::size_t aHost);
  void Execute(std::size_t aHost,
               std::uint64_t aIncarnation,
               GuardActions aActions);
  void ExecuteAction(std::size_t aHost, const CallStore& aAction);
  void ExecuteAction(std::size_t aHost, const ForwardCommand& aAction);
  void ExecuteAction(std::size_t aHost, const SendCommand& aAction);
  void ExecuteAction(std::size_t aHost, const AnswerCommand& aAction);
  void ExecuteAction(std::size_t aHost, const SendHandover& aAction);
  void ExecuteAction(std::size_t aHost, const AnswerHandover& aAction);
  template<typename Event>
  void CompleteCall(const Call& aCall, Duration aDelay, const Event& aEvent);
  void FailPeerCall(const Call& aCall, Duration aDelay, bool aNeverSent);
  template<typename Event>
  void CompleteAttempt(std::size_t aHost,
                       std::uint64_t aIncarnation,
                       CommandAttemptId aAttempt,
                       Duration aDelay,
                       const Event& aEvent);
  StoreResult ApplyStoreCall(const StoreCall& aCall);
  /** Returns aSession if it has not expired, an empty string otherwise. */
  std::string LiveSession(const std::string& aSession) const;
  std::string ListJson(const std::string& aPrefix) const;
  void StartOnBackend(std::size_t aHost,
                      std::uint64_t aIncarnation,
                      const SendCommand& aAction,
                      TimePoint aSentAt,
                      DeliveryOutcome aDeliveryOutcome);
  std::size_t IndexOf(const std::string& aId) const;
  DeliveryOutcome PeerDeliveryOutcome(std::size_t aFrom, std::size_t aTo);

  FleetOptions m_options;
  std::unique_ptr<RandomSource> m_random;
  testing::EventQueue m_queue{ TimePoint(Duration{ 1000000 }) };
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
  std::set<std::string> m_answeredNotRun;
  std::map<std::string, Duration> m_attemptDuration;
  std::uint64_t m_duplicates = 0;
  std::uint64_t m_falseNotRunAnswers = 0;
  std::uint64_t m_storeReads = 0;
  std::uint64_t m_storeWrites = 0;
  std::uint64_t m_events = 0;
  std::vector<double> m_addedLatencyMs;
};

} // namespace goldcrestkeel::benchmark
