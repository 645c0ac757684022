#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace goldcrestkeel {

/** Parses a decimal number; std::nullopt if aText is not exactly one that fits
 *  into Number. */
template<typename Number>
std::optional<Number>
ParseNumber(std::string_view aText)
{
  Number value = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value);
  if (aText.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

} // namespace goldcrestkeel
