#include "Backend.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/crc.hpp>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <iostream>

namespace goldcrestkeel::standins {

namespace {

/** Minimum retransmission timeout of TCP on Linux. */
constexpr Microseconds kRetransmissionTimeout{ 200000 };
/** Largest deviation of a link delay from its mean, as a fraction. */
constexpr double kLinkJitterFraction = 0.1;
/** Resolution of the fault "status_lag_ms". */
constexpr Microseconds kStatusSampleInterval{ 100000 };
/** Largest lag of /status that can be simulated. */
constexpr std::chrono::seconds kStatusHistoryDuration{ 60 };

std::uint32_t
Checksum(const std::string& aText)
{
  boost::crc_32_type crc;
  crc.process_bytes(aText.data(), aText.size());
  return crc.checksum();
}

void
SetHits(nlohmann::json& aBody, const std::string& aHits)
{
  aBody["hits"] = aHits;
  aBody["length"] = aHits.size();
  aBody["checksum"] = Checksum(aHits);
}

} // namespace

template<typename Action>
void
Backend::RunAfter(Microseconds aDelay, Action aAction)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(m_io, aDelay);
  timer->async_wait([timer, action = std::move(aAction)](
                      const boost::system::error_code& aError) {
    if (!aError) {
      action();
    }
  });
}

Backend::Backend(BackendSettings aSettings)
  : m_settings(std::move(aSettings))
  , m_random(m_settings.m_seed)
  , m_incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<Microseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count()))
  , m_startTime(std::chrono::steady_clock::now())
{
  for (const auto& path : m_settings.m_indexFiles) {
    LoadIndex(path);
  }
  if (!m_settings.m_runsFile.empty()) {
    m_runsFile.open(m_settings.m_runsFile, std::ios::app);
  }
  m_server = MakeHttpServer(
    m_settings.m_listen, m_settings.m_threads, [this](HttpRequest aRequest) {
      boost::asio::post(
        m_io, [this, request = std::move(aRequest)] { OnRequest(request); });
    });
  m_admin = MakeHttpServer(m_settings.m_admin, 1, [this](HttpRequest aRequest) {
    boost::asio::post(
      m_io, [this, request = std::move(aRequest)] { OnAdmin(request); });
  });
}

void
Backend::Run()
{
  const auto work = boost::asio::make_work_guard(m_io);
  m_admin->Start();
  m_server->Start();
  RecordStatusSample();
  m_io.run();
}

void
Backend::LoadIndex(const std::string& aPath)
{
  std::ifstream file(aPath);
  auto index = std::make_shared<ShardIndex>(file);
  const VersionAndShard key{ index->Version(), index->Shard() };
  m_indexes[key] = std::move(index);
}

// ---- Requests --------------------------------------------------------------

void
Backend::OnRequest(HttpRequest aRequest)
{
  ++m_counters.m_requests;
  const auto connections = m_server->Connections();
  m_counters.m_maxConnections =
    std::max<std::uint64_t>(m_counters.m_maxConnections, connections);
  if (aRequest.m_newConnection && connections > m_settings.m_connectionLimit) {
    ++m_counters.m_overConnectionCap;
    aRequest.m_responder->Close();
    return;
  }
  try {
    const auto route = aRequest.m_method + " " + aRequest.m_path;
    if (route == "POST /search" || route == "POST /command") {
      OnJob(aRequest, aRequest.m_path == "/command");
    } else if (route == "POST /cancel") {
      OnCancel(aRequest);
    } else if (route == "GET /status") {
      OnStatus(aRequest);
    } else {
      aRequest.m_responder->Send(404, R"({"error":"no such path"})");
    }
  } catch (const nlohmann::json::exception& error) {
    aRequest.m_responder->Send(400, Json{ { "error", error.what() } }.dump());
  }
}

Backend::JobPointer
Backend::ReadJob(const HttpRequest& aRequest, bool aCommand)
{
  const auto body = Json::parse(aRequest.m_body);
  auto job = std::make_shared<Job>();
  job->m_isCommand = aCommand;
  job->m_responder = aRequest.m_responder;
  body.at("origin").get_to(job->m_origin);
  body.at("attempt").get_to(job->m_attemptId);
  job->m_deadline =
    std::chrono::steady_clock::now() +
    std::chrono::milliseconds(body.at("deadline_ms").get<std::int64_t>());
  if (aCommand) {
    body.at("key").get_to(job->m_key);
    body.at("body").get_to(job->m_body);
    body.at("start_before_ms").get_to(job->m_startBeforeMs);
  } else {
    body.at("query").get_to(job->m_queryId);
    body.at("shard").get_to(job->m_shard);
    body.at("version").get_to(job->m_version);
    body.at("statement").get_to(job->m_statement);
    body.at("limit").get_to(job->m_maxHits);
  }
  return job;
}

