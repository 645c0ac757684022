#include "Benchmark.h"

#include <goldcrestkeel/Core.h>

#include <algorithm>
#include <chrono>
#include <string>

namespace goldcrestkeel::benchmark {

namespace {

constexpr int kSmallShardCount = 10;
constexpr int kLargeShardCount = 1400;
/** Replicas of each shard. */
constexpr int kReplicas = 3;
/** Sub-requests of each round, and number of rounds. The fastest round counts,
 *  because other processes share the machine. */
constexpr int kSubRequestsPerRound = 100000;
constexpr int kRounds = 5;
constexpr DocumentCount kDocuments = 1000;

/** Measures the real time that the engine spends on each sub-request, without
 *  the time in which the driver builds the replies. */
class EngineDriver
{
public:
  explicit EngineDriver(int aShards)
    : m_shards(aShards)
    , m_random(MakeSeededRandom(1))
    , m_engine(MakeQueryEngine({}, *m_random))
  {
    ServiceSpec spec;
    spec.m_name = "catalogue";
    ShardMap map;
    map.m_version = 1;
    for (int shard = 0; shard < aShards; ++shard) {
      spec.m_shards.push_back("shard-" + std::to_string(shard));
      map.m_documents[spec.m_shards.back()] = kDocuments;
      for (int replicaIndex = 0; replicaIndex < kReplicas; ++replicaIndex) {
        ReplicaSpec replica;
        replica.m_id =
          spec.m_shards.back() + "-" + std::to_string(replicaIndex);
        replica.m_shard = spec.m_shards.back();
        replica.m_slots = 8;
        replica.m_connections = 100;
        spec.m_replicas.push_back(replica);
      }
    }
    m_engine->SetService(m_now, spec);
    for (const ReplicaSpec& replica : spec.m_replicas) {
      ReplicaStatus status;
      status.m_replica = replica.m_id;
      status.m_incarnation = 1;
      status.m_versions = { { map, replica.m_shard } };
      Actions actions;
      m_engine->Handle(m_now, status, actions);
    }
  }

  double NanosecondsPerSubRequest()
  {
    double best = 0;
    for (int round = 0; round < kRounds; ++round) {
      std::chrono::nanoseconds spent{ 0 };
      int sent = 0;
      while (sent < kSubRequestsPerRound) {
        spent += Search();
        sent += m_shards;
      }
      const double perSubRequest = static_cast<double>(spent.count()) / sent;
      best = round == 0 ? perSubRequest : std::min(best, perSubRequest);
    }
    return best;
  }

private:
  std::chrono::nanoseconds Search()
  {
    using Clock = std::chrono::steady_clock;
    StartSearch start;
    start.m_query = ++m_query;
    start.m_service = "catalogue";
    start.m_statement = "maple driving wheel";
    start.m_deadline = Duration{ 1000000 };
    Actions actions;
    Actions replyActions;
    const auto begin = Clock::now();
    m_engine->Handle(m_now, start, actions);
    std::chrono::nanoseconds spent = Clock::now() - begin;

    std::vector<SubReply> replies;
    for (const Action& action : actions) {
      const auto& send = std::get<SendSubRequest>(action);
      SubReply reply;
      reply.m_attempt = reply.m_echoAttempt = send.m_attempt;
      reply.m_incarnation = 1;
      reply.m_echoQuery = send.m_query;
      reply.m_echoShard = send.m_shard;
      reply.m_echoVersion = send.m_version;
      reply.m_documentsSearched = kDocuments;
      const double score = static_cast<double>(m_random->Below(100));
      reply.m_hits = { { "a-document", "Maple wheel", score },
                       { "b-document", "Maple wheel", score } };
      replies.push_back(std::move(reply));
    }
    m_now += Duration{ 5000 };
    const auto repliesBegin = Clock::now();
    m_engine->FireTimers(m_now, replyActions);
    for (const SubReply& reply : replies) {
      m_engine->Handle(m_now, reply, replyActions);
    }
    spent += Clock::now() - repliesBegin;
    return spent;
  }

  int m_shards;
  std::unique_ptr<RandomSource> m_random;
  std::unique_ptr<QueryEngine> m_engine;
  TimePoint m_now{ Duration{ 0 } };
  QueryId m_query = 0;
};

/** Time of the engine for each sub-request, and its growth from few shards to
 *  many. */
class CoreBenchmark : public Benchmark
{
public:
  std::string_view Name() const override { return "core"; }

  std::vector<Figure> Run(std::uint64_t) override
  {
    const double small =
      EngineDriver(kSmallShardCount).NanosecondsPerSubRequest();
    const double large =
      EngineDriver(kLargeShardCount).NanosecondsPerSubRequest();
    return { { "core.ns_per_subrequest", large, Bound::AtMost, 2000, {} },
             { "core.growth", large / small, Bound::AtMost, 1.2, {} } };
  }
};

CoreBenchmark sCore;
const BenchmarkRegistration kCore(sCore);

} // namespace

} // namespace goldcrestkeel::benchmark
