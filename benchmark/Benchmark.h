#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestkeel::benchmark {

/** How a figure relates to its target. */
enum class Bound
{
  AtMost,
  AtLeast,
  /** Reported without a target. */
  None,
};

/** One measured figure, printed as one line of JSON. */
struct Figure
{
  std::string m_name;
  double m_value = 0;
  Bound m_bound = Bound::None;
  double m_target = 0;
  /** Same measurement in the same process without the mechanism. */
  std::optional<double> m_baseline;

  bool Holds() const;
};

/** A group of figures measured in one run. */
class Benchmark
{
public:
  virtual ~Benchmark() = default;
  /** Prefix of the figures, for example "coop". */
  virtual std::string_view Name() const = 0;
  virtual std::vector<Figure> Run(std::uint64_t aSeed) = 0;
};

/** Registers a benchmark at program start. aBenchmark must live until the end
 *  of the program. */
class Registration
{
public:
  explicit Registration(Benchmark& aBenchmark);
};

/** All registered benchmarks, ordered by name. */
std::vector<Benchmark*>
All();

/** Value at rank aQuantile, in [0, 1], of aSamples; 0 if there are none. */
double
Quantile(std::vector<double> aSamples, double aQuantile);

} // namespace goldcrestkeel::benchmark
