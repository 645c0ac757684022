#include "VirtualFleet.h"

#include <algorithm>

namespace goldcrestkeel {

namespace {

constexpr Duration kSecond = std::chrono::seconds{ 1 };
/** Maximum delay until a started host is in the host list; a stopped host
 *  leaves it after at most three times this delay. */
constexpr Duration kMaxHostListLag = std::chrono::seconds{ 20 };
/** Maximum delay until a write whose reply is lost takes effect. */
constexpr std::uint64_t kMaxLateWriteMicroseconds = 2000000;

} // namespace

VirtualFleet::VirtualFleet(const Options& aOptions)
  : m_options(aOptions)
  , m_random(MakeSeededRandom(aOptions.m_seed))
  , m_hosts(aOptions.m_hosts)
{
  for (std::size_t i = 0; i < m_hosts.size(); ++i) {
    m_hosts[i].m_name = "h" + std::to_string(i);
    m_listed.insert(i);
  }
}

// ---- Hosts ----------------------------------------------------------------

void
VirtualFleet::StartHost(std::size_t aHost)
{
  Host& host = m_hosts[aHost];
  host.m_processId += 1;
  host.m_up = true;
  host.m_paused = false;
  host.m_revision = 0;
  host.m_deferred.clear();
  host.m_timerAt = TimePoint::max();
  host.m_random = MakeSeededRandom(m_random->Next());
  MemberEntry self;
  self.m_host = host.m_name;
  self.m_address = host.m_name;
  self.m_dataCentre = "dc" + std::to_string(aHost % m_options.m_dataCentres);
  self.m_incarnation =
    static_cast<std::uint64_t>(Now().time_since_epoch().count() / 1000);
  host.m_node = std::make_unique<ControlNode>(self, *host.m_random);
  const std::uint64_t process = host.m_processId;
  // Each host reads the host list once a second until its process ends.
  auto read = std::make_shared<std::function<void()>>();
  *read = [this, aHost, process, weak = std::weak_ptr(read)] {
    if (m_hosts[aHost].m_processId != process) {
      return;
    }
    Deliver(aHost, process, [this](ControlNode& aNode, auto& aActions) {
      std::vector<ListedHost> list;
      for (std::size_t listed : m_listed) {
        list.push_back(
          { m_hosts[listed].m_name, m_hosts[listed].m_name, false });
      }
      aNode.SetHostList(Now(), list, aActions);
    });
    After(kSecond, [self = weak.lock()] { (*self)(); });
  };
  (*read)();
}

void
VirtualFleet::StartAllHosts()
{
  for (std::size_t i = 0; i < m_hosts.size(); ++i) {
    StartHost(i);
  }
}

void
VirtualFleet::KillHost(std::size_t aHost)
{
  m_hosts[aHost].m_up = false;
  ++m_hosts[aHost].m_processId;
}

void
VirtualFleet::PauseHost(std::size_t aHost)
{
  m_hosts[aHost].m_paused = true;
}

void
VirtualFleet::ResumeHost(std::size_t aHost)
{
  Host& host = m_hosts[aHost];
  host.m_paused = false;
  if (!host.m_up) {
    return;
  }
  // A request may be served before any deferred message is processed.
  CheckServing(host);
  for (const auto& action : std::exchange(host.m_deferred, {})) {
    action();
  }
  ScheduleTimers(aHost);
}

void
VirtualFleet::Partition(const std::vector<int>& aGroups, int aGroupWithoutStore)
{
  for (std::size_t i = 0; i < m_hosts.size(); ++i) {
    m_hosts[i].m_group = aGroups[i];
  }
  m_groupWithoutStore = aGroupWithoutStore;
}

void
VirtualFleet::Heal()
{
  Partition(std::vector<int>(m_hosts.size(), 0));
}

void
VirtualFleet::SetInHostList(std::size_t aHost, bool aListed)
{
  if (aListed) {
    m_listed.insert(aHost);
  } else {
    m_listed.erase(aHost);
  }
}

const ControlNode&
VirtualFleet::Node(std::size_t aHost) const
{
  return *m_hosts[aHost].m_node;
}

// ---- Time -----------------------------------------------------------------

void
VirtualFleet::At(TimePoint aTime, std::function<void()> aAction)
{
  m_events.At(aTime, std::move(aAction));
}

void
VirtualFleet::After(Duration aDelay, std::function<void()> aAction)
{
  m_events.After(aDelay, std::move(aAction));
}

bool
VirtualFleet::RunUntil(const std::function<bool()>& aDone, Duration aLimit)
{
  const TimePoint end = Now() + aLimit;
  while (!aDone()) {
    if (!m_events.RunNext(end)) {
      m_events.RunUntil(end);
      return false;
    }
  }
  return true;
}

void
VirtualFleet::Run(Duration aTime)
{
  RunUntil([] { return false; }, aTime);
}

void
VirtualFleet::ScheduleTimers(std::size_t aHost)
{
  Host& host = m_hosts[aHost];
  const TimePoint next = std::max(host.m_node->NextTimer(), Now());
  if (next >= host.m_timerAt && host.m_timerAt > Now()) {
    return;
  }
  host.m_timerAt = next;
  const std::uint64_t process = host.m_processId;
  At(next, [this, aHost, process, next] {
    if (m_hosts[aHost].m_processId == process &&
        m_hosts[aHost].m_timerAt == next) {
      m_hosts[aHost].m_timerAt = TimePoint::max();
      Deliver(aHost, process, [this](ControlNode& aNode, auto& aActions) {
        aNode.FireTimers(Now(), aActions);
      });
    }
  });
}

void
VirtualFleet::Deliver(std::size_t aHost,
                      std::uint64_t aProcessId,
                      Handler aHandler)
{
  Host& host = m_hosts[aHost];
  if (!host.m_up || host.m_processId != aProcessId) {
    return;
  }
  if (host.m_paused) {
    host.m_deferred.push_back([this, aHost, aProcessId, aHandler] {
      Deliver(aHost, aProcessId, aHandler);
    });
    return;
  }
  ControlActions actions;
  aHandler(*host.m_node, actions);
  Execute(aHost, actions);
  CheckServing(host);
  ScheduleTimers(aHost);
}

// ---- Network --------------------------------------------------------------

Duration
VirtualFleet::RandomDelay()
{
  // The delay varies between 1 and 1.5 times the minimum.
  const auto base = static_cast<std::uint64_t>(m_options.m_delay.count());
  return m_options.m_delay +
         Duration{ static_cast<Duration::rep>(m_random->Below(base / 2 + 1)) };
}

bool
VirtualFleet::IsDelivered(std::size_t aFrom, std::size_t aTo)
{
  return m_hosts[aFrom].m_group == m_hosts[aTo].m_group &&
         m_random->Unit() >= m_options.m_loss;
}

std::size_t
VirtualFleet::HostIndexOf(const std::string& aAddress) const
{
  return std::stoul(aAddress.substr(1));
}

void
VirtualFleet::Execute(std::size_t aHost, ControlActions& aActions)
{
  for (const ControlAction& action : aActions) {
    if (m_onSend) {
      m_onSend(aHost, action);
    }
    std::visit([&](const auto& aAction) { Execute(aHost, aAction); }, action);
  }
}

void
VirtualFleet::Execute(std::size_t aHost, const SendProbe& aAction)
{
  const std::size_t to = HostIndexOf(aAction.m_address);
  if (!IsDelivered(aHost, to)) {
    return;
  }
  const std::uint64_t process = m_hosts[aHost].m_processId;
  After(RandomDelay(), [this, aHost, to, process, aAction] {
    if (!m_hosts[to].m_up) {
      After(RandomDelay(), [this, aHost, process, aAction] {
        Deliver(
          aHost, process, [this, aAction](ControlNode& aNode, auto& aActions) {
            aNode.ProbeFailed(
              Now(), aAction.m_probe, ProbeFailure::Refused, aActions);
          });
      });
      return;
    }
    const std::uint64_t request = ++m_lastRequest;
    m_hosts[to].m_requests[request] = { aHost, aAction.m_probe };
    Deliver(to,
            m_hosts[to].m_processId,
            [this, request, aAction](ControlNode& aNode, auto& aActions) {
              aNode.ProbeReceived(
                Now(), request, aAction.m_message, aAction.m_target, aActions);
            });
  });
}

void
VirtualFleet::Execute(std::size_t aHost, const AnswerProbe& aAction)
{
  const auto request = m_hosts[aHost].m_requests.extract(aAction.m_request);
  const std::size_t to = request.mapped().first;
  const ProbeId probe = request.mapped().second;
  if (!IsDelivered(aHost, to)) {
    return;
  }
  const std::uint64_t process = m_hosts[to].m_processId;
  After(RandomDelay(), [this, to, process, probe, aAction] {
    Deliver(
      to, process, [this, probe, aAction](ControlNode& aNode, auto& aActions) {
        aNode.ProbeReplied(
          Now(), probe, aAction.m_message, aAction.m_targetAlive, aActions);
      });
  });
}

void
VirtualFleet::Execute(std::size_t aHost, const PushDocument& aAction)
{
  const std::size_t to = HostIndexOf(aAction.m_address);
  const std::uint64_t process = m_hosts[aHost].m_processId;
  const auto finish = [this, aHost, process, aAction](bool aDone, bool aDown) {
    After(aDone || aDown ? RandomDelay() : kSecond, [=, this] {
      Deliver(aHost, process, [=, this](ControlNode& aNode, auto& aActions) {
        aNode.PushFinished(
          Now(), aAction.m_host, aAction.m_revision, aDone, aDown, aActions);
      });
    });
  };
  if (!IsDelivered(aHost, to)) {
    finish(false, false);
    return;
  }
  After(RandomDelay(), [this, to, aAction, finish] {
    if (!m_hosts[to].m_up || m_hosts[to].m_paused) {
      finish(false, !m_hosts[to].m_up);
      return;
    }
    Deliver(to,
            m_hosts[to].m_processId,
            [=, this](ControlNode& aNode, auto& aActions) {
              finish(
                aNode.PushReceived(
                  Now(), aAction.m_revision, *aAction.m_document, aActions),
                false);
            });
  });
}

void
VirtualFleet::Execute(std::size_t aHost, const FetchDocument& aAction)
{
  const std::size_t to = HostIndexOf(aAction.m_address);
  const std::uint64_t process = m_hosts[aHost].m_processId;
  std::shared_ptr<const std::string> document;
  Duration delay = kSecond;
  if (IsDelivered(aHost, to) && m_hosts[to].m_up && !m_hosts[to].m_paused) {
    document = m_hosts[to].m_node->Manager().NewerDocument(
      Now(), aAction.m_knownRevision);
    delay = RandomDelay() * 2;
  }
  After(delay, [=, this] {
    Deliver(aHost, process, [=, this](ControlNode& aNode, auto& aActions) {
      aNode.FetchFinished(Now(),
                          aAction.m_host,
                          document ? std::optional<std::string>(*document)
                                   : std::nullopt,
                          aActions);
    });
  });
}

// ---- Store ----------------------------------------------------------------

StoreResult
VirtualFleet::RunStoreCall(const StoreCall& aCall)
{
  StoreResult result;
  result.m_status = StoreStatus::Ok;
  if (aCall.m_operation == StoreOperation::CompareAndSwap) {
    ++m_store.m_writes;
    if (aCall.m_index != m_store.m_index) {
      result.m_status = StoreStatus::Conflict;
      return result;
    }
    m_store.m_value = aCall.m_value;
    ++m_store.m_index;
    OnStoreWrite();
    NotifyWatchers();
  } else {
    ++m_store.m_reads;
    result.m_value = m_store.m_value;
    if (m_store.m_index == 0) {
      result.m_status = StoreStatus::NotFound;
    }
  }
  result.m_index = m_store.m_index;
  return result;
}

void
VirtualFleet::Execute(std::size_t aHost, const SendStoreCall& aAction)
{
  ++m_store.m_calls;
  const std::uint64_t process = m_hosts[aHost].m_processId;
  const auto reply = [this, aHost, process, token = aAction.m_token](
                       const StoreResult& aResult, Duration aDelay) {
    After(aDelay, [=, this] {
      Deliver(aHost, process, [=, this](ControlNode& aNode, auto& aActions) {
        aNode.StoreReplied(Now(), token, aResult, aActions);
      });
    });
  };
  if (m_store.m_down || m_hosts[aHost].m_group == m_groupWithoutStore) {
    StoreResult failed;
    failed.m_status = StoreStatus::Failed;
    reply(failed, m_options.m_delay);
    return;
  }
  if (aAction.m_call.m_operation == StoreOperation::Watch &&
      aAction.m_call.m_index == m_store.m_index) {
    ExecuteWatch(aHost, aAction);
    return;
  }
  const bool write =
    aAction.m_call.m_operation == StoreOperation::CompareAndSwap;
  if (write && m_random->Unit() < m_store.m_replyLossProbability) {
    if (m_random->Below(2) == 0) {
      const Duration late{ static_cast<Duration::rep>(
        m_random->Below(kMaxLateWriteMicroseconds)) };
      After(late, [this, call = aAction.m_call] { RunStoreCall(call); });
    }
    reply(StoreResult{}, kSecond);
    return;
  }
  After(m_store.m_delay / 2, [this, reply, call = aAction.m_call] {
    reply(RunStoreCall(call), m_store.m_delay / 2);
  });
}

void
VirtualFleet::ExecuteWatch(std::size_t aHost, const SendStoreCall& aAction)
{
  const std::uint64_t process = m_hosts[aHost].m_processId;
  auto done = std::make_shared<bool>(false);
  const auto finish = [=, this, token = aAction.m_token] {
    if (std::exchange(*done, true)) {
      return;
    }
    StoreResult result;
    if (!m_store.m_down && m_hosts[aHost].m_group != m_groupWithoutStore) {
      result = RunStoreCall(StoreCall{});
    }
    After(m_store.m_delay, [=, this] {
      Deliver(aHost, process, [=, this](ControlNode& aNode, auto& aActions) {
        aNode.StoreReplied(Now(), token, result, aActions);
      });
    });
  };
  m_watchers.push_back(finish);
  After(aAction.m_call.m_wait, finish);
}

void
VirtualFleet::NotifyWatchers()
{
  for (const auto& watcher : std::exchange(m_watchers, {})) {
    watcher();
  }
}

Configuration
VirtualFleet::StoredConfiguration() const
{
  return m_store.m_index == 0 ? Configuration{}
                              : ParseConfiguration(m_store.m_value);
}

// ---- Invariants -----------------------------------------------------------

void
VirtualFleet::OnStoreWrite()
{
  const Configuration stored = StoredConfiguration();
  const bool change = m_writtenAt.emplace(stored.m_revision, Now()).second;
  const bool behind =
    std::any_of(m_hosts.begin(), m_hosts.end(), [&](const Host& aHost) {
      return aHost.m_up && !aHost.m_paused &&
             aHost.m_node->Manager().Serving(Now()) &&
             aHost.m_node->Manager().Current()->m_revision < stored.m_revision;
    });
  m_lostIfAcceptedAtWrite += change && behind ? 1 : 0;
  if (!stored.m_accepted) {
    return;
  }
  m_accepted = std::max(m_accepted, stored.m_revision);
  for (const Host& host : m_hosts) {
    CheckServing(host);
  }
}

void
VirtualFleet::CheckServing(const Host& aHost)
{
  if (!aHost.m_up || aHost.m_paused ||
      !aHost.m_node->Manager().Serving(Now())) {
    return;
  }
  const Revision revision = aHost.m_node->Manager().Current()->m_revision;
  m_lostAcceptedChanges += revision < m_accepted ? 1 : 0;
  GK_INVARIANT(revision >= m_accepted,
               InvariantId::RevisionMonotonic,
               aHost.m_name + " serves revision " + std::to_string(revision) +
                 " although the accepted revision is " +
                 std::to_string(m_accepted));
}

void
VirtualFleet::Execute(std::size_t aHost, const ConfigurationActivated& aAction)
{
  Host& host = m_hosts[aHost];
  const Revision revision = aAction.m_configuration->m_revision;
  m_revisionRollbacks += revision < host.m_revision ? 1 : 0;
  GK_INVARIANT(revision >= host.m_revision,
               InvariantId::RevisionMonotonic,
               host.m_name + " reverted to an earlier revision");
  host.m_revision = revision;
  const auto written = m_writtenAt.find(revision);
  if (written != m_writtenAt.end()) {
    m_maxPropagationTime =
      std::max(m_maxPropagationTime, Now() - written->second);
  }
}

bool
VirtualFleet::AllHostsHaveRevision(Revision aRevision) const
{
  return std::all_of(m_hosts.begin(), m_hosts.end(), [&](const Host& aHost) {
    return !aHost.m_up || aHost.m_paused ||
           aHost.m_node->Manager().Current()->m_revision >= aRevision;
  });
}

// ---- Faults ---------------------------------------------------------------

void
VirtualFleet::InjectFault()
{
  const std::size_t host = m_random->Below(m_hosts.size());
  switch (m_random->Below(9)) {
    case 0:
      KillHost(host);
      UpdateHostListLater(host, kMaxHostListLag * 3);
      break;
    case 1:
    case 2:
      if (!m_hosts[host].m_up) {
        StartHost(host);
        UpdateHostListLater(host, kMaxHostListLag);
      }
      break;
    case 3:
      PauseHost(host);
      break;
    case 4:
      ResumeHost(host);
      break;
    case 5: {
      std::vector<int> groups(m_hosts.size());
      for (int& group : groups) {
        group = static_cast<int>(m_random->Below(2));
      }
      Partition(groups, static_cast<int>(m_random->Below(3)));
      break;
    }
    case 6:
      Heal();
      break;
    case 7:
      m_store.m_down = m_random->Below(2) == 0;
      break;
    default:
      m_store.m_replyLossProbability = m_random->Unit();
  }
}

void
VirtualFleet::UpdateHostListLater(std::size_t aHost, Duration aLag)
{
  const Duration lag{ static_cast<Duration::rep>(
    m_random->Below(static_cast<std::uint64_t>(aLag.count()))) };
  After(lag, [this, aHost] { SetInHostList(aHost, m_hosts[aHost].m_up); });
}

void
VirtualFleet::ClearFaults()
{
  Heal();
  m_store.m_down = false;
  m_store.m_replyLossProbability = 0;
  for (std::size_t i = 0; i < m_hosts.size(); ++i) {
    ResumeHost(i);
    if (!m_hosts[i].m_up) {
      StartHost(i);
    }
    SetInHostList(i, true);
  }
}

// ---- Operators ------------------------------------------------------------

ServiceSpec
VirtualFleet::Service(const std::string& aName, double aCoverage) const
{
  ServiceSpec spec;
  spec.m_name = aName;
  spec.m_shards = { "s1" };
  ReplicaSpec replica;
  replica.m_id = aName + "-1";
  replica.m_address = "127.0.0.1:7001";
  replica.m_dataCentre = "dc0";
  replica.m_region = "r0";
  replica.m_shard = "s1";
  spec.m_replicas = { replica };
  spec.m_policy.m_minCoverage = aCoverage;
  return spec;
}

void
VirtualFleet::Change(std::size_t aHost,
                     const std::string& aOperation,
                     const std::string& aService,
                     double aCoverage)
{
  ChangeRequest request;
  request.m_operationId = aOperation;
  request.m_operator = "ana";
  request.m_from = "127.0.0.1";
  request.m_changedAt = Now().time_since_epoch().count() / 1000;
  request.m_change = "set " + aService + " to " + std::to_string(aCoverage);
  request.m_updatedServices = { Service(aService, aCoverage) };
  Deliver(aHost,
          m_hosts[aHost].m_processId,
          [this, request](ControlNode& aNode, auto& aActions) {
            aNode.Change(Now(), request, aActions);
          });
}

void
VirtualFleet::Execute(std::size_t /*aHost*/, const ChangeAnswered& aAction)
{
  m_answers.emplace(aAction.m_result.m_operationId, aAction.m_result);
}

} // namespace goldcrestkeel
