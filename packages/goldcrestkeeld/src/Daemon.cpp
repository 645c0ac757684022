#include "Daemon.h"

#include <goldcrestkeel/Control.h>

#include <string>

namespace goldcrestkeel {

namespace {

// Interval at which a shutdown looks whether the last requests have finished.
constexpr Duration kDrainCheck{ 20000 };

EngineOptions
EngineOptionsOf(const Settings& aSettings)
{
  EngineOptions options;
  options.m_dataCentre = aSettings.m_dataCentre;
  options.m_region = aSettings.m_region;
  options.m_maxRunningQueries = aSettings.m_maxRunningQueries;
  options.m_maxQueuedQueries = aSettings.m_maxQueuedQueries;
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
{
public:
  explicit Impl(Settings aSettings)
    : m_settings(std::move(aSettings))
    , m_invariants(m_metrics)
    , m_loop(m_clock, m_client)
    , m_backend(m_client,
                m_settings.m_hostId + "-" + std::to_string(m_clock.WallNow()))
    , m_engine(MakeQueryEngine(EngineOptionsOf(m_settings), *m_random))
    , m_searches(m_loop, *m_engine, m_backend)
    , m_api(PartsOfApi())
    , m_front(FrontOptionsOf(m_settings), m_api)
  {
    SetInvariantHandler(&m_invariants);
  }

  ~Impl() { SetInvariantHandler(nullptr); }

  void Run()
  {
    LoadServices();
    m_searches.StartPolling(m_settings.m_statusInterval);
    m_front.Start();
    Log(Severity::Info,
        "listening",
        { { "host", m_settings.m_hostId },
          { "address", m_settings.m_httpAddress },
          { "port", m_front.Port() } });
    m_loop.Run();
    m_front.Stop();
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
            "a changed setting needs a restart",
            { { "setting", name } });
      }
      m_settings.m_logSeverity = settings.m_logSeverity;
      m_settings.m_drainWait = settings.m_drainWait;
      SetLogSeverity(settings.m_logSeverity);
      Log(Severity::Info, "settings read again");
    });
  }

private:
  ApiParts PartsOfApi()
  {
    ApiParts parts{ m_loop, m_searches, nullptr, m_lifecycle, m_metrics, {} };
    parts.m_updateMetrics = [this] {
      m_metrics.SetEngine(m_engine->Counters(), m_engine->RunningQueries());
    };
    parts.m_maxBodyBytes = m_settings.m_maxBodyBytes;
    parts.m_maxDeadline = m_settings.m_maxDeadline;
    return parts;
  }

  void LoadServices()
  {
    if (!m_settings.m_servicesFile.empty()) {
      m_searches.SetServices(
        ParseServices(ReadFile(m_settings.m_servicesFile)));
      m_lifecycle.SetServing(true);
    }
  }

  void StartDraining()
  {
    if (m_lifecycle.Draining()) {
      return;
    }
    Log(Severity::Info, "draining");
    m_lifecycle.StartDraining();
    m_front.CloseConnections();
    m_loop.After(m_settings.m_drainWait, [this] {
      m_lifecycle.StartRefusing();
      FinishDraining();
    });
  }

  void FinishDraining()
  {
    if (m_front.Open() == 0) {
      m_loop.Stop();
      return;
    }
    m_loop.After(kDrainCheck, [this] { FinishDraining(); });
  }

  Settings m_settings;
  SystemClock m_clock;
  Metrics m_metrics;
  CountingInvariantHandler m_invariants;
  Lifecycle m_lifecycle;
  std::unique_ptr<RandomSource> m_random = MakeSystemRandom();
  HttpClient m_client;
  EventLoop m_loop;
  HttpBackendClient m_backend;
  std::unique_ptr<QueryEngine> m_engine;
  SearchDriver m_searches;
  Api m_api;
  HttpFront m_front;
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
