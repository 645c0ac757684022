#include "ForwarderFixture.h"

#include <algorithm>
#include <stdexcept>

namespace goldcrestkeel::testing {

ForwarderFixture::ForwarderFixture(ForwarderOptions aOptions)
  : m_forwarder(MakeForwarder(aOptions, *m_random, *this))
{
}

ForwarderOptions
ForwarderFixture::Options()
{
  ForwarderOptions options;
  options.m_dataCentre = "a";
  options.m_regions = { { "a", "north" }, { "b", "north" }, { "c", "south" } };
  options.m_repeatRatio = 0.2;
  options.m_repeatSlack = 100;
  return options;
}

Route
ForwarderFixture::SingleRoute(bool aIdempotent) const
{
  Route route;
  route.m_name = "lookup";
  route.m_host = "shop.example";
  route.m_pathPrefix = "/lookup/";
  route.m_idempotent = aIdempotent;
  route.m_timeout = std::chrono::seconds(1);
  route.m_target = std::chrono::milliseconds(200);
  route.m_attempts = 2;
  route.m_services = { { "single", 1 } };
  return route;
}

Route
ForwarderFixture::GatherRoute(std::size_t aShards, double aMinShare) const
{
  Route route = SingleRoute(true);
  route.m_name = "search";
  route.m_pathPrefix = "/search/";
  route.m_services.clear();
  GatherRule gather;
  for (std::size_t i = 0; i < aShards; ++i) {
    gather.m_shards.push_back("shard" + std::to_string(i));
  }
  gather.m_topRecords = 4;
  gather.m_minShardRatio = aMinShare;
  route.m_gather = gather;
  return route;
}

ReplicaRecord
ForwarderFixture::Replica(const std::string& aService,
                          std::size_t aNumber) const
{
  ReplicaRecord record;
  record.m_id = aService + "-" + std::to_string(aNumber);
  record.m_service = aService;
  record.m_address = "10.0.0.1:" + std::to_string(1000 + aNumber);
  record.m_dataCentre = "a";
  record.m_slots = 3;
  return record;
}

void
ForwarderFixture::ApplyRoute(const Route& aRoute, std::size_t aReplicas)
{
  m_table = std::make_shared<RoutingTable>();
  m_table->m_version = 1;
  m_table->m_routes = { aRoute };
  std::vector<std::string> services;
  for (const WeightedService& service : aRoute.m_services) {
    services.push_back(service.m_service);
  }
  if (aRoute.m_gather) {
    services = aRoute.m_gather->m_shards;
  }
  for (const std::string& service : services) {
    m_table->m_services[service] = { service, 8 };
  }
  m_table->Index();
  m_forwarder->SetTable(m_now, m_table);
  m_forwarder->SetLiveHosts(2);
  for (const std::string& service : services) {
    for (std::size_t i = 0; i < aReplicas; ++i) {
      m_forwarder->UpdateReplica(m_now, Replica(service, i), m_now);
    }
  }
}

ForwardId
ForwarderFixture::Start(Duration aDeadline)
{
  ForwardRequest request;
  request.m_id = m_next++;
  request.m_table = m_table;
  request.m_route = &m_table->m_routes.front();
  request.m_deadline = m_now + aDeadline;
  request.m_fingerprint = m_fingerprint;
  request.m_tenant = m_tenant;
  m_forwarder->Start(m_now, request);
  return request.m_id;
}

ForwarderFixture::SentCopy
ForwarderFixture::LastCopyTo(const std::string& aService) const
{
  const auto found =
    std::find_if(m_sent.rbegin(), m_sent.rend(), [&](const SentCopy& aSent) {
      return aSent.m_service == aService;
    });
  if (found == m_sent.rend()) {
    throw std::runtime_error("no copy was sent to " + aService);
  }
  return *found;
}

std::size_t
ForwarderFixture::CopiesTo(const std::string& aService) const
{
  return std::count_if(
    m_sent.begin(), m_sent.end(), [&](const SentCopy& aSent) {
      return aSent.m_service == aService;
    });
}

void
ForwarderFixture::MarkSent(CopyId aCopy)
{
  m_forwarder->CopySent(m_now, aCopy, ConnectionState::Proven);
}

void
ForwarderFixture::Answer(CopyId aCopy, const std::string& aBody)
{
  ReplicaAnswer answer;
  answer.m_status = 200;
  answer.m_stamp = "stamp" + std::to_string(aCopy);
  answer.m_body = aBody;
  AnswerWith(aCopy, std::move(answer));
}

void
ForwarderFixture::AnswerWith(CopyId aCopy, ReplicaAnswer aAnswer)
{
  m_forwarder->CopyAnswered(m_now, aCopy, std::move(aAnswer));
}

void
ForwarderFixture::Fail(CopyId aCopy, CopyFailure aFailure)
{
  m_forwarder->CopyFailed(m_now, aCopy, aFailure);
}

ReplicaAnswer
ForwarderFixture::Gathered(const std::vector<std::uint32_t>& aShards,
                           const std::string& aBody)
{
  ReplicaAnswer answer;
  answer.m_status = 200;
  answer.m_shards = aShards;
  for (const std::uint32_t shard : aShards) {
    answer.m_shardStamps.push_back("s" + std::to_string(shard));
  }
  answer.m_body = aBody;
  return answer;
}

void
ForwarderFixture::Advance(Duration aTime)
{
  const TimePoint end = m_now + aTime;
  for (auto next = m_forwarder->NextTimer(); next && *next <= end;
       next = m_forwarder->NextTimer()) {
    m_now = std::max(m_now, *next);
    m_forwarder->OnTimer(m_now);
    for (; m_answerProbes && m_probesAnswered < m_probes.size();
         ++m_probesAnswered) {
      AnswerWith(m_probes[m_probesAnswered], ReplicaAnswer());
    }
  }
  m_now = end;
}

void
ForwarderFixture::RunRequests(std::size_t aCount, Duration aLatency)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    const std::size_t first = m_sent.size();
    Start();
    const std::size_t last = m_sent.size();
    Advance(aLatency);
    for (std::size_t copy = first; copy < last; ++copy) {
      Answer(m_sent[copy].m_copy);
    }
  }
}

void
ForwarderFixture::SendCopy(CopyId aCopy,
                           ForwardId aRequest,
                           const ReplicaRecord& aReplica,
                           TimePoint aDeadline)
{
  m_sent.push_back(
    { aCopy, aRequest, aReplica.m_id, aReplica.m_service, aDeadline });
  if (m_sendAtOnce) {
    MarkSent(aCopy);
  }
}

void
ForwarderFixture::SendRelay(CopyId aCopy,
                            ForwardId aRequest,
                            const ReplicaRecord& aHost,
                            TimePoint aDeadline,
                            const RelayedShards& aShards)
{
  m_relays.push_back(
    { aCopy, aRequest, aHost.m_id, aHost.m_dataCentre, aDeadline });
  m_lastRelayedShards = aShards;
  if (m_sendAtOnce) {
    MarkSent(aCopy);
  }
}

void
ForwarderFixture::Finish(ForwardId aRequest, ForwardResult&& aResult)
{
  if (!m_results.emplace(aRequest, std::move(aResult)).second) {
    throw std::logic_error("a request was finished twice");
  }
}

} // namespace goldcrestkeel::testing
