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

} // namespace

CrashReporter::CrashReporter(Loop& aLoop,
                             DecisionLog& aLog,
                             std::string aHostId,
                             std::size_t aMaxOpen,
                             OnReply aOnReply)
  : m_loop(aLoop)
  , m_log(aLog)
  , m_hostId(std::move(aHostId))
  , m_onReply(std::move(aOnReply))
  , m_maxOpen(aMaxOpen)
  , m_cleanUpTimer(aLoop, [this] { m_ended.clear(); })
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
  SendTo(aMessage, [&](const HostRecord& aHost) {
    return std::find(ids.begin(), ids.end(), aHost.m_id) != ids.end();
  });
}

void
CrashReporter::Announce(const CrashMessage& aMessage)
{
  SendTo(aMessage, [](const HostRecord&) { return true; });
}

void
CrashReporter::SendTo(const CrashMessage& aMessage,
                      const std::function<bool(const HostRecord&)>& aChosen)
{
  const auto body =
    std::make_shared<const std::string>(EncodeCrashMessage(aMessage));
  std::int64_t dropped = 0;
  for (const HostRecord& host : m_hosts) {
    if (host.m_id == m_hostId || !aChosen(host)) {
      continue;
    }
    if (m_waiting.size() < kMaxWaiting) {
      m_waiting.push_back({ host.m_id, host.m_relayAddress, body });
    } else {
      ++dropped;
    }
  }
  if (dropped > 0) {
    m_log.Write(LogPriority::Request,
                "crash_message_dropped",
                { { "hosts", dropped }, { "reason", "too many wait" } });
  }
  SendWaiting();
}

void
CrashReporter::SendWaiting()
{
  while (!m_waiting.empty() && m_open.size() < m_maxOpen) {
    const Message message = std::move(m_waiting.front());
    m_waiting.pop_front();
    Send(message);
  }
}

void
CrashReporter::Send(const Message& aMessage)
{
  const std::uint64_t number = m_nextNumber++;
  std::unique_ptr<HttpCaller>& caller = m_open[number];
  caller = std::make_unique<HttpCaller>(m_loop, aMessage.m_address);
  HttpCall call;
  call.m_method = kCrashMessageMethod;
  call.m_target = kCrashMessageTarget;
  call.m_body = *aMessage.m_body;
  call.m_timeout = kMessageTimeout;
  call.m_maxAnswerBytes = kMaxCrashMessageBytes;
  caller->Call(
    call,
    [this, number, host = aMessage.m_hostId](const HttpCallResult& aResult) {
      OnEnded(number, host, aResult);
    });
}

void
CrashReporter::OnEnded(std::uint64_t aNumber,
                       const std::string& aHost,
                       const HttpCallResult& aResult)
{
  const auto found = m_open.find(aNumber);
  m_ended.push_back(std::move(found->second));
  m_open.erase(found);
  m_cleanUpTimer.SetAfter(Duration(0));
  OnAnswer(aHost, aResult);
  SendWaiting();
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
