#include <goldcrestkeel/net/HostList.h>
#include <goldcrestkeel/net/Log.h>

#include <nlohmann/json.hpp>

namespace goldcrestkeel {

namespace {

constexpr int kHttpOk = 200;
constexpr Duration kPollTimeout{ 2000000 }; // 2 s

} // namespace

std::optional<std::vector<ListedHost>>
ParseHostList(const std::string& aText)
{
  try {
    std::vector<ListedHost> hosts;
    const auto body = nlohmann::json::parse(aText);
    for (const auto& item : body.at("hosts")) {
      ListedHost host;
      host.m_host = item.at("id").get<std::string>();
      host.m_address = item.at("address").get<std::string>();
      const auto state = item.at("state").get<std::string>();
      if (state != "live" && state != "leaving") {
        return std::nullopt;
      }
      host.m_leaving = state == "leaving";
      hosts.push_back(std::move(host));
    }
    return hosts;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

HostListPoller::HostListPoller(EventLoop& aLoop,
                               const std::string& aAddress,
                               Duration aInterval,
                               OnList aOnList)
  : m_loop(aLoop)
  , m_url("http://" + aAddress + "/v1/hosts")
  , m_interval(aInterval)
  , m_onList(std::move(aOnList))
{
}

HostListPoller::~HostListPoller()
{
  m_loop.Client().Abort(m_transfer);
  m_loop.Cancel(m_timer);
}

void
HostListPoller::Start()
{
  HttpRequest request;
  request.m_url = m_url;
  request.m_timeout = kPollTimeout;
  m_transfer = m_loop.Client().Start(
    std::move(request), [this](HttpReply&& aReply) { PollFinished(aReply); });
}

void
HostListPoller::PollFinished(const HttpReply& aReply)
{
  m_transfer = 0;
  const auto hosts =
    aReply.m_outcome == HttpOutcome::Replied && aReply.m_status == kHttpOk
      ? ParseHostList(aReply.m_body)
      : std::nullopt;
  if (hosts) {
    m_onList(*hosts);
  } else {
    Log(Severity::Debug,
        "host list poll failed; the previous list stays in force");
  }
  m_timer = m_loop.After(m_interval, [this] { Start(); });
}

} // namespace goldcrestkeel
