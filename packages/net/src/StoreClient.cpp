#include <goldcrestkeel/net/StoreClient.h>

#include <curl/curl.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <memory>
#include <optional>
#include <stdexcept>

namespace goldcrestkeel {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;

bool
IsRead(StoreOperation aOperation)
{
  return aOperation == StoreOperation::Get ||
         aOperation == StoreOperation::Watch ||
         aOperation == StoreOperation::List;
}

// True for writes that must not be sent twice. Renewing or destroying a session
// is idempotent.
bool
NeedsFreshConnection(StoreOperation aOperation)
{
  return aOperation == StoreOperation::CompareAndSwap ||
         aOperation == StoreOperation::Acquire ||
         aOperation == StoreOperation::Release ||
         aOperation == StoreOperation::CreateSession;
}

std::string
Milliseconds(Duration aDuration)
{
  const auto count =
    std::chrono::ceil<std::chrono::milliseconds>(aDuration).count();
  return std::to_string(count) + "ms";
}

std::string
PercentEncode(const std::string& aText)
{
  const std::unique_ptr<char, decltype(&curl_free)> escaped(
    curl_easy_escape(nullptr, aText.data(), static_cast<int>(aText.size())),
    curl_free);
  if (!escaped) {
    throw std::runtime_error("curl_easy_escape failed");
  }
  return escaped.get();
}

// Path of a key. Slashes separate the segments of a key and are not encoded.
std::string
KeyPath(const std::string& aKey)
{
  std::string path = "/v1/kv";
  std::size_t start = 0;
  while (start <= aKey.size()) {
    const std::size_t slash = std::min(aKey.find('/', start), aKey.size());
    path += "/" + PercentEncode(aKey.substr(start, slash - start));
    start = slash + 1;
  }
  return path;
}

std::string
PathOf(const StoreCall& aCall)
{
  switch (aCall.m_operation) {
    case StoreOperation::Get:
      return KeyPath(aCall.m_key);
    case StoreOperation::Watch:
      return KeyPath(aCall.m_key) + "?index=" + std::to_string(aCall.m_index) +
             "&wait=" + Milliseconds(aCall.m_wait);
    case StoreOperation::List:
      return KeyPath(aCall.m_key) + "?recurse=true";
    case StoreOperation::CompareAndSwap:
      return KeyPath(aCall.m_key) + "?cas=" + std::to_string(aCall.m_index);
    case StoreOperation::Acquire:
      return KeyPath(aCall.m_key) +
             "?acquire=" + PercentEncode(aCall.m_session);
    case StoreOperation::Release:
      return KeyPath(aCall.m_key) +
             "?release=" + PercentEncode(aCall.m_session);
    case StoreOperation::CreateSession:
      return "/v1/session/create";
    case StoreOperation::RenewSession:
      return "/v1/session/renew/" + PercentEncode(aCall.m_session);
    case StoreOperation::DestroySession:
      return "/v1/session/destroy/" + PercentEncode(aCall.m_session);
  }
  return {};
}

std::string
BodyOf(const StoreCall& aCall)
{
  if (aCall.m_operation == StoreOperation::CreateSession) {
    // No lock delay, because the owner of a lease allows for clock skew itself.
    return json{
      { "TTL", Milliseconds(aCall.m_ttl) },
      { "Behavior", "release" },
      { "LockDelay", "0s" }
    }.dump();
  }
  return aCall.m_value;
}

std::optional<std::string>
DecodeBase64(const std::string& aText)
{
  constexpr std::size_t kGroupLength = 4;
  if (aText.size() % kGroupLength != 0) {
    return std::nullopt;
  }
  std::string bytes(aText.size() / kGroupLength * 3, '\0');
  const int length =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    static_cast<int>(aText.size()));
  if (length < 0) {
    return std::nullopt;
  }
  // EVP_DecodeBlock decodes the padding to zero bytes and counts them.
  std::size_t padding = 0;
  while (padding < 2 && padding < aText.size() &&
         aText[aText.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes.resize(static_cast<std::size_t>(length) - padding);
  return bytes;
}

// Decodes the value of an entry. The store returns null for an empty value.
std::string
ValueOf(const json& aEntry)
{
  const json& value = aEntry.at("Value");
  if (value.is_null()) {
    return {};
  }
  std::optional<std::string> bytes =
    DecodeBase64(value.get_ref<const std::string&>());
  if (!bytes) {
    throw std::invalid_argument("store entry: \"Value\" is not valid base64");
  }
  return *std::move(bytes);
}

std::string
SessionOf(const json& aEntry)
{
  return aEntry.contains("Session") ? aEntry.at("Session").get<std::string>()
                                    : std::string();
}

StoreResult
DecodeEntryReply(const std::string& aBody)
{
  const json entry = json::parse(aBody).at(0);
  StoreResult result;
  result.m_value = ValueOf(entry);
  result.m_index = entry.at("ModifyIndex").get<std::uint64_t>();
  result.m_session = SessionOf(entry);
  result.m_status = StoreStatus::Ok;
  return result;
}

StoreResult
DecodeListReply(const std::string& aBody)
{
  json list = json::array();
  for (const json& entry : json::parse(aBody)) {
    list.push_back({ { "key", entry.at("Key") },
                     { "value", ValueOf(entry) },
                     { "index", entry.at("ModifyIndex") },
                     { "session", SessionOf(entry) } });
  }
  StoreResult result;
  result.m_value = list.dump(-1, ' ', false, json::error_handler_t::replace);
  result.m_status = StoreStatus::Ok;
  return result;
}

StoreResult
DecodeOkReply(StoreOperation aOperation, const HttpReply& aReply)
{
  StoreResult result;
  switch (aOperation) {
    case StoreOperation::Get:
    case StoreOperation::Watch:
      return DecodeEntryReply(aReply.m_body);
    case StoreOperation::List:
      return DecodeListReply(aReply.m_body);
    case StoreOperation::CompareAndSwap:
    case StoreOperation::Acquire:
    case StoreOperation::Release:
      result.m_status = json::parse(aReply.m_body).get<bool>()
                          ? StoreStatus::Ok
                          : StoreStatus::Conflict;
      return result;
    case StoreOperation::CreateSession:
      result.m_session = json::parse(aReply.m_body).at("ID").get<std::string>();
      result.m_status = StoreStatus::Ok;
      return result;
    case StoreOperation::RenewSession:
    case StoreOperation::DestroySession:
      result.m_status = StoreStatus::Ok;
      return result;
  }
  return result;
}

StoreResult
NotFoundResult(StoreOperation aOperation, const HttpReply& aReply)
{
  StoreResult result;
  result.m_status = StoreStatus::NotFound;
  if (aOperation == StoreOperation::Watch) {
    // The next watch of the missing key waits for a change after this index.
    result.m_index = aReply.m_index;
  }
  if (aOperation == StoreOperation::List) {
    result.m_status = StoreStatus::Ok;
    result.m_value = "[]";
  }
  return result;
}

// Status of a call that failed. A write without a connection or refused by the
// store was not applied (Failed). After a lost reply or an internal error it
// may have been applied (Unknown).
StoreStatus
StatusOfFailure(StoreOperation aOperation, const HttpReply& aReply)
{
  if (IsRead(aOperation) || aReply.m_outcome == HttpOutcome::NotSent) {
    return StoreStatus::Failed;
  }
  if (aReply.m_outcome != HttpOutcome::Replied) {
    return StoreStatus::Unknown;
  }
  const bool refused = (aReply.m_status >= kFirstClientError &&
                        aReply.m_status < kFirstServerError) ||
                       aReply.m_status == kTooManyRequests ||
                       aReply.m_status == kServiceUnavailable;
  return refused ? StoreStatus::Failed : StoreStatus::Unknown;
}

// The store reports an acquire with an expired session as an internal error
// that differs from others only in its text.
bool
IsExpiredSession(const StoreCall& aCall, const HttpReply& aReply)
{
  return aCall.m_operation == StoreOperation::Acquire &&
         aReply.m_status == kFirstServerError &&
         aReply.m_body.find("invalid session") != std::string::npos;
}

StoreResult
Decode(const StoreCall& aCall, const HttpReply& aReply)
{
  StoreResult result;
  result.m_status = StatusOfFailure(aCall.m_operation, aReply);
  if (aReply.m_outcome != HttpOutcome::Replied) {
    return result;
  }
  if (aReply.m_status == kNotFound) {
    return NotFoundResult(aCall.m_operation, aReply);
  }
  if (IsExpiredSession(aCall, aReply)) {
    result.m_status = StoreStatus::NotFound;
  }
  if (aReply.m_status == kOk) {
    try {
      return DecodeOkReply(aCall.m_operation, aReply);
    } catch (const std::exception&) {
      result.m_status =
        IsRead(aCall.m_operation) ? StoreStatus::Failed : StoreStatus::Unknown;
    }
  }
  return result;
}

} // namespace

StoreClient::StoreClient(HttpClient& aClient,
                         std::string aAddress,
                         Duration aTimeout)
  : m_client(aClient)
  , m_address(std::move(aAddress))
  , m_timeout(aTimeout)
{
}

void
StoreClient::Call(const StoreCall& aCall,
                  std::function<void(const StoreResult&)> aDone)
{
  HttpRequest request;
  request.m_method =
    IsRead(aCall.m_operation) ? HttpMethod::Get : HttpMethod::Put;
  request.m_url = "http://" + m_address + PathOf(aCall);
  request.m_body = BodyOf(aCall);
  request.m_timeout = m_timeout + aCall.m_wait;
  request.m_freshConnection = NeedsFreshConnection(aCall.m_operation);
  // Decoding does not need the value, which may have 1 MB.
  StoreCall call = aCall;
  call.m_value.clear();
  m_client.Start(std::move(request),
                 [call = std::move(call), done = std::move(aDone)](
                   HttpReply&& aReply) { done(Decode(call, aReply)); });
}

} // namespace goldcrestkeel
