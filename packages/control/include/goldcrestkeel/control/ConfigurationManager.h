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

/** Number of hosts in each data centre that watch the store. */
inline constexpr std::size_t kWatchersPerDataCentre = 2;
/** A host stops serving if neither the store nor a peer has confirmed its
 *  revision for this long. */
inline constexpr Duration kIsolationTimeout = std::chrono::seconds{ 5 };
/** A host whose revision has not been confirmed for this long reads the store.
 */
inline constexpr Duration kConfirmationTimeout = std::chrono::seconds{ 2 };
/** Maximum time for which the store holds one watch call. */
inline constexpr Duration kWatchWait = std::chrono::seconds{ 60 };
/** Delay after a watch call that returned without a change. */
inline constexpr Duration kUnchangedWatchDelay =
  std::chrono::milliseconds{ 200 };
/** A store call fails if it is not answered within this time after its wait. */
inline constexpr Duration kStoreCallTimeout = std::chrono::seconds{ 5 };
/** Range of the exponential backoff after a failed watch call. */
inline constexpr Duration kStoreBackoffMin = std::chrono::milliseconds{ 200 };
inline constexpr Duration kStoreBackoffMax = std::chrono::seconds{ 5 };
/** Number of hosts to which one host pushes a document. With 4, a document
 *  reaches all 160 hosts of a data centre in 4 steps. */
inline constexpr std::size_t kPushFanout = 4;
/** A host that learns of a newer revision waits this long for the push before
 *  it fetches the document, so that the document is not sent twice. */
inline constexpr Duration kFetchDelay = std::chrono::milliseconds{ 500 };
/** A starting host probes this many peers and uses the newest revision that
 *  they report within kBootstrapWait. */
inline constexpr std::size_t kBootstrapPeers = 3;
inline constexpr Duration kBootstrapWait = std::chrono::milliseconds{ 500 };
/** A peer that reported a newer revision may fail before it sends the document.
 *  After this time a starting host serves the newest revision that it has. */
inline constexpr Duration kBootstrapTimeout = std::chrono::seconds{ 5 };
/** A starting host delays its first read of the store by a random time of up to
 *  this value multiplied by the number of known hosts, so that a fleet that
 *  starts at once stays below 2,000 reads/s. */
inline constexpr Duration kInitialReadJitterPerHost =
  std::chrono::milliseconds{ 1 };
/** Interval between the rounds in which hosts that have not confirmed the
 *  revision are probed, and the number of probes per round. */
inline constexpr Duration kAcceptanceProbeInterval =
  std::chrono::milliseconds{ 200 };
inline constexpr std::size_t kAcceptanceProbeBatch = 256;
/** If the proposer has not completed the acceptance within this time, another
 *  host takes over. */
inline constexpr Duration kAcceptanceTakeoverDelay = std::chrono::seconds{ 3 };

/** Identity of this host. */
struct ConfigurationOptions
{
  std::string m_host;
  std::string m_dataCentre;
};

