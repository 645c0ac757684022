#include "ContactMonitor.h"

#include <algorithm>
#include <array>

namespace goldcrestkeel {

namespace {

/** Number of replicas that must fail in a row before contact is suspected. */
constexpr std::size_t kMinFailedReplicas = 5;
/** Late copies are suspicious only if there was no answer at all for this long:
 *  several copies are often late at the same time. */
constexpr Duration kMinSilence{ 100000 };
/** Callers may ask only a few replicas. This number of failures suffices if
 *  there is no answer at all for kLongSilence after the first one. */
constexpr std::size_t kMinFailuresInLongSilence = 2;
constexpr Duration kLongSilence{ 500000 };
/** Time for the answer to a probe: several round trips between regions. */
constexpr Duration kProbeTimeout{ 400000 };
/** Interval of the probes while contact is lost. */
constexpr Duration kProbeInterval{ 500000 };
/** After a suspicion that was wrong, for example when many replicas crash at
 *  once, the next one waits this long, so that probes stay few. */
constexpr Duration kTrustTime{ 1000000 };

constexpr std::array<std::string_view, 4> kContactStates{ "reached",
                                                          "suspected",
                                                          "limited",
                                                          "lost" };

} // namespace

std::string_view
NameOf(ContactState aState)
{
  return kContactStates.at(static_cast<std::size_t>(aState));
}

void
ContactMonitor::OnSilence(TimePoint aNow, const std::string& aReplica)
{
  m_silent.insert(aReplica);
  m_failingSince = m_failingSince.value_or(aNow);
}

void
ContactMonitor::OnConnectFailed(TimePoint aNow, const std::string& aReplica)
{
  m_unconnectable.insert(aReplica);
  m_failingSince = m_failingSince.value_or(aNow);
}

void
ContactMonitor::OnAnswer(TimePoint aNow)
{
  m_silent.clear();
  m_failingSince.reset();
  m_lastAnswerAt = aNow;
}

void
ContactMonitor::OnProbeAnswered(TimePoint aNow)
{
  OnAnswer(aNow);
  m_unconnectable.clear();
  if (m_state != ContactState::Reached) {
    Enter(aNow, ContactState::Reached);
  }
}

std::size_t
ContactMonitor::NeededFailures(std::size_t aFailures) const
{
  return std::clamp<std::size_t>(m_replicas, 1, aFailures);
}

std::optional<TimePoint>
ContactMonitor::SilenceDue() const
{
  if (m_silent.size() >= NeededFailures(kMinFailedReplicas)) {
    return m_lastAnswerAt + kMinSilence;
  }
  return LongSilenceDue(m_silent.size());
}

std::optional<TimePoint>
ContactMonitor::LongSilenceDue(std::size_t aFailures) const
{
  if (!m_failingSince ||
      aFailures < NeededFailures(kMinFailuresInLongSilence)) {
    return std::nullopt;
  }
  return *m_failingSince + kLongSilence;
}

std::optional<TimePoint>
ContactMonitor::SuspicionDue() const
{
  if (m_unconnectable.size() >= NeededFailures(kMinFailedReplicas)) {
    return m_trustedUntil;
  }
  const auto silence = SilenceDue();
  const auto due = silence ? silence : LongSilenceDue(m_unconnectable.size());
  return due ? std::max(m_trustedUntil, *due) : due;
}

bool
ContactMonitor::Update(TimePoint aNow)
{
  if (m_since == TimePoint()) {
    m_since = aNow;
  }
  if (m_state == ContactState::Reached) {
    m_nextUpdate = SuspicionDue();
    if (!m_nextUpdate || aNow < *m_nextUpdate) {
      return false;
    }
    Enter(aNow, ContactState::Suspected);
    m_nextUpdate = aNow + kProbeTimeout;
    return true;
  }
  if (m_state == ContactState::Suspected && !SuspicionDue()) {
    Enter(aNow, ContactState::Reached);
    return false;
  }
  if (aNow < *m_nextUpdate) {
    return false;
  }
  const auto silence = SilenceDue();
  const ContactState state =
    silence && *silence <= aNow ? ContactState::Lost : ContactState::Limited;
  if (state != m_state) {
    Enter(aNow, state);
  }
  m_nextUpdate = aNow + kProbeInterval;
  return true;
}

void
ContactMonitor::Enter(TimePoint aNow, ContactState aState)
{
  if (m_state == ContactState::Suspected && aState == ContactState::Reached) {
    m_trustedUntil = aNow + kTrustTime;
  }
  m_state = aState;
  m_since = aNow;
  m_nextUpdate.reset();
}

} // namespace goldcrestkeel
