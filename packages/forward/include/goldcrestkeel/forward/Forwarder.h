#pragma once

#include <goldcrestkeel/core/Errors.h>
#include <goldcrestkeel/core/Random.h>
#include <goldcrestkeel/core/Time.h>
#include <goldcrestkeel/forward/HostRecord.h>
#include <goldcrestkeel/forward/ReplicaRecord.h>
#include <goldcrestkeel/forward/RoutingTable.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace goldcrestkeel {

/** Number of a request within one forwarder; never 0. */
using ForwardId = std::uint64_t;
/** Number of one copy of a request to one replica; never 0 and never reused. */
using CopyId = std::uint64_t;

using HeaderField = std::pair<std::string, std::string>;

/** What one entry host gathers for another one. */
struct RelayedShards
{
  /** Positions in the route's list of shards. */
  std::vector<std::uint32_t> m_shards;
  /** Shards that the answer may lack. */
  std::uint32_t m_maxMissingShards = 0;
  /** When what is there of the answer is sent. */
  TimePoint m_targetAt;
};

/** A caller's request to be forwarded. */
struct ForwardRequest
{
  ForwardId m_id = 0;
  /** Table that the route belongs to; kept until the request ends. */
  std::shared_ptr<const RoutingTable> m_table;
  const Route* m_route = nullptr;
  /** When the caller stops waiting. */
  TimePoint m_deadline;
  /** Set if another entry host has taken the request from the caller. */
  std::optional<RelayedShards> m_relayedShards;
};

/** A complete answer of a replica. */
struct ReplicaAnswer
{
  int m_status = 0;
  /** Fields for the caller, without those of one connection only. */
  std::vector<HeaderField> m_fields;
  std::string m_body;
  /** The replica's proof that it made this answer; empty if there is none. */
  std::string m_stamp;
  /** The replica says that it did not run the request. */
  bool m_notRun = false;
  /** The replica says that it is not the one that was meant. */
  bool m_wrongInstance = false;
  std::optional<LoadReport> m_load;
  /** For the answer of another entry host: the shards that it holds, as
   *  positions in the route's list, and their stamps. */
  std::vector<std::uint32_t> m_shards;
  std::vector<std::string> m_shardStamps;
};

/** Why a copy ended without an answer. */
enum class CopyFailure
{
  /** Nothing listens at the address. */
  Refused,
  /** No connection in time, or none was accepted; nothing was sent. */
  NotSent,
  /** The connection broke after the first byte was sent. */
  Broken,
  /** The bytes received are no answer. */
  Malformed,
};

std::string_view
NameOf(CopyFailure aFailure);

/** What the caller gets. */
struct ForwardResult
{
  /** Nothing for an answer. */
  std::optional<ErrorKind> m_error;
  std::string m_detail;
  /** When the caller may try again; only with an error that did not run. */
  std::optional<Duration> m_retryAfter;

  /** An answer of one replica, or the merged one of several shards. */
  ReplicaAnswer m_answer;
  bool m_gathered = false;
  std::vector<std::string> m_stamps;
  /** Shards that m_stamps belong to, as positions in the route's list. */
  std::vector<std::uint32_t> m_shards;
  std::uint32_t m_missingShards = 0;
  /** Services without a part in the answer, or that failed before an error,
   *  with commas between them. */
  std::string m_missingServices;
  std::uint32_t m_copies = 0;
};

/** One decision of the forwarder, for the log. */
struct ForwardDecision
{
  /** What was decided, for example "hedge". */
  std::string_view m_decision;
  ForwardId m_request = 0;
  std::string_view m_service;
  std::string_view m_replica;
  std::string_view m_reason;
  /** Age of the input that decided, where it has one. */
  Duration m_age{ 0 };
};

/** Carries out what the forwarder decides. Of the forwarder, only CopySent()
 * may be called before the call has returned. */
class ForwardSink
{
public:
  virtual ~ForwardSink() = default;

