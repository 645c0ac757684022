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

/** Takes about one second for each target. */
constexpr std::uint64_t kDefaultRuns = 20000;
constexpr std::uint64_t kDefaultRandomSeed = 20261204;
constexpr std::size_t kMaxInputBytes = 4096;
constexpr std::uint64_t kMaxMutations = 6;

/** Generates inputs by random mutations of the seed inputs. */
class Mutator
{
public:
  Mutator(std::vector<std::string> aSeedInputs, RandomSource& aRandom)
    : m_seedInputs(std::move(aSeedInputs))
    , m_random(aRandom)
  {
  }

  std::string NextInput()
  {
    std::string text = RandomSeedInput();
    for (auto remaining = m_random.Below(kMaxMutations + 1); remaining > 0;
         --remaining) {
      Mutate(text);
    }
    text.resize(std::min(text.size(), kMaxInputBytes));
    return text;
  }

private:
  const std::string& RandomSeedInput()
  {
    return m_seedInputs[m_random.Below(m_seedInputs.size())];
  }

  /** Returns an offset in aText, or its size. */
  std::size_t RandomPosition(std::string_view aText)
  {
    return m_random.Below(aText.size() + 1);
  }

  /** Returns a substring of aText of fewer than 64 bytes. */
  std::string RandomSlice(std::string_view aText)
  {
    constexpr std::uint64_t kSliceByteLimit = 64;
    return std::string(
      aText.substr(RandomPosition(aText), m_random.Below(kSliceByteLimit)));
  }

  /** Applies one mutation: flips a bit, inserts a byte, erases bytes, inserts a
   *  slice of the text or of a seed input, or replaces a digit. */
  void Mutate(std::string& aText)
  {
    const std::size_t at = RandomPosition(aText);
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
        aText.insert(at, RandomSlice(aText));
        break;
      case 4:
        aText.insert(at, RandomSlice(RandomSeedInput()));
        break;
      default:
        ReplaceDigitWithEdgeValue(aText);
    }
  }

  /** Replaces a digit with a negative, overlong, fractional or null value. */
  void ReplaceDigitWithEdgeValue(std::string& aText)
  {
    static const std::vector<std::string> kEdgeValues{
      "-1", "99999999999999999999", "1e999", "0.5", "4294967296", "null"
    };
    const std::size_t at =
      aText.find_first_of("0123456789", RandomPosition(aText));
    if (at != std::string::npos) {
      aText.replace(at, 1, kEdgeValues[m_random.Below(kEdgeValues.size())]);
    }
  }

  std::vector<std::string> m_seedInputs;
  RandomSource& m_random;
};

/** Escapes backslashes and all bytes other than printable ASCII as \xNN. */
std::string
EscapeNonPrintable(std::string_view aText)
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

/** Runs the target on one input. Returns false, and prints the input, if it
 *  throws. */
bool
RunInput(const std::string& aInput)
{
  try {
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(aInput.data()),
                           aInput.size());
    return true;
  } catch (const std::exception& error) {
    std::cerr << "failed: " << error.what()
              << "\ninput: " << EscapeNonPrintable(aInput) << "\n";
    return false;
  }
}

/** Parses the argument at aIndex; returns aDefault if it is absent or not a
 *  number. */
std::uint64_t
ParseArgument(int aArgumentCount,
              char** aArguments,
              int aIndex,
              std::uint64_t aDefault)
{
  if (aIndex < aArgumentCount) {
    const std::string_view text = aArguments[aIndex];
    std::from_chars(text.data(), text.data() + text.size(), aDefault);
  }
  return aDefault;
}

/** Runs the target on the seed corpus, then on aRunCount mutated inputs.
 *  Returns the exit code. */
int
RunMutations(std::uint64_t aRunCount, std::uint64_t aRandomSeed)
{
  const std::unique_ptr<RandomSource> random = MakeSeededRandom(aRandomSeed);
  const std::vector<std::string> seedInputs = SeedCorpus();
  for (const std::string& input : seedInputs) {
    if (!RunInput(input)) {
      return 1;
    }
  }
  Mutator mutator(seedInputs, *random);
  for (std::uint64_t run = 0; run < aRunCount; ++run) {
    if (!RunInput(mutator.NextInput())) {
      std::cerr << "run " << run << " with seed " << aRandomSeed << "\n";
      return 1;
    }
  }
  std::cout << aRunCount << " runs with seed " << aRandomSeed << " passed\n";
  return 0;
}

} // namespace

} // namespace goldcrestkeel::fuzz

/** Arguments, both optional: number of runs, random seed. */
int
main(int aArgumentCount, char** aArguments)
{
  using namespace goldcrestkeel::fuzz;
  return RunMutations(
    ParseArgument(aArgumentCount, aArguments, 1, kDefaultRuns),
    ParseArgument(aArgumentCount, aArguments, 2, kDefaultRandomSeed));
}
