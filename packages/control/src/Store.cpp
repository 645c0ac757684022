#include <goldcrestkeel/control/Store.h>

#include <array>

namespace goldcrestkeel {

namespace {

constexpr std::array<std::string_view, 9> kOperationNames{
  "get",           "watch",           "compare_and_swap",
  "acquire",       "release",         "create_session",
  "renew_session", "destroy_session", "list",
};
constexpr std::array<std::string_view, 5> kStatusNames{ "ok",
                                                        "conflict",
                                                        "not_found",
                                                        "failed",
                                                        "unknown" };

} // namespace

std::string_view
NameOf(StoreOperation aOperation)
{
  return kOperationNames.at(static_cast<std::size_t>(aOperation));
}

std::string_view
NameOf(StoreStatus aStatus)
{
  return kStatusNames.at(static_cast<std::size_t>(aStatus));
}

} // namespace goldcrestkeel
