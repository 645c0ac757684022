#include "Platform.h"

#include <getopt.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <stdexcept>

namespace goldcrestkeel::standins {

namespace {

/** Difference between the default admin port and the service port. */
constexpr int kAdminPortOffset = 10000;

constexpr const char* kUsage =
  R"(Usage: gk-standin-platform --listen IP:PORT [OPTION]...
Simulated platform: key-value service and host list. See docs/standins.md.

  --listen IP:PORT     address of the platform's services
  --admin IP:PORT      address of the admin endpoint (default: port + 10000)
  --threads N          HTTP threads (2)
  --delay-us N         delay before each call is handled (2000)
  --hosts-lag-ms N     delay before host list changes are visible (2000)
  --seed N             seed of all random choices (random)
)";

} // namespace

PlatformSettings
ParseArguments(int aArgumentCount, char** aArguments)
{
  static const std::array<option, 8> options{ {
    { "listen", required_argument, nullptr, 'l' },
    { "admin", required_argument, nullptr, 'a' },
    { "threads", required_argument, nullptr, 't' },
    { "delay-us", required_argument, nullptr, 'd' },
    { "hosts-lag-ms", required_argument, nullptr, 'h' },
    { "seed", required_argument, nullptr, 's' },
    { "help", no_argument, nullptr, '?' },
    { nullptr, 0, nullptr, 0 },
  } };
  PlatformSettings settings;
  settings.m_seed = std::random_device{}();
  int code = 0;
  while ((code = getopt_long(
            aArgumentCount, aArguments, "", options.data(), nullptr)) != -1) {
    switch (code) {
      case 'l':
        settings.m_listen = ParseListenAddress(optarg);
        break;
      case 'a':
        settings.m_admin = ParseListenAddress(optarg);
        break;
      case 't':
        settings.m_threads = std::stoi(optarg);
        break;
      case 'd':
        settings.m_delay = std::chrono::microseconds(std::stoll(optarg));
        break;
      case 'h':
        settings.m_hostsLag = std::chrono::milliseconds(std::stoll(optarg));
        break;
      case 's':
        settings.m_seed = std::stoull(optarg);
        break;
      default:
        std::cout << kUsage;
        std::exit(2);
    }
  }
  if (settings.m_listen.m_port == 0) {
    throw std::invalid_argument("--listen is required");
  }
  if (settings.m_admin.m_port == 0) {
    settings.m_admin = settings.m_listen;
    settings.m_admin.m_port =
      static_cast<std::uint16_t>(settings.m_listen.m_port + kAdminPortOffset);
  }
  return settings;
}

} // namespace goldcrestkeel::standins

int
main(int aArgumentCount, char** aArguments)
{
  using namespace goldcrestkeel::standins;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Platform platform(ParseArguments(aArgumentCount, aArguments));
    platform.Run();
    return EXIT_SUCCESS;
  } catch (const std::exception& error) {
    std::cerr << "gk-standin-platform: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
}
