#pragma once

#include <cstdint>
#include <memory>

namespace goldcrestkeel {

/** Source of random numbers. Seeded sources make tests and benchmarks
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

/** Returns a Mersenne Twister seeded with aSeed. */
std::unique_ptr<RandomSource>
MakeSeededRandom(std::uint64_t aSeed);

/** Returns a Mersenne Twister seeded by the operating system. */
std::unique_ptr<RandomSource>
MakeSystemRandom();

} // namespace goldcrestkeel
