#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>

namespace goldcrestkeel {

/** Address of the form "IP:port" (IPv4); nothing if aText has another form. */
std::optional<sockaddr_in>
ParseSocketAddress(const std::string& aText);

} // namespace goldcrestkeel
