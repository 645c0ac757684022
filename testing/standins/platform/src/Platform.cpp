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
constexpr std::size_t kMaxValue = std::size_t{ 1 } << 20;
/** Consul's default and longest wait of a blocking query. */
constexpr std::chrono::milliseconds kDefaultWait = std::chrono::minutes{ 5 };
constexpr std::chrono::milliseconds kMaxWait = std::chrono::minutes{ 10 };

/** Duration as Consul writes it: a number with "ms", "s" or "m". Throws
 *  std::invalid_argument. */
std::chrono::milliseconds
ParseDuration(const std::string& aText)
{
  std::size_t end = 0;
  const double number = std::stod(aText, &end);
  const auto unit = aText.substr(end);
  const double factor = unit == "ms"  ? 1
                        : unit == "s" ? 1000
                        : unit == "m" ? 60000
                                      : 0;
  if (factor == 0 || number < 0) {
    throw std::invalid_argument("invalid duration: " + aText);
  }
  return std::chrono::milliseconds(
    static_cast<std::int64_t>(std::llround(number * factor)));
}

/** Consul omits "Session" for a key that is not locked. */
nlohmann::json
Describe(const std::string& aKey, const KeyValueTable::Entry& aEntry)
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
Describe(const std::string& aId, const KeyValueTable::Session& aSession)
{
  return { { "ID", aId },
           { "Name", aSession.m_name },
           { "TTL", std::to_string(aSession.m_ttl.count()) + "ms" },
           { "LockDelay", aSession.m_lockDelay.count() * 1000000 },
           { "Behavior", aSession.m_deletesKeys ? "delete" : "release" },
           { "CreateIndex", aSession.m_createIndex } };
}

std::optional<std::string>
Parameter(const HttpRequest& aRequest, const std::string& aName)
{
  const auto found = aRequest.m_query.find(aName);
  return found == aRequest.m_query.end() ? std::nullopt
                                         : std::optional(found->second);
}

bool
IsWatch(const HttpRequest& aRequest)
{
  return aRequest.m_method == "GET" && aRequest.m_path.starts_with(kKeyPath) &&
         Parameter(aRequest, "index").value_or("0") != "0";
}

std::string
KeyOf(const HttpRequest& aRequest)
{
  return aRequest.m_path.substr(kKeyPath.size());
}

const char*
Text(bool aValue)
{
  return aValue ? "true" : "false";
}

} // namespace

template<typename Action>
void
Platform::After(std::chrono::microseconds aDelay, Action aAction)
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
  , m_expiry(m_io)
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
Platform::Count(const HttpRequest& aRequest)
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
      if (aRequest.m_query.contains(name)) {
        kind = aRequest.m_method == "PUT" ? name : kind;
      }
    }
    if (IsWatch(aRequest)) {
      kind = "watch";
    } else if (aRequest.m_query.contains("recurse") && kind == "get") {
      kind = "list";
    }
  }
  ++m_calls[kind];
  ++m_callsByPeer[aRequest.m_peer];
}

void
Platform::OnRequest(const HttpRequest& aRequest)
{
  Count(aRequest);
  if (m_faults.m_hang) {
    return;
  }
  if (Chance(m_faults.m_fail)) {
    aRequest.m_responder->Send(500, "simulated failure");
    return;
  }
  const auto extra = std::chrono::microseconds(
    static_cast<std::int64_t>(m_faults.m_delayMs * 1000));
  After(m_settings.m_delay + extra, [this, aRequest] {
    if (!m_faults.m_hang) {
      Serve(aRequest);
    }
  });
}

void
Platform::Serve(const HttpRequest& aRequest)
{
  m_table.Expire(std::chrono::steady_clock::now());
  WakeWaiters();
  Answer answer;
  try {
    if (aRequest.m_path.starts_with(kKeyPath)) {
      if (Block(aRequest)) {
        return;
      }
      answer = OnKey(aRequest);
    } else if (aRequest.m_path.starts_with(kSessionPath)) {
      answer = OnSession(aRequest);
    } else if (aRequest.m_path == "/v1/hosts" && aRequest.m_method == "GET") {
      answer.m_body = Json{ { "hosts", m_visibleHosts } }.dump();
    } else {
      answer = { 404, "no such path" };
    }
  } catch (const std::exception& error) {
    answer = { 400, error.what() };
  }
  Reply(aRequest, answer);
  WakeWaiters();
  ScheduleExpiry();
}

