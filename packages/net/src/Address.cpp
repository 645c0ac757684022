#include <goldcrestkeel/net/Address.h>

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>

namespace goldcrestkeel {

std::optional<sockaddr_in>
ParseSocketAddress(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const std::string host = aText.substr(0, colon);
  if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  address.sin_port = htons(port);
  return address;
}

} // namespace goldcrestkeel