void
Backend::OnJob(const HttpRequest& aRequest, bool aCommand)
{
  auto job = ReadJob(aRequest, aCommand);
  job->m_linkDelay = LinkDelay(job->m_origin, aRequest.m_peerAddress);
  auto delay =
    SampleTransitDelay(job->m_linkDelay) +
    Microseconds(static_cast<std::int64_t>(m_faults.m_requestDelayMs) * 1000);
  if (aRequest.m_newConnection) {
    delay += m_settings.m_connectCost;
  }
  m_activeJobs[{ job->m_origin, job->m_attemptId }] = job;
  RunAfter(delay, [this, job] { Admit(job); });
}

void
Backend::OnCancel(const HttpRequest& aRequest)
{
  const auto body = Json::parse(aRequest.m_body);
  const std::pair<std::string, std::uint64_t> key{ body.at("origin"),
                                                   body.at("attempt") };
  RunAfter(SampleTransitDelay(LinkDelay(key.first, aRequest.m_peerAddress)),
           [this, key] {
             const auto found = m_activeJobs.find(key);
             if (found == m_activeJobs.end()) {
               return;
             }
             const auto job = found->second;
             if (job->m_queued) {
               ++m_counters.m_cancelled;
               m_queuedJobs.erase(
                 std::find(m_queuedJobs.begin(), m_queuedJobs.end(), job));
               Refuse(job, "shedding");
             } else if (!job->m_isCommand) {
               ++m_counters.m_cancelled;
               job->m_cancelled = true;
               if (job->m_running) {
                 Finish(job);
               }
             }
           });
  aRequest.m_responder->Send(204, "");
}

void
Backend::OnStatus(const HttpRequest& aRequest)
{
  auto status = BuildStatus();
  const auto reportedTime = std::chrono::steady_clock::now() -
                            std::chrono::milliseconds(static_cast<std::int64_t>(
                              m_faults.m_statusLagMs));
  if (m_faults.m_statusLagMs > 0) {
    for (const auto& [time, sample] : m_statusHistory) {
      if (time > reportedTime) {
        break;
      }
      status = sample;
    }
  }
  status.merge_patch(m_statusOverride);
  const auto link = LinkDelay("", aRequest.m_peerAddress);
  RunAfter(SampleTransitDelay(link) + SampleTransitDelay(link),
           [responder = aRequest.m_responder, text = status.dump()] {
             responder->Send(200, text);
           });
}

// ---- Execution -------------------------------------------------------------

void
Backend::Admit(const JobPointer& aJob)
{
  if (aJob->m_cancelled) {
    Refuse(aJob, "shedding");
    return;
  }
  if (DrainGraceExpired()) {
    ++m_counters.m_workAfterDrain;
    Refuse(aJob, "draining");
    return;
  }
  if (m_runningCount >= m_settings.m_slots &&
      m_queuedJobs.size() >= m_settings.m_queueLimit) {
    Refuse(aJob, "shedding");
    return;
  }
  aJob->m_queued = true;
  m_queuedJobs.push_back(aJob);
  StartQueuedJobs();
  m_counters.m_maxWaiting =
    std::max<std::uint64_t>(m_counters.m_maxWaiting, m_queuedJobs.size());
}

void
Backend::StartQueuedJobs()
{
  while (m_runningCount < m_settings.m_slots && !m_queuedJobs.empty()) {
    const auto job = m_queuedJobs.front();
    m_queuedJobs.pop_front();
    job->m_queued = false;
    if (const char* reason = StartRefusalReason(*job)) {
      Refuse(job, reason);
    } else {
      Start(job);
    }
  }
}

const char*
Backend::StartRefusalReason(const Job& aJob) const
{
  if (std::chrono::steady_clock::now() >= aJob.m_deadline) {
    return "deadline";
  }
  if (aJob.m_isCommand) {
    return WallClockMs() > aJob.m_startBeforeMs ? "start_before" : nullptr;
  }
  return m_indexes.contains({ aJob.m_version, aJob.m_shard }) ? nullptr
                                                              : "version";
}

