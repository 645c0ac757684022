#include "PeerMessages.h"

#include <goldcrestkeel/net/ControlDriver.h>
#include <goldcrestkeel/net/DocumentCodec.h>
#include <goldcrestkeel/net/Log.h>

#include <algorithm>

namespace goldcrestkeel {

namespace {

// The control node's own probe timeouts are shorter, so a later reply would
// have no effect.
constexpr Duration kProbeCallTimeout = std::chrono::milliseconds{ 900 };
constexpr Duration kDocumentCallTimeout = std::chrono::seconds{ 3 };
// NextTimer() may return a time in the past while the node waits for a reply.
// The minimum delay keeps the event loop from spinning.
constexpr Duration kMinTimerDelay = std::chrono::milliseconds{ 1 };

// Decompresses a document from a peer; std::nullopt if it is not valid.
std::optional<std::string>
TryDecompress(const std::string& aData)
{
  try {
    return DecompressDocument(aData);
  } catch (const std::runtime_error&) {
    return std::nullopt;
  }
}

} // namespace

ControlDriver::ControlDriver(EventLoop& aLoop,
                             ControlNode& aNode,
                             Store& aStore,
                             PeerClient& aPeers,
                             ControlListener& aListener)
  : m_loop(aLoop)
  , m_node(aNode)
  , m_store(aStore)
  , m_peers(aPeers)
  , m_listener(aListener)
{
}

ControlDriver::~ControlDriver()
{
  m_loop.Cancel(m_timer);
}

template<typename Event>
void
ControlDriver::Raise(Event aEvent)
{
  ControlActions actions;
  aEvent(m_loop.Now(), actions);
  Execute(actions);
}

void
ControlDriver::SetHostList(const std::vector<ListedHost>& aHosts)
{
  Raise([&](TimePoint aNow, ControlActions& aActions) {
    m_node.SetHostList(aNow, aHosts, aActions);
  });
}

void
ControlDriver::Change(ChangeRequest aRequest, ChangeCallback aDone)
{
  aRequest.m_request = m_nextRequest++;
  m_changes.emplace(aRequest.m_request, std::move(aDone));
  Raise([&](TimePoint aNow, ControlActions& aActions) {
    m_node.Change(aNow, std::move(aRequest), aActions);
  });
}

void
ControlDriver::Refresh()
{
  Raise([&](TimePoint aNow, ControlActions& aActions) {
    m_node.Refresh(aNow, aActions);
  });
}

void
ControlDriver::ReportSuspects(const std::vector<SuspectReport>& aReports)
{
  Raise([&](TimePoint aNow, ControlActions& aActions) {
    m_node.ReportSuspects(aNow, aReports, aActions);
  });
}

void
ControlDriver::ReportDrain(const DrainNotice& aNotice)
{
  m_node.ReportDrain(m_loop.Now(), aNotice);
}

void
ControlDriver::StartDraining()
{
  m_node.StartDraining();
}

void
ControlDriver::HandleProbe(const peer::ProbeRequest& aRequest,
                           ProbeCallback aDone)
{
  const GossipMessage message = FromMessage(aRequest.gossip);
  const std::uint64_t requestId = m_nextRequest++;
  m_probes.emplace(requestId, std::move(aDone));
  Raise([&](TimePoint aNow, ControlActions& aActions) {
    m_node.ProbeReceived(aNow, requestId, message, aRequest.target, aActions);
  });
}

peer::Ack
ControlDriver::HandleConfigPush(const peer::ConfigPush& aPush)
{
  if (aPush.revision < 0) {
    throw FrameRefused("malformed_payload");
  }
  const auto document = TryDecompress(aPush.document);
  if (!document) {
    throw FrameRefused("malformed_payload");
  }
  peer::Ack ack;
  Raise([&](TimePoint aNow, ControlActions& aActions) {
    ack.accepted = m_node.PushReceived(
      aNow, static_cast<Revision>(aPush.revision), *document, aActions);
  });
  return ack;
}

peer::ConfigReply
ControlDriver::HandleConfigFetch(const peer::ConfigFetch& aFetch) const
{
  if (aFetch.haveRevision < 0) {
    throw FrameRefused("malformed_payload");
  }
  peer::ConfigReply reply;
  const ConfigurationManager& manager = m_node.Manager();
  reply.revision = static_cast<std::int64_t>(manager.Current()->m_revision);
  const auto document = manager.NewerDocument(
    m_loop.Now(), static_cast<Revision>(aFetch.haveRevision));
  if (document) {
    reply.__set_document(CompressDocument(*document));
  }
  return reply;
}

std::string
ControlDriver::AddressOf(const std::string& aHost) const
{
  for (const HostStatus& host : m_node.Members().Hosts(m_loop.Now())) {
    if (host.m_entry.m_host == aHost) {
      return host.m_entry.m_address;
    }
  }
  return {};
}

std::vector<std::string>
ControlDriver::AliveHosts() const
{
  std::vector<std::string> alive;
  for (const HostStatus& host : m_node.Members().Hosts(m_loop.Now())) {
    if (!host.m_provenGone && host.m_entry.m_state == MemberState::Alive) {
      alive.push_back(host.m_entry.m_host);
    }
  }
  const MemberEntry& self = m_node.Members().Self();
  if (self.m_state == MemberState::Alive) {
    alive.push_back(self.m_host);
  }
  return alive;
}

void
ControlDriver::Execute(ControlActions& aActions)
{
  for (const ControlAction& action : aActions) {
    std::visit([this](const auto& aAction) { Execute(aAction); }, action);
  }
  ArmTimer();
}

void
ControlDriver::Execute(const SendProbe& aAction)
{
  peer::ProbeRequest probe;
  probe.gossip = ToMessage(aAction.m_message);
  if (!aAction.m_target.empty()) {
    probe.__set_target(aAction.m_target);
  }
  peer::PeerRequest request;
  request.__set_probe(probe);
  m_peers.Call(aAction.m_address,
               request,
               kProbeCallTimeout,
               [this, id = aAction.m_probe](PeerClient::Result&& aResult) {
                 ProbeFinished(id, aResult);
               });
}

void
ControlDriver::ProbeFinished(ProbeId aProbe, const PeerClient::Result& aResult)
{
  Raise([&](TimePoint aNow, ControlActions& aActions) {
    const auto* reply = std::get_if<peer::PeerReply>(&aResult);
    if (reply != nullptr && reply->__isset.probe) {
      try {
        const GossipMessage message = FromMessage(reply->probe.gossip);
        m_node.ProbeReplied(aNow,
                            aProbe,
                            message,
                            reply->probe.__isset.targetAlive
                              ? std::optional(reply->probe.targetAlive)
                              : std::nullopt,
                            aActions);
        return;
      } catch (const FrameRefused&) {
        // A malformed reply counts as no reply.
      }
    }
    const auto* failure = std::get_if<PeerCallFailure>(&aResult);
    const bool refused =
      failure != nullptr && *failure == PeerCallFailure::ConnectionRefused;
    m_node.ProbeFailed(aNow,
                       aProbe,
                       refused ? ProbeFailure::Refused : ProbeFailure::NoReply,
                       aActions);
  });
}

void
ControlDriver::Execute(const AnswerProbe& aAction)
{
  auto node = m_probes.extract(aAction.m_request);
  if (!node.empty()) {
    peer::ProbeReply reply;
    reply.gossip = ToMessage(aAction.m_message);
    if (aAction.m_targetAlive) {
      reply.__set_targetAlive(*aAction.m_targetAlive);
    }
    node.mapped()(reply);
  }
}

void
ControlDriver::Execute(const ProbeHost&)
{
  // Executed by the control node itself.
}

void
ControlDriver::Execute(const LiveHostsChanged& aAction)
{
  m_listener.OnLiveHostsChanged(aAction.m_liveHosts);
}

void
ControlDriver::Execute(const SuspectReportsReceived& aAction)
{
  m_listener.OnSuspectReports(aAction.m_reports);
}

void
ControlDriver::Execute(const DrainNoticesReceived& aAction)
{
  m_listener.OnDrainNotices(aAction.m_notices);
}

void
ControlDriver::Execute(const SendStoreCall& aAction)
{
  m_store.Call(aAction.m_call,
               [this, token = aAction.m_token](const StoreResult& aResult) {
                 Raise([&](TimePoint aNow, ControlActions& aActions) {
                   m_node.StoreReplied(aNow, token, aResult, aActions);
                 });
               });
}

void
ControlDriver::Execute(const PushDocument& aAction)
{
  peer::ConfigPush push;
  push.revision = static_cast<std::int64_t>(aAction.m_revision);
  push.document = CompressDocument(*aAction.m_document);
  peer::PeerRequest request;
  request.__set_configPush(push);
  m_peers.Call(
    aAction.m_address,
    request,
    kDocumentCallTimeout,
    [this, host = aAction.m_host, revision = aAction.m_revision](
      PeerClient::Result&& aResult) {
      const auto* reply = std::get_if<peer::PeerReply>(&aResult);
      const bool delivered =
        reply != nullptr && reply->__isset.ack && reply->ack.accepted;
      const auto* failure = std::get_if<PeerCallFailure>(&aResult);
      const bool refused =
        failure != nullptr && *failure == PeerCallFailure::ConnectionRefused;
      Raise([&](TimePoint aNow, ControlActions& aActions) {
        m_node.PushFinished(aNow, host, revision, delivered, refused, aActions);
      });
    });
}

void
ControlDriver::Execute(const FetchDocument& aAction)
{
  peer::ConfigFetch fetch;
  fetch.haveRevision = static_cast<std::int64_t>(aAction.m_knownRevision);
  peer::PeerRequest request;
  request.__set_configFetch(fetch);
  m_peers.Call(aAction.m_address,
               request,
               kDocumentCallTimeout,
               [this, host = aAction.m_host](PeerClient::Result&& aResult) {
                 const auto* reply = std::get_if<peer::PeerReply>(&aResult);
                 std::optional<std::string> document;
                 if (reply != nullptr && reply->__isset.config &&
                     reply->config.__isset.document) {
                   document = TryDecompress(reply->config.document);
                 }
                 Raise([&](TimePoint aNow, ControlActions& aActions) {
                   m_node.FetchFinished(aNow, host, document, aActions);
                 });
               });
}

void
ControlDriver::Execute(const ConfigurationActivated& aAction)
{
  Log(Severity::Info,
      "configuration in force",
      { { "revision", aAction.m_configuration->m_revision },
        { "accepted", aAction.m_configuration->m_accepted },
        { "services", aAction.m_configuration->m_services.size() } });
  m_listener.OnConfigurationActivated(*aAction.m_configuration);
}

void
ControlDriver::Execute(const ChangeAnswered& aAction)
{
  auto node = m_changes.extract(aAction.m_result.m_request);
  if (!node.empty()) {
    node.mapped()(aAction.m_result);
  }
}

void
ControlDriver::ArmTimer()
{
  const TimePoint next = m_node.NextTimer();
  if (m_timerAt == next) {
    return;
  }
  m_loop.Cancel(m_timer);
  m_timerAt = next;
  m_timer = m_loop.At(std::max(next, m_loop.Now() + kMinTimerDelay), [this] {
    m_timerAt.reset();
    Raise([&](TimePoint aNow, ControlActions& aActions) {
      m_node.FireTimers(aNow, aActions);
    });
  });
}

} // namespace goldcrestkeel
