#include "BackendCodec.h"

#include <boost/crc.hpp>
#include <nlohmann/json.hpp>

#include <limits>

namespace goldcrestkeel {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;

// Replaces invalid UTF-8, which cannot match any document anyway.
std::string
Dump(const json& aValue)
{
  return aValue.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::int64_t
Milliseconds(Duration aDuration)
{
  return std::chrono::ceil<std::chrono::milliseconds>(aDuration).count();
}

// Returns the member aName. Throws json::exception if it is absent, negative,
// fractional or out of range, because get() converts such numbers silently.
template<typename T>
T
Unsigned(const json& aObject, const char* aName)
{
  const json& member = aObject.at(aName);
  if (!member.is_number_unsigned() ||
      member.get<std::uint64_t>() > std::numeric_limits<T>::max()) {
    throw json::type_error::create(
      302, "not an unsigned integer in range", &member);
  }
  return member.get<T>();
}

SubFailureKind
FailureOf(HttpOutcome aOutcome)
{
  switch (aOutcome) {
    case HttpOutcome::NotSent:
      return SubFailureKind::ConnectFailed;
    case HttpOutcome::ConnectionLost:
      return SubFailureKind::Reset;
    case HttpOutcome::TimedOut:
      return SubFailureKind::TimedOut;
    case HttpOutcome::Replied:
    case HttpOutcome::InvalidReply:
      break;
  }
  return SubFailureKind::Malformed;
}

// Returns the reason of a refusal, or Malformed unless the reply says "not run"
// and echoes this attempt: a reply to another attempt proves nothing about this
// one.
SubFailureKind
DecodeRefusal(AttemptId aAttempt, const std::string& aBody)
{
  const json body = json::parse(aBody);
  if (body.at("ran").get<std::string>() != "no" ||
      Unsigned<AttemptId>(body, "attempt") != aAttempt) {
    return SubFailureKind::Malformed;
  }
  const auto reason = body.at("reason").get<std::string>();
  if (reason == "shedding") {
    return SubFailureKind::Shed;
  }
  if (reason == "draining") {
    return SubFailureKind::Draining;
  }
  if (reason == "version") {
    return SubFailureKind::VersionGone;
  }
  if (reason == "deadline" || reason == "start_before") {
    return SubFailureKind::DeadlinePassed;
  }
  return SubFailureKind::Malformed;
}

std::vector<Hit>
DecodeHits(const std::string& aText)
{
  const json list = json::parse(aText);
  if (!list.is_array()) {
    throw json::type_error::create(302, "the hits are not an array", &list);
  }
  std::vector<Hit> hits;
  for (const json& item : list) {
    hits.push_back(Hit{ item.at("id").get<std::string>(),
                        item.at("title").get<std::string>(),
                        item.at("score").get<double>() });
  }
  return hits;
}

SubReply
DecodeSearchReply(AttemptId aAttempt, const std::string& aBody)
{
  const json body = json::parse(aBody);
  SubReply reply;
  reply.m_attempt = aAttempt;
  reply.m_incarnation = Unsigned<std::uint64_t>(body, "incarnation");
  reply.m_echoQuery = Unsigned<QueryId>(body, "query");
  reply.m_echoAttempt = Unsigned<AttemptId>(body, "attempt");
  reply.m_echoShard = body.at("shard").get<std::string>();
  reply.m_echoVersion = Unsigned<VersionId>(body, "version");
  reply.m_documentsSearched =
    Unsigned<DocumentCount>(body, "documents_searched");
  reply.m_complete = body.at("complete").get<bool>();
  reply.m_draining = body.at("draining").get<bool>();
  const auto& hits = body.at("hits").get_ref<const std::string&>();
  reply.m_intact = Unsigned<std::uint64_t>(body, "length") == hits.size() &&
                   Unsigned<std::uint32_t>(body, "checksum") == Checksum(hits);
  if (reply.m_intact) {
    reply.m_hits = DecodeHits(hits);
  }
  return reply;
}

BackendReply
DecodeCommandReply(CommandAttemptId aAttempt, const std::string& aBody)
{
  const json body = json::parse(aBody);
  if (body.at("ran").get_ref<const std::string&>() != "yes") {
    throw json::other_error::create(501, "\"ran\" is not \"yes\"", &body);
  }
  BackendReply reply;
  reply.m_attempt = aAttempt;
  reply.m_echoAttempt = Unsigned<CommandAttemptId>(body, "attempt");
  reply.m_echoKey = body.at("key").get<std::string>();
  reply.m_result = body.at("result").get<std::string>();
  return reply;
}

HeldVersion
DecodeHeldVersion(const json& aItem)
{
  HeldVersion held;
  held.m_shard = aItem.at("shard").get<std::string>();
  held.m_map.m_version = Unsigned<VersionId>(aItem, "version");
  const json& documents = aItem.at("documents");
  for (const auto& [shard, count] : documents.items()) {
    held.m_map.m_documents[shard] =
      Unsigned<DocumentCount>(documents, shard.c_str());
  }
  return held;
}

} // namespace

std::string
EncodeSearch(const std::string& aOrigin,
             const SendSubRequest& aRequest,
             Duration aTimeLeft)
{
  return Dump({ { "origin", aOrigin },
                { "query", aRequest.m_query },
                { "attempt", aRequest.m_attempt },
                { "shard", aRequest.m_shard },
                { "version", aRequest.m_version },
                { "statement", aRequest.m_statement },
                { "limit", aRequest.m_limit },
                { "deadline_ms", Milliseconds(aTimeLeft) } });
}

std::string
EncodeCancel(const std::string& aOrigin, AttemptId aAttempt)
{
  return Dump({ { "origin", aOrigin }, { "attempt", aAttempt } });
}

std::string
EncodeCommand(const std::string& aOrigin, const BackendCommand& aCommand)
{
  return Dump({ { "origin", aOrigin },
                { "attempt", aCommand.m_attempt },
                { "key", aCommand.m_key },
                { "body", aCommand.m_body },
                { "start_before_ms", aCommand.m_startBefore },
                { "deadline_ms", Milliseconds(aCommand.m_deadline) } });
}

SubOutcome
DecodeSearch(AttemptId aAttempt, const HttpReply& aReply)
{
  if (aReply.m_outcome != HttpOutcome::Replied) {
    return SubFailure{ aAttempt, FailureOf(aReply.m_outcome) };
  }
  try {
    if (aReply.m_status == kOk) {
      return DecodeSearchReply(aAttempt, aReply.m_body);
    }
    if (aReply.m_status == kServiceUnavailable) {
      return SubFailure{ aAttempt, DecodeRefusal(aAttempt, aReply.m_body) };
    }
  } catch (const json::exception&) {
    // Malformed, see below.
  }
  return SubFailure{ aAttempt, SubFailureKind::Malformed };
}

BackendOutcome
DecodeCommand(CommandAttemptId aAttempt,
              const std::string& aReplica,
              const HttpReply& aReply)
{
  BackendFailure failure{ aAttempt, aReplica, FailureOf(aReply.m_outcome) };
  if (aReply.m_outcome != HttpOutcome::Replied) {
    return failure;
  }
  try {
    if (aReply.m_status == kOk) {
      return DecodeCommandReply(aAttempt, aReply.m_body);
    }
    if (aReply.m_status == kServiceUnavailable) {
      failure.m_kind = DecodeRefusal(aAttempt, aReply.m_body);
    }
  } catch (const json::exception&) {
    // m_kind stays Malformed.
  }
  return failure;
}

std::optional<ReplicaStatus>
DecodeStatus(const std::string& aReplica, const HttpReply& aReply)
{
  if (aReply.m_outcome != HttpOutcome::Replied || aReply.m_status != kOk) {
    return std::nullopt;
  }
  try {
    const json body = json::parse(aReply.m_body);
    if (body.at("replica").get<std::string>() != aReplica) {
      return std::nullopt;
    }
    ReplicaStatus status;
    status.m_replica = aReplica;
    status.m_incarnation = Unsigned<std::uint64_t>(body, "incarnation");
    status.m_draining = body.at("draining").get<bool>();
    status.m_cold = body.at("cold").get<bool>();
    status.m_slots = Unsigned<std::uint32_t>(body, "slots");
    status.m_inFlight = Unsigned<std::uint32_t>(body, "in_flight");
    status.m_queued = Unsigned<std::uint32_t>(body, "queued");
    for (const json& item : body.at("versions")) {
      status.m_versions.push_back(DecodeHeldVersion(item));
    }
    return status;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::uint32_t
Checksum(std::string_view aText)
{
  boost::crc_32_type crc;
  crc.process_bytes(aText.data(), aText.size());
  return crc.checksum();
}

} // namespace goldcrestkeel