void
Backend::Start(const JobPointer& aJob)
{
  ++m_runningCount;
  aJob->m_running = true;
  m_counters.m_maxInFlight =
    std::max<std::uint64_t>(m_counters.m_maxInFlight, m_runningCount);
  auto time = SampleServiceTime();
  if (aJob->m_isCommand) {
    ++m_counters.m_commands;
    RecordCommandRun(aJob->m_key);
  } else {
    ++m_counters.m_searches;
    // A search that would miss its deadline stops early, so that a partial
    // reply arrives in time.
    const auto remaining =
      std::chrono::duration_cast<Microseconds>(
        aJob->m_deadline - std::chrono::steady_clock::now()) -
      2 * aJob->m_linkDelay;
    if (time > remaining) {
      const auto clamped = std::max(remaining, Microseconds{ 0 });
      aJob->m_searchedFraction = static_cast<double>(clamped.count()) /
                                 static_cast<double>(time.count());
      time = clamped;
    } else if (RandomBool(m_faults.m_stopEarlyProbability)) {
      aJob->m_searchedFraction =
        std::uniform_real_distribution<>(0, 1)(m_random);
    }
  }
  RunAfter(time, [this, aJob] {
    if (aJob->m_running) {
      Finish(aJob);
    }
  });
}

void
Backend::Finish(const JobPointer& aJob)
{
  const auto& text = aJob->m_isCommand ? aJob->m_body : aJob->m_statement;
  if (!aJob->m_cancelled && !m_crashText.empty() &&
      text.find(m_crashText) != std::string::npos) {
    std::abort();
  }
  --m_runningCount;
  aJob->m_running = false;
  if (aJob->m_isCommand) {
    ScheduleReply(aJob, CommandReply(*aJob));
  } else if (m_indexes.contains({ aJob->m_version, aJob->m_shard })) {
    ScheduleReply(aJob, SearchReply(*aJob));
  } else {
    Refuse(aJob, "version");
  }
  StartQueuedJobs();
}

void
Backend::RecordCommandRun(const std::string& aKey)
{
  ++m_commandRuns[aKey];
  if (m_runsFile.is_open()) {
    m_runsFile << aKey << std::endl;
  }
}

Backend::Json
Backend::SearchReply(const Job& aJob) const
{
  const auto& index = *m_indexes.at({ aJob.m_version, aJob.m_shard });
  const auto searched = aJob.m_cancelled
                          ? 0
                          : static_cast<std::size_t>(std::floor(
                              aJob.m_searchedFraction *
                              static_cast<double>(index.DocumentCount())));
  auto hits = Json::array();
  for (const auto& found :
       index.Search(aJob.m_statement, aJob.m_maxHits, searched)) {
    hits.push_back({ { "id", found.m_id },
                     { "title", found.m_title },
                     { "score", found.m_score } });
  }
  Json body{ { "incarnation", m_incarnation },
             { "query", aJob.m_queryId },
             { "attempt", aJob.m_attemptId },
             { "shard", aJob.m_shard },
             { "version", aJob.m_version },
             { "documents_searched", searched },
             { "complete", searched == index.DocumentCount() },
             { "draining", m_drainingSince.has_value() } };
  SetHits(body, hits.dump());
  return body;
}

Backend::Json
Backend::CommandReply(const Job& aJob) const
{
  return { { "incarnation", m_incarnation },
           { "attempt", aJob.m_attemptId },
           { "key", aJob.m_key },
           { "ran", "yes" },
           { "result", "done: " + aJob.m_body },
           { "draining", m_drainingSince.has_value() } };
}

// ---- Replies ---------------------------------------------------------------

void
Backend::Refuse(const JobPointer& aJob, const std::string& aReason)
{
  ++m_counters.m_refused[aReason];
  m_activeJobs.erase({ aJob->m_origin, aJob->m_attemptId });
  const Json body{ { "ran", "no" },
                   { "reason", aReason },
                   { "incarnation", m_incarnation },
                   { "attempt", aJob->m_attemptId } };
  RunAfter(SampleTransitDelay(aJob->m_linkDelay),
           [aJob, text = body.dump()] { aJob->m_responder->Send(503, text); });
}

