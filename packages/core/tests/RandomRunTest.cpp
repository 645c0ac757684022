#include <goldcrestkeel/Core.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace goldcrestkeel;

// Long runs with several faults at once. Each answer is compared with a model
// that holds all documents: the hits must come from one version, and the
// coverage must follow from the replies that were delivered correctly. GK_SEED
// sets the first seed and GK_RUNS the number of runs; for example
//   GK_SEED=1000 GK_RUNS=200 core_test "Random runs*"
namespace {

constexpr int kReplicasPerShard = 3;
constexpr int kSteps = 3000;
constexpr std::uint32_t kLimit = 50;
constexpr const char* kCrashingStatement = "crash";

/** Number of shards of a version; every third version is partitioned
 *  differently. */
int
ShardCount(VersionId aVersion)
{
  return aVersion % 3 == 0 ? 3 : 4;
}

DocumentCount
Documents(VersionId aVersion, int aShard)
{
  return 5 + aVersion % 5 + static_cast<DocumentCount>(aShard);
}

std::string
ShardName(int aShard)
{
  return "s" + std::to_string(aShard);
}

ShardMap
MakeShardMap(VersionId aVersion)
{
  ShardMap map;
  map.m_version = aVersion;
  for (int shard = 0; shard < ShardCount(aVersion); ++shard) {
    map.m_documents[ShardName(shard)] = Documents(aVersion, shard);
  }
  return map;
}

struct FakeBackend
{
  std::string m_id;
  int m_homeShard = 0;
  std::uint64_t m_incarnation = 1;
  bool m_alive = true;
  bool m_draining = false;
  std::set<VersionId> m_versions{ 1 };
};

/** A message in flight to the engine. */
struct PendingMessage
{
  std::optional<SubReply> m_reply;
  std::optional<SubFailure> m_failure;
};

/** Expected state of one search. */
struct Model
{
  std::uint64_t m_statement = 0;
  bool m_sent = false;
  /** Largest document count delivered correctly, per version and shard. */
  std::map<VersionId, std::map<std::string, DocumentCount>>
    m_deliveredDocuments;
};

class RandomRun
{
public:
  explicit RandomRun(std::uint64_t aSeed)
    : m_random(MakeSeededRandom(aSeed))
    , m_engineRandom(MakeSeededRandom(aSeed + 1))
  {
    EngineOptions options;
    options.m_maxRunningQueries = 20;
    options.m_maxQueuedQueries = 10;
    m_engine = MakeQueryEngine(options, *m_engineRandom);
    ServiceSpec spec;
    spec.m_name = "catalogue";
    spec.m_policy.m_preference = Chance(0.5)
                                   ? CoveragePreference::AnswerOnTime
                                   : CoveragePreference::WaitForCoverage;
    spec.m_policy.m_selector = Chance(0.5) ? "round_robin" : "least_loaded";
    for (int shard = 0; shard < 4; ++shard) {
      spec.m_shards.push_back(ShardName(shard));
      for (int copy = 0; copy < kReplicasPerShard; ++copy) {
        ReplicaSpec replica;
        replica.m_id = ShardName(shard) + "-r" + std::to_string(copy);
        replica.m_slots = 2;
        replica.m_connections = 6;
        spec.m_replicas.push_back(replica);
        m_servers[replica.m_id].m_id = replica.m_id;
        m_servers[replica.m_id].m_homeShard = shard;
      }
    }
    m_engine->SetService(m_now, spec);
    for (auto& [id, server] : m_servers) {
      ReportStatus(server);
    }
  }

  void Run()
  {
    for (int step = 0; step < kSteps; ++step) {
      Advance(Duration{ m_random->Below(4000) });
      if (Chance(0.3)) {
        StartRandomSearch();
      }
      if (Chance(0.05)) {
        ReportStatus(RandomBackend());
      }
      if (Chance(0.03)) {
        InjectFault();
      }
    }
    Advance(Duration{ 5000000 });
    INFO("every search ends");
    REQUIRE(m_models.empty());
    REQUIRE(m_engine->RunningQueries() == 0);
    REQUIRE(m_finished > 0);
  }

  int m_complete = 0;
  int m_finished = 0;

private:
  bool Chance(double aProbability) { return m_random->Unit() < aProbability; }

