#include <goldcrestkeel/feed/ChangeLog.h>

#include <algorithm>
#include <set>
#include <utility>

namespace goldcrestkeel {

ChangeLog::ChangeLog(std::size_t aMaxChanges)
  : m_maxChanges(aMaxChanges)
{
}

bool
ChangeLog::ApplyItem(const FeedItem& aItem)
{
  const auto known = m_items.find(aItem.m_key);
  if (known != m_items.end() && known->second.m_revision >= aItem.m_revision) {
    return false;
  }
  if (known == m_items.end() && aItem.m_deleted) {
    return false;
  }
  m_items[aItem.m_key] = aItem;
  m_changes.emplace_back(aItem.m_revision, aItem.m_key);
  return true;
}

FeedChanges
ChangeLog::Apply(const FeedChanges& aChanges)
{
  FeedChanges news;
  news.m_complete = aChanges.m_complete;
  if (aChanges.m_complete && aChanges.m_revision < m_revision) {
    // An older list says nothing about keys that changed since.
    news.m_complete = false;
    news.m_revision = m_revision;
    return news;
  }
  if (m_revision == 0) {
    m_retainedAfter = aChanges.m_revision;
  }
  const bool first = m_revision == 0;
  for (const FeedItem& item : aChanges.m_items) {
    if (ApplyItem(item)) {
      news.m_items.push_back(item);
    }
  }
  if (aChanges.m_complete && !first) {
    std::set<std::string> listed;
    for (const FeedItem& item : aChanges.m_items) {
      listed.insert(item.m_key);
    }
    std::vector<FeedItem> removed;
    for (const auto& [key, item] : m_items) {
      if (!item.m_deleted && !listed.contains(key) &&
          item.m_revision <= aChanges.m_revision) {
        removed.push_back({ key, {}, aChanges.m_revision, true });
      }
    }
    for (const FeedItem& item : removed) {
      // The key may have been created and deleted at the same revision.
      m_items[item.m_key] = item;
      m_changes.emplace_back(item.m_revision, item.m_key);
      news.m_items.push_back(item);
    }
  }
  m_revision = std::max(m_revision, aChanges.m_revision);
  news.m_revision = m_revision;
  if (first) {
    m_changes.clear();
  }
  while (m_changes.size() > m_maxChanges) {
    const auto [revision, key] = std::move(m_changes.front());
    m_changes.pop_front();
    m_retainedAfter = std::max(m_retainedAfter, revision);
    const auto item = m_items.find(key);
    if (item != m_items.end() && item->second.m_deleted &&
        item->second.m_revision == revision) {
      m_items.erase(item);
    }
  }
  return news;
}

FeedChanges
ChangeLog::Since(FeedRevision aRevision) const
{
  FeedChanges changes;
  changes.m_revision = m_revision;
  changes.m_complete = aRevision < m_retainedAfter;
  for (const auto& [key, item] : m_items) {
    if (changes.m_complete ? !item.m_deleted : item.m_revision > aRevision) {
      changes.m_items.push_back(item);
    }
  }
  return changes;
}

} // namespace goldcrestkeel
