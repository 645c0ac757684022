#include "Platform.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <pistache/base64.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace goldcrestkeel::standins {

namespace {

const std::string kKeyPath = "/v1/kv/";
const std::string kSessionPath = "/v1/session/";
constexpr std::size_t kMaxValueBytes = std::size_t{ 1 } << 20;
/** Default and maximum wait of a blocking query in Consul. */
constexpr std::chrono::milliseconds kDefaultQueryWait =
  std::chrono::minutes{ 5 };
constexpr std::chrono::milliseconds kMaxQueryWait = std::chrono::minutes{ 10 };

/** Parses a duration in the format of Consul: a number with the unit "ms", "s"
 *  or "m". Throws std::invalid_argument for any other text. */
std::chrono::milliseconds
ParseConsulDuration(const std::string& aText)
{
  std::size_t end = 0;
  const double number = std::stod(aText, &end);
  const auto unit = aText.substr(end);
  const double unitMs = unit == "ms"  ? 1
                        : unit == "s" ? 1000
                        : unit == "m" ? 60000
                                      : 0;
  if (unitMs == 0 || number < 0) {
    throw std::invalid_argument("invalid duration: " + aText);
  }
  return std::chrono::milliseconds(
    static_cast<std::int64_t>(std::llround(number * unitMs)));
}

/** Converts an entry to the JSON of Consul, which omits "Session" for a key
 *  that is not locked. */
nlohmann::json
ToJson(const std::string& aKey, const KeyValueTable::Entry& aEntry)
{
  nlohmann::json entry{ { "Key", aKey },
                        { "Value", nullptr },
                        { "Flags", 0 },
                        { "LockIndex", aEntry.m_lockIndex },
                        { "CreateIndex", aEntry.m_createIndex },
                        { "ModifyIndex", aEntry.m_modifyIndex } };
  if (!aEntry.m_value.empty()) {
    entry["Value"] = Base64Encoder::EncodeString(aEntry.m_value);
  }
  if (!aEntry.m_session.empty()) {
    entry["Session"] = aEntry.m_session;
  }
  return entry;
}

nlohmann::json
ToJson(const std::string& aId, const KeyValueTable::Session& aSession)
{
  return { { "ID", aId },
           { "Name", aSession.m_name },
           { "TTL", std::to_string(aSession.m_ttl.count()) + "ms" },
           { "LockDelay", aSession.m_lockDelay.count() * 1000000 },
           { "Behavior", aSession.m_deletesKeys ? "delete" : "release" },
           { "CreateIndex", aSession.m_createIndex } };
}

std::optional<std::string>
QueryParameter(const HttpRequest& aRequest, const std::string& aName)
{
  const auto found = aRequest.m_queryParameters.find(aName);
  return found == aRequest.m_queryParameters.end()
           ? std::nullopt
           : std::optional(found->second);
}

bool
IsBlockingQuery(const HttpRequest& aRequest)
{
  return aRequest.m_method == "GET" && aRequest.m_path.starts_with(kKeyPath) &&
         QueryParameter(aRequest, "index").value_or("0") != "0";
}

std::string
KeyFromPath(const HttpRequest& aRequest)
{
  return aRequest.m_path.substr(kKeyPath.size());
}

const char*
BoolText(bool aValue)
{
  return aValue ? "true" : "false";
}

} // namespace

template<typename Action>
void
Platform::RunAfter(std::chrono::microseconds aDelay, Action aAction)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(m_io, aDelay);
  timer->async_wait([timer, action = std::move(aAction)](
                      const boost::system::error_code& aError) {
    if (!aError) {
      action();
    }
  });
}