  FakeBackend& RandomBackend()
  {
    auto server = m_servers.begin();
    std::advance(
      server, static_cast<std::ptrdiff_t>(m_random->Below(m_servers.size())));
    return server->second;
  }

  /** Shard of aVersion that a backend holds. */
  static int ShardOf(const FakeBackend& aServer, VersionId aVersion)
  {
    return aServer.m_homeShard % ShardCount(aVersion);
  }

  void ReportStatus(const FakeBackend& aServer)
  {
    if (!aServer.m_alive) {
      m_engine->StatusUnavailable(m_now, aServer.m_id);
      return;
    }
    ReplicaStatus status;
    status.m_replica = aServer.m_id;
    status.m_incarnation = aServer.m_incarnation;
    status.m_draining = aServer.m_draining;
    status.m_cold = Chance(0.1);
    // The reported load is arbitrary.
    status.m_inFlight = static_cast<std::uint32_t>(m_random->Below(20));
    for (const VersionId version : aServer.m_versions) {
      status.m_versions.push_back(
        { MakeShardMap(version), ShardName(ShardOf(aServer, version)) });
    }
    Deliver(status);
    if (aServer.m_draining) {
      m_knownDraining.insert(aServer.m_id);
    }
  }

  void StartRandomSearch()
  {
    StartSearch start;
    start.m_query = ++m_query;
    start.m_service = "catalogue";
    start.m_statement =
      Chance(0.01) ? kCrashingStatement : "part " + std::to_string(m_query);
    start.m_deadline = Duration{ 50000 + m_random->Below(400000) };
    start.m_minCoverage = Chance(0.5) ? 0.0 : 0.7;
    start.m_limit = kLimit;
    start.m_class = Chance(0.3) ? CallerClass::Batch : CallerClass::Interactive;
    if (Chance(0.1)) {
      start.m_snapshot = 1 + m_random->Below(m_newest);
    }
    m_models[start.m_query].m_statement = start.m_query;
    Deliver(start);
    if (Chance(0.03) && m_models.erase(start.m_query) > 0) {
      Deliver(CancelSearch{ start.m_query });
    }
  }

  void InjectFault()
  {
    FakeBackend& server = RandomBackend();
    switch (m_random->Below(6)) {
      case 0:
        Crash(server);
        break;
      case 1:
        server.m_draining = true;
        break;
      case 2:
      case 3:
        // A restart ends a crash or a drain.
        server.m_alive = true;
        server.m_draining = false;
        ++server.m_incarnation;
        m_knownDraining.erase(server.m_id);
        ReportStatus(server);
        break;
      case 4:
        ++m_newest;
        for (auto& [id, each] : m_servers) {
          each.m_versions.insert(m_newest);
          if (Chance(0.5)) {
            ReportStatus(each);
          }
        }
        break;
      default:
        for (auto& [id, each] : m_servers) {
          if (each.m_versions.size() > 1) {
            each.m_versions.erase(each.m_versions.begin());
          }
        }
        break;
    }
  }

  void Crash(FakeBackend& aServer)
  {
    aServer.m_alive = false;
    for (const auto& [attempt, replica] : m_inFlightAttempts) {
      if (replica == aServer.m_id) {
        PendingMessage pending;
        pending.m_failure = SubFailure{ attempt, SubFailureKind::Reset };
        m_pending.emplace(m_now + Duration{ m_random->Below(3000) }, pending);
      }
    }
    std::erase_if(m_inFlightAttempts, [&](const auto& aItem) {
      return aItem.second == aServer.m_id;
    });
  }

  void Fail(const SendSubRequest& aSend, SubFailureKind aKind)
  {
    PendingMessage pending;
    pending.m_failure = SubFailure{ aSend.m_attempt, aKind };
    m_pending.emplace(m_now + Duration{ 500 + m_random->Below(2000) }, pending);
  }

