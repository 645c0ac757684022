#include "Daemon.h"
#include "Options.h"
#include "PlatformHost.h"
#include "SignalThread.h"

#include <goldcrestkeel/Control.h>

#include <iostream>

namespace goldcrestkeel {

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

// Also checks the services file that the settings refer to.
Settings
LoadSettings(const std::string& aPath)
{
  Settings settings = ParseSettings(ReadFile(aPath));
  if (!settings.m_servicesFile.empty()) {
    ParseServices(ReadFile(settings.m_servicesFile));
  }
  return settings;
}

void
Reload(Daemon& aDaemon, const std::string& aPath)
{
  try {
    aDaemon.Apply(LoadSettings(aPath));
  } catch (const std::exception& error) {
    Log(Severity::Error,
        "settings reload failed; the previous settings stay in force",
        { { "detail", error.what() } });
  }
}

int
Serve(const Options& aOptions)
{
  Settings settings = LoadSettings(aOptions.m_settingsPath);
  if (aOptions.m_check) {
    std::cout << "settings are valid\n";
    return 0;
  }
  SetUpLogging(settings.m_logFormat, settings.m_logSeverity);
  SignalThread::Block();
  Daemon daemon(std::move(settings));
  const SignalThread signals([&] { daemon.Shutdown(); },
                             [&] { Reload(daemon, aOptions.m_settingsPath); });
  daemon.Run();
  return 0;
}

int
Start(int aCount, char** aArguments)
{
  Options options;
  try {
    options = ParseOptions(aCount, aArguments);
  } catch (const Error& error) {
    std::cerr << "goldcrestkeeld: " << error.what() << "\n" << UsageText();
    return kExitUsage;
  }
  if (options.m_help) {
    std::cout << UsageText();
    return 0;
  }
  try {
    if (options.m_platform) {
      return ServePlatform(options);
    }
    return Serve(options);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kExitFailure;
  }
}

} // namespace

} // namespace goldcrestkeel

int
main(int aCount, char** aArguments)
{
  return goldcrestkeel::Start(aCount, aArguments);
}
