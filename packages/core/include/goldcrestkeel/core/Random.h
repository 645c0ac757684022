#pragma once

#include <cstdint>
#include <memory>

namespace goldcrestkeel {

/** Source of randomness. Seeded sources make tests and benchmarks
 *  reproducible. */
class RandomSource
{
public:
  virtual ~RandomSource() = default;

  /** Uniform 64-bit value. */
  virtual std::uint64_t Next() = 0;

  /** Uniform value in [0, aBound); aBound must be positive. */
  std::uint64_t Below(std::uint64_t aBound);

  /** Uniform value in [0, 1). */
  double Unit();
};

/** Mersenne Twister seeded with aSeed. */
std::unique_ptr<RandomSource>
MakeSeededRandom(std::uint64_t aSeed);

/** Seeded from the operating system. */
std::unique_ptr<RandomSource>
MakeSystemRandom();

} // namespace goldcrestkeel
