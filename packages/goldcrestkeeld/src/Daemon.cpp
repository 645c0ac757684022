#include "Daemon.h"

#include <goldcrestkeel/Control.h>

#include <algorithm>
#include <string>

namespace goldcrestkeel {

namespace {

// Interval at which a shutdown checks whether the last requests have finished.
constexpr Duration kDrainPollInterval{ 20000 }; // 20 ms
// Maximum time for the handover of the key ranges. Ranges that were not handed
// over become free when the session expires.
constexpr Duration kShutdownHandoverTimeout{ 10000000 }; // 10 s
// Interval at which readiness and membership are updated.
constexpr Duration kStatePollInterval{ 100000 }; // 100 ms
// Maximum numbers of concurrent calls to other hosts. Forwarded commands have
// separate threads, because they wait for their owner and must not delay
// probes.
constexpr std::uint32_t kMaxControlCalls = 8;
constexpr std::uint32_t kMaxCommandCalls = 32;

EngineOptions
EngineOptionsOf(const Settings& aSettings, TimePoint aNow)
{
  EngineOptions options;
  options.m_dataCentre = aSettings.m_dataCentre;
  options.m_region = aSettings.m_region;
  options.m_maxRunningQueries = aSettings.m_maxRunningQueries;
  options.m_maxQueuedQueries = aSettings.m_maxQueuedQueries;
  options.m_joinedAt = aNow;
  return options;
}

MemberEntry
SelfOf(const Settings& aSettings, const Clock& aClock)
{
  MemberEntry self;
  self.m_host = aSettings.m_hostId;
  self.m_address = aSettings.m_peerAddress;
  self.m_dataCentre = aSettings.m_dataCentre;
  self.m_incarnation = static_cast<std::uint64_t>(aClock.WallNow());
  return self;
}

CommandGuardOptions
GuardOptionsOf(const Settings& aSettings)
{
  CommandGuardOptions options;
  options.m_host = aSettings.m_hostId;
  return options;
}

HttpFrontOptions
FrontOptionsOf(const Settings& aSettings)
{
  HttpFrontOptions options;
  options.m_address = aSettings.m_httpAddress;
  options.m_threads = aSettings.m_httpThreads;
  options.m_maxBodyBytes = aSettings.m_maxBodyBytes;
  options.m_hostId = aSettings.m_hostId;
  return options;
}

} // namespace

class Daemon::Impl
  : public ControlListener
  , public SearchObserver
{
public:
  explicit Impl(Settings aSettings)
    : m_settings(std::move(aSettings))
    , m_invariants(m_metrics)
    , m_loop(m_clock, m_client)
    , m_authenticator(m_settings.m_hostId, m_settings.m_peerKeys, m_clock)
    , m_controlPeers(m_loop, m_authenticator, kMaxControlCalls)
    , m_commandPeers(m_loop, m_authenticator, kMaxCommandCalls)
    , m_store(m_client, m_settings.m_storeAddress, m_settings.m_storeTimeout)
    , m_backend(m_client,
                m_settings.m_hostId + "-" + std::to_string(m_clock.WallNow()))
    , m_engine(
        MakeQueryEngine(EngineOptionsOf(m_settings, m_startedAt), *m_random))
    , m_searches(m_loop, *m_engine, m_backend)
    , m_node(SelfOf(m_settings, m_clock), *m_random)
    , m_control(m_loop, m_node, m_store, m_controlPeers, *this)
    , m_guard(MakeCommandGuard(m_settings.m_commandGuard,
                               GuardOptionsOf(m_settings),
                               *m_random))
    , m_peerCommands(
        m_loop,
        m_commandPeers,
        [this](const std::string& aHost) { return m_control.AddressOf(aHost); })
    , m_commands(m_loop,
                 *m_guard,
                 m_searches,
                 m_backend,
                 m_store,
                 m_peerCommands)
    , m_dispatch(m_control, m_commands, m_metrics)
    , m_peerServer(m_settings.m_peerAddress,
                   m_loop,
                   m_authenticator,
                   m_metrics,
                   m_dispatch)
    , m_hostList(m_loop,
                 m_settings.m_hostListAddress,
                 m_settings.m_hostListInterval,
                 [this](const auto& aHosts) { OnHostList(aHosts); })
    , m_api(MakeApiParts())
    , m_front(FrontOptionsOf(m_settings), m_api)
  {
    SetInvariantHandler(&m_invariants);
    m_searches.SetObserver(this);
  }

  ~Impl() override { SetInvariantHandler(nullptr); }

  void Run()
  {
    LoadServices();
    m_searches.StartPolling(m_settings.m_statusInterval);
    m_peerServer.Start();
    m_front.Start();
    m_hostList.Start();
    UpdateState();
    Log(Severity::Info,
        "listening",
        { { "host", m_settings.m_hostId },
          { "address", m_settings.m_httpAddress },
          { "port", m_front.Port() },
          { "peer_address", m_peerServer.Address() } });
    m_loop.Run();
    m_front.Stop();
    m_peerServer.Stop();
    m_controlPeers.Stop();
    m_commandPeers.Stop();
    Log(Severity::Info, "stopped", { { "host", m_settings.m_hostId } });
  }

  void Shutdown()
  {
    m_loop.Post([this] { StartDraining(); });
  }

  void Apply(Settings aSettings)
  {
    m_loop.Post([this, settings = std::move(aSettings)] {
      for (const std::string& name : RestartOnlyChanges(m_settings, settings)) {
        Log(Severity::Warning,
            "changed setting takes effect only after a restart",
            { { "setting", name } });
      }
      m_settings.m_logSeverity = settings.m_logSeverity;
      m_settings.m_drainWait = settings.m_drainWait;
      SetLogSeverity(settings.m_logSeverity);
      m_authenticator.SetKeys(settings.m_peerKeys);
      Log(Severity::Info, "settings reloaded");
    });
  }

  // ControlListener
  void OnConfigurationActivated(const Configuration& aConfiguration) override
  {
    // The empty configuration of a new installation does not replace the
    // services file.
    if (aConfiguration.m_revision > 0 || m_settings.m_servicesFile.empty()) {
      m_searches.SetServices(aConfiguration.m_services);
      m_usesStoreConfiguration = true;
    }
    UpdateServing();
  }

  void OnLiveHostsChanged(std::uint32_t aCount) override
  {
    m_engine->SetLiveHosts(m_loop.Now(), std::max(aCount, 1U));
  }

  void OnSuspectReports(const std::vector<SuspectReport>& aReports) override
  {
    m_searches.MergeSuspectReports(aReports);
  }

  void OnDrainNotices(const std::vector<DrainNotice>& aNotices) override
  {
    for (const DrainNotice& notice : aNotices) {
      m_searches.MarkReplicaDraining(notice.m_replica, notice.m_incarnation);
    }
  }

  // SearchObserver
  void OnSuspectsChanged(const std::vector<SuspectReport>& aReports) override
  {
    for (const SuspectReport& report : aReports) {
      Log(Severity::Warning,
          "suspect statement",
          { { "fingerprint", report.m_fingerprint },
            { "crashes", report.m_crashes },
            { "quarantined", report.m_quarantined },
            { "lifted", report.m_lifted } });
    }
    m_control.ReportSuspects(aReports);
  }

  void OnReplicaDraining(const std::string& aReplica,
                         std::uint64_t aIncarnation) override
  {
    Log(Severity::Info, "replica is draining", { { "replica", aReplica } });
    m_control.ReportDrain({ aReplica, aIncarnation });
  }

private:
  ApiDependencies MakeApiParts()
  {
    ApiDependencies parts{ m_loop,      m_searches, &m_commands, &m_control,
                           m_lifecycle, m_metrics,  {},          {} };
    parts.m_updateMetrics = [this] { UpdateMetrics(); };
    parts.m_serving = [this] { return UpdateServing(); };
    parts.m_maxBodyBytes = m_settings.m_maxBodyBytes;
    parts.m_maxDeadline = m_settings.m_maxDeadline;
    return parts;
  }

  void UpdateMetrics()
  {
    m_metrics.SetEngineMetrics(m_engine->Counters(),
                               m_engine->RunningQueries());
    m_metrics.SetCommandMetrics(m_guard->Counters());
    m_metrics.SetGauge(
      "configuration_revision",
      "Revision in force",
      static_cast<double>(m_node.Manager().Current()->m_revision));
    m_metrics.SetGauge("live_hosts",
                       "Entry hosts not known to be dead",
                       m_node.Members().LiveHosts());
    m_metrics.SetGauge(
      "ready", "Whether the host is ready", m_lifecycle.Ready() ? 1 : 0);
  }

  // The services file is used only until a configuration is in force.
  void LoadServices()
  {
    if (!m_settings.m_servicesFile.empty()) {
      m_searches.SetServices(
        ParseServices(ReadFile(m_settings.m_servicesFile)));
    }
  }

  void OnHostList(const std::vector<ListedHost>& aHosts)
  {
    m_control.SetHostList(aHosts);
    UpdateState();
  }

  // Membership and readiness also change with time, so they are updated
  // periodically.
  void UpdateState()
  {
    UpdateServing();
    m_lifecycle.SetJoined(m_loop.Now() >= m_startedAt + kShareGrowDelay);
    std::vector<std::string> aliveHosts = m_control.AliveHosts();
    if (aliveHosts != m_aliveHosts) {
      m_aliveHosts = std::move(aliveHosts);
      m_commands.SetMembers(m_aliveHosts);
    }
    m_loop.Cancel(m_stateTimer);
    m_stateTimer = m_loop.After(kStatePollInterval, [this] { UpdateState(); });
  }

  bool UpdateServing()
  {
    // The services file is used only if the store is known to be empty. During
    // a store outage the file may be older than the accepted configuration.
    const bool usesServicesFile = !m_usesStoreConfiguration &&
                                  !m_settings.m_servicesFile.empty() &&
                                  m_node.Manager().StoreIsEmpty();
    const bool serving =
      usesServicesFile ||
      (m_node.Manager().Ready() && m_node.Manager().Serving(m_loop.Now()));
    m_lifecycle.SetServing(serving);
    return serving;
  }

  void StartDraining()
  {
    if (m_lifecycle.Draining()) {
      return;
    }
    Log(Severity::Info, "draining");
    m_lifecycle.StartDraining();
    // Callers with keep-alive connections reconnect to another host during the
    // drain wait.
    m_front.CloseConnections();
    m_control.StartDraining();
    UpdateState();
    m_loop.After(m_settings.m_drainWait, [this] {
      m_lifecycle.StartRefusing();
      FinishRequests();
    });
  }

  // Starts the handover of the key ranges when no caller request is open.
  void FinishRequests()
  {
    if (m_front.Open() != 0) {
      m_loop.After(kDrainPollInterval, [this] { FinishRequests(); });
      return;
    }
    m_commands.BeginShutdown();
    m_handoverDeadline = m_loop.Now() + kShutdownHandoverTimeout;
    FinishHandover();
  }

  void FinishHandover()
  {
    const bool drained = m_guard->Drained() && m_front.Open() == 0;
    if (!drained && m_loop.Now() < m_handoverDeadline) {
      m_loop.After(kDrainPollInterval, [this] { FinishHandover(); });
      return;
    }
    if (!drained) {
      Log(Severity::Warning,
          "not all key ranges were handed over; the rest become free when "
          "the session expires");
    }
    m_loop.Stop();
  }

  Settings m_settings;
  SystemClock m_clock;
  TimePoint m_startedAt = m_clock.Now();
  Metrics m_metrics;
  CountingInvariantHandler m_invariants;
  Lifecycle m_lifecycle;
  std::unique_ptr<RandomSource> m_random = MakeSystemRandom();
  HttpClient m_client;
  EventLoop m_loop;
  EnvelopeAuthenticator m_authenticator;
  PeerClient m_controlPeers;
  PeerClient m_commandPeers;
  StoreClient m_store;
  HttpBackendClient m_backend;
  std::unique_ptr<QueryEngine> m_engine;
  SearchDriver m_searches;
  ControlNode m_node;
  ControlDriver m_control;
  std::unique_ptr<CommandGuard> m_guard;
  PeerCommands m_peerCommands;
  CommandDriver m_commands;
  PeerDispatch m_dispatch;
  PeerServer m_peerServer;
  HostListPoller m_hostList;
  Api m_api;
  HttpFront m_front;
  bool m_usesStoreConfiguration = false;
  std::vector<std::string> m_aliveHosts;
  TimerId m_stateTimer = 0;
  TimePoint m_handoverDeadline;
};

Daemon::Daemon(Settings aSettings)
  : m_impl(std::make_unique<Impl>(std::move(aSettings)))
{
}

Daemon::~Daemon() = default;

void
Daemon::Run()
{
  m_impl->Run();
}

void
Daemon::Shutdown()
{
  m_impl->Shutdown();
}

void
Daemon::Apply(Settings aSettings)
{
  m_impl->Apply(std::move(aSettings));
}

} // namespace goldcrestkeel