  void Receive(const SendSubRequest& aSend)
  {
    INFO("no request to a replica that is known to be draining");
    REQUIRE(!m_knownDraining.contains(aSend.m_replica));
    FakeBackend& server = m_servers.at(aSend.m_replica);
    if (!server.m_alive) {
      Fail(aSend, SubFailureKind::ConnectFailed);
    } else if (server.m_draining) {
      m_inFlightAttempts[aSend.m_attempt] = aSend.m_replica;
      m_drainRefusals[aSend.m_attempt] = server.m_incarnation;
      Fail(aSend, SubFailureKind::Draining);
    } else if (!server.m_versions.contains(aSend.m_version) ||
               ShardName(ShardOf(server, aSend.m_version)) != aSend.m_shard) {
      Fail(aSend, SubFailureKind::VersionGone);
    } else if (aSend.m_statement == kCrashingStatement) {
      m_inFlightAttempts[aSend.m_attempt] = aSend.m_replica;
      Crash(server);
    } else if (Chance(0.02)) {
      Fail(aSend, SubFailureKind::Shed);
    } else if (Chance(0.97)) {
      Answer(aSend, server);
    }
    // Otherwise the reply is lost.
  }

  void Answer(const SendSubRequest& aSend, const FakeBackend& aServer)
  {
    m_inFlightAttempts[aSend.m_attempt] = aSend.m_replica;
    SubReply reply;
    reply.m_attempt = aSend.m_attempt;
    reply.m_incarnation = aServer.m_incarnation;
    reply.m_echoQuery = aSend.m_query;
    reply.m_echoAttempt = aSend.m_attempt;
    reply.m_echoShard = aSend.m_shard;
    reply.m_echoVersion = aSend.m_version;
    const DocumentCount all =
      Documents(aSend.m_version, ShardOf(aServer, aSend.m_version));
    const bool partial = Chance(0.03);
    reply.m_documentsSearched = partial ? m_random->Below(all) : all;
    reply.m_complete = !partial;
    for (DocumentCount i = 0; i < reply.m_documentsSearched; ++i) {
      Hit hit;
      hit.m_id = "v" + std::to_string(aSend.m_version) + "/" + aSend.m_shard +
                 "/" + std::to_string(i);
      hit.m_title = aSend.m_statement;
      hit.m_score = static_cast<double>(i % 3);
      reply.m_hits.push_back(hit);
    }
    const std::uint64_t time =
      Chance(0.05) ? m_random->Below(300000) : 500 + m_random->Below(8000);
    PendingMessage pending;
    pending.m_reply = reply;
    m_pending.emplace(m_now + Duration{ time }, pending);
    if (Chance(0.02)) {
      // Deliver a duplicate.
      m_pending.emplace(m_now + Duration{ time + m_random->Below(5000) },
                        pending);
    }
  }

  void Advance(Duration aTime)
  {
    const TimePoint end = m_now + aTime;
    while (true) {
      const auto timer = m_engine->NextTimer();
      const auto message = m_pending.begin();
      const bool haveMessage = message != m_pending.end();
      if (timer && *timer <= end &&
          (!haveMessage || *timer <= message->first)) {
        m_now = std::max(m_now, *timer);
        Actions actions;
        m_engine->FireTimers(m_now, actions);
        Apply(actions);
      } else if (haveMessage && message->first <= end) {
        m_now = std::max(m_now, message->first);
        const PendingMessage pending = message->second;
        m_pending.erase(message);
        Receive(pending);
      } else {
        break;
      }
    }
    m_now = end;
  }

  void Receive(const PendingMessage& aPending)
  {
    if (aPending.m_failure) {
      ReceiveFailure(*aPending.m_failure);
      return;
    }
    SubReply reply = *aPending.m_reply;
    bool broken = false;
    if (Chance(0.01)) {
      reply.m_intact = false;
      broken = true;
    } else if (Chance(0.01) && !m_inFlightAttempts.empty()) {
      // Misdirected: the reply arrives for another sub-request.
      reply.m_attempt = m_inFlightAttempts.begin()->first;
      broken = reply.m_attempt != reply.m_echoAttempt;
    }
    const auto model = m_models.find(reply.m_echoQuery);
    if (!broken && model != m_models.end()) {
      DocumentCount& count =
        model->second
          .m_deliveredDocuments[reply.m_echoVersion][reply.m_echoShard];
      count = std::max(count, reply.m_documentsSearched);
    }
    m_inFlightAttempts.erase(reply.m_attempt);
    Deliver(reply);
  }

  void ReceiveFailure(const SubFailure& aFailure)
  {
    const auto out = m_inFlightAttempts.find(aFailure.m_attempt);
    if (aFailure.m_kind == SubFailureKind::Draining &&
        out != m_inFlightAttempts.end()) {
      const FakeBackend& server = m_servers.at(out->second);
      if (server.m_draining &&
          server.m_incarnation == m_drainRefusals[aFailure.m_attempt]) {
        m_knownDraining.insert(server.m_id);
      }
    }
    m_inFlightAttempts.erase(aFailure.m_attempt);
    Deliver(aFailure);
  }

