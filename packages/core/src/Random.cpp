#include <goldcrestkeel/core/Random.h>

#include <random>

namespace goldcrestkeel {

namespace {

constexpr double kUnitScale = 1.0 / 9007199254740992.0; // 2^-53

class MersenneTwister : public RandomSource
{
public:
  explicit MersenneTwister(std::uint64_t aSeed)
    : m_engine(aSeed)
  {
  }

  std::uint64_t Next() override { return m_engine(); }

private:
  std::mt19937_64 m_engine;
};

} // namespace

// Multiply-shift reduction: its bias is below 2^-32 for the small bounds used
// here.
std::uint64_t
RandomSource::Below(std::uint64_t aBound)
{
  const auto wide = static_cast<unsigned __int128>(Next()) * aBound;
  return static_cast<std::uint64_t>(wide >> 64);
}

double
RandomSource::Unit()
{
  return static_cast<double>(Next() >> 11) * kUnitScale;
}

std::unique_ptr<RandomSource>
MakeSeededRandom(std::uint64_t aSeed)
{
  return std::make_unique<MersenneTwister>(aSeed);
}

std::unique_ptr<RandomSource>
MakeSystemRandom()
{
  std::random_device device;
  const std::uint64_t high = device();
  return std::make_unique<MersenneTwister>((high << 32) | device());
}

} // namespace goldcrestkeel
