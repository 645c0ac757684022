#pragma once

#include <goldcrestkeel/control/ControlActions.h>
#include <goldcrestkeel/core/Random.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestkeel {

class ChangeCommit;

/** Hosts of each data centre that watch the store. */
inline constexpr std::size_t kWatchersPerDataCentre = 2;
/** A host that has confirmed with neither the store nor a peer for this long
 *  stops serving. */
inline constexpr Duration kIsolationTimeout = std::chrono::seconds{ 5 };
/** A host that has not confirmed for this long asks the store. */
inline constexpr Duration kConfirmationTimeout = std::chrono::seconds{ 2 };
/** Longest wait of one watch call. */
inline constexpr Duration kWatchWait = std::chrono::seconds{ 60 };
/** Pause after a watch call that returned without a change. */
inline constexpr Duration kUnchangedWatchDelay =
  std::chrono::milliseconds{ 200 };
/** A call that is not answered this long after its wait counts as failed. */
inline constexpr Duration kStoreCallTimeout = std::chrono::seconds{ 5 };
inline constexpr Duration kStoreBackoffMin = std::chrono::milliseconds{ 200 };
inline constexpr Duration kStoreBackoffMax = std::chrono::seconds{ 5 };
/** Hosts to which one host passes a document on. With 4, a data centre of 160
 *  hosts is reached in 4 steps. */
inline constexpr std::size_t kPushFanout = 4;
/** A host that learns of a newer revision waits this long for the push before
 *  it fetches, so that the document is not sent twice. */
inline constexpr Duration kFetchDelay = std::chrono::milliseconds{ 500 };
/** A starting host asks this many peers and takes the newest revision that
 *  they name within kBootstrapWait. */
inline constexpr std::size_t kBootstrapPeers = 3;
inline constexpr Duration kBootstrapWait = std::chrono::milliseconds{ 500 };
/** A peer that named a newer revision may be lost before it hands it over; then
 *  a starting host serves the newest one that it has. */
inline constexpr Duration kBootstrapTimeout = std::chrono::seconds{ 5 };
/** A starting host delays its first store call by up to this time per listed
 *  host, so that a fleet that starts at once stays below 2,000 reads/s. */
inline constexpr Duration kInitialReadJitterPerHost =
  std::chrono::milliseconds{ 1 };
/** Interval at which missing hosts are asked, and how many at once. */
inline constexpr Duration kAcceptanceProbeInterval =
  std::chrono::milliseconds{ 200 };
inline constexpr std::size_t kAcceptanceProbeBatch = 256;
/** Another host completes the acceptance only when the proposer has not done
 *  it by then. */
inline constexpr Duration kAcceptanceTakeoverDelay = std::chrono::seconds{ 3 };

struct ConfigurationOptions
{
  std::string m_host;
  std::string m_dataCentre;
};

/** Keeps the configuration of one entry host: watches the store or receives
 *  pushes, writes changes, collects confirmations, and decides whether the host
 *  may serve. Owned by one thread; methods append what is to be done to
 *  aActions. */
class ConfigurationManager
{
public:
  /** aHosts and aRandom must outlive the manager. */
  ConfigurationManager(ConfigurationOptions aOptions,
                       const HostDirectory& aHosts,
                       RandomSource& aRandom);
  ~ConfigurationManager();
  ConfigurationManager(const ConfigurationManager&) = delete;
  ConfigurationManager& operator=(const ConfigurationManager&) = delete;

  /** Call once, after the first host list. */
  void Start(TimePoint aNow, ControlActions& aActions);

  void StoreReplied(TimePoint aNow,
                    StoreToken aToken,
                    const StoreResult& aResult,
                    ControlActions& aActions);
  /** A peer has named its revision. aAskedAt is the time of this host's own
   *  probe if this is its reply: only such a message confirms this host's
   *  state, because others may have waited in a buffer while it was paused. */
  void PeerRevisionReceived(TimePoint aNow,
                            const std::string& aHost,
                            Revision aRevision,
                            std::optional<TimePoint> aAskedAt,
                            ControlActions& aActions);
  /** Returns whether the document is in force here now, or a newer one. */
  bool PushReceived(TimePoint aNow,
                    Revision aRevision,
                    const std::string& aDocument,
                    ControlActions& aActions);
  void PushFinished(TimePoint aNow,
                    const std::string& aHost,
                    Revision aRevision,
                    bool aDelivered,
                    ControlActions& aActions);
  /** aDocument is nothing if the host did not answer or has none. */
  void FetchFinished(TimePoint aNow,
                     const std::string& aHost,
                     const std::optional<std::string>& aDocument,
                     ControlActions& aActions);
  void Change(TimePoint aNow, ChangeRequest aRequest, ControlActions& aActions);
  /** Reads the store once, so that Current() shows the state of acceptance on
   *  a host that does not watch. */
  void Refresh(TimePoint aNow, ControlActions& aActions);

  void FireTimers(TimePoint aNow, ControlActions& aActions);
  TimePoint NextTimer() const;

  /** Document for a host that has aHave; nothing if this host has no newer one
   *  or may not serve. */
  std::shared_ptr<const std::string> NewerDocument(TimePoint aNow,
                                                   Revision aHave) const;
  /** Whether this host has a revision at all. */
  bool Ready() const;
  /** Whether the store has said that it holds no configuration, and no revision
   *  has come since: a new installation, not an outage. */
  bool StoreIsEmpty() const;
  /** Whether this host may serve requests at aNow: it has a revision, others
   * can know of it, no newer process has its name, and it is not isolated. */
  bool Serving(TimePoint aNow) const;
  std::shared_ptr<const Configuration> Current() const;
  /** Required hosts that have not confirmed the current revision. */
  std::vector<std::string> Missing(TimePoint aNow) const;
  bool IsWatcher() const;

private:
  enum class Purpose
  {
    Watch,
    Read,
    Change,
    AcceptRead,
    AcceptWrite,
  };