  /** Sends the request to a replica. */
  virtual void SendCopy(CopyId aCopy,
                        ForwardId aRequest,
                        const ReplicaRecord& aReplica,
                        TimePoint aDeadline) = 0;
  /** Has another entry host gather some of the shards until aDeadline. */
  virtual void SendRelay(CopyId aCopy,
                         ForwardId aRequest,
                         const ReplicaRecord& aHost,
                         TimePoint aDeadline,
                         const RelayedShards& aPart) = 0;
  /** Closes the copy's connection. No event of the copy follows. */
  virtual void AbortCopy(CopyId aCopy) = 0;
  /** Ends a request; called once for each that was not cancelled. */
  virtual void Finish(ForwardId aRequest, ForwardResult&& aResult) = 0;
  virtual void LogDecision(const ForwardDecision& aDecision) = 0;
  /** No replica of a service that a request needs is listed, but for those that
   *  leave. */
  virtual void NoReplicaListed() = 0;
};

struct ForwarderOptions
{
  std::string m_hostId;
  std::string m_dataCentre;
  /** Region of each data centre. */
  std::map<std::string, std::string> m_regions;
  /** How long a replica may be used, if its service has no other, once it is
   *  known to drain or is no longer listed. */
  Duration m_drainGracePeriod{ 900000 };
  /** Repeats allowed for each service over all hosts: this share of its
   *  requests plus m_repeatSlack in each m_repeatWindow. */
  double m_repeatRatio = 0.2;
  double m_repeatSlack = 0;
  Duration m_repeatWindow{ 10000000 };
};

struct ForwarderCounters
{
  std::uint64_t m_requests = 0;
  std::uint64_t m_copies = 0;
  std::uint64_t m_hedges = 0;
  std::uint64_t m_retries = 0;
  std::uint64_t m_hedgesWithoutBudget = 0;
  std::uint64_t m_partialAnswers = 0;
  std::uint64_t m_refused = 0;
  /** Parts of requests that other entry hosts were to gather. */
  std::uint64_t m_relays = 0;
  /** Of these, parts that this host gathered instead. */
  std::uint64_t m_relaysRefused = 0;
};

/** Forwards requests to replicas: chooses replicas, repeats what may be
 *  repeated, gathers the parts of several shards and refuses what cannot be
 *  served. One thread; events carry the time. */
class Forwarder
{
public:
  virtual ~Forwarder() = default;

  /** Table for the connection limits of the services. */
  virtual void SetTable(TimePoint aNow,
                        std::shared_ptr<const RoutingTable> aTable) = 0;
  /** Hosts that share the replicas' connections, this one included. */
  virtual void SetLiveHosts(std::uint32_t aHosts) = 0;
  /** Hosts that may gather for this one. */
  virtual void SetHosts(TimePoint aNow,
                        const std::vector<HostRecord>& aHosts) = 0;

  virtual void UpdateReplica(TimePoint aNow, const ReplicaRecord& aRecord) = 0;
  /** The replica is no longer listed. */
  virtual void RemoveReplica(TimePoint aNow, const std::string& aId) = 0;

  virtual void Start(TimePoint aNow, const ForwardRequest& aRequest) = 0;
  /** The caller has gone away; Finish() is not called. */
  virtual void Cancel(TimePoint aNow, ForwardId aRequest) = 0;

  /** The first byte of the copy has been written. */
  virtual void CopySent(TimePoint aNow, CopyId aCopy) = 0;
  virtual void CopyAnswered(TimePoint aNow,
                            CopyId aCopy,
                            ReplicaAnswer&& aAnswer) = 0;
  virtual void CopyFailed(TimePoint aNow,
                          CopyId aCopy,
                          CopyFailure aFailure) = 0;

  /** When OnTimer() is to be called next. */
  virtual std::optional<TimePoint> NextTimer() const = 0;
  virtual void OnTimer(TimePoint aNow) = 0;

  virtual std::size_t Running() const = 0;
  virtual const ForwarderCounters& Counters() const = 0;
};

/** aRandom and aSink must outlive the forwarder. */
std::unique_ptr<Forwarder>
MakeForwarder(const ForwarderOptions& aOptions,
              RandomSource& aRandom,
              ForwardSink& aSink);

} // namespace goldcrestkeel
