#include "BackendCodec.h"
#include "FuzzTarget.h"

#include <nlohmann/json.hpp>

using namespace goldcrestkeel;

namespace {

constexpr AttemptId kAttemptId = 7;
constexpr const char* kReplica = "spares-0-a";
constexpr int kHttpOk = 200;
constexpr int kHttpServiceUnavailable = 503;

std::string
SearchReply()
{
  const std::string hits =
    R"([{"id":"d1","title":"Caf\u00e9 valve","score":2.5}])";
  return nlohmann::json{
    { "incarnation", 3 },
    { "query", 5 },
    { "attempt", kAttemptId },
    { "shard", "s0" },
    { "version", 9 },
    { "documents_searched", 1000 },
    { "complete", true },
    { "draining", false },
    { "hits", hits },
    { "length", hits.size() },
    { "checksum", Checksum(hits) }
  }.dump();
}

/** Returns whether the body states that attempt kAttemptId did not run. */
bool
StatesNotRun(const std::string& aBody)
{
  const auto body = nlohmann::json::parse(aBody, nullptr, false);
  return body.is_object() && body.value("/ran"_json_pointer, "") == "no" &&
         body.value("/attempt"_json_pointer, std::uint64_t{ 0 }) == kAttemptId;
}

/** Checks that a failure of any kind but Malformed comes from a body that
 *  states "not run" for this attempt. */
void
CheckNotRunClaim(SubFailureKind aKind, const std::string& aBody)
{
  fuzz::Require(
    aKind == SubFailureKind::Malformed || StatesNotRun(aBody),
    "a failure is malformed or states \"not run\" for this attempt");
}

void
CheckSearch(const SubOutcome& aOutcome, const std::string& aBody)
{
  if (const auto* failure = std::get_if<SubFailure>(&aOutcome)) {
    fuzz::Require(failure->m_attempt == kAttemptId,
                  "a failure has the id of the attempt");
    CheckNotRunClaim(failure->m_kind, aBody);
    return;
  }
  const auto& reply = std::get<SubReply>(aOutcome);
  const auto body = nlohmann::json::parse(aBody);
  const auto hits = body.at("hits").get<std::string>();
  const bool intact =
    body.at("length") == hits.size() && body.at("checksum") == Checksum(hits);
  fuzz::Require(
    reply.m_intact == intact,
    "a reply is intact if and only if its length and checksum match");
  fuzz::Require(intact || reply.m_hits.empty(), "a damaged reply has no hits");
}

void
CheckCommand(const BackendOutcome& aOutcome, const std::string& aBody)
{
  if (const auto* failure = std::get_if<BackendFailure>(&aOutcome)) {
    CheckNotRunClaim(failure->m_kind, aBody);
    return;
  }
  fuzz::Require(nlohmann::json::parse(aBody).at("ran") == "yes",
                "a command reply states that the command ran");
}

} // namespace

std::vector<std::string>
fuzz::SeedCorpus()
{
  return {
    SearchReply(),
    R"({"ran":"no","reason":"shedding","incarnation":3,"attempt":7})",
    R"({"ran":"no","reason":"start_before","incarnation":3,"attempt":7})",
    R"({"incarnation":3,"attempt":7,"key":"1-a","ran":"yes","result":"held",
        "draining":false})",
    R"({"replica":"spares-0-a","incarnation":3,"draining":false,"cold":true,
        "slots":2,"in_flight":1,"queued":0,"versions":[{"version":9,
        "shard":"s0","documents":{"s0":1000,"s1":900}}]})",
  };
}

/** Property: any reply is decoded to a result or a failure, and the decoder
 *  does not throw. */
int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  HttpReply reply;
  reply.m_outcome = HttpOutcome::Replied;
  reply.m_body.assign(reinterpret_cast<const char*>(aData), aSize);
  for (int status : { kHttpOk, kHttpServiceUnavailable }) {
    reply.m_status = status;
    CheckSearch(DecodeSearch(kAttemptId, reply), reply.m_body);
    CheckCommand(DecodeCommand(kAttemptId, kReplica, reply), reply.m_body);
    const auto decoded = DecodeStatus(kReplica, reply);
    fuzz::Require(!decoded || decoded->m_replica == kReplica,
                  "a status names the replica that was queried");
  }
  return 0;
}
