#pragma once

#include <goldcrestkeel/control/Store.h>
#include <goldcrestkeel/core/Errors.h>
#include <goldcrestkeel/core/QueryEngine.h>
#include <goldcrestkeel/core/Random.h>
#include <goldcrestkeel/core/Time.h>
#include <goldcrestkeel/core/Topology.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace goldcrestkeel {

/** Number that the daemon gives to one command request, from a caller or from
 *  a peer; unique within one guard. */
using CommandRequestId = std::uint64_t;
/** Number of one attempt on a backend server, unique within one guard. */
using CommandAttemptId = std::uint64_t;
/** Number of one store call, one forward or one handover of a guard. */
using GuardCallId = std::uint64_t;

/** Number of ranges into which the hash of the key divides all commands. */
inline constexpr std::uint32_t kCommandRanges = 256;
/** Largest difference, in milliseconds, between the wall clocks of two entry
 *  hosts, or of an entry host and a backend server. */
inline constexpr WallTime kMaxClockSkew = 500;

/** A command with its caller-generated key. */
struct Command
{
  std::string m_service;
  /** "<unix milliseconds>-<random>". */
  std::string m_key;
  std::string m_body;
  CallerClass m_class = CallerClass::Interactive;

  bool operator==(const Command&) const = default;
};

/** Answer to a command. m_ran speaks of the key, not of one request: No means
 *  that no attempt with this key has run or will ever run, so that the caller
 *  has to use a new key to try again. It can differ from the table of
 *  ErrorKind, and the answer to the caller must carry this value. */
struct CommandOutcome
{
  std::optional<ErrorKind> m_error;
  Ran m_ran = Ran::Unknown;
  std::string m_result;
  std::string m_detail;

  bool operator==(const CommandOutcome&) const = default;
};

/** What an owner remembers of one key. */
struct CommandRecord
{
  std::string m_key;
  /** Hash of service and body. */
  std::uint64_t m_fingerprint = 0;
  CommandOutcome m_outcome;

  bool operator==(const CommandRecord&) const = default;
};

// ---- Events ---------------------------------------------------------------

/** A command from a caller, or forwarded by a peer. */
struct SubmitCommand
{
  CommandRequestId m_request = 0;
  Command m_command;
  /** Time left, from the time of the event. */
  Duration m_deadline{ 0 };
  /** True for a command forwarded by a peer: it is not forwarded again. */
  bool m_forwarded = false;
};

/** Result of a CallStore. */
struct StoreReply
{
  GuardCallId m_call = 0;
  StoreResult m_result;
};

/** Answer of a peer to a ForwardCommand. */
struct ForwardReply
{
  GuardCallId m_call = 0;
  /** The peer does not own the range; m_outcome is meaningless. */
  bool m_notOwner = false;
  /** With m_notOwner: host that the peer takes for the owner, or empty. */
  std::string m_owner;
  CommandOutcome m_outcome;
};

/** A call to a peer (forward or handover) failed. */
struct PeerFailure
{
  GuardCallId m_call = 0;
  /** No connection was made: the peer has certainly not received the call.
   *  False also for a reply that never came or could not be decoded. */
  bool m_neverSent = false;
};

/** A backend server's reply 200: the command ran. The echoed fields are as
 *  received. */
struct BackendReply
{
  CommandAttemptId m_attempt = 0;
  CommandAttemptId m_echoAttempt = 0;
  std::string m_echoKey;
  std::string m_result;
};

/** An attempt ended without a reply 200. ConnectFailed, Shed, Draining,
 *  VersionGone and DeadlinePassed (also for a refused start_before) prove that
 *  the command did not run; every other kind leaves it open. */
struct BackendFailure
{
  CommandAttemptId m_attempt = 0;
  /** Replica that was tried. */
  std::string m_replica;
  SubFailureKind m_kind = SubFailureKind::Reset;
};

/** No replica could be picked for the attempt: nothing was sent. */
struct NoReplicaForCommand
{
  CommandAttemptId m_attempt = 0;
};

/** The advisory member list. */
struct MemberListChanged
{
  /** Hosts that are alive and not draining; contains this host unless it is
   *  draining. */
  std::vector<std::string> m_alive;
};

