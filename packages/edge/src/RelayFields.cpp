#include "RelayFields.h"

#include <goldcrestkeel/edge/Numbers.h>

#include <algorithm>

namespace goldcrestkeel {

namespace {

/** Upper limit of the time until the target latency; larger values are clamped.
 */
constexpr std::uint64_t kMaxTargetMs = 3600000;

std::string
ExtractField(RequestMessage& aRequest, std::string_view aName)
{
  std::string text(FieldValue(aRequest.m_fields, aName));
  std::erase_if(aRequest.m_fields, [&](const HeaderField& aField) {
    return EqualsIgnoreCase(aField.first, aName);
  });
  return text;
}

} // namespace

bool
IsHostField(std::string_view aName)
{
  constexpr std::string_view kPrefix = "Goldcrestkeel-";
  return EqualsIgnoreCase(aName.substr(0, kPrefix.size()), kPrefix);
}

std::string
FormatNumbers(const std::vector<std::uint32_t>& aNumbers)
{
  std::string text;
  for (const std::uint32_t number : aNumbers) {
    text.append(text.empty() ? "" : ",").append(std::to_string(number));
  }
  return text;
}

std::optional<std::vector<std::uint32_t>>
ParseNumbers(std::string_view aText)
{
  std::vector<std::uint32_t> numbers;
  while (true) {
    const std::size_t comma = aText.find(',');
    const auto number = ParseNumber<std::uint32_t>(aText.substr(0, comma));
    if (!number) {
      return std::nullopt;
    }
    numbers.push_back(*number);
    if (comma == std::string_view::npos) {
      return numbers;
    }
    aText.remove_prefix(comma + 1);
  }
}

void
AppendRelayParameters(std::string& aOut, const RelayParameters& aParameters)
{
  const auto target = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::max(Duration(0), aParameters.m_timeToTarget));
  AppendField(aOut, kTableVersionField, std::to_string(aParameters.m_version));
  AppendField(aOut, kShardsField, FormatNumbers(aParameters.m_shards));
  AppendField(
    aOut, kMayMissField, std::to_string(aParameters.m_maxMissingShards));
  AppendField(aOut, kTargetMsField, std::to_string(target.count()));
  if (aParameters.m_attemptsLeft) {
    AppendField(
      aOut, kAttemptsLeftField, std::to_string(*aParameters.m_attemptsLeft));
  }
}

std::optional<RelayParameters>
ExtractRelayParameters(RequestMessage& aRequest)
{
  const auto version =
    ParseNumber<RoutingVersion>(ExtractField(aRequest, kTableVersionField));
  auto shards = ParseNumbers(ExtractField(aRequest, kShardsField));
  const auto mayMiss =
    ParseNumber<std::uint32_t>(ExtractField(aRequest, kMayMissField));
  const auto target =
    ParseNumber<std::uint64_t>(ExtractField(aRequest, kTargetMsField));
  const std::string attemptsText = ExtractField(aRequest, kAttemptsLeftField);
  const auto attemptsLeft = ParseNumber<std::uint32_t>(attemptsText);
  if (!version || !shards || !mayMiss || !target ||
      (!attemptsText.empty() && !attemptsLeft)) {
    return std::nullopt;
  }
  return RelayParameters{ *version,
                          std::move(*shards),
                          *mayMiss,
                          std::chrono::milliseconds(
                            std::min(*target, kMaxTargetMs)),
                          attemptsLeft };
}

} // namespace goldcrestkeel
