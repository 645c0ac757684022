#include "Benchmark.h"

#include <getopt.h>

#include <cstdlib>
#include <iostream>
#include <sstream>
#include <string>

namespace {

using namespace goldcrestkeel::benchmark;

constexpr std::uint64_t kDefaultSeed = 1;

constexpr const char* kUsage =
  "usage: gk-bench [--seed N] [NAME...]\n"
  "Prints one JSON object a line: name, value, target, holds, baseline.\n"
  "NAME selects the benchmarks whose names start with it.\n";

std::string
Number(double aValue)
{
  std::ostringstream text;
  text.precision(6);
  text << aValue;
  return text.str();
}

void
Print(const Figure& aFigure)
{
  const bool bounded = aFigure.m_bound != Bound::None;
  std::cout << R"({"name":")" << aFigure.m_name << R"(","value":)"
            << Number(aFigure.m_value) << R"(,"target":)"
            << (bounded ? Number(aFigure.m_target) : "null") << R"(,"holds":)"
            << (aFigure.Holds() ? "true" : "false") << R"(,"baseline":)"
            << (aFigure.m_baseline ? Number(*aFigure.m_baseline) : "null")
            << "}" << std::endl;
}

bool
Selected(const Benchmark& aBenchmark, int aCount, char** aNames)
{
  for (int i = 0; i < aCount; ++i) {
    if (aBenchmark.Name().starts_with(aNames[i])) {
      return true;
    }
  }
  return aCount == 0;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  const option options[] = { { "seed", required_argument, nullptr, 's' },
                             { "help", no_argument, nullptr, 'h' },
                             { nullptr, 0, nullptr, 0 } };
  std::uint64_t seed = kDefaultSeed;
  int choice = 0;
  while ((choice = getopt_long(aArgc, aArgv, "h", options, nullptr)) != -1) {
    if (choice != 's') {
      std::cerr << kUsage;
      return choice == 'h' ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    seed = std::strtoull(optarg, nullptr, 10);
  }
  for (Benchmark* benchmark : All()) {
    if (!Selected(*benchmark, aArgc - optind, aArgv + optind)) {
      continue;
    }
    for (const Figure& figure : benchmark->Run(seed)) {
      Print(figure);
    }
  }
  return EXIT_SUCCESS;
}
