#include "Backend.h"
#include "Settings.h"

#include <sys/resource.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

int
main(int aArgumentCount, char** aArguments)
{
  using namespace goldcrestkeel::standins;
  std::signal(SIGPIPE, SIG_IGN);
  // The faults "crash_on" and "abort" crash the process on purpose; a core file
  // for each crash would fill the disk.
  const rlimit noCore{ 0, 0 };
  setrlimit(RLIMIT_CORE, &noCore);
  try {
    Backend backend(ParseArguments(aArgumentCount, aArguments));
    backend.Run();
    return EXIT_SUCCESS;
  } catch (const std::exception& error) {
    std::cerr << "gk-standin-backend: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
}
