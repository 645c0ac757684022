#pragma once

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <string>
#include <string_view>

namespace goldcrestkeel {

/** Parses aText, which may contain secrets: throws std::runtime_error with the
 *  place of the error. The message of the parser would quote the text there,
 * and such messages are logged. */
inline nlohmann::json
ParseSecretJson(std::string_view aText)
{
  using nlohmann::json;
  try {
    return json::parse(aText);
  } catch (const json::parse_error& error) {
    throw std::runtime_error("not valid JSON at byte " +
                             std::to_string(error.byte));
  } catch (const json::exception& error) {
    throw std::runtime_error("not usable JSON, error " +
                             std::to_string(error.id));
  }
}

} // namespace goldcrestkeel
