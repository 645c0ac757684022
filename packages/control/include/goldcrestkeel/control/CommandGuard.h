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

/** Id that the daemon assigns to one command request, from a caller or from a
 *  peer; unique within one guard. */
using CommandRequestId = std::uint64_t;
/** Id of one attempt on a backend server; unique within one guard. */
using CommandAttemptId = std::uint64_t;
/** Id of one store call, forwarded command or handover; unique within one
 *  guard. */
using GuardCallId = std::uint64_t;

/** Number of ranges into which keys are partitioned by hash. */
inline constexpr std::uint32_t kCommandRanges = 256;
/** Largest tolerated difference, in milliseconds, between the wall clocks of
 *  two entry hosts, or of an entry host and a backend server. */
inline constexpr WallTime kMaxClockSkew = 500;

/** A command and its idempotency key, which the caller generates. */
struct Command
{
  std::string m_service;
  /** "<unix milliseconds>-<random>". */
  std::string m_key;
  std::string m_body;
  CallerClass m_class = CallerClass::Interactive;

  bool operator==(const Command&) const = default;
};

/** Answer to a command. m_ran applies to the key, not to one request: No means
 *  that no attempt with this key has run or will ever run, so the caller must
 *  use a new key to try again. m_ran can differ from the default for the
 *  ErrorKind, and the answer to the caller must contain this value. */
struct CommandOutcome
{
  std::optional<ErrorKind> m_error;
  Ran m_ran = Ran::Unknown;
  std::string m_result;
  std::string m_detail;

  bool operator==(const CommandOutcome&) const = default;
};

/** Outcome of one key, as its owner stores it and hands it over. */
struct CommandRecord
{
  std::string m_key;
  /** Hash of the service name and the body. */
  std::uint64_t m_fingerprint = 0;
  CommandOutcome m_outcome;

  bool operator==(const CommandRecord&) const = default;
};

// ---- Events ---------------------------------------------------------------

/** A command received from a caller, or forwarded by a peer. */
struct SubmitCommand
{
  CommandRequestId m_request = 0;
  Command m_command;
  /** Time until the deadline, from the time of the event. */
  Duration m_deadline{ 0 };
  /** The command was forwarded by a peer and must not be forwarded again. */
  bool m_forwarded = false;
};

/** Result of a CallStore action. */
struct StoreReply
{
  GuardCallId m_call = 0;
  StoreResult m_result;
};

/** Answer of a peer to a ForwardCommand action. */
struct ForwardReply
{
  GuardCallId m_call = 0;
  /** The peer does not own the range; m_outcome is not set. */
  bool m_notOwner = false;
  /** With m_notOwner: the owner according to the peer, or empty. */
  std::string m_owner;
  CommandOutcome m_outcome;
};

/** A call to a peer, ForwardCommand or SendHandover, failed. */
struct PeerFailure
{
  GuardCallId m_call = 0;
  /** No connection was established, so the peer has not received the call.
   *  False if the reply did not arrive or could not be decoded. */
  bool m_neverSent = false;
};

/** A backend server replied with status 200: the command ran. The guard checks
 *  the echoed fields, which are passed as received. */
struct BackendReply
{
  CommandAttemptId m_attempt = 0;
  CommandAttemptId m_echoAttempt = 0;
  std::string m_echoKey;
  std::string m_result;
};

/** An attempt ended without a reply with status 200. ConnectFailed, Shed,
 *  Draining, VersionGone and DeadlinePassed (also reported when the backend
 *  server refuses because start_before has passed) prove that the command did
 *  not run; after any other kind it may have run. */
struct BackendFailure
{
  CommandAttemptId m_attempt = 0;
  /** Id of the replica to which the command was sent. */
  std::string m_replica;
  SubFailureKind m_kind = SubFailureKind::Reset;
};

/** No replica was available for the attempt; nothing was sent. */
struct NoReplicaForCommand
{
  CommandAttemptId m_attempt = 0;
};

/** The member list has changed. The list is advisory: hosts may have different
 *  lists at the same time. */
struct MemberListChanged
{
  /** Ids of the hosts that are alive and not draining. Contains this host
   *  unless it is draining. */
  std::vector<std::string> m_alive;
};

/** The owner of a range hands it over to this host. */
struct ReceiveHandover
{
  /** Id that the daemon assigns; AnswerHandover repeats it. */
  CommandRequestId m_request = 0;
  std::string m_from;
  std::uint32_t m_range = 0;
  /** Modification index of the range's store key as of m_from's claim. */
  std::uint64_t m_storeIndex = 0;
  /** m_records is complete only for keys generated after this time, in
   *  milliseconds; earlier keys without a record may have run. */
  WallTime m_lowWatermark = 0;
  std::vector<CommandRecord> m_records;
};

/** Answer of a peer to a SendHandover action. */
struct HandoverReply
{
  GuardCallId m_call = 0;
  bool m_accepted = false;
};

/** The host starts to shut down. The guard finishes the commands that it has
 *  admitted and hands its ranges over; see Drained(). */
struct BeginShutdown
{};

// ---- Actions --------------------------------------------------------------

