#pragma once

#include <goldcrestkeel/core/Time.h>
#include <goldcrestkeel/forward/Forwarder.h>

#include <cstddef>
#include <optional>
#include <set>
#include <string>

namespace goldcrestkeel {

/** Decides whether this host can reach replicas at all. It ignores single
 *  replicas that fail: contact is lost only if several of them fail in a row,
 *  none answers in between, and health checks over new connections get no
 *  answer either.
 *
 *  New connections are judged separately, by their first answers: proven ones
 *  may live on while new ones are refused, or accepted and then reset. */
class ContactMonitor
{
public:
  /** Number of replicas that service discovery lists; fewer failures are needed
   *  if there are only a few. */
  void SetReplicas(std::size_t aReplicas) { m_replicas = aReplicas; }

  /** A copy that was sent to aReplica is late. */
  void OnSilence(TimePoint aNow, const std::string& aReplica);
  /** A new connection to aReplica was not established, or has not brought its
   *  first answer in time. */
  void OnConnectFailed(TimePoint aNow, const std::string& aReplica);
  /** A replica has answered. */
  void OnAnswer(TimePoint aNow);
  /** A new connection to a replica has brought its first answer. */
  void OnConnectionProven() { m_unconnectable.clear(); }
  /** A replica has answered a probe. */
  void OnProbeAnswered(TimePoint aNow);

  /** Advances the state. Returns true if probes are due now. */
  bool Update(TimePoint aNow);
  /** When Update() is to be called next; not set if nothing is pending. */
  std::optional<TimePoint> NextUpdate() const { return m_nextUpdate; }

  ContactState State() const { return m_state; }
  /** Replicas whose copies are late, with no answer since. */
  std::size_t SilentReplicas() const { return m_silent.size(); }
  /** Replicas of which no new connection brought an answer, with no such answer
   *  since. */
  std::size_t UnconnectableReplicas() const { return m_unconnectable.size(); }
  /** When the state was entered. */
  /** When a replica last answered a copy or a probe. */
  TimePoint LastAnswerAt() const { return m_lastAnswerAt; }
  TimePoint StateSince() const { return m_since; }

private:
  void Enter(TimePoint aNow, ContactState aState);
  /** aFailures, or the number of all replicas if that is smaller. */
  std::size_t NeededFailures(std::size_t aFailures) const;
  /** When contact is suspected to be lost if nothing succeeds until then; not
   *  set if too few replicas have failed. */
  std::optional<TimePoint> SuspicionDue() const;
  /** The same for late copies only. */
  std::optional<TimePoint> SilenceDue() const;
  /** The same after aFailures failures and a longer time without an answer. */
  std::optional<TimePoint> LongSilenceDue(std::size_t aFailures) const;

  ContactState m_state = ContactState::Reached;
  TimePoint m_since;
  /** Time of the last answer. */
  TimePoint m_lastAnswerAt;
  /** Time of the first failure since the last answer. */
  std::optional<TimePoint> m_failingSince;
  /** Failures do not raise suspicion before this time. */
  TimePoint m_trustedUntil;
  std::optional<TimePoint> m_nextUpdate;
  std::size_t m_replicas = 0;
  std::set<std::string> m_silent;
  std::set<std::string> m_unconnectable;
};

} // namespace goldcrestkeel
