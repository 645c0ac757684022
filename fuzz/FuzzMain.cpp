#include "FuzzTarget.h"

#include <goldcrestkeel/core/Random.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <iostream>
#include <memory>
#include <string_view>

namespace goldcrestkeel::fuzz {

namespace {

// About one second for each target.
constexpr std::uint64_t kDefaultRuns = 20000;
constexpr std::uint64_t kDefaultSeed = 20261204;
constexpr std::size_t kLongestInput = 4096;
constexpr std::uint64_t kMostMutations = 6;

/** Changes texts at random. */
class Mutator
{
public:
  Mutator(std::vector<std::string> aSeeds, RandomSource& aRandom)
    : m_seeds(std::move(aSeeds))
    , m_random(aRandom)
  {
  }

  std::string Next()
  {
    std::string text = AnySeed();
    for (auto left = m_random.Below(kMostMutations + 1); left > 0; --left) {
      Mutate(text);
    }
    text.resize(std::min(text.size(), kLongestInput));
    return text;
  }

private:
  const std::string& AnySeed()
  {
    return m_seeds[m_random.Below(m_seeds.size())];
  }

  /** Position in aText, or its end. */
  std::size_t Position(std::string_view aText)
  {
    return m_random.Below(aText.size() + 1);
  }

  /** Part of aText, at most 64 bytes long. */
  std::string Slice(std::string_view aText)
  {
    constexpr std::uint64_t kLongestSlice = 64;
    return std::string(
      aText.substr(Position(aText), m_random.Below(kLongestSlice)));
  }

  void Mutate(std::string& aText)
  {
    const std::size_t at = Position(aText);
    switch (m_random.Below(6)) {
      case 0:
        if (at < aText.size()) {
          aText[at] ^= static_cast<char>(1U << m_random.Below(8));
        }
        break;
      case 1:
        aText.insert(at, 1, static_cast<char>(m_random.Below(256)));
        break;
      case 2:
        aText.erase(at, m_random.Below(16));
        break;
      case 3:
        aText.insert(at, Slice(aText));
        break;
      case 4:
        aText.insert(at, Slice(AnySeed()));
        break;
      default:
        ReplaceDigit(aText);
    }
  }

  /** Replaces a digit by a long number or a sign. */
  void ReplaceDigit(std::string& aText)
  {
    static const std::vector<std::string> kNumbers{
      "-1", "99999999999999999999", "1e999", "0.5", "4294967296", "null"
    };
    const std::size_t at = aText.find_first_of("0123456789", Position(aText));
    if (at != std::string::npos) {
      aText.replace(at, 1, kNumbers[m_random.Below(kNumbers.size())]);
    }
  }

  std::vector<std::string> m_seeds;
  RandomSource& m_random;
};

/** aText with all bytes but printable ASCII characters as \xNN. */
std::string
Escape(std::string_view aText)
{
  std::string escaped;
  for (char character : aText) {
    if (character >= ' ' && character <= '~' && character != '\\') {
      escaped += character;
      continue;
    }
    char buffer[5];
    std::snprintf(buffer,
                  sizeof(buffer),
                  "\\x%02x",
                  static_cast<unsigned>(static_cast<unsigned char>(character)));
    escaped += buffer;
  }
  return escaped;
}

bool
Passes(const std::string& aInput)
{
  try {
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(aInput.data()),
                           aInput.size());
    return true;
  } catch (const std::exception& error) {
    std::cerr << "failed: " << error.what() << "\ninput: " << Escape(aInput)
              << "\n";
    return false;
  }
}

std::uint64_t
Argument(int aCount, char** aArguments, int aIndex, std::uint64_t aDefault)
{
  if (aIndex < aCount) {
    const std::string_view text = aArguments[aIndex];
    std::from_chars(text.data(), text.data() + text.size(), aDefault);
  }
  return aDefault;
}

int
Run(std::uint64_t aRuns, std::uint64_t aSeed)
{
  const std::unique_ptr<RandomSource> random = MakeSeededRandom(aSeed);
  const std::vector<std::string> seeds = Seeds();
  for (const std::string& seed : seeds) {
    if (!Passes(seed)) {
      return 1;
    }
  }
  Mutator mutator(seeds, *random);
  for (std::uint64_t run = 0; run < aRuns; ++run) {
    if (!Passes(mutator.Next())) {
      std::cerr << "run " << run << " of seed " << aSeed << "\n";
      return 1;
    }
  }
  std::cout << aRuns << " runs of seed " << aSeed << " passed\n";
  return 0;
}

} // namespace

} // namespace goldcrestkeel::fuzz

/** Arguments: number of runs, seed. */
int
main(int aCount, char** aArguments)
{
  using namespace goldcrestkeel::fuzz;
  return Run(Argument(aCount, aArguments, 1, kDefaultRuns),
             Argument(aCount, aArguments, 2, kDefaultSeed));
}
