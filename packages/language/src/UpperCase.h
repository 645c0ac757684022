#pragma once

#include <string>
#include <string_view>

namespace goldcrestkeel {

/** aText with the letters a to z in upper case, in any locale. */
std::string
ToUpperCase(std::string_view aText);

} // namespace goldcrestkeel
