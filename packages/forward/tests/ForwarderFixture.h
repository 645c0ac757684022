#pragma once

#include <goldcrestkeel/Forward.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace goldcrestkeel::testing {

/** A forwarder with a manual clock and a sink that records its calls. */
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
  /** A route to the service "single". */
  Route SingleRoute(bool aIdempotent) const;
  /** A route that gathers aShards shards, named "shard0" and so on. */
  Route GatherRoute(std::size_t aShards, double aMinShare) const;
  /** Sets a table with aRoute only, and aReplicas replicas of each service. */
  void ApplyRoute(const Route& aRoute, std::size_t aReplicas);
  ReplicaRecord Replica(const std::string& aService, std::size_t aNumber) const;

  ForwardId Start(Duration aDeadline = std::chrono::seconds(1));
  /** The latest copy that was sent to a service. */
  SentCopy LastCopyTo(const std::string& aService) const;
  /** Number of copies that were sent to a service. */
  std::size_t CopiesTo(const std::string& aService) const;
  void MarkSent(CopyId aCopy);
  void Answer(CopyId aCopy, const std::string& aBody = "body");
  void AnswerWith(CopyId aCopy, ReplicaAnswer aAnswer);
  void Fail(CopyId aCopy, CopyFailure aFailure);
  /** Answer of another host that has gathered aShards. */
  static ReplicaAnswer Gathered(const std::vector<std::uint32_t>& aShards,
                                const std::string& aBody);
  /** Advances the clock and runs the timers that expire. */
  void Advance(Duration aTime);
  /** Runs aCount sequential requests that are answered after aLatency. */
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
                 const RelayedShards& aShards) override;
  void ProbeReplica(CopyId aProbe,
                    const ReplicaRecord&,
                    std::string_view) override
  {
    m_probes.push_back(aProbe);
  }
  void AbortCopy(CopyId aCopy) override { m_aborted.push_back(aCopy); }
  void Finish(ForwardId aRequest, ForwardResult&& aResult) override;
  void LogDecision(const ForwardDecision&) override {}
  void LogRequestLimit(const RequestLimitReport& aReport) override
  {
    m_limitReports.push_back(aReport);
  }
  void LogContact(const ContactReport& aReport) override
  {
    m_contactStates.push_back(aReport.m_state);
  }
  void LogReplicaNotice(const ReplicaNoticeReport& aReport) override
  {
    m_notices.push_back(aReport.m_notice);
  }
  void LogCrash(const CrashDecision&) override {}
  std::string SummaryOf(ForwardId) const override { return "GET /"; }
  void ReportCrash(const CrashReport& aReport) override
  {
    m_crashReports.push_back(aReport);
  }
  void AnnounceSuspect(const SuspectReport& aReport) override
  {
    m_suspects.push_back(aReport);
  }
  void ReportAnswered(std::uint64_t aFingerprint) override
  {
    m_reportedAnswered.push_back(aFingerprint);
  }
  void AnnounceQuarantine(const SuspectReport& aReport) override
  {
    m_announced.push_back(aReport);
  }
  void NoReplicaListed() override { ++m_noReplicaReports; }

  TimePoint m_now{ std::chrono::seconds(1000) };
  std::unique_ptr<RandomSource> m_random = MakeSeededRandom(7);
  std::unique_ptr<Forwarder> m_forwarder;
  std::shared_ptr<RoutingTable> m_table;
  /** Whether the sink reports copies as sent immediately. */
  bool m_sendAtOnce = true;
  std::vector<SentCopy> m_sent;
  /** Relays to other hosts; m_service is the data centre of the host. */
  std::vector<SentCopy> m_relays;
  RelayedShards m_lastRelayedShards;
  std::size_t m_noReplicaReports = 0;
  /** Their views are not valid. */
  std::vector<RequestLimitReport> m_limitReports;
  /** Whether probes are answered, with the next step of the clock. */
  bool m_answerProbes = true;
  std::size_t m_probesAnswered = 0;
  std::vector<CopyId> m_probes;
  std::vector<ContactState> m_contactStates;
  std::vector<ReplicaNotice> m_notices;
  std::vector<CopyId> m_aborted;
  std::vector<CrashReport> m_crashReports;
  std::vector<SuspectReport> m_suspects;
  std::vector<std::uint64_t> m_reportedAnswered;
  std::vector<SuspectReport> m_announced;
  /** Of the requests that are started. */
  std::uint64_t m_fingerprint = 0;
  const Tenant* m_tenant = nullptr;
  std::map<ForwardId, ForwardResult> m_results;
  ForwardId m_next = 1;
};

} // namespace goldcrestkeel::testing
