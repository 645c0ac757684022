#include "ChangeCommit.h"
#include "Rendezvous.h"

#include <goldcrestkeel/control/ConfigurationManager.h>
#include <goldcrestkeel/core/Invariant.h>

#include <algorithm>

namespace goldcrestkeel {

namespace {

/** Key that ranks the hosts for completing an acceptance. */
constexpr std::string_view kAcceptanceRankKey = "acceptance";
/** Minimum interval between two computations of the ranks, because each host of
 *  a starting fleet appears separately. */
constexpr Duration kMinRankInterval = std::chrono::milliseconds{ 500 };
const std::string kAccepted = "accepted";

/** Returns aConfiguration with the revision and all audit entries marked as
 *  accepted. */
std::shared_ptr<const Configuration>
MarkAccepted(Configuration aConfiguration)
{
  aConfiguration.m_accepted = true;
  for (AuditEntry& entry : aConfiguration.m_audit) {
    entry.m_outcome = kAccepted;
  }
  return std::make_shared<const Configuration>(std::move(aConfiguration));
}

} // namespace

ConfigurationManager::ConfigurationManager(ConfigurationOptions aOptions,
                                           const HostDirectory& aHosts,
                                           RandomSource& aRandom)
  : m_options(std::move(aOptions))
  , m_hosts(aHosts)
  , m_random(aRandom)
  , m_current(std::make_shared<const Configuration>())
{
}

ConfigurationManager::~ConfigurationManager() = default;

// ---- Queries --------------------------------------------------------------

bool
ConfigurationManager::Ready() const
{
  return m_current->m_revision > 0 && m_startComplete;
}

bool
ConfigurationManager::StoreIsEmpty() const
{
  return m_storeEmpty && m_current->m_revision == 0;
}

bool
ConfigurationManager::HasPeers(TimePoint aNow) const
{
  const std::vector<HostStatus> hosts = m_hosts.Hosts(aNow);
  return std::any_of(hosts.begin(), hosts.end(), [](const HostStatus& aHost) {
    return !aHost.m_provenGone;
  });
}

bool
ConfigurationManager::Serving(TimePoint aNow) const
{
  if (!Ready() || m_hosts.Replaced()) {
    return false;
  }
  const bool confirmed = aNow - m_confirmedAt < kIsolationTimeout;
  return (confirmed && m_hosts.Discoverable()) || !HasPeers(aNow);
}

std::shared_ptr<const Configuration>
ConfigurationManager::Current() const
{
  return m_current;
}

std::shared_ptr<const std::string>
ConfigurationManager::NewerDocument(TimePoint aNow,
                                    Revision aKnownRevision) const
{
  return m_current->m_revision > aKnownRevision && Serving(aNow)
           ? m_currentDocument
           : nullptr;
}

std::vector<std::string>
ConfigurationManager::Missing(TimePoint aNow) const
{
  std::vector<std::string> missing;
  for (const HostStatus& host : m_hosts.Hosts(aNow)) {
    if (!host.m_provenGone && host.m_entry.m_revision < m_current->m_revision) {
      missing.push_back(host.m_entry.m_host);
    }
  }
  return missing;
}

bool
ConfigurationManager::IsWatcher() const
{
  return m_watcher.m_active;
}

// ---- Start ----------------------------------------------------------------

void
ConfigurationManager::Start(TimePoint aNow, ControlActions& aActions)
{
  m_startedAt = aNow;
  m_confirmedAt = aNow;
  std::vector<HostStatus> hosts = m_hosts.Hosts(aNow);
  const Duration maxDelay =
    kInitialReadJitterPerHost * static_cast<int>(hosts.size() + 1);
  m_firstReadAt = aNow + Duration{ static_cast<Duration::rep>(m_random.Below(
                           static_cast<std::uint64_t>(maxDelay.count()))) };
  const std::size_t count = std::min(kBootstrapPeers, hosts.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(hosts[i], hosts[i + m_random.Below(hosts.size() - i)]);
    aActions.push_back(ProbeHost{ hosts[i].m_entry.m_host });
  }
  FireTimers(aNow, aActions);
}

void
ConfigurationManager::CheckStartup(TimePoint aNow, ControlActions& aActions)
{
  if (m_firstReadAt && aNow >= *m_firstReadAt) {
    m_firstReadAt.reset();
    if (m_current->m_revision == 0) {
      ReadStore(aNow, Purpose::Read, aActions);
    }
  }
  m_startComplete =
    m_startComplete || (m_startedAt && aNow >= StartCompleteTime());
}

TimePoint
ConfigurationManager::StartCompleteTime() const
{
  const bool newest = m_current->m_revision >= m_newestKnownRevision;
  return *m_startedAt + (newest ? kBootstrapWait : kBootstrapTimeout);
}

// ---- Store ----------------------------------------------------------------

void
ConfigurationManager::StartStoreCall(
  TimePoint aNow,
  Purpose aPurpose,
  const StoreCall& aCall,
  std::uint64_t aChange,
  std::shared_ptr<const Configuration> aDocument,
  ControlActions& aActions)
{
  const StoreToken token = ++m_lastToken;
  m_calls.emplace(token,
                  PendingCall{ aPurpose,
                               aNow,
                               aNow + aCall.m_wait + kStoreCallTimeout,
                               aChange,
                               std::move(aDocument) });
  aActions.push_back(SendStoreCall{ token, aCall });
}

void
ConfigurationManager::ReadStore(TimePoint aNow,
                                Purpose aPurpose,
                                ControlActions& aActions)
{
  StoreCall call;
  call.m_operation = StoreOperation::Get;
  call.m_key = kConfigurationKey;
  StartStoreCall(aNow, aPurpose, call, 0, nullptr, aActions);
}

void
ConfigurationManager::Refresh(TimePoint aNow, ControlActions& aActions)
{
  ReadStore(aNow, Purpose::Read, aActions);
}

void
ConfigurationManager::StoreReplied(TimePoint aNow,
                                   StoreToken aToken,
                                   const StoreResult& aResult,
                                   ControlActions& aActions)
{
  const auto found = m_calls.find(aToken);
  if (found == m_calls.end()) {
    return;
  }
  const PendingCall call = std::move(found->second);
  m_calls.erase(found);
  switch (call.m_purpose) {
    case Purpose::Watch:
      HandleWatchResult(aNow, aResult, aActions);
      break;
    case Purpose::Read:
      HandleReadResult(aNow, aResult, aActions);
      break;
    case Purpose::Change:
      AdvanceChange(aNow, call.m_change, &aResult, aActions);
      break;
    case Purpose::AcceptanceRead:
      HandleAcceptanceRead(aNow, aResult, aActions);
      break;
    case Purpose::AcceptanceWrite:
      m_acceptance.m_callRunning = false;
      if (aResult.m_status == StoreStatus::Ok) {
        Adopt(aNow, call.m_document, "", aActions);
      }
      break;
  }
  // The state is confirmed as of the send time of the call: the reply may have
  // been buffered while this process was paused.
  const bool answered = aResult.m_status == StoreStatus::Ok ||
                        aResult.m_status == StoreStatus::NotFound;
  if (answered && call.m_purpose <= Purpose::Read) {
    m_confirmedAt = std::max(m_confirmedAt, call.m_sentAt);
  }
}

void
ConfigurationManager::HandleWatchResult(TimePoint aNow,
                                        const StoreResult& aResult,
                                        ControlActions& aActions)
{
  m_watcher.m_callRunning = false;
  if (aResult.m_status == StoreStatus::Ok ||
      aResult.m_status == StoreStatus::NotFound) {
    m_watcher.m_backoff = kStoreBackoffMin;
    // A reply without a change that arrives before the wait has elapsed must
    // not turn the watch into a busy loop.
    const bool changed = aResult.m_index != m_storeIndex;
    m_watcher.m_nextCall =
      aNow + (changed ? Duration{ 0 } : kUnchangedWatchDelay);
    m_storeIndex = aResult.m_index;
    HandleReadResult(aNow, aResult, aActions);
  } else {
    const auto jitter = static_cast<Duration::rep>(
      m_random.Below(static_cast<std::uint64_t>(m_watcher.m_backoff.count())));
    m_watcher.m_nextCall = aNow + m_watcher.m_backoff + Duration{ jitter };
    m_watcher.m_backoff = std::min(m_watcher.m_backoff * 2, kStoreBackoffMax);
  }
  CheckWatcher(aNow, aActions);
}

void
ConfigurationManager::HandleReadResult(TimePoint aNow,
                                       const StoreResult& aResult,
                                       ControlActions& aActions)
{
  m_storeEmpty = m_storeEmpty || aResult.m_status == StoreStatus::NotFound;
  if (aResult.m_status != StoreStatus::Ok) {
    return;
  }
  const auto revision = AdoptDocument(aNow, aResult.m_value, aActions);
  if (!revision) {
    return;
  }
  m_startComplete = true;
  if (aResult.m_index >= m_storeRevisionIndex) {
    GK_INVARIANT(*revision >= m_storeRevision,
                 InvariantId::RevisionMonotonic,
                 "the store returned a revision older than " +
                   std::to_string(m_storeRevision));
    m_storeRevisionIndex = aResult.m_index;
    m_storeRevision = *revision;
  }
}

void
ConfigurationManager::CheckCalls(TimePoint aNow, ControlActions& aActions)
{
  std::vector<StoreToken> timedOut;
  for (const auto& [token, call] : m_calls) {
    if (aNow >= call.m_deadline) {
      timedOut.push_back(token);
    }
  }
  for (StoreToken token : timedOut) {
    StoreReplied(aNow, token, StoreResult{}, aActions);
  }
}

void
ConfigurationManager::UpdateWatchers(TimePoint aNow)
{
  const bool rankedRecently = aNow - m_rankedAt < kMinRankInterval;
  if (!m_rankedHosts.empty() &&
      (rankedRecently || m_watcher.m_generation == m_hosts.Generation())) {
    return;
  }
  m_rankedAt = aNow;
  m_watcher.m_generation = m_hosts.Generation();
  m_rankedHosts = { m_options.m_host };
  m_remoteRankedHosts.clear();
  m_addresses.clear();
  for (const HostStatus& host : m_hosts.Hosts(aNow)) {
    const MemberEntry& entry = host.m_entry;
    m_addresses[entry.m_host] = entry.m_address;
    if (entry.m_state >= MemberState::Suspect || entry.m_incarnation == 0) {
      continue;
    }
    if (entry.m_dataCentre == m_options.m_dataCentre) {
      m_rankedHosts.push_back(entry.m_host);
    } else {
      m_remoteRankedHosts[entry.m_dataCentre].push_back(entry.m_host);
    }
  }
  RankHosts(m_options.m_dataCentre, m_rankedHosts);
  for (auto& [dataCentre, hosts] : m_remoteRankedHosts) {
    RankHosts(dataCentre, hosts);
  }
  const auto position =
    std::find(m_rankedHosts.begin(), m_rankedHosts.end(), m_options.m_host);
  m_watcher.m_active = position - m_rankedHosts.begin() <
                       static_cast<std::ptrdiff_t>(kWatchersPerDataCentre);
}

void
ConfigurationManager::CheckWatcher(TimePoint aNow, ControlActions& aActions)
{
  // During the start the other hosts are not known yet, and each host would
  // rank itself as a watcher.
  if (!m_startedAt || aNow - *m_startedAt < kBootstrapWait) {
    return;
  }
  UpdateWatchers(aNow);
  if (!m_watcher.m_active || m_watcher.m_callRunning ||
      aNow < m_watcher.m_nextCall) {
    return;
  }
  m_watcher.m_callRunning = true;
  StoreCall call;
  call.m_operation = StoreOperation::Watch;
  call.m_key = kConfigurationKey;
  call.m_index = m_storeIndex;
  call.m_wait = kWatchWait;
  StartStoreCall(aNow, Purpose::Watch, call, 0, nullptr, aActions);
}

// ---- Adoption -------------------------------------------------------------

std::optional<Revision>
ConfigurationManager::AdoptDocument(TimePoint aNow,
                                    const std::string& aDocument,
                                    ControlActions& aActions)
{
  if (m_currentDocument && *m_currentDocument == aDocument) {
    return m_current->m_revision;
  }
  try {
    auto parsed =
      std::make_shared<const Configuration>(ParseConfiguration(aDocument));
    const Revision revision = parsed->m_revision;
    if (revision >= m_current->m_revision) {
      Adopt(aNow, std::move(parsed), aDocument, aActions);
    }
    return revision;
  } catch (const Error&) {
    // If the document is invalid, the current configuration remains in use.
    return std::nullopt;
  }
}

void
ConfigurationManager::Adopt(TimePoint aNow,
                            std::shared_ptr<const Configuration> aConfiguration,
                            std::string aDocument,
                            ControlActions& aActions)
{
  const Revision before = m_current->m_revision;
  if (aConfiguration->m_revision < before ||
      (aConfiguration->m_revision == before && m_current->m_accepted)) {
    return;
  }
  m_current = std::move(aConfiguration);
  m_currentDocument = std::make_shared<const std::string>(
    aDocument.empty() ? SerializeConfiguration(*m_current)
                      : std::move(aDocument));
  GK_INVARIANT(m_current->m_revision >= before,
               InvariantId::RevisionMonotonic,
               m_options.m_host + " adopted a revision older than " +
                 std::to_string(before));
  m_newestKnownRevision =
    std::max(m_newestKnownRevision, m_current->m_revision);
  if (m_current->m_revision > before) {
    m_acceptance = Acceptance{};
    m_acceptance.m_adoptedAt = aNow;
    m_acceptance.m_nextCheck = aNow + kAcceptanceProbeInterval;
    aActions.push_back(ConfigurationActivated{ m_current });
    UpdateWatchers(aNow);
    PushToChildren(m_options.m_host, aActions);
  }
  CheckPendingAnswers(aNow, aActions);
}

void
ConfigurationManager::PushTo(const std::string& aHost, ControlActions& aActions)
{
  aActions.push_back(PushDocument{
    aHost, m_addresses[aHost], m_current->m_revision, m_currentDocument });
}

// The ranked hosts of a data centre form a tree with a fanout of kPushFanout.
// Each edge is used once per revision, no matter which host receives the
// revision first, so that a host receives the document only from its parent.
void
ConfigurationManager::PushToChildren(const std::string& aParent,
                                     ControlActions& aActions)
{
  const auto position = static_cast<std::size_t>(
    std::find(m_rankedHosts.begin(), m_rankedHosts.end(), aParent) -
    m_rankedHosts.begin());
  const std::size_t first = position * kPushFanout + 1;
  for (std::size_t i = first;
       i < std::min(first + kPushFanout, m_rankedHosts.size());
       ++i) {
    if (m_rankedHosts[i] != m_options.m_host) {
      PushTo(m_rankedHosts[i], aActions);
    }
  }
}

void
ConfigurationManager::PushToOtherDataCentres(ControlActions& aActions)
{
  if (m_rankedHosts.front() != m_options.m_host) {
    PushTo(m_rankedHosts.front(), aActions);
  }
  for (const auto& [dataCentre, hosts] : m_remoteRankedHosts) {
    PushTo(hosts.front(), aActions);
  }
}

bool
ConfigurationManager::PushReceived(TimePoint aNow,
                                   Revision aRevision,
                                   const std::string& aDocument,
                                   ControlActions& aActions)
{
  if (aRevision > m_current->m_revision) {
    AdoptDocument(aNow, aDocument, aActions);
  }
  return m_current->m_revision >= aRevision;
}

void
ConfigurationManager::PushFinished(TimePoint /*aNow*/,
                                   const std::string& aHost,
                                   Revision aRevision,
                                   bool aDelivered,
                                   ControlActions& aActions)
{
  // The children of a host that cannot be reached receive the document from
  // this host.
  if (!aDelivered && aRevision == m_current->m_revision) {
    PushToChildren(aHost, aActions);
  }
}

// ---- Peers ----------------------------------------------------------------

void
ConfigurationManager::PeerRevisionReceived(
  TimePoint aNow,
  const std::string& aHost,
  Revision aRevision,
  std::optional<TimePoint> aProbeSentAt,
  ControlActions& aActions)
{
  if (aRevision > m_newestKnownRevision) {
    m_newestKnownRevision = aRevision;
    if (!m_fetch || !m_fetch->m_running) {
      const Duration wait = Ready() ? kFetchDelay : Duration{ 0 };
      m_fetch = Fetch{ aHost, aNow + wait, false };
    }
  } else if (aRevision > m_current->m_revision && !m_fetch) {
    m_fetch = Fetch{ aHost, aNow, false };
  }
  if (aProbeSentAt && aRevision > 0 && aRevision <= m_current->m_revision) {
    m_confirmedAt = std::max(m_confirmedAt, *aProbeSentAt);
  }
  CheckFetch(aNow, aActions);
}

void
ConfigurationManager::CheckFetch(TimePoint aNow, ControlActions& aActions)
{
  if (!m_fetch || m_fetch->m_running || aNow < m_fetch->m_sendAt) {
    return;
  }
  if (m_current->m_revision >= m_newestKnownRevision) {
    m_fetch.reset();
    return;
  }
  if (!m_addresses.contains(m_fetch->m_host)) {
    m_rankedHosts.clear();
  }
  UpdateWatchers(aNow);
  m_fetch->m_running = true;
  aActions.push_back(FetchDocument{
    m_fetch->m_host, m_addresses[m_fetch->m_host], m_current->m_revision });
}

void
ConfigurationManager::FetchFinished(TimePoint aNow,
                                    const std::string& /*aHost*/,
                                    const std::optional<std::string>& aDocument,
                                    ControlActions& aActions)
{
  m_fetch.reset();
  if (aDocument) {
    AdoptDocument(aNow, *aDocument, aActions);
  }
  FireTimers(aNow, aActions);
}

// ---- Changes --------------------------------------------------------------

void
ConfigurationManager::Change(TimePoint aNow,
                             ChangeRequest aRequest,
                             ControlActions& aActions)
{
  const std::uint64_t id = ++m_lastChange;
  RunningChange change;
  change.m_commit =
    std::make_unique<ChangeCommit>(std::move(aRequest), *m_current);
  change.m_deadline = aNow + kChangeTimeout;
  m_changes.emplace(id, std::move(change));
  AdvanceChange(aNow, id, nullptr, aActions);
}

void
ConfigurationManager::AdvanceChange(TimePoint aNow,
                                    std::uint64_t aChange,
                                    const StoreResult* aResult,
                                    ControlActions& aActions)
{
  const auto found = m_changes.find(aChange);
  if (found == m_changes.end()) {
    return;
  }
  RunningChange& change = found->second;
  ChangeCommit::Step step = aResult == nullptr
                              ? change.m_commit->Start()
                              : change.m_commit->Handle(*aResult);
  if (step.m_result) {
    FinishChange(aNow, aChange, *step.m_result, step.m_document, aActions);
  } else if (step.m_call) {
    change.m_nextCall = std::move(*step.m_call);
    change.m_callAt = aNow + step.m_delay;
    CheckChanges(aNow, aActions);
  }
}

void
ConfigurationManager::FinishChange(
  TimePoint aNow,
  std::uint64_t aChange,
  const ChangeResult& aResult,
  std::shared_ptr<const Configuration> aDocument,
  ControlActions& aActions)
{
  const bool answered = m_changes.at(aChange).m_answered;
  m_changes.erase(aChange);
  const Revision before = m_current->m_revision;
  if (aDocument) {
    Adopt(aNow, std::move(aDocument), "", aActions);
  }
  if (!aResult.m_error && m_current->m_revision == aResult.m_revision) {
    m_acceptance.m_proposer = true;
    if (m_current->m_revision > before) {
      PushToOtherDataCentres(aActions);
    }
  }
  if (answered) {
    return;
  }
  if (aResult.m_error || aResult.m_accepted) {
    aActions.push_back(ChangeAnswered{ aResult });
    return;
  }
  m_pendingAnswers.push_back({ aResult, aNow + kAcceptanceTimeout });
  CheckPendingAnswers(aNow, aActions);
}

void
ConfigurationManager::CheckChanges(TimePoint aNow, ControlActions& aActions)
{
  for (auto& [id, change] : m_changes) {
    if (change.m_callAt && aNow >= *change.m_callAt) {
      change.m_callAt.reset();
      StartStoreCall(
        aNow, Purpose::Change, change.m_nextCall, id, nullptr, aActions);
    }
    // The commit continues after the answer, so that a write that did take
    // effect is still adopted here.
    if (!change.m_answered && aNow >= change.m_deadline) {
      change.m_answered = true;
      aActions.push_back(ChangeAnswered{ change.m_commit->UnresolvedResult() });
    }
  }
}

void
ConfigurationManager::CheckPendingAnswers(TimePoint aNow,
                                          ControlActions& aActions)
{
  std::vector<PendingAnswer> stillPending;
  for (PendingAnswer& answer : m_pendingAnswers) {
    const bool accepted = m_current->m_accepted &&
                          m_current->m_revision >= answer.m_result.m_revision;
    if (accepted || aNow >= answer.m_deadline) {
      answer.m_result.m_accepted = accepted;
      answer.m_result.m_missingHosts =
        accepted ? std::vector<std::string>{} : Unconfirmed(aNow);
      aActions.push_back(ChangeAnswered{ std::move(answer.m_result) });
    } else {
      stillPending.push_back(std::move(answer));
    }
  }
  m_pendingAnswers = std::move(stillPending);
}

// ---- Acceptance -----------------------------------------------------------

std::vector<std::string>
ConfigurationManager::Unconfirmed(TimePoint aNow) const
{
  std::vector<std::string> hosts = Missing(aNow);
  if (!hosts.empty() || !m_acceptance.m_completeAt) {
    return hosts;
  }
  for (const HostStatus& host : m_hosts.Hosts(aNow)) {
    if (!host.m_removed && host.m_verifiedAt < m_acceptance.m_completeAt) {
      hosts.push_back(host.m_entry.m_host);
    }
  }
  return hosts;
}

bool
ConfigurationManager::LeadsAcceptance(TimePoint aNow) const
{
  if (m_acceptance.m_proposer) {
    return true;
  }
  if (aNow - m_acceptance.m_adoptedAt < kAcceptanceTakeoverDelay) {
    return false;
  }
  std::vector<std::string> hosts = m_rankedHosts;
  for (const auto& [dataCentre, remoteHosts] : m_remoteRankedHosts) {
    hosts.insert(hosts.end(), remoteHosts.begin(), remoteHosts.end());
  }
  RankHosts(kAcceptanceRankKey, hosts);
  return !hosts.empty() && hosts.front() == m_options.m_host;
}

void
ConfigurationManager::CheckAcceptance(TimePoint aNow, ControlActions& aActions)
{
  if (m_current->m_accepted || m_acceptance.m_callRunning ||
      aNow < m_acceptance.m_nextCheck) {
    return;
  }
  m_acceptance.m_nextCheck = aNow + kAcceptanceProbeInterval;
  if (!LeadsAcceptance(aNow)) {
    return;
  }
  if (!Missing(aNow).empty()) {
    m_acceptance.m_completeAt.reset();
  } else if (!m_acceptance.m_completeAt) {
    m_acceptance.m_completeAt = aNow;
  }
  const std::vector<std::string> missing = Unconfirmed(aNow);
  if (missing.empty()) {
    m_acceptance.m_callRunning = true;
    ReadStore(aNow, Purpose::AcceptanceRead, aActions);
    return;
  }
  for (std::size_t i = 0; i < std::min(kAcceptanceProbeBatch, missing.size());
       ++i) {
    aActions.push_back(
      ProbeHost{ missing[m_acceptance.m_nextProbeIndex++ % missing.size()] });
  }
}

void
ConfigurationManager::HandleAcceptanceRead(TimePoint aNow,
                                           const StoreResult& aResult,
                                           ControlActions& aActions)
{
  m_acceptance.m_callRunning = false;
  HandleReadResult(aNow, aResult, aActions);
  if (aResult.m_status != StoreStatus::Ok || m_current->m_accepted ||
      m_current->m_revision != m_storeRevision || !m_acceptance.m_completeAt ||
      !Unconfirmed(aNow).empty()) {
    return;
  }
  const auto accepted = MarkAccepted(*m_current);
  m_acceptance.m_callRunning = true;
  StoreCall call;
  call.m_operation = StoreOperation::CompareAndSwap;
  call.m_key = kConfigurationKey;
  call.m_value = SerializeConfiguration(*accepted);
  call.m_index = aResult.m_index;
  StartStoreCall(aNow, Purpose::AcceptanceWrite, call, 0, accepted, aActions);
}

// ---- Timers ---------------------------------------------------------------

void
ConfigurationManager::CheckConfirmation(TimePoint aNow,
                                        ControlActions& aActions)
{
  if (aNow - m_confirmedAt < kConfirmationTimeout || aNow < m_nextConfirmCall) {
    return;
  }
  m_nextConfirmCall = aNow + kConfirmationTimeout;
  // A host without peers serves without confirmation, so it reads the store
  // only while it has no revision.
  if (!m_firstReadAt && (m_current->m_revision == 0 || HasPeers(aNow))) {
    ReadStore(aNow, Purpose::Read, aActions);
  }
}

void
ConfigurationManager::FireTimers(TimePoint aNow, ControlActions& aActions)
{
  CheckCalls(aNow, aActions);
  CheckStartup(aNow, aActions);
  CheckWatcher(aNow, aActions);
  CheckFetch(aNow, aActions);
  CheckConfirmation(aNow, aActions);
  CheckChanges(aNow, aActions);
  CheckAcceptance(aNow, aActions);
  CheckPendingAnswers(aNow, aActions);
}

TimePoint
ConfigurationManager::NextTimer() const
{
  TimePoint next =
    std::max(m_confirmedAt + kConfirmationTimeout, m_nextConfirmCall);
  const auto includeTimer = [&](TimePoint aTime) {
    next = std::min(next, aTime);
  };
  if (m_firstReadAt) {
    includeTimer(*m_firstReadAt);
  }
  if (m_startedAt && !m_startComplete) {
    includeTimer(StartCompleteTime());
  }
  if (m_startedAt && m_watcher.m_active && !m_watcher.m_callRunning) {
    includeTimer(std::max(m_watcher.m_nextCall, *m_startedAt + kBootstrapWait));
  }
  if (m_fetch && !m_fetch->m_running) {
    includeTimer(m_fetch->m_sendAt);
  }
  for (const auto& [token, call] : m_calls) {
    includeTimer(call.m_deadline);
  }
  for (const auto& [id, change] : m_changes) {
    if (change.m_callAt) {
      includeTimer(*change.m_callAt);
    }
    if (!change.m_answered) {
      includeTimer(change.m_deadline);
    }
  }
  for (const PendingAnswer& answer : m_pendingAnswers) {
    includeTimer(answer.m_deadline);
  }
  if (!m_current->m_accepted && !m_acceptance.m_callRunning) {
    includeTimer(m_acceptance.m_nextCheck);
  }
  return next;
}

} // namespace goldcrestkeel
