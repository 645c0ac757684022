#include "Backend.h"
#include "Settings.h"

#include <sys/resource.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

int
main(int aCount, char** aValues)
{
  using namespace goldcrestkeel::standins;
  std::signal(SIGPIPE, SIG_IGN);
  // The crash on a chosen statement is part of the simulation; a core file for
  // each would fill the disk.
  const rlimit noCore{ 0, 0 };
  setrlimit(RLIMIT_CORE, &noCore);
  try {
    Backend backend(ParseArguments(aCount, aValues));
    backend.Run();
    return EXIT_SUCCESS;
  } catch (const std::exception& error) {
    std::cerr << "gk-standin-backend: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
}
