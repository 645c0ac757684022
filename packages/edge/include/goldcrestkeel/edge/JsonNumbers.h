#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <stdexcept>

namespace goldcrestkeel {

/** The value of a number that must not be negative or have a fraction. Throws
 *  std::runtime_error for anything else, which json::get() would convert. */
inline std::uint64_t
UnsignedOf(const nlohmann::json& aNumber)
{
  if (!aNumber.is_number_unsigned()) {
    throw std::runtime_error("a number is negative, too large or no integer");
  }
  return aNumber.get<std::uint64_t>();
}

/** The same for a number of at most 32 bits. */
inline std::uint32_t
Unsigned32Of(const nlohmann::json& aNumber)
{
  const std::uint64_t value = UnsignedOf(aNumber);
  if (value > std::numeric_limits<std::uint32_t>::max()) {
    throw std::runtime_error("a number is too large");
  }
  return static_cast<std::uint32_t>(value);
}

} // namespace goldcrestkeel
