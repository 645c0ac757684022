#pragma once

#include <goldcrestkeel/Forward.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace goldcrestkeel::testing {

/** A forwarder with a clock set by hand, whose decisions are recorded. */
class ForwarderFixture : public ForwardSink
{
public:
  struct SentCopy
  {
    CopyId m_copy = 0;
    ForwardId m_request = 0;
    std::string m_replica;
    std::string m_service;
    TimePoint m_deadline;
  };

  explicit ForwarderFixture(ForwarderOptions aOptions = Options());

  static ForwarderOptions Options();
  /** A route to one service "single". */
  Route SingleRoute(bool aIdempotent) const;
  /** A route that gathers "shard0" to "shardN". */
  Route GatherRoute(std::size_t aShards, double aMinShare) const;
  /** Puts aRoute in force with aReplicas replicas for each service. */
  void ApplyRoute(const Route& aRoute, std::size_t aReplicas);
  ReplicaRecord Replica(const std::string& aService, std::size_t aNumber) const;

  ForwardId Start(Duration aDeadline = std::chrono::seconds(1));
  /** The newest copy of a request to a service. */
  SentCopy LastCopyTo(const std::string& aService) const;
  std::size_t CopiesTo(const std::string& aService) const;
  void MarkSent(CopyId aCopy);
  void Answer(CopyId aCopy, const std::string& aBody = "body");
  void AnswerWith(CopyId aCopy, ReplicaAnswer aAnswer);
  void Fail(CopyId aCopy, CopyFailure aFailure);
  /** Moves the clock and runs the timers on the way. */
  void Advance(Duration aTime);
  /** Requests that are answered after aLatency, one after the other. */
  void RunRequests(std::size_t aCount, Duration aLatency);

  // ForwardSink
  void SendCopy(CopyId aCopy,
                ForwardId aRequest,
                const ReplicaRecord& aReplica,
                TimePoint aDeadline) override;
  void SendRelay(CopyId aCopy,
                 ForwardId aRequest,
                 const ReplicaRecord& aHost,
                 TimePoint aDeadline,
                 const RelayedShards& aPart) override;
  void AbortCopy(CopyId aCopy) override { m_aborted.push_back(aCopy); }
  void Finish(ForwardId aRequest, ForwardResult&& aResult) override;
  void LogDecision(const ForwardDecision&) override {}
  void NoReplicaListed() override { ++m_noReplicaReports; }

  TimePoint m_now{ std::chrono::seconds(1000) };
  std::unique_ptr<RandomSource> m_random = MakeSeededRandom(7);
  std::unique_ptr<Forwarder> m_forwarder;
  std::shared_ptr<RoutingTable> m_table;
  /** The sink reports copies as sent at once. */
  bool m_sendAtOnce = true;
  std::vector<SentCopy> m_sent;
  /** Requests handed to other hosts; m_service holds the data centre. */
  std::vector<SentCopy> m_relays;
  RelayedShards m_lastRelayedShards;
  std::size_t m_noReplicaReports = 0;
  std::vector<CopyId> m_aborted;
  std::map<ForwardId, ForwardResult> m_results;
  ForwardId m_next = 1;
};

} // namespace goldcrestkeel::testing