/** Maintains the configuration of one entry host: watches the store or receives
 *  pushes, writes changes, collects confirmations, and decides whether the host
 *  may serve. Owned by one thread; methods append the actions to be executed to
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

  /** Starts the manager. Call once, after the first host list or the first
   *  probe from a peer. */
  void Start(TimePoint aNow, ControlActions& aActions);

  /** Handles the result of the SendStoreCall action with aToken. Results of
   *  calls that have already failed by timeout are ignored. */
  void StoreReplied(TimePoint aNow,
                    StoreToken aToken,
                    const StoreResult& aResult,
                    ControlActions& aActions);
  /** Handles a message in which aHost reports its revision. aProbeSentAt is the
   *  send time if the message is the reply to a probe of this host. Only such a
   *  message confirms the state of this host, because others may have been
   *  buffered while the process was paused. */
  void PeerRevisionReceived(TimePoint aNow,
                            const std::string& aHost,
                            Revision aRevision,
                            std::optional<TimePoint> aProbeSentAt,
                            ControlActions& aActions);
  /** Handles a document that a peer has pushed. Returns whether this host now
   *  uses aRevision or a newer one. */
  bool PushReceived(TimePoint aNow,
                    Revision aRevision,
                    const std::string& aDocument,
                    ControlActions& aActions);
  /** Handles the outcome of a PushDocument action. */
  void PushFinished(TimePoint aNow,
                    const std::string& aHost,
                    Revision aRevision,
                    bool aDelivered,
                    ControlActions& aActions);
  /** Handles the outcome of a FetchDocument action. aDocument is empty if the
   *  host did not reply or has no newer document. */
  void FetchFinished(TimePoint aNow,
                     const std::string& aHost,
                     const std::optional<std::string>& aDocument,
                     ControlActions& aActions);
  /** Starts a change. ChangeAnswered follows within kChangeTimeout +
   *  kAcceptanceTimeout. */
  void Change(TimePoint aNow, ChangeRequest aRequest, ControlActions& aActions);
  /** Reads the store once, so that Current() shows whether the revision is
   *  accepted, also on a host that does not watch the store. */
  void Refresh(TimePoint aNow, ControlActions& aActions);

  /** Executes everything that is due at aNow. */
  void FireTimers(TimePoint aNow, ControlActions& aActions);
  /** Time at which FireTimers() has to be called next. */
  TimePoint NextTimer() const;

  /** Serialized configuration for a peer that has aKnownRevision; null if this
   *  host has no newer one or may not serve. */
  std::shared_ptr<const std::string> NewerDocument(
    TimePoint aNow,
    Revision aKnownRevision) const;
  /** Whether this host has a revision and has completed its start. */
  bool Ready() const;
  /** Whether the store has replied that it holds no configuration, and this
   *  host has no revision yet. This distinguishes a new installation from an
   *  outage. */
  bool StoreIsEmpty() const;
  /** Whether this host may serve requests at aNow: it has a revision, other
   *  hosts can know of it, no newer process has its name, and it is not
   *  isolated. */
  bool Serving(TimePoint aNow) const;
  /** Configuration that this host uses; revision 0 if it has none. Never null.
   */
  std::shared_ptr<const Configuration> Current() const;
  /** Required hosts that have not confirmed the current revision. */
  std::vector<std::string> Missing(TimePoint aNow) const;
  /** Whether this host watches the store. */
  bool IsWatcher() const;

