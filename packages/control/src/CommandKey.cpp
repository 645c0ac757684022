#include "CommandKey.h"

#include "Rendezvous.h"

#include <goldcrestkeel/Control.h>
#include <goldcrestkeel/core/StableHash.h>

#include <algorithm>
#include <charconv>

namespace goldcrestkeel {

namespace {

constexpr std::size_t kMaxTimeDigits = 15;
constexpr std::size_t kMaxRandomLength = 64;

bool
IsDigit(char aCharacter)
{
  return aCharacter >= '0' && aCharacter <= '9';
}

bool
IsKeyCharacter(char aCharacter)
{
  return IsDigit(aCharacter) || (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') || aCharacter == '-' ||
         aCharacter == '_';
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
      !std::all_of(random.begin(), random.end(), IsKeyCharacter)) {
    return std::nullopt;
  }
  WallTime time = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), time);
  return time;
}

std::uint32_t
RangeOfKey(std::string_view aKey)
{
  return static_cast<std::uint32_t>(StableHash().Add(aKey).Mixed() %
                                    kCommandRanges);
}

std::vector<std::string>
RankHosts(std::uint32_t aRange, const std::vector<std::string>& aHosts)
{
  std::vector<std::string> hosts = aHosts;
  RankHosts(std::to_string(aRange), hosts);
  return hosts;
}

std::uint64_t
FingerprintOf(const Command& aCommand)
{
  const std::string length = std::to_string(aCommand.m_service.size()) + ":";
  return StableHash()
    .Add(length)
    .Add(aCommand.m_service)
    .Add(aCommand.m_body)
    .Mixed();
}

} // namespace goldcrestkeel
