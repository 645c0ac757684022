#include "SubCommand.h"

#include <iostream>

int
main(int aCount, char** aArguments)
{
  using namespace goldcrestkeel;
  try {
    const std::unique_ptr<gkctl::Transport> transport =
      gkctl::MakeCurlTransport();
    const std::unique_ptr<RandomSource> random = MakeSystemRandom();
    const gkctl::Environment environment{
      std::cout, std::cerr, std::cin, *transport, *random
    };
    return static_cast<int>(gkctl::RunGkctl(
      environment,
      std::vector<std::string>(aArguments + 1, aArguments + aCount)));
  } catch (const std::exception& error) {
    std::cerr << "gkctl: " << error.what() << "\n";
    return static_cast<int>(gkctl::ExitCode::Unknown);
  }
}