Platform::Platform(PlatformSettings aSettings)
  : m_settings(std::move(aSettings))
  , m_random(m_settings.m_seed)
  , m_expiryTimer(m_io)
{
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
Platform::Run()
{
  const auto work = boost::asio::make_work_guard(m_io);
  m_admin->Start();
  m_server->Start();
  m_io.run();
}

// ---- Calls -----------------------------------------------------------------

void
Platform::CountCall(const HttpRequest& aRequest)
{
  std::string kind = "other";
  if (aRequest.m_path == "/v1/hosts") {
    kind = "hosts";
  } else if (aRequest.m_path.starts_with(kSessionPath)) {
    const auto rest = aRequest.m_path.substr(kSessionPath.size());
    kind = "session_" + rest.substr(0, rest.find('/'));
  } else if (aRequest.m_path.starts_with(kKeyPath)) {
    kind = aRequest.m_method == "GET"      ? "get"
           : aRequest.m_method == "DELETE" ? "delete"
                                           : "put";
    for (const char* name : { "cas", "acquire", "release" }) {
      if (aRequest.m_queryParameters.contains(name)) {
        kind = aRequest.m_method == "PUT" ? name : kind;
      }
    }
    if (IsBlockingQuery(aRequest)) {
      kind = "watch";
    } else if (aRequest.m_queryParameters.contains("recurse") &&
               kind == "get") {
      kind = "list";
    }
  }
  ++m_callCounts[kind];
  ++m_callCountsByPeer[aRequest.m_peerAddress];
}

void
Platform::OnRequest(const HttpRequest& aRequest)
{
  CountCall(aRequest);
  if (m_faults.m_hang) {
    return;
  }
  if (RandomBool(m_faults.m_failProbability)) {
    aRequest.m_responder->Send(500, "simulated failure");
    return;
  }
  const auto extra = std::chrono::microseconds(
    static_cast<std::int64_t>(m_faults.m_extraDelayMs * 1000));
  RunAfter(m_settings.m_delay + extra, [this, aRequest] {
    if (!m_faults.m_hang) {
      HandleRequest(aRequest);
    }
  });
}

void
Platform::HandleRequest(const HttpRequest& aRequest)
{
  m_keyValues.ExpireSessions(std::chrono::steady_clock::now());
  AnswerChangedQueries();
  Response response;
  try {
    if (aRequest.m_path.starts_with(kKeyPath)) {
      if (BlockUntilChange(aRequest)) {
        return;
      }
      response = OnKey(aRequest);
    } else if (aRequest.m_path.starts_with(kSessionPath)) {
      response = OnSession(aRequest);
    } else if (aRequest.m_path == "/v1/hosts" && aRequest.m_method == "GET") {
      response.m_body = Json{ { "hosts", m_visibleHosts } }.dump();
    } else {
      response = { 404, "no such path" };
    }
  } catch (const std::exception& error) {
    response = { 400, error.what() };
  }
  Reply(aRequest, response);
  AnswerChangedQueries();
  ScheduleExpiry();
}

void
Platform::Reply(const HttpRequest& aRequest, const Response& aResponse)
{
  if (aResponse.m_isWrite) {
    if (m_faults.m_loseNextCount > 0) {
      --m_faults.m_loseNextCount;
      aRequest.m_responder->Close();
      return;
    }
    if (RandomBool(m_faults.m_loseReplyProbability)) {
      aRequest.m_responder->Close();
      return;
    }
  }
  Responder::Headers headers;
  if (aResponse.m_index > 0) {
    headers.emplace_back("X-Consul-Index", std::to_string(aResponse.m_index));
  }
  aRequest.m_responder->Send(aResponse.m_status, aResponse.m_body, headers);
}

Platform::Response
Platform::OnKey(const HttpRequest& aRequest)
{
  const auto key = KeyFromPath(aRequest);
  if (aRequest.m_method == "GET") {
    return OnGet(aRequest, key);
  }
  if (aRequest.m_method == "PUT") {
    return OnPut(aRequest, key);
  }
  if (aRequest.m_method == "DELETE") {
    return OnDelete(aRequest, key);
  }
  return { 405, "method not allowed" };
}

Platform::Response
Platform::OnGet(const HttpRequest& aRequest, const std::string& aKey) const
{
  const auto index = WatchedIndex(aRequest);
  auto entries = Json::array();
  if (aRequest.m_queryParameters.contains("recurse")) {
    for (const auto& [key, entry] : m_keyValues.List(aKey)) {
      entries.push_back(ToJson(key, entry));
    }
  } else if (const auto* entry = m_keyValues.Get(aKey)) {
    if (aRequest.m_queryParameters.contains("raw")) {
      return { 200, entry->m_value, index };
    }
    entries.push_back(ToJson(aKey, *entry));
  }
  if (entries.empty()) {
    return { 404, "", index };
  }
  return { 200, entries.dump(), index };
}

Platform::Response
Platform::OnPut(const HttpRequest& aRequest, const std::string& aKey)
{
  if (aKey.empty()) {
    return { 400, "missing key name" };
  }
  const auto& value = aRequest.m_body;
  if (value.size() > kMaxValueBytes) {
    return { 413, "value is larger than 1 MB" };
  }
  if (const auto index = QueryParameter(aRequest, "cas")) {
    const bool applied =
      m_keyValues.CompareAndSwap(aKey, value, std::stoull(*index));
    return { 200, BoolText(applied), 0, true };
  }
  if (const auto session = QueryParameter(aRequest, "acquire")) {
    if (!m_keyValues.Sessions().contains(*session)) {
      return { 500, "invalid session \"" + *session + "\"" };
    }
    const bool applied = m_keyValues.Acquire(
      aKey, value, *session, std::chrono::steady_clock::now());
    return { 200, BoolText(applied), 0, true };
  }
  if (const auto session = QueryParameter(aRequest, "release")) {
    return {
      200, BoolText(m_keyValues.Release(aKey, value, *session)), 0, true
    };
  }
  m_keyValues.Put(aKey, value);
  return { 200, BoolText(true), 0, true };
}

Platform::Response
Platform::OnDelete(const HttpRequest& aRequest, const std::string& aKey)
{
  if (aRequest.m_queryParameters.contains("recurse")) {
    m_keyValues.DeletePrefix(aKey);
    return { 200, BoolText(true), 0, true };
  }
  std::optional<std::uint64_t> index;
  if (const auto text = QueryParameter(aRequest, "cas")) {
    index = std::stoull(*text);
  }
  return { 200, BoolText(m_keyValues.Delete(aKey, index)), 0, true };
}

// ---- Sessions --------------------------------------------------------------

Platform::Response
Platform::OnCreateSession(const HttpRequest& aRequest)
{
  const auto body =
    aRequest.m_body.empty() ? Json::object() : Json::parse(aRequest.m_body);
  KeyValueTable::Session session;
  session.m_name = body.value("Name", "");
  const auto ttl = body.value("TTL", "");
  if (!ttl.empty()) {
    session.m_ttl = ParseConsulDuration(ttl);
  }
  session.m_lockDelay = ParseConsulDuration(body.value("LockDelay", "0s"));
  session.m_deletesKeys = body.value("Behavior", "release") == "delete";
  const auto id = boost::uuids::to_string(boost::uuids::random_generator()());
  m_keyValues.CreateSession(id, session, std::chrono::steady_clock::now());
  return { 200, Json{ { "ID", id } }.dump(), 0, true };
}

Platform::Response
Platform::OnSession(const HttpRequest& aRequest)
{
  const auto rest = aRequest.m_path.substr(kSessionPath.size());
  const auto slash = rest.find('/');
  const auto operation = rest.substr(0, slash);
  const auto id = slash == std::string::npos ? "" : rest.substr(slash + 1);
  const bool put = aRequest.m_method == "PUT";
  if (put && operation == "create") {
    return OnCreateSession(aRequest);
  }
  if (put && operation == "renew") {
    if (!m_keyValues.RenewSession(id, std::chrono::steady_clock::now())) {
      return { 404, "Session id '" + id + "' not found" };
    }
    const auto& session = m_keyValues.Sessions().at(id);
    return { 200, Json::array({ ToJson(id, session) }).dump(), 0, true };
  }
  if (put && operation == "destroy") {
    m_keyValues.DestroySession(id);
    return { 200, BoolText(true), 0, true };
  }
  if (aRequest.m_method == "GET" &&
      (operation == "list" || operation == "info")) {
    auto sessions = Json::array();
    for (const auto& [other, session] : m_keyValues.Sessions()) {
      if (operation == "list" || other == id) {
        sessions.push_back(ToJson(other, session));
      }
    }
    return { 200, sessions.dump(), m_keyValues.Index() };
  }
  return { 404, "no such path" };
}

void
Platform::ScheduleExpiry()
{
  const auto next = m_keyValues.NextExpiry();
  if (!next) {
    m_expiryTimer.cancel();
    return;
  }
  m_expiryTimer.expires_at(*next);
  m_expiryTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      m_keyValues.ExpireSessions(std::chrono::steady_clock::now());
      AnswerChangedQueries();
      ScheduleExpiry();
    }
  });
}

