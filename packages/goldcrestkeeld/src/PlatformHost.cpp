#include "PlatformHost.h"

#include <goldcrestkeel/Edge.h>
#include <goldcrestkeel/Net.h>
#include <goldcrestkeel/Platform.h>

#include <malloc.h>
#include <unistd.h>

#include <csignal>
#include <iostream>

namespace goldcrestkeel {

namespace {

/** Allocations from this size on, in bytes, are mapped, and unmapped once they
 *  are freed. */
constexpr int kMappedBytes = 128 * 1024;
/** Free memory at the end of the heap from which it is returned, in bytes. */
constexpr int kTrimBytes = 128 * 1024;

// Fixes the thresholds of the allocator. It would raise them to the size of the
// largest buffer that was freed; bodies would then come from the heap, where
// memory that was used once stays resident.
void
FixAllocatorThresholds()
{
  mallopt(M_MMAP_THRESHOLD, kMappedBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimBytes);
}

// Checks the settings file and logs whether it differs from the settings in
// force. On the platform a changed file takes effect only after a restart.
void
ReportSettingsChange(DecisionLog& aLog,
                     const std::string& aPath,
                     const EdgeSettings& aInForce)
{
  std::string outcome = "no change";
  try {
    if (ParseEdgeSettings(ReadFile(aPath)) != aInForce) {
      outcome = "changed; in force after a restart";
    }
  } catch (const std::exception& error) {
    outcome = error.what();
  }
  aLog.Write(LogPriority::Process,
             "reload",
             { { "outcome", std::string_view(outcome) } });
}

} // namespace

int
ServePlatform(const Options& aOptions)
{
  const EdgeSettings settings =
    ParseEdgeSettings(ReadFile(aOptions.m_settingsPath));
  if (aOptions.m_check) {
    std::cout << "settings are valid\n";
    return 0;
  }
  FixAllocatorThresholds();
  const SystemClock clock;
  Loop loop(clock);
  DecisionLog log(loop, STDOUT_FILENO, settings.m_hostId);
  HttpCaller store(loop, settings.m_storeAddress);
  platform::StoreTopology topology(loop, store, log, settings);
  EdgeServer server(loop, log, settings, platform::FieldNames(), topology);
  log.Write(LogPriority::Process,
            "started",
            { { "data_centre", std::string_view(settings.m_dataCentre) },
              { "callers", std::string_view(settings.m_callerAddress) },
              { "store", std::string_view(settings.m_storeAddress) } });
  const auto stop = [&] {
    log.Write(LogPriority::Process, "stopping", {});
    server.Shutdown([&] { loop.Stop(); });
  };
  Watch terminated(loop, SIGTERM, Watch::On::Signal, stop);
  Watch interrupted(loop, SIGINT, Watch::On::Signal, stop);
  Watch reloaded(loop, SIGHUP, Watch::On::Signal, [&] {
    ReportSettingsChange(log, aOptions.m_settingsPath, settings);
  });
  terminated.Start();
  interrupted.Start();
  reloaded.Start();
  loop.Run();
  return 0;
}

} // namespace goldcrestkeel
