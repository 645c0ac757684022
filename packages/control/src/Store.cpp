#include <goldcrestkeel/control/Store.h>

#include <array>

namespace goldcrestkeel {

namespace {

constexpr std::array<std::string_view, 9> kOperations{
  "get",           "watch",           "compare_and_swap",
  "acquire",       "release",         "create_session",
  "renew_session", "destroy_session", "list",
};
constexpr std::array<std::string_view, 5> kStatuses{ "ok",
                                                     "conflict",
                                                     "not_found",
                                                     "failed",
                                                     "unknown" };

} // namespace

std::string_view
NameOf(StoreOperation aOperation)
{
  return kOperations.at(static_cast<std::size_t>(aOperation));
}

std::string_view
NameOf(StoreStatus aStatus)
{
  return kStatuses.at(static_cast<std::size_t>(aStatus));
}

} // namespace goldcrestkeel
