#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>

namespace goldcrestkeel {

/** Parses an IPv4 address "IP:port"; std::nullopt if aText has another form. */
std::optional<sockaddr_in>
ParseSocketAddress(const std::string& aText);

} // namespace goldcrestkeel