void
Backend::ScheduleReply(const JobPointer& aJob, const Json& aBody)
{
  m_activeJobs.erase({ aJob->m_origin, aJob->m_attemptId });
  auto delay = SampleTransitDelay(aJob->m_linkDelay);
  if (RandomBool(m_faults.m_lateProbability)) {
    delay +=
      Microseconds(static_cast<std::int64_t>(m_faults.m_lateDelayMs * 1000));
  }
  RunAfter(delay, [this, aJob, aBody] { SendReply(aJob, aBody); });
}

void
Backend::SendReply(const JobPointer& aJob, const Json& aBody)
{
  auto& responder = *aJob->m_responder;
  auto& last = m_lastReply[aJob->m_isCommand ? 1 : 0];
  auto body = aBody;
  if (RandomBool(m_faults.m_crossProbability) && !last.is_null()) {
    std::swap(body, last);
  } else {
    last = body;
  }
  if (RandomBool(m_faults.m_loseProbability)) {
    responder.Close();
  } else if (RandomBool(m_faults.m_hangProbability)) {
    return;
  } else if (RandomBool(m_faults.m_truncateProbability)) {
    SendTruncatedReply(*aJob, std::move(body));
  } else if (RandomBool(m_faults.m_corruptProbability)) {
    auto text = body.dump();
    const auto at =
      std::uniform_int_distribution<std::size_t>(0, text.size() - 1)(m_random);
    // The checksum of a search reply covers only the hits, so damage elsewhere
    // would go undetected. A command reply has no checksum; the control
    // character makes it invalid JSON.
    if (aJob->m_isCommand) {
      text[at] = '\x01';
    } else {
      auto hits = body["hits"].get<std::string>();
      hits[at % hits.size()] ^= 1;
      body["hits"] = hits;
      text = body.dump(-1, ' ', false, Json::error_handler_t::replace);
    }
    responder.Send(200, text);
  } else if (RandomBool(m_faults.m_duplicateProbability)) {
    const auto text = FormatReply(200, body.dump());
    responder.SendRaw(text + text, false);
  } else {
    responder.Send(200, body.dump());
  }
}

void
Backend::SendTruncatedReply(const Job& aJob, Json aBody)
{
  if (!aJob.m_isCommand && RandomBool(0.5)) {
    // Shortens the hits but keeps the JSON valid, so that only the length and
    // the checksum reveal the fault.
    auto hits = aBody["hits"].get<std::string>();
    hits.resize(hits.size() / 2);
    aBody["hits"] = hits;
    aJob.m_responder->Send(
      200, aBody.dump(-1, ' ', false, Json::error_handler_t::replace));
    return;
  }
  const auto text = FormatReply(200, aBody.dump());
  aJob.m_responder->SendRaw(
    text.substr(0, text.size() - aBody.dump().size() / 2), true);
}

// ---- Simulation ------------------------------------------------------------

Microseconds
Backend::LinkDelay(const std::string& aOrigin, const std::string& aPeer)
{
  std::size_t length = 0;
  Microseconds delay{ 0 };
  for (const auto& [prefix, link] : m_settings.m_linkDelays) {
    const bool matches = aOrigin.starts_with(prefix) || aPeer == prefix;
    if (matches && prefix.size() >= length) {
      length = prefix.size();
      delay = link;
    }
  }
  return delay;
}

Microseconds
Backend::SampleTransitDelay(Microseconds aLinkDelay)
{
  const auto mean = static_cast<double>(aLinkDelay.count());
  auto delay =
    Microseconds(static_cast<std::int64_t>(std::uniform_real_distribution<>(
      mean * (1 - kLinkJitterFraction),
      mean * (1 + kLinkJitterFraction))(m_random)));
  if (RandomBool(m_settings.m_retransmissionProbability)) {
    delay += kRetransmissionTimeout;
  }
  return delay;
}

Microseconds
Backend::SampleServiceTime()
{
  auto time = std::lognormal_distribution<>(
    std::log(std::max(
      1.0, static_cast<double>(m_settings.m_medianServiceTime.count()))),
    m_settings.m_serviceSigma)(m_random);
  time *= m_faults.m_slowdownFactor;
  if (RandomBool(m_faults.m_slowProbability)) {
    time *= m_faults.m_slowFactor;
  }
  if (IsCold()) {
    time *= m_settings.m_coldFactor;
  }
  return Microseconds(static_cast<std::int64_t>(time));
}

bool
Backend::RandomBool(double aProbability)
{
  return aProbability > 0 &&
         std::bernoulli_distribution(aProbability)(m_random);
}

