#include <goldcrestkeel/admission/RateLimitMessage.h>

#include <algorithm>
#include <array>

namespace goldcrestkeel {

namespace {

constexpr std::array<std::string_view, 3> kPeerOutcomes{ "answered",
                                                         "refused",
                                                         "timed_out" };
constexpr std::array<std::string_view, 4> kGrantOutcomes{ "decided",
                                                          "redirected",
                                                          "checking",
                                                          "not_responsible" };

} // namespace

std::string_view
NameOf(PeerOutcome aOutcome)
{
  return kPeerOutcomes.at(static_cast<std::size_t>(aOutcome));
}

std::string_view
NameOf(GrantOutcome aOutcome)
{
  return kGrantOutcomes.at(static_cast<std::size_t>(aOutcome));
}

std::optional<GrantOutcome>
GrantOutcomeFromName(std::string_view aName)
{
  const auto* name =
    std::find(kGrantOutcomes.begin(), kGrantOutcomes.end(), aName);
  if (name == kGrantOutcomes.end()) {
    return std::nullopt;
  }
  return static_cast<GrantOutcome>(name - kGrantOutcomes.begin());
}

} // namespace goldcrestkeel
