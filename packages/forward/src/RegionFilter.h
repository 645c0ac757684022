#pragma once

#include <algorithm>
#include <string>
#include <vector>

namespace goldcrestkeel {

/** The regions that a request may be served in: those in all of up to two
 *  lists, of which an empty one allows every region. */
class RegionFilter
{
public:
  using Regions = std::vector<std::string>;

  /** Allows every region, and replicas without one. */
  RegionFilter() = default;
  /** Both lists must outlive the filter. */
  RegionFilter(const Regions& aFirst, const Regions& aSecond)
    : m_first(aFirst.empty() ? nullptr : &aFirst)
    , m_second(aSecond.empty() ? nullptr : &aSecond)
  {
  }

  bool IsRestricted() const { return m_first || m_second; }
  /** Whether the request may be served in aRegion; empty if the data centre
   *  belongs to none. */
  bool Allows(const std::string& aRegion) const
  {
    return !IsRestricted() || (!aRegion.empty() && Contains(m_first, aRegion) &&
                               Contains(m_second, aRegion));
  }

private:
  static bool Contains(const Regions* aRegions, const std::string& aRegion)
  {
    return !aRegions ||
           std::find(aRegions->begin(), aRegions->end(), aRegion) !=
             aRegions->end();
  }

  const Regions* m_first = nullptr;
  const Regions* m_second = nullptr;
};

} // namespace goldcrestkeel
