#include <goldcrestkeel/core/Topology.h>

#include <array>
#include <numeric>

namespace goldcrestkeel {

namespace {

constexpr std::array<std::string_view, 2> kServiceKinds{ "search", "command" };
constexpr std::array<std::string_view, 2> kPreferences{ "answer_on_time",
                                                        "wait_for_coverage" };
constexpr std::array<std::string_view, 2> kCallerClasses{ "interactive",
                                                          "batch" };

template<typename Enum, std::size_t N>
std::optional<Enum>
FromName(const std::array<std::string_view, N>& aNames, std::string_view aName)
{
  for (std::size_t i = 0; i < N; ++i) {
    if (aNames[i] == aName) {
      return static_cast<Enum>(i);
    }
  }
  return std::nullopt;
}

} // namespace

std::string_view
NameOf(ServiceKind aKind)
{
  return kServiceKinds.at(static_cast<std::size_t>(aKind));
}

std::string_view
NameOf(CoveragePreference aPreference)
{
  return kPreferences.at(static_cast<std::size_t>(aPreference));
}

std::string_view
NameOf(CallerClass aClass)
{
  return kCallerClasses.at(static_cast<std::size_t>(aClass));
}

std::optional<ServiceKind>
ServiceKindFromName(std::string_view aName)
{
  return FromName<ServiceKind>(kServiceKinds, aName);
}

std::optional<CoveragePreference>
CoveragePreferenceFromName(std::string_view aName)
{
  return FromName<CoveragePreference>(kPreferences, aName);
}

std::optional<CallerClass>
CallerClassFromName(std::string_view aName)
{
  return FromName<CallerClass>(kCallerClasses, aName);
}

DocumentCount
ShardMap::Total() const
{
  return std::accumulate(m_documents.begin(),
                         m_documents.end(),
                         DocumentCount{ 0 },
                         [](DocumentCount aSum, const auto& aShard) {
                           return aSum + aShard.second;
                         });
}

} // namespace goldcrestkeel
