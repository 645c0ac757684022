#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>

namespace goldcrestkeel {

/** Parses aText, which may contain secrets: throws std::runtime_error with the
 *  place of the error. The message of the parser would quote the text there,
 *  and such messages are logged. aFilter is called for each part; see
 *  nlohmann::json::parse(). */
inline nlohmann::json
ParseSecretJson(std::string_view aText,
                const nlohmann::json::parser_callback_t& aFilter = nullptr)
{
  using nlohmann::json;
  try {
    return json::parse(aText, aFilter);
  } catch (const json::parse_error& error) {
    throw std::runtime_error("not valid JSON at byte " +
                             std::to_string(error.byte));
  } catch (const json::exception& error) {
    throw std::runtime_error("not usable JSON, error " +
                             std::to_string(error.id));
  }
}

/** Parses a message of another host. Throws std::runtime_error if it has more
 *  than aMaxBytes, is nested more deeply than any message, or is not valid. A
 *  parsed level takes many times the memory of its text. */
inline nlohmann::json
ParseHostMessage(std::string_view aText, std::size_t aMaxBytes)
{
  using nlohmann::json;
  constexpr int kMaxDepth = 8;
  if (aText.size() > aMaxBytes) {
    throw std::runtime_error("the message has more than " +
                             std::to_string(aMaxBytes) + " bytes");
  }
  return ParseSecretJson(
    aText, [](int aDepth, json::parse_event_t, const json&) {
      if (aDepth > kMaxDepth) {
        throw std::runtime_error("the message is nested too deeply");
      }
      return true;
    });
}

} // namespace goldcrestkeel