/** A range handed over by its owner. */
struct ReceiveHandover
{
  /** Number that AnswerHandover repeats; given by the daemon. */
  CommandRequestId m_request = 0;
  std::string m_from;
  std::uint32_t m_range = 0;
  /** Index of the range's key in the store while m_from owned it. */
  std::uint64_t m_storeIndex = 0;
  /** Keys that were generated at this time or earlier and are not among the
   *  records may have run. */
  WallTime m_lowWatermark = 0;
  std::vector<CommandRecord> m_records;
};

/** Answer of a peer to a SendHandover. */
struct HandoverReply
{
  GuardCallId m_call = 0;
  bool m_accepted = false;
};

/** The host starts to shut down. The guard finishes what it has taken on and
 *  hands its ranges over; see Drained(). */
struct BeginShutdown
{};

// ---- Actions --------------------------------------------------------------

struct CallStore
{
  GuardCallId m_call = 0;
  StoreCall m_store;
};

/** Forwards a command to the owner of its range. Answered by ForwardReply or
 *  PeerFailure. */
struct ForwardCommand
{
  GuardCallId m_call = 0;
  std::string m_host;
  Command m_command;
  /** Deadline of the caller; the peer receives the time left. */
  TimePoint m_deadline;
};

/** Sends a command to a backend server over a fresh connection. The daemon
 *  picks the replica (QueryEngine::PickCommandReplica) and answers with
 *  BackendReply, BackendFailure or NoReplicaForCommand, exactly once. */
struct SendCommand
{
  CommandAttemptId m_attempt = 0;
  Command m_command;
  /** Replicas that must not be picked. */
  std::vector<std::string> m_exclude;
  /** The backend server must not start the command later than this. */
  WallTime m_startBefore = 0;
  /** The backend server receives the time left until then. */
  TimePoint m_deadline;
  /** The reply is awaited until then, later than the deadline: a late reply
   *  still tells further requests with the key what happened. */
  TimePoint m_replyDeadline;
};

/** Ends one request of SubmitCommand, exactly once for each. For a forwarded
 *  request with m_notOwner set, the peer is told m_owner and no outcome. */
struct AnswerCommand
{
  CommandRequestId m_request = 0;
  bool m_notOwner = false;
  std::string m_owner;
  CommandOutcome m_outcome;
};

/** Hands a range over to m_host. Answered by HandoverReply or PeerFailure. */
struct SendHandover
{
  GuardCallId m_call = 0;
  std::string m_host;
  std::uint32_t m_range = 0;
  std::uint64_t m_storeIndex = 0;
  WallTime m_lowWatermark = 0;
  std::vector<CommandRecord> m_records;
};

/** Answers a ReceiveHandover. */
struct AnswerHandover
{
  CommandRequestId m_request = 0;
  bool m_accepted = false;
  std::string m_detail;
};

using GuardAction = std::variant<CallStore,
                                 ForwardCommand,
                                 SendCommand,
                                 AnswerCommand,
                                 SendHandover,
                                 AnswerHandover>;
using GuardActions = std::vector<GuardAction>;

// ---- Guard ----------------------------------------------------------------

struct CommandGuardOptions
{
  /** Id of this host, as in the member list. */
  std::string m_host;
  /** Time that a session lives after its last renewal. It is renewed after a
   *  third of it. A longer one survives longer store outages; a shorter one
   *  makes the ranges of a lost host available again sooner. */
  Duration m_sessionTtl{ 10000000 };
  /** Time for which keys are remembered, counted from the time in the key.
   *  Older keys are answered with "unknown". */
  Duration m_retention{ 600000000 };
  /** Prefix of all keys in the store. */
  std::string m_storePrefix = "goldcrestkeel/commands/";
};

/** Totals since the start and present sizes, for metrics. */
struct CommandGuardCounters
{
  std::uint64_t m_commands = 0;
  std::uint64_t m_duplicates = 0;
  std::uint64_t m_answeredUnknown = 0;
  std::uint64_t m_answeredNotRun = 0;
  std::uint64_t m_attempts = 0;
  std::uint64_t m_forwards = 0;
  std::uint64_t m_storeReads = 0;
  std::uint64_t m_storeWrites = 0;
  std::uint64_t m_leasesLost = 0;
  std::uint64_t m_takeovers = 0;
  std::uint64_t m_handoversSent = 0;
  std::uint64_t m_handoversReceived = 0;
  /** Present sizes. */
  std::uint64_t m_ownedRanges = 0;
  std::uint64_t m_trackedKeys = 0;
  std::uint64_t m_waiting = 0;
};

