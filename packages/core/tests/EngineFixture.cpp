#include "EngineFixture.h"

#include <catch2/catch.hpp>

namespace goldcrestkeel::testing {

namespace {

constexpr DocumentCount kDocuments = 100;

std::string
ShardName(int aShard)
{
  return "s" + std::to_string(aShard);
}

} // namespace

EngineFixture::EngineFixture(int aShards, int aReplicas)
  : m_shards(aShards)
  , m_random(MakeSeededRandom(1))
{
  m_options.m_dataCentre = "dc0";
  m_options.m_region = "region0";
  m_spec.m_name = "catalogue";
  for (int shard = 0; shard < aShards; ++shard) {
    m_spec.m_shards.push_back(ShardName(shard));
    for (int copy = 0; copy < aReplicas; ++copy) {
      ReplicaSpec replica;
      replica.m_id = ShardName(shard) + "-r" + std::to_string(copy);
      replica.m_dataCentre = "dc" + std::to_string(copy);
      replica.m_region = "region" + std::to_string(copy);
      replica.m_shard = ShardName(shard);
      replica.m_slots = 100;
      replica.m_connections = 100;
      m_spec.m_replicas.push_back(replica);
    }
  }
  m_request.m_service = m_spec.m_name;
  m_request.m_statement = "oak rail";
  m_request.m_deadline = Duration{ 1000000 };
  m_engine = MakeQueryEngine(m_options, *m_random);
  Configure();
  for (const ReplicaSpec& replica : m_spec.m_replicas) {
    ReportStatus(replica.m_id, replica.m_shard, { 1 });
  }
}

void
EngineFixture::Configure()
{
  m_engine->SetService(m_now, m_spec);
}

void
EngineFixture::Start(QueryId aQuery)
{
  m_request.m_query = aQuery;
  Handle(m_request);
}

void
EngineFixture::ReportStatus(const std::string& aReplica,
                            const std::string& aShard,
                            const std::vector<VersionId>& aVersions)
{
  ReplicaStatus status;
  status.m_replica = aReplica;
  status.m_incarnation = 1;
  status.m_slots = 100;
  for (const VersionId version : aVersions) {
    HeldVersion held;
    held.m_map.m_version = version;
    for (int shard = 0; shard < m_shards; ++shard) {
      held.m_map.m_documents[ShardName(shard)] = kDocuments;
    }
    held.m_shard = aShard;
    status.m_versions.push_back(held);
  }
  Handle(status);
}

SubReply
EngineFixture::ReplyTo(std::size_t aSent) const
{
  const SendSubRequest& sent = m_sent.at(aSent);
  SubReply reply;
  reply.m_attempt = sent.m_attempt;
  reply.m_incarnation = 1;
  reply.m_echoQuery = sent.m_query;
  reply.m_echoAttempt = sent.m_attempt;
  reply.m_echoShard = sent.m_shard;
  reply.m_echoVersion = sent.m_version;
  reply.m_documentsSearched = kDocuments;
  return reply;
}

void
EngineFixture::Reply(std::size_t aSent, std::vector<Hit> aHits)
{
  SubReply reply = ReplyTo(aSent);
  reply.m_hits = std::move(aHits);
  Handle(reply);
}

void
EngineFixture::Fail(std::size_t aSent, SubFailureKind aKind)
{
  Handle(SubFailure{ m_sent.at(aSent).m_attempt, aKind });
}

void
EngineFixture::AdvanceTo(Duration aTime)
{
  const TimePoint end{ aTime };
  for (auto next = m_engine->NextTimer(); next && *next <= end;
       next = m_engine->NextTimer()) {
    m_now = std::max(m_now, *next);
    Actions actions;
    m_engine->FireTimers(m_now, actions);
    Collect(actions);
  }
  m_now = end;
}

const FinishSearch&
EngineFixture::OnlyAnswer() const
{
  REQUIRE(m_finished.size() == 1);
  return m_finished.front();
}

void
EngineFixture::Collect(const Actions& aActions)
{
  for (const Action& action : aActions) {
    if (const auto* send = std::get_if<SendSubRequest>(&action)) {
      m_sent.push_back(*send);
    } else if (const auto* cancel = std::get_if<CancelSubRequest>(&action)) {
      m_cancelled.push_back(*cancel);
    } else {
      m_finished.push_back(std::get<FinishSearch>(action));
    }
  }
}

} // namespace goldcrestkeel::testing
