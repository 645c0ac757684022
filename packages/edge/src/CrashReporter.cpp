#include "CrashReporter.h"

#include <goldcrestkeel/core/StableHash.h>

#include <algorithm>
#include <utility>

namespace goldcrestkeel {

namespace {

/** Number of hosts that count the crashes of a fingerprint: one and two in
 *  reserve. */
constexpr std::size_t kCountingHosts = 3;
/** A message is given up after this time. */
constexpr Duration kMessageTimeout{ 1000000 };
/** Clients are released when no message was sent for this time. */
constexpr Duration kReleaseDelay{ 2000000 };

} // namespace

CrashReporter::CrashReporter(Loop& aLoop,
                             DecisionLog& aLog,
                             std::string aHostId,
                             OnReply aOnReply)
  : m_loop(aLoop)
  , m_log(aLog)
  , m_hostId(std::move(aHostId))
  , m_onReply(std::move(aOnReply))
  , m_releaseTimer(aLoop, [this] { m_callers.clear(); })
{
}

CrashReporter::~CrashReporter() = default;

void
CrashReporter::SetHosts(const std::vector<HostRecord>& aHosts)
{
  m_hosts = aHosts;
  std::erase_if(m_hosts, [](const HostRecord& aHost) {
    return aHost.m_relayAddress.empty();
  });
}

std::vector<std::string>
CrashReporter::CountingHosts(const std::vector<HostRecord>& aHosts,
                             std::uint64_t aFingerprint)
{
  const std::string key = std::to_string(aFingerprint);
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  ranked.reserve(aHosts.size());
  for (const HostRecord& host : aHosts) {
    ranked.emplace_back(RendezvousScore(key, host.m_id), host.m_id);
  }
  const std::size_t count = std::min(kCountingHosts, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end());
  std::vector<std::string> ids;
  for (std::size_t i = 0; i < count; ++i) {
    ids.push_back(ranked[i].second);
  }
  return ids;
}

void
CrashReporter::Report(std::uint64_t aFingerprint, const CrashMessage& aMessage)
{
  const std::vector<std::string> ids = CountingHosts(m_hosts, aFingerprint);
  for (const HostRecord& host : m_hosts) {
    if (std::find(ids.begin(), ids.end(), host.m_id) != ids.end()) {
      Send(host, aMessage);
    }
  }
}

void
CrashReporter::Announce(const CrashMessage& aMessage)
{
  for (const HostRecord& host : m_hosts) {
    Send(host, aMessage);
  }
}

void
CrashReporter::Send(const HostRecord& aHost, const CrashMessage& aMessage)
{
  if (aHost.m_id == m_hostId) {
    return;
  }
  m_callers.push_back(
    std::make_unique<HttpCaller>(m_loop, aHost.m_relayAddress));
  m_releaseTimer.SetAfter(kReleaseDelay);
  HttpCall call;
  call.m_method = kCrashMessageMethod;
  call.m_target = kCrashMessageTarget;
  call.m_body = EncodeCrashMessage(aMessage);
  call.m_timeout = kMessageTimeout;
  call.m_maxAnswerBytes = kMaxCrashMessageBytes;
  m_callers.back()->Call(
    call, [this, host = aHost.m_id](const HttpCallResult& aResult) {
      OnAnswer(host, aResult);
    });
}

void
CrashReporter::OnAnswer(const std::string& aHost, const HttpCallResult& aResult)
{
  if (aResult.m_outcome != CallOutcome::Answered || aResult.m_status != 200) {
    m_log.Write(LogPriority::Process,
                "crash_message_failed",
                { { "to", std::string_view(aHost) },
                  { "outcome", NameOf(aResult.m_outcome) },
                  { "reason", aResult.m_reason },
                  { "status", static_cast<std::int64_t>(aResult.m_status) } });
    return;
  }
  if (aResult.m_body.empty()) {
    return;
  }
  try {
    m_onReply(DecodeCrashMessage(aResult.m_body));
  } catch (const std::exception& error) {
    m_log.Write(LogPriority::Process,
                "crash_message_unusable",
                { { "from", std::string_view(aHost) },
                  { "reason", std::string_view(error.what()) } });
  }
}

} // namespace goldcrestkeel