  template<typename Event>
  void Deliver(const Event& aEvent)
  {
    Actions actions;
    m_engine->Handle(m_now, aEvent, actions);
    Apply(actions);
  }

  void Apply(const Actions& aActions)
  {
    for (const Action& action : aActions) {
      if (const auto* send = std::get_if<SendSubRequest>(&action)) {
        const auto model = m_models.find(send->m_query);
        REQUIRE(model != m_models.end());
        model->second.m_sent = true;
        Receive(*send);
      } else if (const auto* cancel = std::get_if<CancelSubRequest>(&action)) {
        m_inFlightAttempts.erase(cancel->m_attempt);
      } else {
        Check(std::get<FinishSearch>(action));
      }
    }
  }

  void Check(const FinishSearch& aFinish)
  {
    const auto found = m_models.find(aFinish.m_query);
    INFO("query " << aFinish.m_query);
    REQUIRE(found != m_models.end());
    const Model model = found->second;
    m_models.erase(found);
    ++m_finished;
    if (aFinish.m_ran == Ran::No && aFinish.m_error != ErrorKind::NoReplica) {
      REQUIRE_FALSE(model.m_sent);
    }
    if (aFinish.m_snapshot == 0) {
      REQUIRE(aFinish.m_error);
      return;
    }
    CheckCoverage(aFinish, model);
    CheckHits(aFinish, model);
  }

  void CheckCoverage(const FinishSearch& aFinish, const Model& aModel)
  {
    const CoverageReport& coverage = aFinish.m_coverage;
    REQUIRE(coverage.m_documentsTotal ==
            MakeShardMap(aFinish.m_snapshot).Total());
    DocumentCount delivered = 0;
    const auto version = aModel.m_deliveredDocuments.find(aFinish.m_snapshot);
    if (version != aModel.m_deliveredDocuments.end()) {
      for (const auto& [shard, count] : version->second) {
        delivered += count;
      }
    }
    INFO("the coverage counts only replies that were delivered correctly");
    REQUIRE(coverage.m_documentsSearched <= delivered);
    m_complete += coverage.m_fraction == 1;
  }

  void CheckHits(const FinishSearch& aFinish, const Model& aModel)
  {
    const std::string prefix = "v" + std::to_string(aFinish.m_snapshot) + "/";
    const std::string title = "part " + std::to_string(aModel.m_statement);
    std::set<std::string> ids;
    for (const Hit& hit : aFinish.m_hits) {
      REQUIRE(hit.m_id.starts_with(prefix));
      REQUIRE(hit.m_title == title);
      REQUIRE(ids.insert(hit.m_id).second);
    }
    if (!aFinish.m_error) {
      REQUIRE(ids.size() == std::min<std::uint64_t>(
                              aFinish.m_coverage.m_documentsSearched, kLimit));
    }
  }

  std::unique_ptr<RandomSource> m_random;
  std::unique_ptr<RandomSource> m_engineRandom;
  std::unique_ptr<QueryEngine> m_engine;
  TimePoint m_now{ Duration{ 0 } };
  QueryId m_query = 0;
  VersionId m_newest = 1;
  std::map<std::string, FakeBackend> m_servers;
  std::set<std::string> m_knownDraining;
  std::multimap<TimePoint, PendingMessage> m_pending;
  std::map<AttemptId, std::string> m_inFlightAttempts;
  /** Incarnation that refused the attempt because it was draining. */
  std::map<AttemptId, std::uint64_t> m_drainRefusals;
  std::map<QueryId, Model> m_models;
};

std::uint64_t
FromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? aDefault : std::strtoull(value, nullptr, 10);
}

} // namespace

TEST_CASE("Random runs with several faults at once", "[random]")
{
  const std::uint64_t first = FromEnvironment("GK_SEED", 1);
  const std::uint64_t runs = FromEnvironment("GK_RUNS", 10);
  int complete = 0;
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    INFO("GK_SEED=" << seed << " GK_RUNS=1");
    RandomRun run(seed);
    run.Run();
    complete += run.m_complete;
  }
  INFO("some answers are complete in spite of the faults");
  REQUIRE(complete > 0);
}
