#include "RequestParsing.h"

#include "SearchLimits.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <set>

namespace goldcrestkeel {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxCommandBytes = 32768;
// Deeper nesting is rejected; a valid request has no nested values at all.
constexpr int kMaxNestingDepth = 4;

[[noreturn]] void
Reject(const std::string& aField, const std::string& aDetail)
{
  throw Error(ErrorKind::BadRequest, aField + ": " + aDetail, aField);
}

// Parses a JSON request body and gives typed access to its members. Rejects
// invalid members with BadRequest.
class RequestBody
{
public:
  RequestBody(const CallerRequest& aRequest, const RequestLimits& aLimits)
    : m_limits(aLimits)
  {
    if (aRequest.m_body.size() > aLimits.m_maxBodyBytes) {
      throw Error(ErrorKind::BodyTooLarge,
                  "the body has " + std::to_string(aRequest.m_body.size()) +
                    " bytes, at most " +
                    std::to_string(aLimits.m_maxBodyBytes) + " are allowed",
                  "body");
    }
    try {
      m_json = json::parse(aRequest.m_body, CheckNestingDepth);
    } catch (const json::exception&) {
      throw Error(ErrorKind::BadRequest, "body: must be valid JSON", "body");
    }
    if (!m_json.is_object()) {
      throw Error(ErrorKind::BadRequest, "body: must be a JSON object", "body");
    }
  }

  std::optional<std::string> String(const char* aName, std::size_t aMaxBytes)
  {
    const json* member = FindMember(aName);
    if (member == nullptr) {
      return std::nullopt;
    }
    if (!member->is_string() || member->get_ref<const std::string&>().empty() ||
        member->get_ref<const std::string&>().size() > aMaxBytes) {
      Reject(aName,
             "must be a string of 1 to " + std::to_string(aMaxBytes) +
               " bytes");
    }
    return member->get<std::string>();
  }

  std::string RequiredString(const char* aName, std::size_t aMaxBytes)
  {
    std::optional<std::string> text = String(aName, aMaxBytes);
    if (!text) {
      Reject(aName, "is missing");
    }
    return *std::move(text);
  }

  std::optional<std::uint64_t> UnsignedInteger(const char* aName,
                                               std::uint64_t aMin,
                                               std::uint64_t aMax)
  {
    const json* member = FindMember(aName);
    if (member == nullptr) {
      return std::nullopt;
    }
    if (!member->is_number_unsigned() || member->get<std::uint64_t>() < aMin ||
        member->get<std::uint64_t>() > aMax) {
      Reject(aName,
             "must be an integer from " + std::to_string(aMin) + " to " +
               std::to_string(aMax));
    }
    return member->get<std::uint64_t>();
  }

  std::optional<double> Fraction(const char* aName)
  {
    const json* member = FindMember(aName);
    if (member == nullptr) {
      return std::nullopt;
    }
    if (!member->is_number() || !(member->get<double>() >= 0.0) ||
        !(member->get<double>() <= 1.0)) {
      Reject(aName, "must be a number from 0 to 1");
    }
    return member->get<double>();
  }

  std::optional<Duration> Deadline()
  {
    const auto max = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
        m_limits.m_maxDeadline)
        .count());
    const auto milliseconds = UnsignedInteger("deadline_ms", 1, max);
    if (!milliseconds) {
      return std::nullopt;
    }
    return std::chrono::milliseconds(*milliseconds);
  }

  CallerClass Class()
  {
    const json* member = FindMember("class");
    if (member == nullptr) {
      return CallerClass::Interactive;
    }
    const auto callerClass =
      member->is_string()
        ? CallerClassFromName(member->get_ref<const std::string&>())
        : std::nullopt;
    if (!callerClass) {
      Reject("class", "must be \"interactive\" or \"batch\"");
    }
    return *callerClass;
  }

  // Rejects members that were not read; must be called last.
  void RejectUnknown() const
  {
    for (const auto& [name, value] : m_json.items()) {
      if (!m_readMembers.contains(name)) {
        Reject(name.substr(0, kMaxFieldNameBytes), "unknown field");
      }
    }
  }

private:
  static constexpr std::size_t kMaxFieldNameBytes = 64;

  // Bounds the nesting, because the parser recurses for each level.
  static bool CheckNestingDepth(int aDepth, json::parse_event_t aEvent, json&)
  {
    const bool opens = aEvent == json::parse_event_t::object_start ||
                       aEvent == json::parse_event_t::array_start;
    if (opens && aDepth > kMaxNestingDepth) {
      throw Error(ErrorKind::BadRequest, "body: is nested too deeply", "body");
    }
    return true;
  }

  const json* FindMember(const char* aName)
  {
    m_readMembers.insert(aName);
    const auto found = m_json.find(aName);
    return found == m_json.end() ? nullptr : &*found;
  }

  const RequestLimits& m_limits;
  json m_json;
  std::set<std::string> m_readMembers;
};

} // namespace

StartSearch
ParseSearch(const CallerRequest& aRequest,
            const std::string& aService,
            const RequestLimits& aLimits)
{
  RequestBody body(aRequest, aLimits);
  StartSearch search;
  search.m_service = aService;
  search.m_statement = body.RequiredString("query", kMaxQueryBytes);
  search.m_deadline = body.Deadline().value_or(Duration{ 0 });
  search.m_minCoverage = body.Fraction("min_coverage");
  search.m_limit = static_cast<std::uint32_t>(
    body.UnsignedInteger("limit", 1, kMaxHits).value_or(search.m_limit));
  search.m_offset = static_cast<std::uint32_t>(
    body.UnsignedInteger("offset", 0, kMaxOffset).value_or(0));
  search.m_snapshot = body.UnsignedInteger(
    "snapshot", 1, std::numeric_limits<std::uint64_t>::max());
  search.m_class = body.Class();
  body.RejectUnknown();
  return search;
}

void
CheckIdempotencyKey(const std::string& aKey)
{
  if (!TimeOfKey(aKey)) {
    throw Error(ErrorKind::BadIdempotencyKey,
                "the key must be \"<unix milliseconds>-<random>\"",
                "Idempotency-Key");
  }
}

CommandRequest
ParseCommand(const CallerRequest& aRequest,
             const std::string& aService,
             const RequestLimits& aLimits)
{
  if (!aRequest.m_idempotencyKey || aRequest.m_idempotencyKey->empty()) {
    throw Error(ErrorKind::MissingIdempotencyKey,
                "a command requires the Idempotency-Key header",
                "Idempotency-Key");
  }
  CheckIdempotencyKey(*aRequest.m_idempotencyKey);
  RequestBody body(aRequest, aLimits);
  CommandRequest request;
  request.m_command.m_service = aService;
  request.m_command.m_key = *aRequest.m_idempotencyKey;
  request.m_command.m_body = body.RequiredString("command", kMaxCommandBytes);
  request.m_command.m_class = body.Class();
  request.m_deadline = body.Deadline();
  body.RejectUnknown();
  return request;
}

StatementRequest
ParseStatementRequest(const CallerRequest& aRequest,
                      const RequestLimits& aLimits)
{
  constexpr std::size_t kMaxOperationIdBytes = 64;
  RequestBody body(aRequest, aLimits);
  StatementRequest request;
  request.m_statement =
    body.RequiredString("statement", aLimits.m_maxBodyBytes);
  request.m_operationId =
    body.String("operation_id", kMaxOperationIdBytes).value_or("");
  request.m_deadline = body.Deadline();
  body.RejectUnknown();
  return request;
}

} // namespace goldcrestkeel
