#pragma once

#include <goldcrestkeel/core/Time.h>

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace goldcrestkeel {

/** A point in the history of the store. It grows with each change; 0 means that
 *  nothing has been read. */
struct FeedRevision
{
  /** Number of times that the store has been restored from a copy. */
  std::uint64_t m_era = 0;
  /** Revision of the store within its era. It goes back when the store is
   *  restored, and numbers are given out again. */
  std::uint64_t m_number = 0;

  constexpr FeedRevision() = default;
  constexpr FeedRevision(std::uint64_t aNumber, std::uint64_t aEra = 0)
    : m_era(aEra)
    , m_number(aNumber)
  {
  }

  bool operator==(const FeedRevision&) const = default;
  bool operator<(const FeedRevision& aOther) const
  {
    return std::tie(m_era, m_number) < std::tie(aOther.m_era, aOther.m_number);
  }
  bool operator>(const FeedRevision& aOther) const { return aOther < *this; }
  bool operator<=(const FeedRevision& aOther) const
  {
    return !(aOther < *this);
  }
  bool operator>=(const FeedRevision& aOther) const
  {
    return !(*this < aOther);
  }
};

/** A key and its value, or the deletion of a key. */
struct FeedItem
{
  std::string m_key;
  /** Any bytes; empty if m_deleted is set. */
  std::string m_value;
  /** Revision of the change. */
  FeedRevision m_revision = 0;
  bool m_deleted = false;

  bool operator==(const FeedItem&) const = default;
};

/** Changes of the keys of a feed. */
struct FeedChanges
{
  std::vector<FeedItem> m_items;
  /** Revision up to which the changes are complete. */
  FeedRevision m_revision = 0;
  /** m_items has every existing key; other keys do not exist. */
  bool m_complete = false;

  bool operator==(const FeedChanges&) const = default;
};

} // namespace goldcrestkeel
