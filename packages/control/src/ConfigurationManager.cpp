#include "ChangeCommit.h"
#include "Rendezvous.h"

#include <goldcrestkeel/control/ConfigurationManager.h>
#include <goldcrestkeel/core/Invariant.h>

#include <algorithm>

namespace goldcrestkeel {

namespace {

constexpr std::string_view kAcceptanceKey = "acceptance";
/** While a fleet starts, each host appears by itself; the ranks are worked out
 *  at most this often. */
constexpr Duration kRankInterval = std::chrono::milliseconds{ 500 };
const std::string kAccepted = "accepted";

/** The configuration with all its changes accepted. */
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
  return m_current->m_revision > 0 && m_settled;
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
ConfigurationManager::NewerDocument(TimePoint aNow, Revision aHave) const
{
  return m_current->m_revision > aHave && Serving(aNow) ? m_text : nullptr;
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
  const Duration spread =
    kInitialReadJitterPerHost * static_cast<int>(hosts.size() + 1);
  m_startReadAt = aNow + Duration{ static_cast<Duration::rep>(m_random.Below(
                           static_cast<std::uint64_t>(spread.count()))) };
  const std::size_t count = std::min(kBootstrapPeers, hosts.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(hosts[i], hosts[i + m_random.Below(hosts.size() - i)]);
    aActions.push_back(ProbeHost{ hosts[i].m_entry.m_host });
  }
  FireTimers(aNow, aActions);
}

void
ConfigurationManager::CheckStart(TimePoint aNow, ControlActions& aActions)
{
  if (m_startReadAt && aNow >= *m_startReadAt) {
    m_startReadAt.reset();
    if (m_current->m_revision == 0) {
      ReadStore(aNow, Purpose::Read, aActions);
    }
  }
  m_settled = m_settled || (m_startedAt && aNow >= SettleTime());
}

TimePoint
ConfigurationManager::SettleTime() const
{
  const bool newest = m_current->m_revision >= m_newestSeen;
  return *m_startedAt + (newest ? kBootstrapWait : kBootstrapTimeout);
}

// ---- Store ----------------------------------------------------------------

void
ConfigurationManager::CallTheStore(
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
  CallTheStore(aNow, aPurpose, call, 0, nullptr, aActions);
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
      HandleWatched(aNow, aResult, aActions);
      break;
    case Purpose::Read:
      HandleStored(aNow, aResult, aActions);
      break;
    case Purpose::Change:
      StepChange(aNow, call.m_change, &aResult, aActions);
      break;
    case Purpose::AcceptRead:
      HandleAcceptRead(aNow, aResult, aActions);
      break;
    case Purpose::AcceptWrite:
      m_acceptance.m_callRunning = false;
      if (aResult.m_status == StoreStatus::Ok) {
        Adopt(aNow, call.m_document, "", aActions);
      }
      break;
  }
  // The state is confirmed as of the time when the question was sent; the reply
  // may have waited while this process was paused.
  const bool answered = aResult.m_status == StoreStatus::Ok ||
                        aResult.m_status == StoreStatus::NotFound;
  if (answered && call.m_purpose <= Purpose::Read) {
    m_confirmedAt = std::max(m_confirmedAt, call.m_sentAt);
  }
}

void
ConfigurationManager::HandleWatched(TimePoint aNow,
                                    const StoreResult& aResult,
                                    ControlActions& aActions)
{
  m_watcher.m_callRunning = false;
  if (aResult.m_status == StoreStatus::Ok ||
      aResult.m_status == StoreStatus::NotFound) {
    m_watcher.m_backoff = kStoreBackoffMin;
    // A reply without a change that comes before the wait has passed must not
    // turn the watch into a busy loop.
    const bool changed = aResult.m_index != m_storeIndex;
    m_watcher.m_nextCall =
      aNow + (changed ? Duration{ 0 } : kUnchangedWatchDelay);
    m_storeIndex = aResult.m_index;
    HandleStored(aNow, aResult, aActions);
  } else {
    const auto jitter = static_cast<Duration::rep>(
      m_random.Below(static_cast<std::uint64_t>(m_watcher.m_backoff.count())));
    m_watcher.m_nextCall = aNow + m_watcher.m_backoff + Duration{ jitter };
    m_watcher.m_backoff = std::min(m_watcher.m_backoff * 2, kStoreBackoffMax);
  }
  CheckWatch(aNow, aActions);
}

void
ConfigurationManager::HandleStored(TimePoint aNow,
                                   const StoreResult& aResult,
                                   ControlActions& aActions)
{
  m_storeEmpty = m_storeEmpty || aResult.m_status == StoreStatus::NotFound;
  if (aResult.m_status != StoreStatus::Ok) {
    return;
  }
  const auto revision = AdoptText(aNow, aResult.m_value, aActions);
  if (!revision) {
    return;
  }
  m_settled = true;
  if (aResult.m_index >= m_storeRevisionIndex) {
    GK_INVARIANT(*revision >= m_storeRevision,
                 InvariantId::RevisionMonotonic,
                 "the store went back from revision " +
                   std::to_string(m_storeRevision));
    m_storeRevisionIndex = aResult.m_index;
    m_storeRevision = *revision;
  }
}

void
ConfigurationManager::CheckCalls(TimePoint aNow, ControlActions& aActions)
{
  std::vector<StoreToken> late;
  for (const auto& [token, call] : m_calls) {
    if (aNow >= call.m_deadline) {
      late.push_back(token);
    }
  }
  for (StoreToken token : late) {
    StoreReplied(aNow, token, StoreResult{}, aActions);
  }
}

void
ConfigurationManager::UpdateWatchers(TimePoint aNow)
{
  const bool recent = aNow - m_rankedAt < kRankInterval;
  if (!m_ranked.empty() &&
      (recent || m_watcher.m_generation == m_hosts.Generation())) {
    return;
  }
  m_rankedAt = aNow;
  m_watcher.m_generation = m_hosts.Generation();
  m_ranked = { m_options.m_host };
  m_otherRanked.clear();
  m_addresses.clear();
  for (const HostStatus& host : m_hosts.Hosts(aNow)) {
    const MemberEntry& entry = host.m_entry;
    m_addresses[entry.m_host] = entry.m_address;
    if (entry.m_state >= MemberState::Suspect || entry.m_incarnation == 0) {
      continue;
    }
    if (entry.m_dataCentre == m_options.m_dataCentre) {
      m_ranked.push_back(entry.m_host);
    } else {
      m_otherRanked[entry.m_dataCentre].push_back(entry.m_host);
    }
  }
  RankHosts(m_options.m_dataCentre, m_ranked);
  for (auto& [dataCentre, hosts] : m_otherRanked) {
    RankHosts(dataCentre, hosts);
  }
  const auto place =
    std::find(m_ranked.begin(), m_ranked.end(), m_options.m_host);
  m_watcher.m_active = place - m_ranked.begin() <
                       static_cast<std::ptrdiff_t>(kWatchersPerDataCentre);
}

void
ConfigurationManager::CheckWatch(TimePoint aNow, ControlActions& aActions)
{
  // During the start the other hosts are not known yet, and each host would
  // take itself for a watcher.
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
  CallTheStore(aNow, Purpose::Watch, call, 0, nullptr, aActions);
}

// ---- Adoption -------------------------------------------------------------

std::optional<Revision>
ConfigurationManager::AdoptText(TimePoint aNow,
                                const std::string& aText,
                                ControlActions& aActions)
{
  if (m_text && *m_text == aText) {
    return m_current->m_revision;
  }
  try {
    auto parsed =
      std::make_shared<const Configuration>(ParseConfiguration(aText));
    const Revision revision = parsed->m_revision;
    if (revision >= m_current->m_revision) {
      Adopt(aNow, std::move(parsed), aText, aActions);
    }
    return revision;
  } catch (const Error&) {
    // A document that cannot be read leaves the last one in force.
    return std::nullopt;
  }
}

void
ConfigurationManager::Adopt(TimePoint aNow,
                            std::shared_ptr<const Configuration> aConfiguration,
                            std::string aText,
                            ControlActions& aActions)
{
  const Revision before = m_current->m_revision;
  if (aConfiguration->m_revision < before ||
      (aConfiguration->m_revision == before && m_current->m_accepted)) {
    return;
  }
  m_current = std::move(aConfiguration);
  m_text = std::make_shared<const std::string>(
    aText.empty() ? SerializeConfiguration(*m_current) : std::move(aText));
  GK_INVARIANT(m_current->m_revision >= before,
               InvariantId::RevisionMonotonic,
               m_options.m_host + " went back from revision " +
                 std::to_string(before));
  m_newestSeen = std::max(m_newestSeen, m_current->m_revision);
  if (m_current->m_revision > before) {
    m_acceptance = Acceptance{};
    m_acceptance.m_from = aNow;
    m_acceptance.m_nextCheck = aNow + kAcceptanceProbeInterval;
    aActions.push_back(ConfigurationActivated{ m_current });
    UpdateWatchers(aNow);
    PushToChildren(m_options.m_host, aActions);
  }
  CheckAnswers(aNow, aActions);
}

void
ConfigurationManager::PushTo(const std::string& aHost, ControlActions& aActions)
{
  aActions.push_back(
    PushDocument{ aHost, m_addresses[aHost], m_current->m_revision, m_text });
}

// The ranked hosts of a data centre form a tree. Each edge is used once for a
// revision, whichever host receives it first, so that a host receives the
// document from its parent only.
void
ConfigurationManager::PushToChildren(const std::string& aOf,
                                     ControlActions& aActions)
{
  const auto place = static_cast<std::size_t>(
    std::find(m_ranked.begin(), m_ranked.end(), aOf) - m_ranked.begin());
  const std::size_t first = place * kPushFanout + 1;
  for (std::size_t i = first;
       i < std::min(first + kPushFanout, m_ranked.size());
       ++i) {
    if (m_ranked[i] != m_options.m_host) {
      PushTo(m_ranked[i], aActions);
    }
  }
}

void
ConfigurationManager::PushToOtherDataCentres(ControlActions& aActions)
{
  if (m_ranked.front() != m_options.m_host) {
    PushTo(m_ranked.front(), aActions);
  }
  for (const auto& [dataCentre, hosts] : m_otherRanked) {
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
    AdoptText(aNow, aDocument, aActions);
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
  // The children of a host that cannot be reached get the document from here.
  if (!aDelivered && aRevision == m_current->m_revision) {
    PushToChildren(aHost, aActions);
  }
}

// ---- Peers ----------------------------------------------------------------

void
ConfigurationManager::PeerRevisionReceived(TimePoint aNow,
                                           const std::string& aHost,
                                           Revision aRevision,
                                           std::optional<TimePoint> aAskedAt,
                                           ControlActions& aActions)
{
  if (aRevision > m_newestSeen) {
    m_newestSeen = aRevision;
    if (!m_fetch || !m_fetch->m_running) {
      const Duration wait = Ready() ? kFetchDelay : Duration{ 0 };
      m_fetch = Fetch{ aHost, aNow + wait, false };
    }
  } else if (aRevision > m_current->m_revision && !m_fetch) {
    m_fetch = Fetch{ aHost, aNow, false };
  }
  if (aAskedAt && aRevision > 0 && aRevision <= m_current->m_revision) {
    m_confirmedAt = std::max(m_confirmedAt, *aAskedAt);
  }
  CheckFetch(aNow, aActions);
}

void
ConfigurationManager::CheckFetch(TimePoint aNow, ControlActions& aActions)
{
  if (!m_fetch || m_fetch->m_running || aNow < m_fetch->m_at) {
    return;
  }
  if (m_current->m_revision >= m_newestSeen) {
    m_fetch.reset();
    return;
  }
  if (!m_addresses.contains(m_fetch->m_host)) {
    m_ranked.clear();
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
    AdoptText(aNow, *aDocument, aActions);
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
  StepChange(aNow, id, nullptr, aActions);
}

void
ConfigurationManager::StepChange(TimePoint aNow,
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
                              ? change.m_commit->Begin()
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
  m_answers.push_back({ aResult, aNow + kAcceptanceTimeout });
  CheckAnswers(aNow, aActions);
}

void
ConfigurationManager::CheckChanges(TimePoint aNow, ControlActions& aActions)
{
  for (auto& [id, change] : m_changes) {
    if (change.m_callAt && aNow >= *change.m_callAt) {
      change.m_callAt.reset();
      CallTheStore(
        aNow, Purpose::Change, change.m_nextCall, id, nullptr, aActions);
    }
    // The commit goes on after the answer, so that a write that did take effect
    // is still adopted here.
    if (!change.m_answered && aNow >= change.m_deadline) {
      change.m_answered = true;
      aActions.push_back(ChangeAnswered{ change.m_commit->Unresolved() });
    }
  }
}

void
ConfigurationManager::CheckAnswers(TimePoint aNow, ControlActions& aActions)
{
  std::vector<WaitingAnswer> waiting;
  for (WaitingAnswer& answer : m_answers) {
    const bool accepted = m_current->m_accepted &&
                          m_current->m_revision >= answer.m_result.m_revision;
    if (accepted || aNow >= answer.m_deadline) {
      answer.m_result.m_accepted = accepted;
      answer.m_result.m_missing =
        accepted ? std::vector<std::string>{} : Unconfirmed(aNow);
      aActions.push_back(ChangeAnswered{ std::move(answer.m_result) });
    } else {
      waiting.push_back(std::move(answer));
    }
  }
  m_answers = std::move(waiting);
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
  if (aNow - m_acceptance.m_from < kAcceptanceTakeoverDelay) {
    return false;
  }
  std::vector<std::string> hosts = m_ranked;
  for (const auto& [dataCentre, others] : m_otherRanked) {
    hosts.insert(hosts.end(), others.begin(), others.end());
  }
  RankHosts(kAcceptanceKey, hosts);
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
    ReadStore(aNow, Purpose::AcceptRead, aActions);
    return;
  }
  for (std::size_t i = 0; i < std::min(kAcceptanceProbeBatch, missing.size());
       ++i) {
    aActions.push_back(
      ProbeHost{ missing[m_acceptance.m_position++ % missing.size()] });
  }
}

void
ConfigurationManager::HandleAcceptRead(TimePoint aNow,
                                       const StoreResult& aResult,
                                       ControlActions& aActions)
{
  m_acceptance.m_callRunning = false;
  HandleStored(aNow, aResult, aActions);
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
  CallTheStore(aNow, Purpose::AcceptWrite, call, 0, accepted, aActions);
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
  // A host that is alone serves without confirmation, unless it still has no
  // revision.
  if (!m_startReadAt && (m_current->m_revision == 0 || HasPeers(aNow))) {
    ReadStore(aNow, Purpose::Read, aActions);
  }
}

void
ConfigurationManager::FireTimers(TimePoint aNow, ControlActions& aActions)
{
  CheckCalls(aNow, aActions);
  CheckStart(aNow, aActions);
  CheckWatch(aNow, aActions);
  CheckFetch(aNow, aActions);
  CheckConfirmation(aNow, aActions);
  CheckChanges(aNow, aActions);
  CheckAcceptance(aNow, aActions);
  CheckAnswers(aNow, aActions);
}

TimePoint
ConfigurationManager::NextTimer() const
{
  TimePoint next =
    std::max(m_confirmedAt + kConfirmationTimeout, m_nextConfirmCall);
  const auto earlier = [&](TimePoint aTime) { next = std::min(next, aTime); };
  if (m_startReadAt) {
    earlier(*m_startReadAt);
  }
  if (m_startedAt && !m_settled) {
    earlier(SettleTime());
  }
  if (m_startedAt && m_watcher.m_active && !m_watcher.m_callRunning) {
    earlier(std::max(m_watcher.m_nextCall, *m_startedAt + kBootstrapWait));
  }
  if (m_fetch && !m_fetch->m_running) {
    earlier(m_fetch->m_at);
  }
  for (const auto& [token, call] : m_calls) {
    earlier(call.m_deadline);
  }
  for (const auto& [id, change] : m_changes) {
    if (change.m_callAt) {
      earlier(*change.m_callAt);
    }
    if (!change.m_answered) {
      earlier(change.m_deadline);
    }
  }
  for (const WaitingAnswer& answer : m_answers) {
    earlier(answer.m_deadline);
  }
  if (!m_current->m_accepted && !m_acceptance.m_callRunning) {
    earlier(m_acceptance.m_nextCheck);
  }
  return next;
}

} // namespace goldcrestkeel