  struct PendingCall
  {
    Purpose m_purpose = Purpose::Read;
    TimePoint m_sentAt;
    TimePoint m_deadline;
    std::uint64_t m_change = 0;
    /** Document of an acceptance write. */
    std::shared_ptr<const Configuration> m_document;
  };

  struct RunningChange
  {
    std::unique_ptr<ChangeCommit> m_commit;
    TimePoint m_deadline;
    bool m_answered = false;
    std::optional<TimePoint> m_callAt;
    StoreCall m_nextCall;
  };

  struct WaitingAnswer
  {
    ChangeResult m_result;
    TimePoint m_deadline;
  };

  struct Watcher
  {
    bool m_active = false;
    bool m_callRunning = false;
    TimePoint m_nextCall;
    Duration m_backoff{ kStoreBackoffMin };
    std::uint64_t m_generation = 0;
  };

  struct Fetch
  {
    std::string m_host;
    TimePoint m_at;
    bool m_running = false;
  };

  struct Acceptance
  {
    TimePoint m_from;
    TimePoint m_nextCheck;
    bool m_proposer = false;
    bool m_callRunning = false;
    /** When every required host had confirmed. Each is asked once more after
     *  it: one that confirmed may have restarted since, or one that refused
     *  connections may have started, with the older revision of a host that had
     *  not confirmed yet. */
    std::optional<TimePoint> m_completeAt;
    /** Missing hosts are asked in turn. */
    std::size_t m_position = 0;
  };

  void CallTheStore(TimePoint aNow,
                    Purpose aPurpose,
                    const StoreCall& aCall,
                    std::uint64_t aChange,
                    std::shared_ptr<const Configuration> aDocument,
                    ControlActions& aActions);
  void ReadStore(TimePoint aNow, Purpose aPurpose, ControlActions& aActions);
  void HandleWatched(TimePoint aNow,
                     const StoreResult& aResult,
                     ControlActions& aActions);
  void HandleStored(TimePoint aNow,
                    const StoreResult& aResult,
                    ControlActions& aActions);
  void HandleAcceptRead(TimePoint aNow,
                        const StoreResult& aResult,
                        ControlActions& aActions);
  /** Returns the revision of aText, nothing if it cannot be read. */
  std::optional<Revision> AdoptText(TimePoint aNow,
                                    const std::string& aText,
                                    ControlActions& aActions);
  void Adopt(TimePoint aNow,
             std::shared_ptr<const Configuration> aConfiguration,
             std::string aText,
             ControlActions& aActions);
  void PushToChildren(const std::string& aOf, ControlActions& aActions);
  void PushToOtherDataCentres(ControlActions& aActions);
  void PushTo(const std::string& aHost, ControlActions& aActions);
  void CheckWatch(TimePoint aNow, ControlActions& aActions);
  void UpdateWatchers(TimePoint aNow);
  void CheckFetch(TimePoint aNow, ControlActions& aActions);
  void CheckStart(TimePoint aNow, ControlActions& aActions);
  void CheckConfirmation(TimePoint aNow, ControlActions& aActions);
  void CheckChanges(TimePoint aNow, ControlActions& aActions);
  void CheckAcceptance(TimePoint aNow, ControlActions& aActions);
  void CheckCalls(TimePoint aNow, ControlActions& aActions);
  void CheckAnswers(TimePoint aNow, ControlActions& aActions);
  void StepChange(TimePoint aNow,
                  std::uint64_t aChange,
                  const StoreResult* aResult,
                  ControlActions& aActions);
  void FinishChange(TimePoint aNow,
                    std::uint64_t aChange,
                    const ChangeResult& aResult,
                    std::shared_ptr<const Configuration> aDocument,
                    ControlActions& aActions);
  /** When a starting host may take its revision for the newest one. */
  TimePoint SettleTime() const;
  /** Required hosts that stand in the way of acceptance, in either round. */
  std::vector<std::string> Unconfirmed(TimePoint aNow) const;
  bool LeadsAcceptance(TimePoint aNow) const;
  bool HasPeers(TimePoint aNow) const;

  ConfigurationOptions m_options;
  const HostDirectory& m_hosts;
  RandomSource& m_random;
  std::shared_ptr<const Configuration> m_current;
  std::shared_ptr<const std::string> m_text;
  std::uint64_t m_storeIndex = 0;
  Revision m_storeRevision = 0;
  std::uint64_t m_storeRevisionIndex = 0;
  std::optional<TimePoint> m_startedAt;
  std::optional<TimePoint> m_startReadAt;
  bool m_settled = false;
  bool m_storeEmpty = false;
  TimePoint m_confirmedAt;
  TimePoint m_nextConfirmCall;
  StoreToken m_lastToken = 0;
  std::map<StoreToken, PendingCall> m_calls;
  std::uint64_t m_lastChange = 0;
  std::map<std::uint64_t, RunningChange> m_changes;
  std::vector<WaitingAnswer> m_answers;
  Watcher m_watcher;
  std::optional<Fetch> m_fetch;
  Revision m_newestSeen = 0;
  Acceptance m_acceptance;
  /** Hosts of this data centre in push order; rebuilt when m_hosts changes. */
  std::vector<std::string> m_ranked;
  TimePoint m_rankedAt;
  std::map<std::string, std::vector<std::string>> m_otherRanked;
  std::map<std::string, std::string> m_addresses;
};

} // namespace goldcrestkeel