// ---- Blocking queries ------------------------------------------------------

std::uint64_t
Platform::WatchedIndex(const HttpRequest& aRequest) const
{
  const auto key = KeyFromPath(aRequest);
  return aRequest.m_queryParameters.contains("recurse")
           ? m_keyValues.PrefixIndex(key)
           : m_keyValues.KeyIndex(key);
}

bool
Platform::BlockUntilChange(const HttpRequest& aRequest)
{
  if (!IsBlockingQuery(aRequest)) {
    return false;
  }
  const auto index = std::stoull(*QueryParameter(aRequest, "index"));
  if (WatchedIndex(aRequest) != index) {
    return false;
  }
  auto wait = kDefaultQueryWait;
  if (const auto text = QueryParameter(aRequest, "wait")) {
    wait = std::min(ParseConsulDuration(*text), kMaxQueryWait);
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(m_io, wait);
  const auto blocked =
    m_blockedQueries.insert(m_blockedQueries.end(), { aRequest, index, timer });
  timer->async_wait([this, blocked](const boost::system::error_code& aError) {
    if (!aError) {
      const auto request = std::move(blocked->m_request);
      m_blockedQueries.erase(blocked);
      Reply(request, OnKey(request));
    }
  });
  return true;
}

void
Platform::AnswerChangedQueries()
{
  for (auto it = m_blockedQueries.begin(); it != m_blockedQueries.end();) {
    if (WatchedIndex(it->m_request) == it->m_index) {
      ++it;
      continue;
    }
    // The handler of a timer that has already expired cannot be cancelled; it
    // sends the reply and removes the query itself.
    if (it->m_timer->cancel() == 0) {
      ++it;
      continue;
    }
    const auto request = std::move(it->m_request);
    it = m_blockedQueries.erase(it);
    Reply(request, OnKey(request));
  }
}

// ---- Admin -----------------------------------------------------------------

void
Platform::OnAdmin(const HttpRequest& aRequest)
{
  const auto route = aRequest.m_method + " " + aRequest.m_path;
  auto& responder = *aRequest.m_responder;
  try {
    if (route == "GET /admin/calls") {
      responder.Send(
        200,
        Json{ { "calls", m_callCounts }, { "by_peer", m_callCountsByPeer } }
          .dump());
    } else if (route == "GET /admin/state") {
      responder.Send(200, AdminState().dump());
    } else if (route == "POST /admin/hosts") {
      SetHosts(Json::parse(aRequest.m_body).at("hosts"));
      responder.Send(200, AdminState().dump());
    } else if (route == "POST /admin") {
      const auto command = Json::parse(aRequest.m_body);
      for (const auto& [name, value] : command.items()) {
        ApplyAdminField(name, value);
      }
      responder.Send(200, AdminState().dump());
    } else {
      responder.Send(404, R"({"error":"no such path"})");
    }
  } catch (const std::exception& error) {
    responder.Send(400, Json{ { "error", error.what() } }.dump());
  }
}

void
Platform::ApplyAdminField(const std::string& aName, const Json& aValue)
{
  if (aName == "outage") {
    SetOutage(aValue.get<std::string>());
  } else if (aName == "delay_ms") {
    aValue.get_to(m_faults.m_extraDelayMs);
  } else if (aName == "lose_reply") {
    aValue.get_to(m_faults.m_loseReplyProbability);
  } else if (aName == "lose_next") {
    aValue.get_to(m_faults.m_loseNextCount);
  } else if (aName == "fail") {
    aValue.get_to(m_faults.m_failProbability);
  } else if (aName == "hosts_lag_ms") {
    m_settings.m_hostsLag =
      std::chrono::milliseconds(aValue.get<std::int64_t>());
  } else {
    throw std::invalid_argument("unknown field: " + aName);
  }
}

void
Platform::SetOutage(const std::string& aKind)
{
  if (aKind != "none" && aKind != "refuse" && aKind != "hang") {
    throw std::invalid_argument("outage must be none, refuse or hang");
  }
  m_faults.m_hang = aKind == "hang";
  if (aKind == "refuse") {
    m_server->Stop();
  } else {
    m_server->Start();
  }
}

void
Platform::SetHosts(const Json& aHosts)
{
  for (const auto& host : aHosts) {
    const auto state = host.at("state").get<std::string>();
    if (state != "live" && state != "leaving") {
      throw std::invalid_argument("state of a host must be live or leaving");
    }
    host.at("id").get_ref<const std::string&>();
    host.at("address").get_ref<const std::string&>();
  }
  m_hosts = aHosts;
  RunAfter(m_settings.m_hostsLag,
           [this, hosts = aHosts] { m_visibleHosts = hosts; });
}

Platform::Json
Platform::AdminState() const
{
  return { { "keys", m_keyValues.List("").size() },
           { "sessions", m_keyValues.Sessions().size() },
           { "waiting", m_blockedQueries.size() },
           { "index", m_keyValues.Index() },
           { "hosts", m_hosts },
           { "visible_hosts", m_visibleHosts } };
}

bool
Platform::RandomBool(double aProbability)
{
  return aProbability > 0 &&
         std::bernoulli_distribution(aProbability)(m_random);
}

} // namespace goldcrestkeel::standins