bool
Backend::DrainGraceExpired() const
{
  return m_drainingSince && std::chrono::steady_clock::now() >
                              *m_drainingSince + m_settings.m_drainGrace;
}

bool
Backend::IsCold() const
{
  return std::chrono::steady_clock::now() <
         m_startTime + m_settings.m_coldPeriod;
}

std::int64_t
Backend::WallClockMs() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch() +
           m_settings.m_clockOffset)
    .count();
}

Backend::Json
Backend::BuildStatus() const
{
  auto versions = Json::array();
  for (const auto& [key, index] : m_indexes) {
    versions.push_back({ { "version", key.first },
                         { "shard", key.second },
                         { "documents", index->DocumentCounts() } });
  }
  return { { "replica", m_settings.m_replica },
           { "incarnation", m_incarnation },
           { "draining", m_drainingSince.has_value() },
           { "cold", IsCold() },
           { "slots", m_settings.m_slots },
           { "in_flight", m_runningCount },
           { "queued", m_queuedJobs.size() },
           { "versions", versions } };
}

void
Backend::RecordStatusSample()
{
  const auto now = std::chrono::steady_clock::now();
  m_statusHistory.emplace_back(now, BuildStatus());
  while (m_statusHistory.front().first + kStatusHistoryDuration < now) {
    m_statusHistory.pop_front();
  }
  RunAfter(kStatusSampleInterval, [this] { RecordStatusSample(); });
}

// ---- Admin -----------------------------------------------------------------

void
Backend::OnAdmin(HttpRequest aRequest)
{
  const auto route = aRequest.m_method + " " + aRequest.m_path;
  auto& responder = *aRequest.m_responder;
  try {
    if (route == "GET /admin/runs") {
      responder.Send(200, Json{ { "runs", m_commandRuns } }.dump());
    } else if (route == "GET /admin/state") {
      responder.Send(200, AdminState().dump());
    } else if (route == "POST /admin") {
      responder.Send(200, ApplyAdmin(Json::parse(aRequest.m_body)).dump());
    } else {
      responder.Send(404, R"({"error":"no such path"})");
    }
  } catch (const std::exception& error) {
    responder.Send(400, Json{ { "error", error.what() } }.dump());
  }
}

Backend::Json
Backend::ApplyAdmin(const Json& aCommand)
{
  for (const auto& [name, value] : aCommand.items()) {
    ApplyAdminField(name, value);
  }
  return AdminState();
}

void
Backend::ApplyAdminField(const std::string& aName, const Json& aValue)
{
  if (const auto field = FindFaultField(aName)) {
    m_faults.*field = aValue.get<double>();
  } else if (aName == "reset") {
    m_faults = {};
    m_crashText.clear();
    m_statusOverride = Json::object();
    m_server->Start();
  } else if (aName == "drain") {
    m_drainingSince.reset();
    if (aValue.get<bool>()) {
      m_drainingSince = std::chrono::steady_clock::now();
    }
  } else if (aName == "load") {
    LoadIndex(aValue.get<std::string>());
  } else if (aName == "retire") {
    std::erase_if(m_indexes, [&](const auto& aEntry) {
      return aEntry.first.first == aValue.get<std::uint64_t>();
    });
  } else if (aName == "refuse") {
    if (aValue.get<bool>()) {
      m_server->Stop();
    } else {
      m_server->Start();
    }
  } else if (aName == "crash_on") {
    aValue.get_to(m_crashText);
  } else if (aName == "status_override") {
    m_statusOverride = aValue;
  } else if (aName == "abort") {
    std::abort();
  } else {
    throw std::invalid_argument("unknown field: " + aName);
  }
}

Backend::Json
Backend::AdminState() const
{
  return { { "status", BuildStatus() },
           { "connections", m_server->Connections() },
           { "max_connections", m_counters.m_maxConnections },
           { "over_connection_cap", m_counters.m_overConnectionCap },
           { "max_in_flight", m_counters.m_maxInFlight },
           { "max_waiting", m_counters.m_maxWaiting },
           { "requests", m_counters.m_requests },
           { "searches", m_counters.m_searches },
           { "commands", m_counters.m_commands },
           { "cancelled", m_counters.m_cancelled },
           { "work_after_drain", m_counters.m_workAfterDrain },
           { "refused", m_counters.m_refused } };
}

} // namespace goldcrestkeel::standins
