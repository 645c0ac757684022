#include "Benchmark.h"

#include <algorithm>
#include <cmath>

namespace goldcrestkeel::benchmark {

namespace {

std::vector<Benchmark*>&
RegisteredBenchmarks()
{
  static std::vector<Benchmark*> sRegistry;
  return sRegistry;
}

} // namespace

bool
Figure::MeetsTarget() const
{
  switch (m_bound) {
    case Bound::AtMost:
      return m_value <= m_target;
    case Bound::AtLeast:
      return m_value >= m_target;
    case Bound::None:
      return true;
  }
  return false;
}

BenchmarkRegistration::BenchmarkRegistration(Benchmark& aBenchmark)
{
  RegisteredBenchmarks().push_back(&aBenchmark);
}

std::vector<Benchmark*>
AllBenchmarks()
{
  std::vector<Benchmark*> all = RegisteredBenchmarks();
  std::sort(all.begin(), all.end(), [](Benchmark* aLeft, Benchmark* aRight) {
    return aLeft->Name() < aRight->Name();
  });
  return all;
}

double
Quantile(std::vector<double> aSamples, double aQuantile)
{
  if (aSamples.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(aSamples.size() - 1);
  const auto rank = static_cast<std::ptrdiff_t>(std::ceil(aQuantile * last));
  std::nth_element(aSamples.begin(), aSamples.begin() + rank, aSamples.end());
  return aSamples[static_cast<std::size_t>(rank)];
}

} // namespace goldcrestkeel::benchmark
