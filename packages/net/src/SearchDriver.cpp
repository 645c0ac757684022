#include <goldcrestkeel/net/SearchDriver.h>

#include <algorithm>
#include <utility>

namespace goldcrestkeel {

namespace {

// 1 ms. A sub-request whose deadline has passed is still sent with this
// timeout, so that the transport reports its failure.
constexpr Duration kMinTimeout{ 1000 };

} // namespace

SearchDriver::SearchDriver(EventLoop& aLoop,
                           QueryEngine& aEngine,
                           BackendClient& aBackend)
  : m_loop(aLoop)
  , m_engine(aEngine)
  , m_backend(aBackend)
{
}

SearchDriver::~SearchDriver()
{
  m_loop.Cancel(m_timer);
  for (const auto& [replica, timer] : m_pollTimers) {
    m_loop.Cancel(timer);
  }
}

void
SearchDriver::SetServices(const std::map<std::string, ServiceSpec>& aServices)
{
  const TimePoint now = m_loop.Now();
  for (const auto& [name, spec] : m_services) {
    if (!aServices.contains(name)) {
      m_engine.DropService(now, name);
    }
  }
  for (const auto& [name, spec] : aServices) {
    const auto old = m_services.find(name);
    if (old == m_services.end() || old->second != spec) {
      m_engine.SetService(now, spec);
    }
    for (const ReplicaSpec& replica : spec.m_replicas) {
      m_addresses[replica.m_id] = replica.m_address;
    }
  }
  m_services = aServices;
  if (m_pollInterval > Duration{ 0 }) {
    StartPolling(m_pollInterval);
  }
  ArmTimer();
}

QueryId
SearchDriver::Search(StartSearch aSearch, Done aDone)
{
  aSearch.m_query = m_nextQuery++;
  m_running.emplace(aSearch.m_query, std::move(aDone));
  Actions actions;
  m_engine.Handle(m_loop.Now(), aSearch, actions);
  Execute(actions);
  return aSearch.m_query;
}

void
SearchDriver::Cancel(QueryId aQuery)
{
  if (m_running.erase(aQuery) != 0) {
    Actions actions;
    m_engine.Handle(m_loop.Now(), CancelSearch{ aQuery }, actions);
    Execute(actions);
  }
}

void
SearchDriver::Execute(Actions& aActions)
{
  for (Action& action : aActions) {
    if (auto* send = std::get_if<SendSubRequest>(&action)) {
      Send(*send);
    } else if (auto* cancel = std::get_if<CancelSubRequest>(&action)) {
      m_backend.CancelSearch(AddressOf(cancel->m_replica), cancel->m_attempt);
    } else {
      Finish(std::get<FinishSearch>(std::move(action)));
    }
  }
  ArmTimer();
}

void
SearchDriver::Send(const SendSubRequest& aRequest)
{
  const Duration left =
    std::max(aRequest.m_deadline - m_loop.Now(), kMinTimeout);
  m_backend.Search(
    AddressOf(aRequest.m_replica), aRequest, left, [this](SubOutcome&& aEvent) {
      Actions actions;
      const auto* failure = std::get_if<SubFailure>(&aEvent);
      const bool reset =
        failure != nullptr && failure->m_kind == SubFailureKind::Reset;
      std::visit(
        [&](const auto& aOutcome) {
          m_engine.Handle(m_loop.Now(), aOutcome, actions);
        },
        aEvent);
      // Only a lost connection adds a statement to the suspects.
      if (reset) {
        ReportSuspects();
      }
      Execute(actions);
    });
}

void
SearchDriver::Finish(FinishSearch&& aFinish)
{
  auto node = m_running.extract(aFinish.m_query);
  if (!node.empty()) {
    node.mapped()(std::move(aFinish));
  }
}

void
SearchDriver::ArmTimer()
{
  const std::optional<TimePoint> next = m_engine.NextTimer();
  if (next == m_timerAt) {
    return;
  }
  m_loop.Cancel(m_timer);
  m_timerAt = next;
  m_timer = 0;
  if (next) {
    m_timer = m_loop.At(*next, [this] {
      m_timerAt.reset();
      Actions actions;
      m_engine.FireTimers(m_loop.Now(), actions);
      Execute(actions);
    });
  }
}

std::string
SearchDriver::AddressOf(const std::string& aReplica) const
{
  const auto found = m_addresses.find(aReplica);
  return found == m_addresses.end() ? std::string() : found->second;
}

void
SearchDriver::StartPolling(Duration aInterval)
{
  m_pollInterval = aInterval;
  for (const auto& [name, spec] : m_services) {
    for (const ReplicaSpec& replica : spec.m_replicas) {
      if (!m_pollTimers.contains(replica.m_id)) {
        m_pollTimers[replica.m_id] = 0;
        PollStatus(replica.m_id);
      }
    }
  }
}

void
SearchDriver::PollStatus(const std::string& aReplica)
{
  m_backend.LimitConnections(AddressOf(aReplica),
                             m_engine.ConnectionShare(m_loop.Now(), aReplica));
  m_backend.Status(AddressOf(aReplica),
                   aReplica,
                   [this, aReplica](std::optional<ReplicaStatus>&& aStatus) {
                     Actions actions;
                     if (aStatus) {
                       HandleStatus(*aStatus, actions);
                     } else {
                       m_engine.StatusUnavailable(m_loop.Now(), aReplica);
                     }
                     Execute(actions);
                     ScheduleStatusPoll(aReplica);
                   });
}

void
SearchDriver::HandleStatus(const ReplicaStatus& aStatus, Actions& aActions)
{
  m_engine.Handle(m_loop.Now(), aStatus, aActions);
  std::uint64_t& reportedIncarnation = m_reportedDrains[aStatus.m_replica];
  if (aStatus.m_draining && reportedIncarnation != aStatus.m_incarnation) {
    reportedIncarnation = aStatus.m_incarnation;
    if (m_observer != nullptr) {
      m_observer->OnReplicaDraining(aStatus.m_replica, aStatus.m_incarnation);
    }
  }
}

void
SearchDriver::ReportSuspects()
{
  std::vector<SuspectReport> changed;
  for (SuspectReport& report : m_engine.Suspects()) {
    std::uint64_t& version = m_knownSuspectVersions[report.m_fingerprint];
    if (version < report.m_version) {
      version = report.m_version;
      changed.push_back(std::move(report));
    }
  }
  if (!changed.empty() && m_observer != nullptr) {
    m_observer->OnSuspectsChanged(changed);
  }
}

void
SearchDriver::MergeSuspectReports(const std::vector<SuspectReport>& aReports)
{
  for (const SuspectReport& report : aReports) {
    std::uint64_t& version = m_knownSuspectVersions[report.m_fingerprint];
    version = std::max(version, report.m_version);
  }
  Actions actions;
  m_engine.MergeSuspects(m_loop.Now(), aReports, actions);
  Execute(actions);
}

void
SearchDriver::MarkReplicaDraining(const std::string& aReplica,
                                  std::uint64_t aIncarnation)
{
  m_engine.MarkDraining(m_loop.Now(), aReplica, aIncarnation);
}

void
SearchDriver::ScheduleStatusPoll(const std::string& aReplica)
{
  if (!IsConfigured(aReplica)) {
    m_pollTimers.erase(aReplica);
    m_addresses.erase(aReplica);
    return;
  }
  m_pollTimers[aReplica] =
    m_loop.After(m_pollInterval, [this, aReplica] { PollStatus(aReplica); });
}

bool
SearchDriver::IsConfigured(const std::string& aReplica) const
{
  return std::any_of(
    m_services.begin(), m_services.end(), [&](const auto& aService) {
      const auto& replicas = aService.second.m_replicas;
      return std::any_of(
        replicas.begin(), replicas.end(), [&](const ReplicaSpec& aSpec) {
          return aSpec.m_id == aReplica;
        });
    });
}

} // namespace goldcrestkeel