void
Platform::Reply(const HttpRequest& aRequest, const Answer& aAnswer)
{
  if (aAnswer.m_write) {
    if (m_faults.m_loseNext > 0) {
      --m_faults.m_loseNext;
      aRequest.m_responder->Close();
      return;
    }
    if (Chance(m_faults.m_loseReply)) {
      aRequest.m_responder->Close();
      return;
    }
  }
  Responder::Headers headers;
  if (aAnswer.m_index > 0) {
    headers.emplace_back("X-Consul-Index", std::to_string(aAnswer.m_index));
  }
  aRequest.m_responder->Send(aAnswer.m_status, aAnswer.m_body, headers);
}

Platform::Answer
Platform::OnKey(const HttpRequest& aRequest)
{
  const auto key = KeyOf(aRequest);
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

Platform::Answer
Platform::OnGet(const HttpRequest& aRequest, const std::string& aKey) const
{
  const auto index = IndexOf(aRequest);
  auto entries = Json::array();
  if (aRequest.m_query.contains("recurse")) {
    for (const auto& [key, entry] : m_table.List(aKey)) {
      entries.push_back(Describe(key, entry));
    }
  } else if (const auto* entry = m_table.Get(aKey)) {
    if (aRequest.m_query.contains("raw")) {
      return { 200, entry->m_value, index };
    }
    entries.push_back(Describe(aKey, *entry));
  }
  if (entries.empty()) {
    return { 404, "", index };
  }
  return { 200, entries.dump(), index };
}

Platform::Answer
Platform::OnPut(const HttpRequest& aRequest, const std::string& aKey)
{
  if (aKey.empty()) {
    return { 400, "missing key name" };
  }
  const auto& value = aRequest.m_body;
  if (value.size() > kMaxValue) {
    return { 413, "value is longer than 1 MB" };
  }
  if (const auto index = Parameter(aRequest, "cas")) {
    const bool done = m_table.CompareAndSwap(aKey, value, std::stoull(*index));
    return { 200, Text(done), 0, true };
  }
  if (const auto session = Parameter(aRequest, "acquire")) {
    if (!m_table.Sessions().contains(*session)) {
      return { 500, "invalid session \"" + *session + "\"" };
    }
    const bool done =
      m_table.Acquire(aKey, value, *session, std::chrono::steady_clock::now());
    return { 200, Text(done), 0, true };
  }
  if (const auto session = Parameter(aRequest, "release")) {
    return { 200, Text(m_table.Release(aKey, value, *session)), 0, true };
  }
  m_table.Put(aKey, value);
  return { 200, Text(true), 0, true };
}

Platform::Answer
Platform::OnDelete(const HttpRequest& aRequest, const std::string& aKey)
{
  if (aRequest.m_query.contains("recurse")) {
    m_table.DeletePrefix(aKey);
    return { 200, Text(true), 0, true };
  }
  std::optional<std::uint64_t> index;
  if (const auto text = Parameter(aRequest, "cas")) {
    index = std::stoull(*text);
  }
  return { 200, Text(m_table.Delete(aKey, index)), 0, true };
}

// ---- Sessions --------------------------------------------------------------

Platform::Answer
Platform::OnCreateSession(const HttpRequest& aRequest)
{
  const auto body =
    aRequest.m_body.empty() ? Json::object() : Json::parse(aRequest.m_body);
  KeyValueTable::Session session;
  session.m_name = body.value("Name", "");
  const auto ttl = body.value("TTL", "");
  if (!ttl.empty()) {
    session.m_ttl = ParseDuration(ttl);
  }
  session.m_lockDelay = ParseDuration(body.value("LockDelay", "0s"));
  session.m_deletesKeys = body.value("Behavior", "release") == "delete";
  const auto id = boost::uuids::to_string(boost::uuids::random_generator()());
  m_table.CreateSession(id, session, std::chrono::steady_clock::now());
  return { 200, Json{ { "ID", id } }.dump(), 0, true };
}

Platform::Answer
Platform::OnSession(const HttpRequest& aRequest)
{
  const auto rest = aRequest.m_path.substr(kSessionPath.size());
  const auto slash = rest.find('/');
  const auto verb = rest.substr(0, slash);
  const auto id = slash == std::string::npos ? "" : rest.substr(slash + 1);
  const bool put = aRequest.m_method == "PUT";
  if (put && verb == "create") {
    return OnCreateSession(aRequest);
  }
  if (put && verb == "renew") {
    if (!m_table.RenewSession(id, std::chrono::steady_clock::now())) {
      return { 404, "Session id '" + id + "' not found" };
    }
    const auto& session = m_table.Sessions().at(id);
    return { 200, Json::array({ Describe(id, session) }).dump(), 0, true };
  }
  if (put && verb == "destroy") {
    m_table.DestroySession(id);
    return { 200, Text(true), 0, true };
  }
  if (aRequest.m_method == "GET" && (verb == "list" || verb == "info")) {
    auto sessions = Json::array();
    for (const auto& [other, session] : m_table.Sessions()) {
      if (verb == "list" || other == id) {
        sessions.push_back(Describe(other, session));
      }
    }
    return { 200, sessions.dump(), m_table.Index() };
  }
  return { 404, "no such path" };
}

void
Platform::ScheduleExpiry()
{
  const auto next = m_table.NextExpiry();
  if (!next) {
    m_expiry.cancel();
    return;
  }
  m_expiry.expires_at(*next);
  m_expiry.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      m_table.Expire(std::chrono::steady_clock::now());
      WakeWaiters();
      ScheduleExpiry();
    }
  });
}