/** Sees to it that each command runs at most once. Not thread-safe: one loop
 *  thread owns it. The two clock values of an event are read together, the
 *  monotonic one first. All methods append what is to be done to aActions. */
class CommandGuard
{
public:
  virtual ~CommandGuard() = default;

  /** Name of the strategy. */
  virtual std::string_view Name() const = 0;

  virtual void Handle(TimePoint aNow,
                      WallTime aWall,
                      const SubmitCommand& aEvent,
                      GuardActions& aActions) = 0;
  virtual void Handle(TimePoint aNow,
                      WallTime aWall,
                      const StoreReply& aEvent,
                      GuardActions& aActions) = 0;
  virtual void Handle(TimePoint aNow,
                      WallTime aWall,
                      const ForwardReply& aEvent,
                      GuardActions& aActions) = 0;
  virtual void Handle(TimePoint aNow,
                      WallTime aWall,
                      const PeerFailure& aEvent,
                      GuardActions& aActions) = 0;
  virtual void Handle(TimePoint aNow,
                      WallTime aWall,
                      const BackendReply& aEvent,
                      GuardActions& aActions) = 0;
  virtual void Handle(TimePoint aNow,
                      WallTime aWall,
                      const BackendFailure& aEvent,
                      GuardActions& aActions) = 0;
  virtual void Handle(TimePoint aNow,
                      WallTime aWall,
                      const NoReplicaForCommand& aEvent,
                      GuardActions& aActions) = 0;
  virtual void Handle(TimePoint aNow,
                      WallTime aWall,
                      const MemberListChanged& aEvent,
                      GuardActions& aActions) = 0;
  virtual void Handle(TimePoint aNow,
                      WallTime aWall,
                      const ReceiveHandover& aEvent,
                      GuardActions& aActions) = 0;
  virtual void Handle(TimePoint aNow,
                      WallTime aWall,
                      const HandoverReply& aEvent,
                      GuardActions& aActions) = 0;
  virtual void Handle(TimePoint aNow,
                      WallTime aWall,
                      const BeginShutdown& aEvent,
                      GuardActions& aActions) = 0;

  /** Runs all timers that are due at aNow. */
  virtual void FireTimers(TimePoint aNow,
                          WallTime aWall,
                          GuardActions& aActions) = 0;
  /** When FireTimers() is to be called next, if ever. */
  virtual std::optional<TimePoint> NextTimer() const = 0;

  /** After BeginShutdown: nothing is running, waiting or left to hand over.
   *  The daemon may stop earlier; ranges that are not handed over are then
   *  free when the session lapses. */
  virtual bool Drained() const = 0;

  virtual CommandGuardCounters Counters() const = 0;
};

/** Time in milliseconds of a key "<unix milliseconds>-<random>", or nothing if
 *  the key is not valid: 1 to 15 digits, a hyphen, then 1 to 64 letters,
 *  digits, hyphens or underscores. */
std::optional<WallTime>
TimeOfKey(std::string_view aKey);

/** Range of a key, below kCommandRanges. The same on all hosts. */
std::uint32_t
RangeOfKey(std::string_view aKey);

/** Hosts in the order in which they should own aRange: rendezvous hashing. */
std::vector<std::string>
RankHosts(std::uint32_t aRange, const std::vector<std::string>& aHosts);

/** Names of the strategies: "host_memory", "store_claim", "leased_range". */
std::vector<std::string_view>
CommandGuardNames();

/** Makes the strategy with this name; throws Error (InvalidConfiguration) for
 *  an unknown name. aRandom must outlive the guard. */
std::unique_ptr<CommandGuard>
MakeCommandGuard(std::string_view aName,
                 const CommandGuardOptions& aOptions,
                 RandomSource& aRandom);

} // namespace goldcrestkeel