private:
  enum class Purpose
  {
    Watch,
    Read,
    Change,
    AcceptanceRead,
    AcceptanceWrite,
  };

  struct PendingCall
  {
    Purpose m_purpose = Purpose::Read;
    TimePoint m_sentAt;
    TimePoint m_deadline;
    std::uint64_t m_change = 0;
    /** For an acceptance write, the configuration that is written. */
    std::shared_ptr<const Configuration> m_document;
  };

  struct RunningChange
  {
    std::unique_ptr<ChangeCommit> m_commit;
    TimePoint m_deadline;
    /** Set after a timeout; the commit continues without an answer. */
    bool m_answered = false;
    /** When m_nextCall has to be sent; unset if no call is scheduled. */
    std::optional<TimePoint> m_callAt;
    StoreCall m_nextCall;
  };

  struct PendingAnswer
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
    /** Generation of m_hosts for which the ranks were computed. */
    std::uint64_t m_generation = 0;
  };

  struct Fetch
  {
    std::string m_host;
    TimePoint m_sendAt;
    bool m_running = false;
  };

  struct Acceptance
  {
    TimePoint m_adoptedAt;
    TimePoint m_nextCheck;
    /** Whether this host made the change. */
    bool m_proposer = false;
    bool m_callRunning = false;
    /** When every required host had confirmed. Each of them is then probed once
     *  more, because one that confirmed may have restarted since, or one that
     *  refused connections may have started, with the older revision of a host
     *  that had not confirmed yet. */
    std::optional<TimePoint> m_completeAt;
    /** Index of the next host to probe; hosts are probed in rotation. */
    std::size_t m_nextProbeIndex = 0;
  };

  void StartStoreCall(TimePoint aNow,
                      Purpose aPurpose,
                      const StoreCall& aCall,
                      std::uint64_t aChange,
                      std::shared_ptr<const Configuration> aDocument,
                      ControlActions& aActions);
  void ReadStore(TimePoint aNow, Purpose aPurpose, ControlActions& aActions);
  void HandleWatchResult(TimePoint aNow,
                         const StoreResult& aResult,
                         ControlActions& aActions);
  void HandleReadResult(TimePoint aNow,
                        const StoreResult& aResult,
                        ControlActions& aActions);
  void HandleAcceptanceRead(TimePoint aNow,
                            const StoreResult& aResult,
                            ControlActions& aActions);
  /** Parses aDocument and adopts it unless it is older than the current
   *  revision. Returns its revision; nothing if it is invalid. */
  std::optional<Revision> AdoptDocument(TimePoint aNow,
                                        const std::string& aDocument,
                                        ControlActions& aActions);
  /** Makes aConfiguration the current one unless it is older, or equal to a
   *  revision that is already accepted. aDocument is its serialized form; if
   *  empty, it is generated. */
  void Adopt(TimePoint aNow,
             std::shared_ptr<const Configuration> aConfiguration,
             std::string aDocument,
             ControlActions& aActions);
  /** Pushes the current document to the children of aParent in the push tree.
   */
  void PushToChildren(const std::string& aParent, ControlActions& aActions);
  void PushToOtherDataCentres(ControlActions& aActions);
  void PushTo(const std::string& aHost, ControlActions& aActions);
  void CheckWatcher(TimePoint aNow, ControlActions& aActions);
  void UpdateWatchers(TimePoint aNow);
  void CheckFetch(TimePoint aNow, ControlActions& aActions);
  void CheckStartup(TimePoint aNow, ControlActions& aActions);
  void CheckConfirmation(TimePoint aNow, ControlActions& aActions);
  void CheckChanges(TimePoint aNow, ControlActions& aActions);
  void CheckAcceptance(TimePoint aNow, ControlActions& aActions);
  void CheckCalls(TimePoint aNow, ControlActions& aActions);
  void CheckPendingAnswers(TimePoint aNow, ControlActions& aActions);
  void AdvanceChange(TimePoint aNow,
                     std::uint64_t aChange,
                     const StoreResult* aResult,
                     ControlActions& aActions);
  void FinishChange(TimePoint aNow,
                    std::uint64_t aChange,
                    const ChangeResult& aResult,
                    std::shared_ptr<const Configuration> aDocument,
                    ControlActions& aActions);
  /** When a starting host may treat its revision as the newest one. */
  TimePoint StartCompleteTime() const;
  /** Required hosts whose confirmation is still missing, in the first or the
   *  second round (see Acceptance::m_completeAt). */
  std::vector<std::string> Unconfirmed(TimePoint aNow) const;
  /** Whether this host has to complete the acceptance of the current revision.
   */
  bool LeadsAcceptance(TimePoint aNow) const;
  /** Whether any other host may be running. */
  bool HasPeers(TimePoint aNow) const;

  ConfigurationOptions m_options;
  const HostDirectory& m_hosts;
  RandomSource& m_random;
  std::shared_ptr<const Configuration> m_current;
  std::shared_ptr<const std::string> m_currentDocument;
  /** Store index of the last watch result. */
  std::uint64_t m_storeIndex = 0;
  /** Latest revision that was read from the store. */
  Revision m_storeRevision = 0;
  /** Store index at which m_storeRevision was read. */
  std::uint64_t m_storeRevisionIndex = 0;
  std::optional<TimePoint> m_startedAt;
  std::optional<TimePoint> m_firstReadAt;
  /** Whether the start is complete. */
  bool m_startComplete = false;
  bool m_storeEmpty = false;
  /** Send time of the latest probe or store call whose reply confirmed the
   *  current revision. */
  TimePoint m_confirmedAt;
  TimePoint m_nextConfirmCall;
  StoreToken m_lastToken = 0;
  std::map<StoreToken, PendingCall> m_calls;
  std::uint64_t m_lastChange = 0;
  std::map<std::uint64_t, RunningChange> m_changes;
  std::vector<PendingAnswer> m_pendingAnswers;
  Watcher m_watcher;
  std::optional<Fetch> m_fetch;
  /** Newest revision that any peer has reported or this host has adopted. */
  Revision m_newestKnownRevision = 0;
  Acceptance m_acceptance;
  /** Hosts of this data centre in push order; updated when m_hosts changes. */
  std::vector<std::string> m_rankedHosts;
  TimePoint m_rankedAt;
  /** Hosts of the other data centres in push order, by data centre. */
  std::map<std::string, std::vector<std::string>> m_remoteRankedHosts;
  /** Addresses by host name. */
  std::map<std::string, std::string> m_addresses;
};

} // namespace goldcrestkeel
