#pragma once

#include <goldcrestkeel/core/Time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace goldcrestkeel {

/** Revision of the store, which grows with each change; 0 means none. */
using FeedRevision = std::uint64_t;

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
