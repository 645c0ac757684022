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
  "Prints one JSON object per line: name, value, target, holds, baseline.\n"
  "NAME selects the benchmarks whose names start with it.\n";

std::string
FormatNumber(double aValue)
{
  std::ostringstream text;
  text.precision(6);
  text << aValue;
  return text.str();
}

void
PrintFigure(const Figure& aFigure)
{
  const bool hasTarget = aFigure.m_bound != Bound::None;
  std::cout << R"({"name":")" << aFigure.m_name << R"(","value":)"
            << FormatNumber(aFigure.m_value) << R"(,"target":)"
            << (hasTarget ? FormatNumber(aFigure.m_target) : "null")
            << R"(,"holds":)" << (aFigure.MeetsTarget() ? "true" : "false")
            << R"(,"baseline":)"
            << (aFigure.m_baseline ? FormatNumber(*aFigure.m_baseline) : "null")
            << "}" << std::endl;
}

bool
IsSelected(const Benchmark& aBenchmark, int aCount, char** aNames)
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
  int selectedOption = 0;
  while ((selectedOption = getopt_long(aArgc, aArgv, "h", options, nullptr)) !=
         -1) {
    if (selectedOption != 's') {
      std::cerr << kUsage;
      return selectedOption == 'h' ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    seed = std::strtoull(optarg, nullptr, 10);
  }
  for (Benchmark* benchmark : AllBenchmarks()) {
    if (!IsSelected(*benchmark, aArgc - optind, aArgv + optind)) {
      continue;
    }
    for (const Figure& figure : benchmark->Run(seed)) {
      PrintFigure(figure);
    }
  }
  return EXIT_SUCCESS;
}
