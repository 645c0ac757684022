#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel::benchmark {

/** Comparison of a figure with its target. */
enum class Bound
{
  AtMost,
  AtLeast,
  /** The figure has no target. */
  None,
};

/** One measured figure, printed as one line of JSON. */
struct Figure
{
  std::string m_name;
  double m_value = 0;
  Bound m_bound = Bound::None;
  double m_target = 0;
  /** Same measurement in the same process without the mechanism under test. */
  std::optional<double> m_baseline;

  /** True if the value is within its target, or if there is no target. */
  bool MeetsTarget() const;
};

/** A benchmark that measures one group of figures. */
class Benchmark
{
public:
  virtual ~Benchmark() = default;
  /** Prefix of the names of the figures, for example "coop". */
  virtual std::string_view Name() const = 0;
  /** Measures the figures. aSeed determines all random choices. */
  virtual std::vector<Figure> Run(std::uint64_t aSeed) = 0;
};

/** Registers a benchmark at program start. aBenchmark must outlive all calls of
 *  AllBenchmarks(). */
class BenchmarkRegistration
{
public:
  explicit BenchmarkRegistration(Benchmark& aBenchmark);
};

/** All registered benchmarks, ordered by name. */
std::vector<Benchmark*>
AllBenchmarks();

/** Sample at rank ceil(aQuantile * (n - 1)), counted from 0, of the n sorted
 *  samples; 0 if there are none. aQuantile is in [0, 1]. */
double
Quantile(std::vector<double> aSamples, double aQuantile);

} // namespace goldcrestkeel::benchmark