/** Calls the store. Answered by StoreReply. */
struct CallStore
{
  GuardCallId m_call = 0;
  StoreCall m_store;
};

/** Forwards a command to m_host, the presumed owner of its range. Answered by
 *  ForwardReply or PeerFailure. */
struct ForwardCommand
{
  GuardCallId m_call = 0;
  std::string m_host;
  Command m_command;
  /** Deadline of the caller; the remaining time is sent to the peer. */
  TimePoint m_deadline;
};

/** Sends a command to a backend server over a new connection. The daemon
 *  selects the replica (QueryEngine::PickCommandReplica) and answers exactly
 *  once with BackendReply, BackendFailure or NoReplicaForCommand. */
struct SendCommand
{
  CommandAttemptId m_attempt = 0;
  Command m_command;
  /** Ids of replicas that must not be selected. */
  std::vector<std::string> m_exclude;
  /** Latest time, in milliseconds, at which the backend server may start the
   *  command. */
  WallTime m_startBefore = 0;
  /** Deadline of the caller; the remaining time is sent to the backend
   *  server. */
  TimePoint m_deadline;
  /** Time until which the daemon waits for the reply. It is later than
   *  m_deadline, because a late reply still determines the outcome for further
   *  requests with the key. */
  TimePoint m_replyDeadline;
};

/** Answers a SubmitCommand event; emitted exactly once for each. If m_notOwner
 *  is set, which occurs only for forwarded requests, the peer receives m_owner
 *  instead of an outcome. */
struct AnswerCommand
{
  CommandRequestId m_request = 0;
  bool m_notOwner = false;
  std::string m_owner;
  CommandOutcome m_outcome;
};

/** Hands a range over to m_host. Answered by HandoverReply or PeerFailure. The
 *  fields have the meaning that they have in ReceiveHandover. */
struct SendHandover
{
  GuardCallId m_call = 0;
  std::string m_host;
  std::uint32_t m_range = 0;
  std::uint64_t m_storeIndex = 0;
  WallTime m_lowWatermark = 0;
  std::vector<CommandRecord> m_records;
};

/** Answers a ReceiveHandover event. */
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
  /** Time to live of the store session, in microseconds from its last renewal;
   *  it is renewed after one third of this time. A longer one tolerates longer
   *  store outages; a shorter one makes the ranges of a failed host available
   *  sooner. */
  Duration m_sessionTtl{ 10000000 };
  /** Time for which outcomes are kept, in microseconds from the timestamp in
   *  the key. Older keys are answered with "unknown". */
  Duration m_retention{ 600000000 };
  /** Prefix of all store keys that the guard uses. */
  std::string m_storePrefix = "goldcrestkeel/commands/";
};

/** Totals since the start, and current sizes, for metrics. */
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
  // Current sizes.
  std::uint64_t m_ownedRanges = 0;
  /** Keys that this host has admitted or received in a handover. */
  std::uint64_t m_trackedKeys = 0;
  /** Requests that wait for an owner or for the reply of one. */
  std::uint64_t m_waiting = 0;
};

/** Ensures that each command runs at most once. Performs no I/O: Handle() and
 *  FireTimers() append the actions to perform to aActions. Not thread-safe: all
 *  calls must come from one event loop thread. The caller reads the two clocks
 *  together, the monotonic one (aNow) before the wall clock (aWall, in
 *  milliseconds). */
class CommandGuard
{
public:
  virtual ~CommandGuard() = default;

  /** Name of the strategy, as in the setting. */
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
  /** Time of the next FireTimers() call; nothing if no timer is set. */
  virtual std::optional<TimePoint> NextTimer() const = 0;

  /** After BeginShutdown: no command is running or waiting and no range remains
   *  to be handed over. The daemon may stop earlier; ranges that were not
   *  handed over become free when the session expires. */
  virtual bool Drained() const = 0;

  virtual CommandGuardCounters Counters() const = 0;
};

/** Timestamp, in milliseconds, of a key "<unix milliseconds>-<random>". Returns
 *  nothing if the key is invalid. A valid key has 1 to 15 digits, a hyphen,
 *  then 1 to 64 letters, digits, hyphens or underscores. */
std::optional<WallTime>
TimeOfKey(std::string_view aKey);

/** Number of the range that contains the key, below kCommandRanges. It is the
 *  same on all hosts. */
std::uint32_t
RangeOfKey(std::string_view aKey);

/** Orders aHosts by preference as the owner of aRange, by rendezvous
 *  hashing. */
std::vector<std::string>
RankHosts(std::uint32_t aRange, const std::vector<std::string>& aHosts);

/** Names of all strategies: "host_memory", "store_claim", "leased_range". */
std::vector<std::string_view>
CommandGuardNames();

/** Creates the strategy named aName. Throws Error (InvalidConfiguration) if
 *  there is none. aRandom must outlive the guard. */
std::unique_ptr<CommandGuard>
MakeCommandGuard(std::string_view aName,
                 const CommandGuardOptions& aOptions,
                 RandomSource& aRandom);

} // namespace goldcrestkeel
