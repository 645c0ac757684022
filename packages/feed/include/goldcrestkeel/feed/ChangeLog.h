#pragma once

#include <goldcrestkeel/feed/FeedItem.h>

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace goldcrestkeel {

/** Keys of a feed as of one revision, with the latest changes, so that another
 *  host can be told what it lacks. Revisions only grow. */
class ChangeLog
{
public:
  /** aMaxChanges limits the number of retained changes. */
  explicit ChangeLog(std::size_t aMaxChanges);

  /** Applies changes and returns those that are news, with the deletions that a
   *  complete list implies. Changes that are not newer than what is known of
   *  their key are dropped. The first changes of an era must be a complete
   *  list. */
  FeedChanges Apply(const FeedChanges& aChanges);

  /** Returns the changes after aRevision, or every key if not all of these
   *  changes are retained. */
  FeedChanges Since(FeedRevision aRevision) const;

  /** Revision up to which the log is complete; 0 before the first list. */
  FeedRevision Revision() const { return m_revision; }

private:
  /** Whether aItem is newer than what is known of its key. */
  bool IsNewer(const FeedItem& aItem) const;
  /** Whether the key of aItem is known with the same value. */
  bool HasValueOf(const FeedItem& aItem) const;
  void Record(const FeedItem& aItem);
  /** Deletions of the existing keys that a complete list lacks. */
  std::vector<FeedItem> MissingFrom(const FeedChanges& aList) const;
  /** Drops the oldest changes above the limit. */
  void DropOldChanges();

  std::size_t m_maxChanges;
  /** Existing keys, and deleted keys whose deletion is in m_changes. */
  std::map<std::string, FeedItem> m_items;
  /** Keys of the latest changes, oldest first, with their revisions. */
  std::deque<std::pair<FeedRevision, std::string>> m_changes;
  /** Changes up to this revision may be missing from m_changes. */
  FeedRevision m_retainedAfter = 0;
  FeedRevision m_revision = 0;
  /** Revision of the newest change; the pages of a list may have changes after
   *  m_revision. */
  FeedRevision m_newestChange = 0;
};

} // namespace goldcrestkeel
