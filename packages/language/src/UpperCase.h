#pragma once

#include <string>
#include <string_view>

namespace goldcrestkeel {

/** Returns aText with the letters a to z in upper case, independent of the
 *  locale. */
std::string
ToUpperCase(std::string_view aText);

} // namespace goldcrestkeel