// ---- Blocking queries ------------------------------------------------------

std::uint64_t
Platform::IndexOf(const HttpRequest& aRequest) const
{
  const auto key = KeyOf(aRequest);
  return aRequest.m_query.contains("recurse") ? m_table.PrefixIndex(key)
                                              : m_table.KeyIndex(key);
}

bool
Platform::Block(const HttpRequest& aRequest)
{
  if (!IsWatch(aRequest)) {
    return false;
  }
  const auto index = std::stoull(*Parameter(aRequest, "index"));
  if (IndexOf(aRequest) != index) {
    return false;
  }
  auto wait = kDefaultWait;
  if (const auto text = Parameter(aRequest, "wait")) {
    wait = std::min(ParseDuration(*text), kMaxWait);
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(m_io, wait);
  const auto waiter =
    m_waiters.insert(m_waiters.end(), { aRequest, index, timer });
  timer->async_wait([this, waiter](const boost::system::error_code& aError) {
    if (!aError) {
      const auto request = std::move(waiter->m_request);
      m_waiters.erase(waiter);
      Reply(request, OnKey(request));
    }
  });
  return true;
}

void
Platform::WakeWaiters()
{
  for (auto it = m_waiters.begin(); it != m_waiters.end();) {
    if (IndexOf(it->m_request) == it->m_index) {
      ++it;
      continue;
    }
    // A timer that has fired but not yet run cannot be cancelled; it will
    // answer and remove the waiter itself.
    if (it->m_timer->cancel() == 0) {
      ++it;
      continue;
    }
    const auto request = std::move(it->m_request);
    it = m_waiters.erase(it);
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
        200, Json{ { "calls", m_calls }, { "by_peer", m_callsByPeer } }.dump());
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
    aValue.get_to(m_faults.m_delayMs);
  } else if (aName == "lose_reply") {
    aValue.get_to(m_faults.m_loseReply);
  } else if (aName == "lose_next") {
    aValue.get_to(m_faults.m_loseNext);
  } else if (aName == "fail") {
    aValue.get_to(m_faults.m_fail);
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
    throw std::invalid_argument("outage is not none, refuse or hang");
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
      throw std::invalid_argument("state is not live or leaving");
    }
    host.at("id").get_ref<const std::string&>();
    host.at("address").get_ref<const std::string&>();
  }
  m_hosts = aHosts;
  After(m_settings.m_hostsLag,
        [this, hosts = aHosts] { m_visibleHosts = hosts; });
}

Platform::Json
Platform::AdminState() const
{
  return { { "keys", m_table.List("").size() },
           { "sessions", m_table.Sessions().size() },
           { "waiting", m_waiters.size() },
           { "index", m_table.Index() },
           { "hosts", m_hosts },
           { "visible_hosts", m_visibleHosts } };
}

bool
Platform::Chance(double aShare)
{
  return aShare > 0 && std::bernoulli_distribution(aShare)(m_random);
}

} // namespace goldcrestkeel::standins
