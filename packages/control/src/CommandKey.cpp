#include "CommandKey.h"

#include <goldcrestkeel/Control.h>

#include <algorithm>
#include <charconv>

namespace goldcrestkeel {

namespace {

constexpr std::size_t kMaxTimeDigits = 15;
constexpr std::size_t kMaxRandomLength = 64;

// FNV-1a with a final mix. The value must be the same on all hosts and in all
// builds, which std::hash does not promise.
constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;

std::uint64_t
Add(std::uint64_t aHash, std::string_view aText)
{
  for (const char letter : aText) {
    aHash = (aHash ^ static_cast<unsigned char>(letter)) * kFnvPrime;
  }
  return aHash;
}

// Finaliser of MurmurHash3: FNV-1a alone spreads the last bytes badly over the
// high bits.
std::uint64_t
Mix(std::uint64_t aHash)
{
  aHash = (aHash ^ (aHash >> 33)) * 0xff51afd7ed558ccdULL;
  aHash = (aHash ^ (aHash >> 33)) * 0xc4ceb9fe1a85ec53ULL;
  return aHash ^ (aHash >> 33);
}

bool
IsDigit(char aLetter)
{
  return aLetter >= '0' && aLetter <= '9';
}

bool
IsKeyLetter(char aLetter)
{
  return IsDigit(aLetter) || (aLetter >= 'a' && aLetter <= 'z') ||
         (aLetter >= 'A' && aLetter <= 'Z') || aLetter == '-' || aLetter == '_';
}

} // namespace

std::optional<WallTime>
TimeOfKey(std::string_view aKey)
{
  const std::size_t hyphen = aKey.find('-');
  if (hyphen == std::string_view::npos || hyphen == 0 ||
      hyphen > kMaxTimeDigits) {
    return std::nullopt;
  }
  const std::string_view digits = aKey.substr(0, hyphen);
  const std::string_view random = aKey.substr(hyphen + 1);
  if (!std::all_of(digits.begin(), digits.end(), IsDigit) || random.empty() ||
      random.size() > kMaxRandomLength ||
      !std::all_of(random.begin(), random.end(), IsKeyLetter)) {
    return std::nullopt;
  }
  WallTime time = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), time);
  return time;
}

std::uint32_t
RangeOfKey(std::string_view aKey)
{
  return static_cast<std::uint32_t>(Mix(Add(kFnvOffset, aKey)) %
                                    kCommandRanges);
}

std::vector<std::string>
RankHosts(std::uint32_t aRange, const std::vector<std::string>& aHosts)
{
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  ranked.reserve(aHosts.size());
  const std::string range = std::to_string(aRange) + "/";
  for (const std::string& host : aHosts) {
    ranked.emplace_back(Mix(Add(Add(kFnvOffset, range), host)), host);
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  std::vector<std::string> hosts;
  hosts.reserve(ranked.size());
  for (auto& [weight, host] : ranked) {
    hosts.push_back(std::move(host));
  }
  return hosts;
}

std::uint64_t
FingerprintOf(const Command& aCommand)
{
  const std::string length = std::to_string(aCommand.m_service.size()) + ":";
  return Mix(
    Add(Add(Add(kFnvOffset, length), aCommand.m_service), aCommand.m_body));
}

} // namespace goldcrestkeel
